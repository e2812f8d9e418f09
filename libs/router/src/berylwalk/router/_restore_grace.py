"""The time after a restore of the store in which routers write lost records again.

Load that it answers: repeats of requests with idempotency keys, at a router that starts
just after the store was restored from a copy. It has seen no restore, and the records
of running requests may not be written again yet.
"""

from collections.abc import Callable

from anyio import Lock

from berylwalk.platform import KeyValue, KeyValueStore, Swapped, Unavailable

RESTORE_GRACE_S = 3.0
"""Time for which claims are refused after the store was restored from a copy. Each
router notices the restore and writes its records again within this time."""

SETTLED_ERA_KEY = b"/berylwalk/idempotency-settled-era"
"""Key of the last era of the store whose grace time has passed, as a decimal number. A
copy has the number of an earlier era."""

FIRST_ERA = 0
"""Era of a store that was never restored."""

MAX_DIGITS = 18
"""Maximum length of a plausible era."""


class RestoreGrace:
    """Knows whether the store may lack records that other routers know.

    Parameters
    ----------
    store : KeyValueStore
        Stores the records, and the last settled era.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, store: KeyValueStore, *, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._began_at = float("-inf")
        self._settled_era: int | None = None
        self._failed_at = float("-inf")
        self._lock = Lock()

    @property
    def is_active(self) -> bool:
        """Whether claims have to be refused."""
        return self._clock() < self._began_at + RESTORE_GRACE_S

    @property
    def is_settled(self) -> bool:
        """Whether the grace time of the store's era is known to have passed."""
        return self._settled_era is not None and self._settled_era >= self._store.era

    def begin(self) -> None:
        """Begin the grace time, or begin it again."""
        self._began_at = self._clock()
        if self._settled_era is None:
            self._settled_era = FIRST_ERA

    async def check_start(self) -> bool:
        """Learn from the store whether it was restored shortly before this start.

        Returns
        -------
        bool
            False if the store does not respond; to be repeated then.
        """
        if self._settled_era is not None:
            return True
        called_at = self._clock()
        async with self._lock:
            # Callers that queued for the lock behind a failed read share its result.
            if self._settled_era is None and self._failed_at < called_at:
                await self._read_settled_era()
        return self._settled_era is not None

    async def settle(self) -> None:
        """Tell routers that start later when the grace time has passed."""
        if self._settled_era is None or self.is_active or self.is_settled:
            return
        era = self._store.era
        current = await self._store.get(SETTLED_ERA_KEY)
        if isinstance(current, Unavailable):
            return
        if _era_in(current) < era:
            revision = 0 if current is None else current.mod_revision
            result = await self._store.compare_and_swap(
                SETTLED_ERA_KEY, str(era).encode(), revision
            )
            if not isinstance(result, Swapped):
                return
        if self._store.era == era:
            self._settled_era = era

    async def _read_settled_era(self) -> None:
        current = await self._store.get(SETTLED_ERA_KEY)
        if isinstance(current, Unavailable):
            self._failed_at = self._clock()
        elif self._settled_era is None:
            self._settled_era = _era_in(current)
            if not self.is_settled:
                self.begin()


def _era_in(current: KeyValue | None) -> int:
    """Return the settled era in the store; the first one if there is none."""
    if current is None or len(current.value) > MAX_DIGITS:
        return FIRST_ERA
    return int(current.value) if current.value.isdigit() else FIRST_ERA
