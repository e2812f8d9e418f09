"""What a router has left of its VM, and what it does not take when that is little.

Load that it answers: VMs with a fifth of the processor and a twentieth of the link of
others get as many callers, or most of them. The slow ones fail their callers while
others are idle.

New connections are turned away before anything is read from them, while other routers
have room: their callers reach one of those at once, and what is refused after it was
read has used the VM already. Requests that were read are refused only if the VM is
about to fail those that it serves.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from random import random

from berylwalk.dispatch._vm_forecast import VmForecast

TAKE_BELOW = 0.8
"""Share of a limit below which new connections are taken: the rest is for further
requests on open connections and for what the forecast misses."""
TAKE_INTERVAL_S = 0.5
"""Interval in which at least one connection is taken: a wrong measurement must not turn
a router off."""
TURNED_AWAY_FOR_S = 1.0
"""Time after turning a connection away during which the router is at its limit."""
REFUSE_FROM = 0.9
"""Share of a limit from which requests are refused."""
REFUSE_MOST_AT = 1.1
"""Share of a limit at which `MAX_REFUSED_SHARE` is refused."""
RELAXED_BELOW = 0.8
"""Share of a limit below which the router is ready again."""
UNREADY_FROM = 0.97
"""Share of a limit from which the router wants no new connections."""
UNREADY_AFTER_S = 2.0
"""How long that share must last; peers learn of it meanwhile."""
MAX_REFUSED_SHARE = 0.9
"""Largest share of requests that is refused."""
MAX_UNREADY_SHARE = 0.25
"""Largest share of the routers of a failure domain that are unready."""
RANKS_FADE = 0.95
"""Factor of the counts of ranks at each record."""
MIN_COUNT = 0.01
"""Count below which a rank is forgotten."""

Rank = tuple[int, ...]


class VmResource(StrEnum):
    """Resource of a VM with a limit."""

    LINK = "link"
    PROCESSOR = "processor"
    EVENT_LOOP = "event-loop"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


FORECAST_RESOURCES = (VmResource.LINK, VmResource.PROCESSOR)
"""Resources of which each open request uses some."""


@dataclass(frozen=True, slots=True)
class RouterPressure:
    """Pressure on another router, as far as it is known.

    Parameters
    ----------
    name : str
        Name of the router.
    claim : int
        Pressure at which it began to want to be unready, in percent of a limit; 0 if it
        doesn't.
    is_unready : bool
        Whether it says so to the load balancer.
    is_heard : bool
        Whether it sends messages.
    has_room : bool
        Whether it takes new connections.
    """

    name: str
    claim: int = 0
    is_unready: bool = False
    is_heard: bool = True
    has_room: bool = True


class VmCapacity:
    """Judges how much a router uses of its VM.

    Parameters
    ----------
    name : str
        Name of the router.

    Attributes
    ----------
    shares : dict
        Shares of the limits that are used, by resource; those with a limit only.
    is_unready : bool
        Whether the load balancer should send no new connections.
    claim : int
        Pressure at which this router began to want that, in percent of a limit; 0 if it
        doesn't. It keeps the value, so that all routers order the same claims.
    others_have_room : bool
        Whether callers that are turned away are likely to be served by other routers.
    turned_away : int
        Connections that were turned away since the start.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._forecast = VmForecast()
        self._open_requests = 0
        self._taken = 0
        self._taken_at = float("-inf")
        self._turned_away_at = float("-inf")
        self._counts_by_rank: dict[Rank, float] = {}
        self._over_since: float | None = None
        self.shares: dict[VmResource, float] = {}
        self.is_unready = False
        self.claim = 0
        self.others_have_room = False
        self.turned_away = 0

    @property
    def pressure(self) -> float:
        """Largest share of a limit that is used; 0 without a limit."""
        return max(self.shares.values(), default=0.0)

    @property
    def has_room(self) -> bool:
        """Whether the VM can take one more connection."""
        expected = max(
            self._forecast.share(resource, self._open_requests + self._taken + 1)
            for resource in FORECAST_RESOURCES
        )
        return max(expected, self.pressure) < TAKE_BELOW

    @property
    def refused_share(self) -> float:
        """Share of the requests that are refused."""
        link = self._forecast.share(VmResource.LINK, self._open_requests)
        used = max(
            (
                share
                for resource, share in self.shares.items()
                if resource not in FORECAST_RESOURCES
            ),
            default=0.0,
        )
        over = (max(link, used) - REFUSE_FROM) / (REFUSE_MOST_AT - REFUSE_FROM)
        return MAX_REFUSED_SHARE * min(1.0, max(0.0, over))

    def record(
        self, shares: Mapping[VmResource, float], now: float, *, open_requests: int = 0
    ) -> None:
        """Record the shares of the limits that are used, several times a second.

        Parameters
        ----------
        shares : mapping
            Used shares, by resource.
        now : float
            Current time in seconds.
        open_requests : int
            Requests that are being answered.
        """
        self.shares = dict(shares)
        self._open_requests, self._taken = open_requests, 0
        self._forecast.record(shares, open_requests, now)
        if not self._is_over(now):
            self._over_since = None
        elif self._over_since is None:
            self._over_since = now
            self.claim = self.claim or round(100 * max(self.pressure, UNREADY_FROM))
        self._counts_by_rank = {
            rank: count * RANKS_FADE
            for rank, count in self._counts_by_rank.items()
            if count * RANKS_FADE >= MIN_COUNT
        }

    def takes_connection(self, open_requests: int, now: float) -> bool:
        """Return whether to take a new connection, and count it if so.

        Parameters
        ----------
        open_requests : int
            Requests that are being answered.
        now : float
            Current time in seconds.
        """
        self._open_requests = open_requests
        if self.may_take(now):
            self._taken += 1
            self._taken_at = now
            return True
        self.turned_away += 1
        self._turned_away_at = now
        return False

    def may_take(self, now: float) -> bool:
        """Return whether a connection that comes now would be taken."""
        is_due = now - self._taken_at >= TAKE_INTERVAL_S
        return self.has_room or is_due or not self.others_have_room

    def update_room_of_others(self, others: Collection[RouterPressure]) -> None:
        """Record what is known of the routers that turned away callers can reach.

        Callers reach one at random, so that at least half of them must have room.
        """
        ready = [each for each in others if each.is_heard and not each.is_unready]
        with_room = sum(each.has_room for each in ready)
        self.others_have_room = bool(ready) and 2 * with_room >= len(others)

    def _is_over(self, now: float) -> bool:
        """Return whether callers should reach other routers."""
        is_turning_away = now - self._turned_away_at < TURNED_AWAY_FOR_S
        return is_turning_away or self.pressure >= UNREADY_FROM

    def refuses(
        self,
        rank: Rank,
        *,
        open_requests: int = 0,
        draw: Callable[[], float] = random,
    ) -> bool:
        """Count a request; return whether to refuse it to spare the VM.

        Parameters
        ----------
        rank : tuple of int
            Its rank; lower ones are more urgent.
        open_requests : int
            Requests that are being answered, with this one.
        draw : callable
            Returns a random number from 0 to 1, which decides among requests of one
            rank.
        """
        self._open_requests = open_requests
        counts = self._counts_by_rank
        counts[rank] = counts.get(rank, 0.0) + 1.0
        refused_share = self.refused_share
        if refused_share == 0.0:
            return False
        total = sum(counts.values())
        less_urgent = sum(count for each, count in counts.items() if each > rank)
        left = refused_share - less_urgent / total
        return draw() < left * total / counts[rank]

    def update_readiness(self, peers: Iterable[RouterPressure], now: float) -> bool:
        """Decide whether to be ready; returns whether that has changed.

        Parameters
        ----------
        peers : iterable of RouterPressure
            The other known routers of its failure domain.
        now : float
            Time in seconds.
        """
        before = self.is_unready
        over_s = 0.0 if self._over_since is None else now - self._over_since
        if before:
            wants_to_leave = self.pressure >= RELAXED_BELOW or self._is_over(now)
        else:
            wants_to_leave = self._over_since is not None and over_s >= UNREADY_AFTER_S
        self.is_unready = wants_to_leave and self._may_leave(list(peers))
        if not self.is_unready and self._over_since is None:
            self.claim = 0
        return self.is_unready != before

    def _may_leave(self, peers: list[RouterPressure]) -> bool:
        """Return whether enough routers of the failure domain stay ready."""
        places = int((len(peers) + 1) * MAX_UNREADY_SHARE)
        return sum(map(self._goes_before, peers)) < places

    def _goes_before(self, peer: RouterPressure) -> bool:
        """Return whether a peer is unready, or will be, rather than this router."""
        if not peer.is_heard or (peer.is_unready and not peer.claim):
            return True
        if peer.is_unready != self.is_unready:
            return peer.is_unready
        return peer.claim > 0 and (peer.claim, peer.name) > (self.claim, self._name)
