"""Asks the other routers at which versions they may have begun streams.

Load that it answers: the store is away from all routers, and callers take up streams at
routers that have not seen them begin. A router that is cut off, alone or with others,
finds the same store and must not guess: versions may have joined that it does not know.
What tells the two apart is whether every router that it knows answers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import getrandbits

from anyio import Event, move_on_after, sleep
from msgspec import msgpack

from berylwalk.direct._context import RouterContext
from berylwalk.direct._peer_messages import VersionsQuery, VersionsReply
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import Peer

ANSWER_TIMEOUT_S = 0.3
"""How long a caller waits for the answers of all routers, in seconds."""
RESEND_S = 0.1
"""Time after which a query is sent again to those that have not answered."""
MIN_ROUND_INTERVAL_S = 0.05
"""Least time between two rounds of queries, in seconds: callers that come back one
after the other share them."""
MAX_ROUND_INTERVAL_S = 0.25
"""The same in large fleets: a caller has a round within its time."""
QUERY_INTERVAL_S = 0.001
"""Mean time between two queries of this router in between, in seconds."""
NUMBER_BITS = 48
"""Size of the random first number: a process gets no reply to its predecessor."""

Send = Callable[[bytes, Iterable[Peer]], None]


@dataclass(eq=False, slots=True)
class _Round:
    """Queries of one service to all known routers.

    Attributes
    ----------
    version : str
        The only version that this router knows.
    unanswered : set of str
        Names of the routers that have not answered.
    asked_at : float
        When the queries were sent, in seconds.
    is_refuted : bool
        Whether one has answered that it reaches the store, or knows another version.
    done : Event
        Set when the result is known, or nobody waits for it any more.
    """

    version: str
    unanswered: set[str]
    asked_at: float = float("-inf")
    is_refuted: bool = False
    done: Event = field(default_factory=Event)

    @property
    def has_result(self) -> bool:
        """Whether it is known if all routers agree."""
        return self.is_refuted or not self.unanswered

    @property
    def agreed_version(self) -> str | None:
        """The version on which all routers agree, or None."""
        return None if self.is_refuted or self.unanswered else self.version


def round_interval_s(peers: int) -> float:
    """Return the time between two rounds of queries to a number of routers."""
    interval_s = max(MIN_ROUND_INTERVAL_S, peers * QUERY_INTERVAL_S)
    return min(interval_s, MAX_ROUND_INTERVAL_S)


class AgreedVersions:
    """Finds the version of a service on which all known routers agree.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store_health : StoreHealth
        Tells whether the store answers this router.
    send : callable
        Sends a message to peers.
    """

    def __init__(
        self, context: RouterContext, store_health: StoreHealth, send: Send
    ) -> None:
        self._context = context
        self._store_health = store_health
        self._send = send
        self._numbers = count(getrandbits(NUMBER_BITS))
        self._round_by_service: dict[str, _Round] = {}
        self._round_by_number: dict[int, _Round] = {}
        self._next_round_at = float("-inf")

    async def find(self, service: str) -> str | None:
        """Return the only version at which any known router may have begun streams.

        None while the store answers this router or another; if a router that this one
        knows is silent; and if it knows no other, which it can't tell from being cut
        off. Answers count from their query, so that nothing is old that has waited in
        a socket. Callers share a round that begins after they came.

        Parameters
        ----------
        service : str
            The service.
        """
        begun_at = self._context.clock()
        with move_on_after(ANSWER_TIMEOUT_S):
            while under_way := self._round_by_service.get(service):
                # It ends without a result if its caller leaves.
                await under_way.done.wait()
                if under_way.asked_at >= begun_at and under_way.has_result:
                    return under_way.agreed_version
            return await self._ask(service)
        return None

    def handle_query(self, query: VersionsQuery) -> None:
        """Answer the query of another router."""
        reply = VersionsReply(
            self._context.settings.name,
            query.number,
            self._is_store_away,
            self._own_versions(query.service),
        )
        requester = Peer(query.sender, query.host, query.port, "")
        self._send(msgpack.encode(reply), [requester])

    def handle_reply(self, reply: VersionsReply) -> None:
        """Apply the answer of another router; a late one is dropped."""
        asked = self._round_by_number.get(reply.number)
        if asked is None:
            return
        asked.unanswered.discard(reply.sender)
        is_agreed = reply.is_store_away and reply.versions == [asked.version]
        asked.is_refuted |= not is_agreed
        if asked.has_result:
            asked.done.set()

    @property
    def _is_store_away(self) -> bool:
        return self._store_health.unreachable_since is not None

    def _own_versions(self, service: str) -> list[str] | None:
        """Return at which versions this router may have begun streams, or None.

        Listed versions count: streams begin at them if no other takes requests.
        """
        versions = self._context.targets.versions
        stored = versions.stored(service)
        return None if stored is None else sorted(stored | versions.missing(service))

    async def _ask(self, service: str) -> str | None:
        """Ask all known routers once; cancel it after some time."""
        peers = self._peers_to_ask()
        version = self._context.targets.versions.only_version(service)
        if not peers or self._own_versions(service) != [version]:
            return None
        asked = _Round(version, {peer.name for peer in peers})
        number = next(self._numbers)
        self._round_by_service[service] = self._round_by_number[number] = asked
        try:
            await sleep(max(0.0, self._next_round_at - self._context.clock()))
            asked.asked_at = self._context.clock()
            self._next_round_at = asked.asked_at + round_interval_s(len(peers))
            await self._send_until_done(service, number, peers)
        finally:
            del self._round_by_service[service], self._round_by_number[number]
            asked.done.set()
        return asked.agreed_version

    def _peers_to_ask(self) -> list[Peer]:
        """Return all known routers; none if one is silent, or the store answers."""
        peers, now = self._context.peers, self._context.clock()
        is_silent = peers.alive_count(now) < peers.known_count()
        if is_silent or not self._is_store_away:
            return []
        return list(peers.by_name.values())

    async def _send_until_done(
        self, service: str, number: int, peers: list[Peer]
    ) -> None:
        settings = self._context.settings
        query = VersionsQuery(
            settings.name,
            settings.caller_address.host,
            settings.peer_port,
            number,
            service,
        )
        asked = self._round_by_number[number]
        while not asked.done.is_set():
            self._send(
                msgpack.encode(query),
                [peer for peer in peers if peer.name in asked.unanswered],
            )
            with move_on_after(RESEND_S):
                await asked.done.wait()
