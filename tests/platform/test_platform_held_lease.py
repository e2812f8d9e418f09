"""Locks under pauses, with the time passed in."""

import pytest

from berylwalk.platform import LeasedLock, OutcomeUnknown, Swapped, resolve_swap
from berylwalk.standins.memory import InMemoryKeyValue

KEY = b"orders/target-1"
TTL_S = 10.0
MARGIN_S = 0.5


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        """Return the time."""
        return self.now


class SlowGrant(InMemoryKeyValue):
    """A store whose answer to a grant takes three seconds."""

    def __init__(self, clock):
        super().__init__(clock=clock)
        self._test_clock = clock

    async def grant_lease(self, ttl_s):
        """Grant a lease at the end of the three seconds."""
        self._test_clock.now += 3.0
        return await super().grant_lease(ttl_s)


async def acquire(store, clock, owner="a"):
    """Take the lock."""
    return await LeasedLock.acquire(
        store, KEY, owner=owner, ttl_s=TTL_S, margin_s=MARGIN_S, clock=clock
    )


@pytest.mark.anyio
class TestHeldLease:
    """What a holder knows of its lock."""

    async def test_time_counts_from_before_the_grant_was_sent(self):
        """A slow answer shortens the time left."""
        clock = Clock()
        lease = await acquire(SlowGrant(clock), clock)
        assert lease.remaining_s(clock.now) == TTL_S - 3.0 - MARGIN_S

    async def test_paused_holder_sees_that_it_lapsed(self):
        """After a pause nothing is left, and a successor has a higher number."""
        clock = Clock()
        store = InMemoryKeyValue(clock=clock)
        paused = await acquire(store, clock)
        clock.now += TTL_S
        successor = await acquire(store, clock, owner="b")
        assert paused.remaining_s(clock.now) == 0.0
        assert successor.fencing > paused.fencing
        assert not await paused.renew()
        assert paused.remaining_s(clock.now) == 0.0

    async def test_renewal_without_an_answer_extends_nothing(self):
        """The time left falls on while the service is down."""
        clock = Clock()
        store = InMemoryKeyValue(clock=clock)
        lease = await acquire(store, clock)
        clock.now += 4.0
        store.down = True
        assert not await lease.renew()
        assert lease.remaining_s(clock.now) == TTL_S - 4.0 - MARGIN_S
        store.down = False
        assert await lease.renew()
        assert lease.remaining_s(clock.now) == TTL_S - MARGIN_S


@pytest.mark.anyio
class TestResolveSwap:
    """Settling a lost write in an outage."""

    async def test_write_stays_lost_while_nobody_answers(self):
        """Without an answer it is neither claimed nor denied."""
        store = InMemoryKeyValue()
        pauses = []

        async def pause(seconds):
            pauses.append(seconds)

        store.lose_answers = 1
        first = await store.compare_and_swap(KEY, b"ours", 0)
        store.down = True
        settle = {"is_own_write": lambda kv: kv.value == b"ours", "pause": pause}
        during = await resolve_swap(store, KEY, b"ours", 0, attempts=3, **settle)
        store.down = False
        after = await resolve_swap(store, KEY, b"ours", 0, **settle)
        assert isinstance(first, OutcomeUnknown)
        assert isinstance(during, OutcomeUnknown)
        assert len(pauses) == 3
        assert isinstance(after, Swapped)
