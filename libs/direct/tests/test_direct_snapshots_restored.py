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
