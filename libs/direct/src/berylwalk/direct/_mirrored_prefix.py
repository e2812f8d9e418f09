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
)
from berylwalk.reading import PrefixDelta, PrefixState

MAX_WATCH_HOLD_S = 8.0
"""Longest time that the store holds a watch back: each answer is paid for."""
MIN_WATCH_HOLD_S = 0.3
"""The same of the shortest: a router makes three such calls a second at most."""
SEND_LATENCY_S = 0.1
"""Time from the look at what is known to the arrival at a target of what was sent
by it."""
FIRST_LIST_POLL_S = 0.15
"""Time between looks for a first list."""
LIST_POLL_S = 0.3
"""Time between looks whether a list is due."""
MIN_SLEEP_S = 0.01
"""Bound from below of a sleep until something is due: what is left may be a rounding
error of the clock."""
PEER_PROPAGATION_S = 0.6
"""Time from an answer of the store to the moment at which a router that asks another
one each 0.4 s knows of it; it may lie behind the other one's next question."""


def peer_data_max_age_s(bound_s: float, batch_s: float = 0.0) -> float:
    """Return the age up to which the word of other routers is enough.

    From then on the store is asked. If the first answer is lost, the second one still
    comes within the bound.

    Parameters
    ----------
    bound_s, batch_s : float
        As in `watch_hold_s`.
    """
    return max(0.0, bound_s - batch_s - CALL_TIMEOUT_S - SEND_LATENCY_S)


def watch_hold_s(bound_s: float, batched_s: float = 0.0) -> float:
    """Return for how long a watch may be held back.

    The answer of any watch may be lost without a sign. The next one is answered at
    once, so that what is known is never older than the gathering before it, the hold
    and the bound of a call together.

    Parameters
    ----------
    bound_s : float
        Time after which what is known must not be used, in seconds.
    batched_s : float
        Time since the answer before, in seconds.
    """
    max_hold_s = bound_s - batched_s - CALL_TIMEOUT_S - SEND_LATENCY_S
    return min(MAX_WATCH_HOLD_S, max(MIN_WATCH_HOLD_S, max_hold_s))


def max_age_s(bound_s: float, batch_s: float) -> float:
    """Return how old what is known may be, in seconds; over the bound if it is short.

    Parameters
    ----------
    bound_s, batch_s : float
        As in `watch_hold_s`.
    """
    return batch_s + watch_hold_s(bound_s, batch_s) + CALL_TIMEOUT_S + SEND_LATENCY_S


@dataclass(frozen=True, slots=True, kw_only=True)
class MirrorRules:
    """What is mirrored, and how often the store is asked.

    Parameters
    ----------
    prefix : bytes
        Start of the keys.
    name : str
        What they are, as logs and metrics name the calls.
    bound_s : float or None
        Time after which what a watch has told must not be used, in seconds; None if
        lists keep it fresh.
    batch_s : float
        Time for which changes gather at the store before they are asked for again.
    list_gap_s : callable
        Returns the time between two lists now, in seconds; None if a watch is enough.
    peer_data_max_age_s : float
        Age up to which the word of other routers is enough, in seconds: a call of the
        store whose answer is lost then still fits into the bound.
    is_probe : bool
        Whether its lists find out when the store is back after an outage.
    rarely_changes : bool
        As in `PrefixState`.
    """

    prefix: bytes
    name: str
    bound_s: float | None = None
    batch_s: float = 0.0
    list_gap_s: Callable[[], float | None]
    peer_data_max_age_s: float = 0.0
    is_probe: bool = False
    rarely_changes: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRole:
    """Whether a router reads the store for itself only.

    Parameters
    ----------
    follows_peers : callable
        Returns whether it takes the word of others in place of own calls.
    serves_peers : callable
        Returns whether others take its word: what it knows has to be fresher then.
    """

    follows_peers: Callable[[], bool] = lambda: False
    serves_peers: Callable[[], bool] = lambda: False


class MirroredPrefix:
    """Lists and watches the items under a prefix.

    Parameters
    ----------
    store : KeyValueClient
        The platform's store.
    store_health : StoreReach
        Notes how calls end.
    rules : MirrorRules
        What is mirrored, and how often the store is asked.
    clock : callable
        Time of the loop, in seconds.
    on_list : callable
        Called with all items, the revision of the list, and when it was asked for.
    on_changes : callable
        Called with news of a watch or of another router, and when the store was
        surely at that state.
    on_known : callable
        Called likewise with that moment when there is no news.
    role : ReadingRole
        Whether this router reads the store for itself only.
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
        self._ordered = PrefixState(rarely_changes=rules.rarely_changes)
        self._is_listed = False
        self._list_requested = Event()

    @property
    def name(self) -> str:
        """What is mirrored."""
        return self._rules.name

    @property
    def items(self) -> list[KeyValue]:
        """The items that are there."""
        return self._ordered.items

    @property
    def revision(self) -> int:
        """Up to which revision of the store all changes are known."""
        return self._ordered.revision

    def age_s(self) -> float:
        """Return the time since the store was known to be at that revision."""
        return self._clock() - self._ordered.known_at

    @property
    def is_fresh(self) -> bool:
        """Whether the word of others would be enough in place of a call."""
        return self._is_listed and self.age_s() < self._rules.peer_data_max_age_s

    def word(self, since: int) -> PrefixDelta | None:
        """Return what is known, for a router that knows all up to a revision."""
        if not self._is_listed:
            return None
        return self._ordered.delta(self.name, since, self._clock())

    def take_word(self, word: PrefixDelta, asked_at: float) -> bool:
        """Take what another router knows; returns whether that is all that it knows.

        Parameters
        ----------
        word : PrefixDelta
            What it told.
        asked_at : float
            When it was asked.
        """
        if not self._is_listed:
            return False
        news = self._ordered.apply_delta(word, asked_at)
        if news is None:
            self._list_requested.set()
            return False
        self._publish(news)
        return True

    def _publish(self, news: list[WatchEvent]) -> None:
        if news:
            self._on_changes(news, self._ordered.known_at)
        else:
            self._on_known(self._ordered.items, self._ordered.known_at)

    @property
    def _is_served_by_peers(self) -> bool:
        return self._role.follows_peers() and self.is_fresh

    async def run(self) -> None:
        """List and watch for ever."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._list)
            tasks.start_soon(self._watch)

    async def _list(self) -> None:
        rules = self._rules
        failures = 0
        while True:
            asked_at = self._clock()
            listing = await self._store_health.track(
                f"list-{rules.name}", self._store.list_prefix(rules.prefix)
            )
            if isinstance(listing, Unavailable):
                failures += 1
                await self._store_health.back_off(failures, is_probe=rules.is_probe)
                continue
            failures = 0
            self._list_requested = Event()
            if self._ordered.apply_listing(listing, known_at=asked_at):
                self._on_list(self._ordered.items, listing.revision, asked_at)
            self._is_listed = True
            await self._wait_until_list_due()

    async def _wait_until_list_due(self) -> None:
        """Wait until a list is due or wanted."""
        listed_at = self._clock()
        while not self._list_requested.is_set():
            gap_s = self._rules.list_gap_s()
            left_s = LIST_POLL_S
            if gap_s is not None and not self._is_served_by_peers:
                left_s = min(LIST_POLL_S, listed_at + gap_s - self._clock())
            if left_s <= 0:
                return
            with move_on_after(left_s):
                await self._list_requested.wait()

    async def _watch(self) -> None:
        rules = self._rules
        failures = 0
        batched_s = 0.0
        while True:
            if not self._is_listed:
                await sleep(FIRST_LIST_POLL_S)
                continue
            held_s = self._watch_hold_s(batched_s)
            if batched_s and self._role.serves_peers():
                # When the changes came can't be told from their answer, so that others
                # would take it for as old as its call.
                held_s = 0.0
            if self._is_served_by_peers:
                await self._wait_until_peer_data_stale()
                # What changed meanwhile has to be known at once.
                held_s = 0.0
            asked_at = self._clock()
            changes = await self._store_health.track(
                f"watch-{rules.name}",
                self._store.changes(
                    rules.prefix, self._ordered.revision, wait_s=held_s
                ),
                held_s=held_s,
            )
            if isinstance(changes, Unavailable):
                failures += 1
                if changes.reason is UnavailableReason.HISTORY_GONE:
                    self._is_listed = False
                    self._list_requested.set()
                if failures > 1:
                    # The first is asked again at once: its answer may be lost alone.
                    await self._store_health.back_off(failures - 1)
                continue
            failures = 0
            if changes.unreadable:
                # Which keys changed can't be told: a list shows what is left.
                self._list_requested.set()
            # An answer without changes was held back for the whole time.
            is_unchanged = not changes.events and not changes.unreadable
            known_at = asked_at + (held_s if is_unchanged else 0.0)
            news = self._ordered.apply_changes(changes, known_at=known_at)
            self._publish(news)
            batched_s = rules.batch_s if news else 0.0
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
            left_s = self._rules.peer_data_max_age_s - self.age_s()
            await sleep(min(LIST_POLL_S, max(MIN_SLEEP_S, left_s)))
