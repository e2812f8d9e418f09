"""Snapshots of speeds and spending after the store comes back from an older copy."""

from time import monotonic

import pytest
from anyio import sleep
from msgspec import json

from berylwalk.direct._speed_store import Speeds
from berylwalk.dispatch import HistoryCoverage, QuotaRules, TargetSpeed
from berylwalk.platform import OutcomeUnknown
from direct_fleet import answers

pytestmark = pytest.mark.anyio
SPEEDS_KEY = b"berylwalk/speeds"
SPENDING_KEY = b"berylwalk/spending"
ERA_KEY = b"berylwalk/spending-era"
LEASES_OF_OTHERS = 10
LEASE_S = 60.0


@pytest.fixture
def quick(monkeypatch):
    """Write snapshots in short intervals."""
    for name in ("_speed_store", "_spending_store"):
        monkeypatch.setattr(f"berylwalk.direct.{name}.WRITE_INTERVAL_S", 0.05)


def limited(fleet):
    """Give the client account a quota of tokens."""
    fleet.tenants[0].update(
        {"unit": "tokens", "rate-per-s": 100, "burst": 100, "plain-tokens": 1}
    )


class TestSpeeds:
    """The snapshot is written although it is like the last one."""

    async def test_snapshot_that_was_lost_in_a_restore(self, running, quick):
        async with running(answers("ok")) as fleet:
            store = fleet.platform.store
            copy = store.take_copy()
            await fleet.call("/idempotent/")
            await fleet.until(lambda: store.get(SPEEDS_KEY) is not None)
            store.restore(copy, monotonic())
            await fleet.until(lambda: store.get(SPEEDS_KEY) is not None)

    async def test_snapshot_whose_write_failed(self, running, quick, monkeypatch):
        async with running(answers("ok")) as fleet:
            client = fleet.router._store
            put, failed = client.put, []

            async def fail_once(key, value, **options):
                if not failed:
                    failed.append(key)
                    return OutcomeUnknown("no answer")
                return await put(key, value, **options)

            monkeypatch.setattr(client, "put", fail_once)
            await fleet.call("/idempotent/")
            store = fleet.platform.store
            await fleet.until(lambda: store.get(SPEEDS_KEY) is not None)
        assert failed == [SPEEDS_KEY]


class TestUnlistedTargets:
    """A router starts while a target is not listed whose speed is stored."""

    @staticmethod
    def _store_speed(fleet):
        speed = TargetSpeed(
            fixed_s=None, slot_s=0.5, output_token_s=None, event_s=None, paused_share=0
        )
        speeds = Speeds({"absent": speed}, {})
        fleet.platform.store.put(SPEEDS_KEY, json.encode(speeds))

    @staticmethod
    def _stored_ids(fleet):
        snapshot = fleet.platform.store.get(SPEEDS_KEY)
        return set(json.decode(snapshot.value, type=Speeds).targets)

    async def test_its_speed_stays_in_the_snapshot(self, running, quick):
        async with running(answers("ok"), prepare=self._store_speed) as fleet:
            await fleet.call("/idempotent/")
            await fleet.until(lambda: self._stored_ids(fleet) != {"absent"})
            assert "absent" in self._stored_ids(fleet)

    async def test_its_speed_is_dropped_if_it_does_not_return(
        self, running, quick, monkeypatch
    ):
        monkeypatch.setattr("berylwalk.direct._speed_store.KEEP_UNLISTED_S", 0.2)
        async with running(answers("ok"), prepare=self._store_speed) as fleet:
            await fleet.call("/idempotent/")
            await fleet.until(lambda: "absent" not in self._stored_ids(fleet))


class TestSpending:
    """The id of the lease may be given to others after a restore."""

    async def test_snapshot_is_not_bound_to_the_lease_of_others(self, running, quick):
        rules = QuotaRules(window_s=8.0)
        async with running(answers("ok"), prepare=limited, allowances=rules) as fleet:
            store, context = fleet.platform.store, fleet.router._context
            await fleet.until(lambda: store.get(b"berylwalk/routers/edge-1"))
            copy = store.take_copy()
            context.quotas.restore({}, HistoryCoverage.COMPLETE, context.clock())
            await fleet.call("/idempotent/", Token_Count="700,0")
            await fleet.until(lambda: store.get(SPENDING_KEY) is not None)
            own_id = store.get(SPENDING_KEY).lease_id
            store.restore(copy, monotonic())
            others = {
                store.grant(monotonic(), LEASE_S).lease_id
                for _ in range(LEASES_OF_OTHERS)
            }
            assert own_id in others
            await fleet.until(lambda: fleet.router._store.era == 1)
            await sleep(0.5)
            assert store.get(SPENDING_KEY).lease_id not in others


class TestSpendingUnknown:
    """All routers start after a restore, and the copy lacks the snapshot."""

    @staticmethod
    def _prepare(*, noted_era=None, era=1):
        def prepare(fleet):
            limited(fleet)
            store = fleet.platform.store
            for _ in range(era):
                store.restore(store.take_copy(), monotonic())
            if noted_era is not None:
                store.put(ERA_KEY, noted_era)

        return prepare

    async def _status_of_large_request(self, running, **options):
        rules = QuotaRules(window_s=60.0)
        async with running(
            answers("ok"),
            prepare=self._prepare(**options),
            allowances=rules,
            is_first_start=False,
        ) as fleet:
            # The snapshot is read meanwhile.
            await sleep(0.3)
            return (await fleet.call("/idempotent/", Token_Count="2000,0")).status

    @pytest.mark.parametrize("noted_era", [None, b"1", b"x", b"9" * 5000])
    async def test_account_spends_twice_its_limit(self, running, noted_era):
        """Nothing tells that the snapshot would be there."""
        status = await self._status_of_large_request(
            running, era=2, noted_era=noted_era
        )
        assert status == 429

    @pytest.mark.parametrize(("era", "noted_era"), [(0, None), (2, b"2")])
    async def test_account_without_snapshot_is_refused(self, running, era, noted_era):
        """A router that knew all spending was at work since the restore."""
        status = await self._status_of_large_request(
            running, era=era, noted_era=noted_era
        )
        assert status == 200

    async def test_era_is_not_noted(self, running, quick):
        """The snapshot is written before it."""
        rules = QuotaRules(window_s=8.0)
        async with running(answers("ok"), prepare=limited, allowances=rules) as fleet:
            store, context = fleet.platform.store, fleet.router._context
            copy = store.take_copy()
            context.quotas.restore({}, HistoryCoverage.COMPLETE, context.clock())
            await fleet.call("/idempotent/", Token_Count="700,0")
            await fleet.until(lambda: store.get(SPENDING_KEY) is not None)
            store.restore(copy, monotonic())
            await fleet.until(lambda: store.get(ERA_KEY) is not None)
            assert store.get(ERA_KEY).value == b"1"
            assert store.get(SPENDING_KEY) is not None

    async def test_router_that_knows_no_spending_notes_the_era(self, running, quick):
        rules = QuotaRules(window_s=60.0)
        async with running(
            answers("ok"),
            prepare=self._prepare(),
            allowances=rules,
            is_first_start=False,
        ) as fleet:
            await fleet.until(lambda: fleet.router._store.era == 1)
            await sleep(0.3)
            assert fleet.platform.store.get(ERA_KEY) is None

    async def test_first_start_does_not_note_the_era(self, running, quick):
        """A later start of all routers would find nothing."""
        async with running(answers("ok"), prepare=self._prepare()) as fleet:
            store = fleet.platform.store
            await fleet.until(lambda: store.get(ERA_KEY) is not None)
            assert store.get(ERA_KEY).value == b"1"
