"""Mirrors the items under a prefix of the platform's store."""

from collections.abc import Callable
from dataclasses import dataclass

from anyio import Event, create_task_group, move_on_after, sleep

from berylwalk.direct._ordered_items import OrderedItems
from berylwalk.direct._store_reach import CALL_TIMEOUT_S, StoreReach
from berylwalk.platform import (
    KeyValue,
    KeyValueClient,
    Unavailable,
    UnavailableReason,
    WatchEvent,
)

LONGEST_HOLD_S = 8.0
"""Longest time that the store holds a watch back: each answer is paid for."""
SHORTEST_HOLD_S = 0.3
"""The same of the shortest: a router makes three such calls a second at most."""
SENDING_S = 0.1
"""Time from the look at what is known to the arrival at a target of what was sent
by it."""
UNLISTED_S = 0.15
"""Time between looks for a first list."""
LOOK_S = 0.3
"""Time between looks whether a list is due."""


def hold_s(bound_s: float, gathered_s: float = 0.0) -> float:
    """Return for how long a watch may be held back.

    The answer of any watch may be lost without a sign. The next one is answered at
    once, so that what is known is never older than the gathering before it, the hold
    and the bound of a call together.

    Parameters
    ----------
    bound_s : float
        Time after which what is known must not be used, in seconds.
    gathered_s : float
        Time since the answer before, in seconds.
    """
    longest_s = bound_s - gathered_s - CALL_TIMEOUT_S - SENDING_S
    return min(LONGEST_HOLD_S, max(SHORTEST_HOLD_S, longest_s))


def oldest_s(bound_s: float, gather_s: float) -> float:
    """Return how old what is known may be, in seconds; over the bound if it is short.

    Parameters
    ----------
    bound_s, gather_s : float
        As in `hold_s`.
    """
    return gather_s + hold_s(bound_s, gather_s) + CALL_TIMEOUT_S + SENDING_S


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
    gather_s : float
        Time for which changes gather at the store before they are asked for again.
    list_gap_s : callable
        Returns the time between two lists now, in seconds; None if a watch is enough.
    is_probe : bool
        Whether its lists find out when the store is back after an outage.
    """

    prefix: bytes
    name: str
    bound_s: float | None = None
    gather_s: float = 0.0
    list_gap_s: Callable[[], float | None]
    is_probe: bool = False


class MirroredPrefix:
    """Lists and watches the items under a prefix.

    Parameters
    ----------
    store : KeyValueClient
        The platform's store.
    reach : StoreReach
        Notes how calls end.
    rules : MirrorRules
        What is mirrored, and how often the store is asked.
    clock : callable
        Time of the loop, in seconds.
    on_list : callable
        Called with all items, the revision of the list, and when it was asked for.
    on_changes : callable
        Called with what a watch told that is news, maybe nothing.
    """

    def __init__(
        self,
        store: KeyValueClient,
        reach: StoreReach,
        rules: MirrorRules,
        *,
        clock: Callable[[], float],
        on_list: Callable[[list[KeyValue], int, float], None],
        on_changes: Callable[[list[WatchEvent]], None],
    ) -> None:
        self._store = store
        self._reach = reach
        self._rules = rules
        self._clock = clock
        self._on_list = on_list
        self._on_changes = on_changes
        self._ordered = OrderedItems()
        self._is_listed = False
        self._wanted = Event()

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
            listing = await self._reach.ask(
                f"list-{rules.name}", self._store.list_prefix(rules.prefix)
            )
            if isinstance(listing, Unavailable):
                failures += 1
                await self._reach.pause(failures, is_probe=rules.is_probe)
                continue
            failures = 0
            self._wanted = Event()
            if self._ordered.take_list(listing):
                self._on_list(self._ordered.items, listing.revision, asked_at)
            self._is_listed = True
            await self._until_due()

    async def _until_due(self) -> None:
        """Wait until a list is due or wanted."""
        listed_at = self._clock()
        while not self._wanted.is_set():
            gap_s = self._rules.list_gap_s()
            left_s = LOOK_S
            if gap_s is not None:
                left_s = min(LOOK_S, listed_at + gap_s - self._clock())
            if left_s <= 0:
                return
            with move_on_after(left_s):
                await self._wanted.wait()

    async def _watch(self) -> None:
        rules = self._rules
        failures = 0
        gathered_s = 0.0
        while True:
            if not self._is_listed:
                await sleep(UNLISTED_S)
                continue
            held_s = LONGEST_HOLD_S
            if rules.bound_s is not None:
                held_s = hold_s(rules.bound_s, gathered_s)
            changes = await self._reach.ask(
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
                    self._wanted.set()
                if failures > 1:
                    # The first is asked again at once: its answer may be lost alone.
                    await self._reach.pause(failures - 1)
                continue
            failures = 0
            if changes.unreadable:
                # Which keys changed can't be told: a list shows what is left.
                self._wanted.set()
            news = self._ordered.take_changes(changes)
            self._on_changes(news)
            gathered_s = rules.gather_s if news else 0.0
            if gathered_s:
                await sleep(gathered_s)
