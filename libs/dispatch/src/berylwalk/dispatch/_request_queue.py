"""Queue of requests that wait for a target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from sortedcontainers import SortedKeyList

from berylwalk.dispatch._target import Target
from berylwalk.dispatch._target_entries import Work

SIZE_WEIGHT = 0.1
"""Delay in queue order per second of expected slot time: short requests go first, and
the bounded delay keeps long ones from starving."""
MAX_SLOT_S = 3.0
TYPICAL_PROMPT_TOKEN_S = 0.00002
TYPICAL_OUTPUT_TOKEN_S = 0.0035
"""Typical engine times per token in seconds, used for queue order only."""


@dataclass(slots=True, kw_only=True, eq=False)
class PendingRequest:
    """Request to be assigned to a target.

    Parameters
    ----------
    service : str
        Service that receives the request.
    rank : tuple of int
        Priority as given by `Allowed.rank`; the lowest goes first.
    work : Work
        Size of the request.
    deadline : float
        Time by which the response must be complete, in seconds.
    start_by : float
        Time by which the response should start, in seconds.
    longest_pause_s : float
        Longest allowed pause between stream events, in seconds; 0 for no bound.
    on_placed : callable
        Called with the target when a queued request is assigned. Not called if
        `submit` returns a target.
    excluded : set of str
        Incarnation ids of targets that must not be chosen.
    isolation_key : bytes
        Identity of a request that may crash its target and is kept apart from others
        of its kind; empty for all other requests.
    arrived_at : float
        Arrival time in seconds.
    version_draw : float
        Random number in [0, 1) that selects the version of the service.
    stream_version : str or None
        Version that began the stream and has to continue it; None if any may begin it.
    is_resumable : bool
        Whether its caller may take the response up at another target.
    account : str or None
        Name of the client account; None if the route needs no key.
    send_by : float
        Time after which its response is not expected to start in time, in seconds.
    is_begun : bool
        Whether the caller has got a part of the response from this router. It had a
        place until its target failed, so it goes before others of its rank.
    """

    service: str
    rank: tuple[int, int]
    work: Work
    on_placed: Callable[[Target], None]
    deadline: float = float("inf")
    start_by: float = float("inf")
    longest_pause_s: float = 0.0
    excluded: set[str] = field(default_factory=set)
    isolation_key: bytes = b""
    arrived_at: float = 0.0
    version_draw: float = 0.0
    stream_version: str | None = None
    is_resumable: bool = False
    account: str | None = None
    send_by: float = float("inf")
    is_begun: bool = False
    number: int = 0


def _sort_key(pending: PendingRequest) -> tuple[tuple[int, int], float, int]:
    penalty_s = SIZE_WEIGHT * min(_slot_s(pending.work), MAX_SLOT_S)
    return pending.rank, pending.arrived_at + penalty_s, pending.number


def _slot_s(work: Work) -> float:
    """Return the approximate slot time of a request; only for comparison."""
    prompt_s = work.prompt_tokens * TYPICAL_PROMPT_TOKEN_S
    return prompt_s + work.output_tokens * TYPICAL_OUTPUT_TOKEN_S


def _precedence(
    pending: PendingRequest, now: float, usage_of: Callable[[str | None], float]
) -> tuple[bool, tuple[int, int], bool, float]:
    return (
        now > pending.send_by,
        pending.rank,
        not pending.is_begun,
        usage_of(pending.account),
    )


def no_usage(account: str | None) -> float:
    """Return the same usage for all accounts."""
    return 0.0


class RequestQueue:
    """Pending requests of one service; `in_order` gives the order of their sends."""

    def __init__(self) -> None:
        self._requests = SortedKeyList(key=_sort_key)
        self._numbers = count(1)

    def __len__(self) -> int:
        return len(self._requests)

    def in_order(
        self, now: float, usage_of: Callable[[str | None], float] = no_usage
    ) -> list[PendingRequest]:
        """Return the requests in the order in which they get targets.

        Requests that can still start in time go before those that can't, then the
        highest rank, then responses that have begun, then the account that has used
        least of the service.

        Parameters
        ----------
        now : float
            Current time in seconds.
        usage_of : callable
            Returns how much of the service an account has used lately.
        """
        return sorted(
            self._requests,
            key=lambda each: (_precedence(each, now, usage_of), _sort_key(each)),
        )

    def add(self, pending: PendingRequest) -> None:
        """Add a request."""
        pending.number = next(self._numbers)
        self._requests.add(pending)

    def remove(self, pending: PendingRequest) -> bool:
        """Remove a request; returns False if it is not queued."""
        try:
            self._requests.remove(pending)
        except ValueError:
            return False
        return True

    def has_before(
        self,
        pending: PendingRequest,
        now: float,
        usage_of: Callable[[str | None], float] = no_usage,
    ) -> bool:
        """Return whether a queued request goes before one that has just arrived."""
        precedence = _precedence(pending, now, usage_of)
        return any(
            _precedence(each, now, usage_of) <= precedence for each in self._requests
        )
