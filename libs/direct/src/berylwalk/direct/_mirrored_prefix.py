"""Mirrors the items under a prefix of the platform's store."""

from collections.abc import Callable
from dataclasses import dataclass

from anyio import Event, create_task_group, move_on_after, sleep

from berylwalk.direct._store_health import CALL_TIMEOUT_S, StoreHealth
from berylwalk.platform import (
    KeyValue,
    KeyValueClient,
    Unavailable,
    UnavailableReason,
    WatchEvent,
    era_of,
)
from berylwalk.reading import PrefixDelta, PrefixState

MAX_WATCH_HOLD_S = 8.0
"""Longest time that the store holds a watch call; each response is billed."""
MIN_WATCH_HOLD_S = 0.3
"""Shortest time that the store holds a watch call."""
SEND_LATENCY_S = 0.1
"""Time from a decision based on mirrored data to the arrival of the request at a
target."""
FIRST_LIST_POLL_S = 0.15
"""Interval between checks whether the first list has arrived."""
LIST_POLL_S = 0.3
"""Interval between checks whether a list is due."""
MIN_SLEEP_S = 0.01
"""Lower bound of a sleep, since a remaining time may be a rounding error."""
PEER_PROPAGATION_S = 0.6
"""Time until a router that polls a peer has the data of a store response that the peer
received."""


def peer_data_max_age_s(bound_s: float, batch_s: float = 0.0) -> float:
    """Return the age up to which the data of peers is fresh enough.

    At that age the store is called. A retry after one lost response still completes
    within the bound.

    Parameters
    ----------
    bound_s, batch_s : float
        Staleness bound and batching delay, in seconds.
    """
    return max(0.0, bound_s - batch_s - CALL_TIMEOUT_S - SEND_LATENCY_S)


def watch_hold_s(bound_s: float, batched_s: float = 0.0) -> float:
    """Return how long the store may hold a watch call, in seconds.

    A watch response may be lost unnoticed. The next call returns at once, so the age of
    the data never exceeds the sum of batching delay, hold and call timeout.

    Parameters
    ----------
    bound_s : float
        Age from which the data must not be used, in seconds.
    batched_s : float
        Delay since the previous response, in seconds.
    """
    max_hold_s = bound_s - batched_s - CALL_TIMEOUT_S - SEND_LATENCY_S
    return min(MAX_WATCH_HOLD_S, max(MIN_WATCH_HOLD_S, max_hold_s))


def max_age_s(bound_s: float, batch_s: float) -> float:
    """Return the maximum age of the data; it exceeds a bound that is too short.

    Parameters
    ----------
    bound_s, batch_s : float
        Staleness bound and batching delay, in seconds.
    """
    return batch_s + watch_hold_s(bound_s, batch_s) + CALL_TIMEOUT_S + SEND_LATENCY_S


@dataclass(frozen=True, slots=True, kw_only=True)
class MirrorRules:
    """Prefix to be mirrored, and when the store is called.

    Parameters
    ----------
    prefix : bytes
        Common prefix of the keys.
    name : str
        Name of the items in logs and metrics.
    bound_s : float or None
        Age from which the data of a watch must not be used, in seconds; None if lists
        keep it fresh.
    batch_s : float
        How long changes are batched at the store between watch calls, in seconds.
    list_interval_s : callable
        Returns the current interval between lists, in seconds; None if the watch
        suffices.
    peer_data_max_age_s : float
        Age up to which the data of peers replaces store calls, in seconds.
    is_probe : bool
        Whether its lists detect that the store has recovered from an outage.
    rarely_changes : bool
        As in `PrefixState`.
    """

    prefix: bytes
    name: str
    bound_s: float | None = None
    batch_s: float = 0.0
    list_interval_s: Callable[[], float | None]
    peer_data_max_age_s: float = 0.0
    is_probe: bool = False
    rarely_changes: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRole:
    """Whether a router shares store reads with its peers.

    Parameters
    ----------
    follows_peers : callable
        Returns whether it uses the data of peers instead of store calls.
    serves_peers : callable
        Returns whether peers use its data, which must be fresher then.
    """

    follows_peers: Callable[[], bool] = lambda: False
    serves_peers: Callable[[], bool] = lambda: False


class MirroredPrefix:
    """Lists and watches the items under a prefix.

    Parameters
    ----------
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    rules : MirrorRules
        Prefix to be mirrored, and when the store is called.
    clock : callable
        Time of the loop, in seconds.
    on_list : callable
        Called with all items, the revision of the list, and the time of its request.
    on_changes : callable
        Called with the changes from a watch or a peer, and a time at which the store
        was known to be at that state.
    on_known : callable
        Called with all items and such a time if nothing has changed.
    role : ReadRole
        Whether this router shares store reads with its peers.
    """

    def __init__(
        self,
        store: KeyValueClient,
        store_health: StoreHealth,
        rules: MirrorRules,
        *,
        clock: Callable[[], float],
        on_list: Callable[[list[KeyValue], int, float], None],
        on_changes: Callable[[list[WatchEvent], float], None],
        on_known: Callable[[list[KeyValue], float], None],
        role: ReadRole,
    ) -> None:
        self._store = store
        self._store_health = store_health
        self._rules = rules
        self._clock = clock
        self._on_list = on_list
        self._on_changes = on_changes
        self._on_known = on_known
        self._role = role
        self._state = PrefixState(rarely_changes=rules.rarely_changes)
        self._is_listed = False
        self._list_requested = Event()

    @property
    def name(self) -> str:
        """Name of the mirrored items."""
        return self._rules.name

    @property
    def items(self) -> list[KeyValue]:
        """The current items."""
        return self._state.items

    @property
    def revision(self) -> int:
        """Revision of the store up to which all changes are known."""
        return self._state.revision

    def age_s(self) -> float:
        """Return the seconds since the store was known to be at that revision."""
        return self._clock() - self._state.known_at

    @property
    def is_fresh(self) -> bool:
        """Whether data of this age from peers replaces a store call.

        Data of an earlier era of the store does not.
        """
        is_young = self.age_s() < self._rules.peer_data_max_age_s
        return self._is_listed and is_young and self._is_of_latest_era

    @property
    def _is_of_latest_era(self) -> bool:
        return era_of(self._state.revision) >= self._store.era

    def delta(self, since: int) -> PrefixDelta | None:
        """Return the changes for a peer that knows all up to a revision."""
        if not self._is_listed:
            return None
        return self._state.delta(self.name, since, self._clock())

    def apply_delta(self, delta: PrefixDelta, requested_at: float) -> bool:
        """Apply the data of a peer; return whether it was complete.

        Parameters
        ----------
        delta : PrefixDelta
            Data of the peer.
        requested_at : float
            When the peer was queried.
        """
        if self._state.is_earlier_than(delta.revision):
            return self._apply_later_era(delta, requested_at)
        if not self._is_listed:
            return False
        new_events = self._state.apply_delta(delta, requested_at)
        if new_events is None:
            self._list_requested.set()
            return False
        self._publish(new_events)
        return True

    def _apply_later_era(self, delta: PrefixDelta, requested_at: float) -> bool:
        """Apply the data of a peer that has heard of a restore of the store."""
        self._store.note_era(era_of(delta.revision))
        if not self._state.apply_whole(delta, requested_at):
            self._list_requested.set()
            return False
        self._is_listed = True
        self._on_list(self._state.items, delta.revision, self._state.known_at)
        return True

    def _publish(self, new_events: list[WatchEvent]) -> None:
        if new_events:
            self._on_changes(new_events, self._state.known_at)
        else:
            self._on_known(self._state.items, self._state.known_at)

    @property
    def _is_served_by_peers(self) -> bool:
        return self._role.follows_peers() and self.is_fresh

    async def run(self) -> None:
        """List and watch forever."""
        self._store.on_restored.add(self._request_list)
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._list)
                tasks.start_soon(self._watch)
        finally:
            self._store.on_restored.discard(self._request_list)

    def _request_list(self) -> None:
        self._list_requested.set()

    async def _list(self) -> None:
        rules = self._rules
        failures = 0
        while True:
            requested_at = self._clock()
            listing = await self._store_health.track(
                f"list-{rules.name}", self._store.list_prefix(rules.prefix)
            )
            if isinstance(listing, Unavailable):
                failures += 1
                await self._store_health.back_off(failures, is_probe=rules.is_probe)
                continue
            failures = 0
            self._list_requested = Event()
            if self._state.apply_listing(listing, known_at=requested_at):
                self._on_list(self._state.items, listing.revision, requested_at)
            self._is_listed = True
            await self._wait_until_list_due()

    async def _wait_until_list_due(self) -> None:
        """Wait until a list is due or requested."""
        listed_at = self._clock()
        while not self._list_requested.is_set() and self._is_of_latest_era:
            interval_s = self._rules.list_interval_s()
            remaining_s = LIST_POLL_S
            if interval_s is not None and not self._is_served_by_peers:
                remaining_s = min(LIST_POLL_S, listed_at + interval_s - self._clock())
            if remaining_s <= 0:
                return
            with move_on_after(remaining_s):
                await self._list_requested.wait()

    async def _watch(self) -> None:
        rules = self._rules
        failures = 0
        batched_s = 0.0
        while True:
            if not self._is_listed or not self._is_of_latest_era:
                await sleep(FIRST_LIST_POLL_S)
                continue
            held_s = self._watch_hold_s(batched_s)
            if batched_s and self._role.serves_peers():
                # The response does not tell when the changes were made, so peers would
                # count their age from the start of the call.
                held_s = 0.0
            if self._is_served_by_peers:
                await self._wait_until_peer_data_stale()
                # Changes that were made in the meantime are needed immediately.
                held_s = 0.0
            requested_at = self._clock()
            changes = await self._store_health.track(
                f"watch-{rules.name}",
                self._store.changes(rules.prefix, self._state.revision, wait_s=held_s),
                held_s=held_s,
            )
            if isinstance(changes, Unavailable):
                failures += 1
                if changes.reason is UnavailableReason.HISTORY_GONE:
                    self._is_listed = False
                    self._list_requested.set()
                if failures > 1:
                    # Retry the first failure at once; only its response may have been
                    # lost.
                    await self._store_health.back_off(failures - 1)
                continue
            failures = 0
            if changes.unreadable:
                # Which keys changed is unknown; a list shows the remaining items.
                self._list_requested.set()
            # A response without changes was held for the whole time.
            is_unchanged = not changes.events and not changes.unreadable
            known_at = requested_at + (held_s if is_unchanged else 0.0)
            new_events = self._state.apply_changes(changes, known_at=known_at)
            self._publish(new_events)
            batched_s = rules.batch_s if new_events else 0.0
            if batched_s:
                await sleep(batched_s)

    def _watch_hold_s(self, batched_s: float) -> float:
        rules = self._rules
        if rules.bound_s is None:
            return MAX_WATCH_HOLD_S
        bound_s = rules.bound_s
        if self._role.serves_peers():
            bound_s -= PEER_PROPAGATION_S
        return watch_hold_s(bound_s, batched_s)

    async def _wait_until_peer_data_stale(self) -> None:
        while self._is_served_by_peers:
            remaining_s = self._rules.peer_data_max_age_s - self.age_s()
            await sleep(min(LIST_POLL_S, max(MIN_SLEEP_S, remaining_s)))
