"""Idempotency records under lost responses, races and outages."""

from dataclasses import replace

import anyio
import pytest

from berylwalk.model import (
    RefusalReason,
    Request,
    RequestId,
    ServicePolicy,
    TargetCall,
    TierPolicy,
    WorkEstimate,
)
from berylwalk.router._claim_results import Claimed, ClaimRefused
from berylwalk.router._idempotency import IdempotencyRecords
from berylwalk.router._known_records import (
    KEEP_S,
    MAX_KNOWN_BYTES,
    KnownRecords,
)
from berylwalk.router._record_leases import RecordLeases
from berylwalk.router._records import RecordState, decode_record, record_key
from berylwalk.router._restore_grace import RESTORE_GRACE_S, SETTLED_ERA_KEY
from berylwalk.router._stored_responses import StoredResponse
from berylwalk.standins.memory import InMemoryKeyValue

pytestmark = pytest.mark.anyio

LIFETIME_S = 2400.0
ROTATION_S = LIFETIME_S / 24
RESPONSE = StoredResponse(200, ((b"content-type", b"text/plain"),), b"done", "agent-1")


class Clock:
    """A clock that is advanced by hand."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def store(clock: Clock) -> InMemoryKeyValue:
    return InMemoryKeyValue(clock=clock)


async def no_pause(_: float) -> None:
    """Yield to other tasks without a delay."""
    await anyio.sleep(0)


def records_of(store: InMemoryKeyValue, clock: Clock) -> IdempotencyRecords:
    """Build the records of one router."""
    leases = RecordLeases(store, lifetime_s=LIFETIME_S, clock=clock)
    return IdempotencyRecords(store, leases, clock=clock, pause=no_pause)


def make_request(router: str, *, deadline_at: float = 1060.0) -> Request:
    """Build a request with the key ``"k"``."""
    return Request(
        request_id=RequestId(router, 1, 1),
        service_policy=ServicePolicy("/box", "", TierPolicy("counter", 0)),
        call=TargetCall("POST", "/pull", "service:boxes", body=b"{}"),
        estimate=WorkEstimate(),
        arrived_at=1000.0,
        deadline_at=deadline_at,
        idempotent=False,
        idempotency_key="k",
    )


async def stored_record(store: InMemoryKeyValue):
    """Return the record of the key ``"k"``, or None."""
    current = await store.get(record_key(make_request("any")))
    return None if current is None else decode_record(current.value)


async def flushed(records: IdempotencyRecords) -> None:
    """Run the writer until nothing is pending."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(records.run_writer)
        with anyio.fail_after(10):
            await records.flush()
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


class TestClaims:
    async def test_lost_response_of_a_write_that_took_effect(self, store, clock):
        """The record is read back and recognized as this request's own."""
        store.lose_answers = 1
        request = make_request("r1")
        assert await records_of(store, clock).claim(request) == Claimed()
        assert (await stored_record(store)).request_id == str(request.request_id)

    async def test_lost_write(self, store, clock):
        """A write that was lost is retried."""
        store.lose_writes = 2
        assert await records_of(store, clock).claim(make_request("r1")) == Claimed()
        assert await stored_record(store) is not None

    async def test_two_routers_at_once(self, store, clock):
        """Only one of two concurrent claims of a key succeeds."""
        results = []

        async def claim(router: str) -> None:
            records = records_of(store, clock)
            results.append(await records.claim(make_request(router)))

        store.lose_answers = 2
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(claim, "r1")
            tasks.start_soon(claim, "r2")
        refused = [each for each in results if isinstance(each, ClaimRefused)]
        assert len(refused) == 1
        assert refused[0].refusal.reason is RefusalReason.KEY_IN_USE

    async def test_outage(self, store, clock):
        """Without the service, a claim is refused with a retry-after time."""
        store.down = True
        result = await records_of(store, clock).claim(make_request("r1"))
        assert result.refusal.reason is RefusalReason.PLATFORM_DOWN
        assert result.refusal.retry_after_ms > 0

    async def test_outage_costs_few_calls(self, store, clock):
        """Concurrent claims, and those right after, share one failed attempt."""
        store.down = True
        records = records_of(store, clock)
        async with anyio.create_task_group() as tasks:
            for router in ("r1", "r2", "r3"):
                tasks.start_soon(records.claim, make_request(router))
        await records.claim(make_request("r4"))
        assert store.calls == 1
        store.down = False
        clock.now += 1.0
        assert await records.claim(make_request("r5")) == Claimed()

    async def test_expired_lease_is_replaced(self, store, clock):
        """A revoked lease does not fail later claims."""
        records = records_of(store, clock)
        await records.claim(make_request("r1"))
        await store.revoke(await records._leases.lease_for(1.0))
        assert await records.claim(make_request("r2")) == Claimed()


class TestClaimsWithUnknownOutcome:
    async def test_record_that_appears_late_is_deleted(self, store, clock):
        """An outage after a lost response does not block the key for its lifetime."""
        records = records_of(store, clock)
        request = make_request("r1")
        await records._leases.lease_for(1.0)
        store.lose_answers = 1
        swap = store.compare_and_swap

        async def swap_then_fail(*args, **options):
            result = await swap(*args, **options)
            store.down = True
            return result

        store.compare_and_swap = swap_then_fail
        result = await records.claim(request)
        assert result.refusal.reason is RefusalReason.PLATFORM_DOWN
        assert result.is_outcome_unknown
        store.down = False
        assert await stored_record(store) is not None
        await records.delete_late_record(request)
        await flushed(records)
        assert await stored_record(store) is None


class TestReleases:
    async def test_outage_delays_the_release(self, store, clock):
        """The key of a request that did not run is released after the outage."""
        records = records_of(store, clock)
        request = make_request("r1")
        await records.claim(request)
        store.down = True
        records.release(request)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(records.run_writer)
            await anyio.sleep(0.02)
            store.down = False
            with anyio.fail_after(10):
                while await stored_record(store) is not None:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        claimed = await records_of(store, clock).claim(make_request("r2"))
        assert claimed == Claimed()

    async def test_record_of_another_is_left_alone(self, store, clock):
        """A late release does not release the next request's key."""
        first = records_of(store, clock)
        await first.claim(make_request("r1"))
        clock.now += LIFETIME_S + ROTATION_S
        await records_of(store, clock).claim(make_request("r2"))
        first.release(make_request("r1"))
        await flushed(first)
        assert (await stored_record(store)).request_id == "r2.1.1"

    async def test_release_after_completion_is_ignored(self, store, clock):
        """A record of a request that ran is never deleted."""
        records = records_of(store, clock)
        request = make_request("r1")
        await records.claim(request)
        records.complete(request, 200, RESPONSE)
        records.release(request)
        await flushed(records)
        assert (await stored_record(store)).state is RecordState.COMPLETE


class TestRepeats:
    async def test_response_is_stored_for_the_same_call(self, store, clock):
        """A repeat through another router gets the stored response."""
        records = records_of(store, clock)
        await records.claim(make_request("r1"))
        records.complete(make_request("r1"), 200, RESPONSE)
        await flushed(records)
        result = await records_of(store, clock).claim(make_request("r2"))
        assert result.replay == RESPONSE

    async def test_another_call_gets_no_response(self, store, clock):
        """A different call under the same key does not get the stored response."""
        records = records_of(store, clock)
        await records.claim(make_request("r1"))
        records.complete(make_request("r1"), 200, RESPONSE)
        await flushed(records)
        request = make_request("r2")
        other = replace(request, call=replace(request.call, body=b"{1}"))
        result = await records.claim(other)
        assert result.replay is None
        assert result.refusal.reason is RefusalReason.KEY_REUSED
        assert result.refusal.retry_after_ms == 0

    async def test_response_that_was_too_large(self, store, clock):
        """Without a stored response, a repeat is refused as complete, without retry."""
        records = records_of(store, clock)
        await records.claim(make_request("r1"))
        records.complete(make_request("r1"), 200, None)
        await flushed(records)
        result = await records_of(store, clock).claim(make_request("r2"))
        assert result.replay is None
        assert result.refusal.reason is RefusalReason.KEY_SETTLED
        assert result.refusal.retry_after_ms == 0


class TestRestoredStore:
    """The store comes back from a copy that lacks what a router wrote."""

    async def test_running_request_keeps_its_key(self, store, clock):
        """A repeat through another router must not run while the first one runs."""
        records = records_of(store, clock)
        copy = store.take_copy()
        await records.claim(make_request("r1"))
        await restored(store, copy)
        await flushed(records)
        await grace_passed(records, store, clock)
        result = await records_of(store, clock).claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.KEY_IN_USE

    async def test_request_completes_after_its_record_was_written_again(
        self, store, clock
    ):
        records = records_of(store, clock)
        copy = store.take_copy()
        await records.claim(make_request("r1"))
        await restored(store, copy)
        await flushed(records)
        records.complete(make_request("r1"), 200, RESPONSE)
        await flushed(records)
        await grace_passed(records, store, clock)
        result = await records_of(store, clock).claim(make_request("r2"))
        assert result.replay == RESPONSE

    async def test_request_that_completed_shortly_before_is_not_repeated(
        self, store, clock
    ):
        records = records_of(store, clock)
        copy = store.take_copy()
        await records.claim(make_request("r1"))
        records.complete(make_request("r1"), 200, RESPONSE)
        await flushed(records)
        await restored(store, copy)
        await flushed(records)
        await grace_passed(records, store, clock)
        result = await records_of(store, clock).claim(make_request("r2"))
        assert result.replay == RESPONSE

    async def test_completion_that_the_copy_lacks_is_written_again(self, store, clock):
        """The copy has the claim, so that repeats would be refused for its lifetime."""
        records = records_of(store, clock)
        await records.claim(make_request("r1"))
        copy = store.take_copy()
        records.complete(make_request("r1"), 200, RESPONSE)
        await flushed(records)
        await restored(store, copy)
        await flushed(records)
        await grace_passed(records, store, clock)
        result = await records_of(store, clock).claim(make_request("r2"))
        assert result.replay == RESPONSE

    async def test_request_with_unknown_outcome_keeps_its_key(self, store, clock):
        records = records_of(store, clock)
        copy = store.take_copy()
        request = make_request("r1")
        await records.claim(request)
        records.forget(request.request_id)
        await restored(store, copy)
        await flushed(records)
        await grace_passed(records, store, clock)
        result = await records_of(store, clock).claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.KEY_IN_USE

    async def test_released_key_stays_free(self, store, clock):
        """The copy has the record of a request that did not run."""
        records = records_of(store, clock)
        await records.claim(make_request("r1"))
        copy = store.take_copy()
        records.release(make_request("r1"))
        await flushed(records)
        await restored(store, copy)
        await flushed(records)
        await grace_passed(records, store, clock)
        assert await records_of(store, clock).claim(make_request("r2")) == Claimed()

    async def test_other_routers_wait_until_records_are_written_again(
        self, store, clock
    ):
        """After the restore, the key of a running request is free in the store."""
        first, second = records_of(store, clock), records_of(store, clock)
        copy = store.take_copy()
        await first.claim(make_request("r1"))
        store.restore(copy)
        result = await second.claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.PLATFORM_DOWN
        await flushed(second)
        await flushed(first)
        assert (await stored_record(store)).request_id == "r1.1.1"
        clock.now += RESTORE_GRACE_S
        result = await second.claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.KEY_IN_USE

    async def test_outage_after_the_restore_extends_the_wait(self, store, clock):
        """The other routers can't write their records while the store is down."""
        first, second = records_of(store, clock), records_of(store, clock)
        copy = store.take_copy()
        await first.claim(make_request("r1"))
        await restored(store, copy)
        store.down = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(second.run_restore_checks)
            for _ in range(20):
                clock.now += 1.0
                await anyio.sleep(0.01)
            store.down = False
            clock.now += RESTORE_GRACE_S - 1.0
            result = await second.claim(make_request("r2"))
            tasks.cancel_scope.cancel()
        assert result.refusal.reason is RefusalReason.PLATFORM_DOWN
        assert "restored" in result.refusal.detail

    async def test_record_does_not_expire_with_the_lease_of_another(self, store, clock):
        """The store gives the lease id of the record out again, for a short time."""
        records = records_of(store, clock)
        copy = store.take_copy()
        await records.claim(make_request("r1"))
        store.restore(copy)
        await store.grant_lease(1.0)
        await flushed(records)
        clock.now += LIFETIME_S - 1
        assert await stored_record(store) is not None

    async def test_idle_router_notices_the_restore(self, store, clock):
        """It makes no other call while its requests run."""
        records = records_of(store, clock)
        copy = store.take_copy()
        await records.claim(make_request("r1"))
        store.restore(copy)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(records.run_restore_checks)
            tasks.start_soon(records.run_writer)
            with anyio.fail_after(5):
                while await stored_record(store) is None:
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    async def test_router_that_starts_before_records_are_written_again(
        self, store, clock
    ):
        """It has seen no restore; the key of a running request is free in the store."""
        records = records_of(store, clock)
        copy = store.take_copy()
        await records.claim(make_request("r1"))
        await restored(store, copy)
        started = records_of(store, clock)
        result = await started.claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.PLATFORM_DOWN
        await flushed(records)
        clock.now += RESTORE_GRACE_S
        result = await started.claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.KEY_IN_USE

    async def test_router_that_starts_long_after_a_restore(self, store, clock):
        """It serves keys at once, also if all routers of the restore are gone."""
        records = records_of(store, clock)
        await restored(store, store.take_copy())
        await grace_passed(records, store, clock)
        assert await records_of(store, clock).claim(make_request("r2")) == Claimed()

    async def test_router_that_starts_after_a_further_restore(self, store, clock):
        """The copy tells that lost records of an earlier restore are written again."""
        records = records_of(store, clock)
        await restored(store, store.take_copy())
        await grace_passed(records, store, clock)
        await restored(store, store.take_copy())
        result = await records_of(store, clock).claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.PLATFORM_DOWN

    async def test_router_that_starts_in_an_outage_after_a_restore(self, store, clock):
        """Its wait begins when the store responds, since others could not write."""
        records = records_of(store, clock)
        copy = store.take_copy()
        await records.claim(make_request("r1"))
        store.restore(copy)
        store.down = True
        started = records_of(store, clock)
        result = await started.claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.PLATFORM_DOWN
        clock.now += RESTORE_GRACE_S
        store.down = False
        result = await started.claim(make_request("r2"))
        assert "restored" in result.refusal.detail
        await flushed(records)
        clock.now += RESTORE_GRACE_S
        result = await started.claim(make_request("r2"))
        assert result.refusal.reason is RefusalReason.KEY_IN_USE

    async def test_unreadable_settled_era(self, store, clock):
        """It counts as none, and is written anew."""
        await store.compare_and_swap(SETTLED_ERA_KEY, b"\xffnine", 0)
        records = records_of(store, clock)
        assert await records.claim(make_request("r1")) == Claimed()
        await restored(store, store.take_copy())
        clock.now += RESTORE_GRACE_S
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(records.run_restore_checks)
            with anyio.fail_after(5):
                while (await store.get(SETTLED_ERA_KEY)).value != b"1":
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    async def test_many_restores(self, store, clock):
        records = records_of(store, clock)
        copy = store.take_copy()
        await records.claim(make_request("r1"))
        for _ in range(3):
            await restored(store, copy)
            await flushed(records)
            assert (await stored_record(store)).request_id == "r1.1.1"


class TestKnownRecords:
    """What is kept for a restore is bounded."""

    async def test_ended_record_is_dropped_after_a_while(self, clock):
        known = KnownRecords(clock=clock)
        known.add(b"k", RequestId("r1", 1, 1), b"claimed", 1060.0)
        known.end(b"k", RequestId("r1", 1, 1), b"complete")
        clock.now += KEEP_S
        known.drop_old()
        assert len(known) == 0

    async def test_record_of_an_active_request_is_kept(self, clock):
        known = KnownRecords(clock=clock)
        known.add(b"k", RequestId("r1", 1, 1), b"claimed", 1060.0)
        clock.now += 10 * KEEP_S
        known.drop_old()
        assert known.get(b"k").value == b"claimed"

    async def test_oldest_are_dropped_beyond_the_size_limit(self, clock):
        known = KnownRecords(clock=clock)
        big = bytes(MAX_KNOWN_BYTES // 4)
        for number in range(6):
            request_id = RequestId("r1", 1, number)
            known.add(b"%d" % number, request_id, b"claimed", 1060.0)
            known.end(b"%d" % number, request_id, big)
        kept = [record.key for record in known.all()]
        assert kept == [b"3", b"4", b"5"]


async def grace_passed(
    records: IdempotencyRecords, store: InMemoryKeyValue, clock: Clock
) -> None:
    """Wait until routers that start know that lost records are written again."""
    clock.now += RESTORE_GRACE_S
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(records.run_restore_checks)
        with anyio.fail_after(5):
            while await store.get(SETTLED_ERA_KEY) is None:
                await anyio.sleep(0.005)
        tasks.cancel_scope.cancel()


async def restored(store: InMemoryKeyValue, copy) -> None:
    """Restore the store, and let its users know."""
    store.restore(copy)
    await store.get(b"any")


class TestLifetime:
    async def test_record_lives_for_its_lifetime_and_no_longer_than_a_rotation(
        self, store, clock
    ):
        """Records that share a lease expire within lifetime and one rotation."""
        records = records_of(store, clock)
        await records._leases.lease_for(1.0)
        clock.now += ROTATION_S - 1
        await records.claim(make_request("r1", deadline_at=clock.now + 60))
        clock.now += LIFETIME_S - 1
        assert await stored_record(store) is not None
        clock.now += ROTATION_S + 2
        assert await stored_record(store) is None

    async def test_record_outlives_a_long_deadline(self, store, clock):
        """The record of a request with a longer deadline than the lifetime is kept."""
        wait_s = 3 * LIFETIME_S
        request = make_request("r1", deadline_at=clock.now + wait_s)
        await records_of(store, clock).claim(request)
        clock.now += wait_s
        assert await stored_record(store) is not None


class TestOddRecords:
    """Records that another program has written."""

    @pytest.mark.parametrize("depth", [10_000, 100_000])
    def test_nested_record_fails_its_request(self, depth):
        """It is malformed, as other records that can't be read."""
        value = b'{"request_id":"r","x":' + b"[" * depth + b"]" * depth + b"}"
        assert decode_record(value) is None
