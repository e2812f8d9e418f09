"""Quarantine records in the store."""

from json import dumps, loads

import pytest
from anyio import sleep

from berylwalk.direct import _quarantine_store as store_module
from berylwalk.quarantine import (
    BodyHash,
    Quarantine,
    QuarantineStatus,
    part_identity,
    record_key,
    request_identity,
)
from berylwalk.quarantine import _trials as trials_module
from direct_fleet import answers

pytestmark = pytest.mark.anyio
PREFIX = "berylwalk/quarantine/"
BODY = b"ends who runs it"
INCARNATION_IDS = ["x-1", "x-2", "x-3"]


def identity():
    """Return the identity of the request."""
    body_hash = BodyHash()
    body_hash.add(BODY)
    return request_identity("t", b"POST", b"/idempotent/x", body_hash.digest())


def key():
    """Return the key of its record."""
    return f"{PREFIX}{identity().hex()}".encode()


def stored_record(trials=0, value=None):
    """Return a preparation that writes a record before the router starts."""
    record = {"ended": INCARNATION_IDS, "trials": trials, "noted_s": 1.0e9}

    def prepare(fleet):
        fleet.platform.store.put(key(), value or dumps(record).encode())

    return prepare


def quarantine_of(fleet):
    """Return the router's quarantine."""
    return fleet.router._context.quarantine


@pytest.fixture
def no_delays(monkeypatch):
    """Run trials, scans and writes without delay, and never expire records."""
    monkeypatch.setattr(trials_module, "TRIAL_DELAYS_S", (0.0, 0.0))
    monkeypatch.setattr(store_module, "SYNC_INTERVAL_S", 0.02)
    monkeypatch.setattr(store_module, "SCAN_INTERVAL_S", 0.0)
    monkeypatch.setattr(store_module, "RECORD_TTL_S", float("inf"))


class TestRecords:
    """Records survive a restart of all routers."""

    async def test_blame_survives_restart(self, running):
        """A starting router rejects requests that were blamed before."""
        async with running(answers("ok"), prepare=stored_record()) as fleet:
            blames = quarantine_of(fleet).blames
            await fleet.until(lambda: identity() in blames)
            reply = await fleet.call("/idempotent/x", body=BODY)
            other = await fleet.call("/idempotent/x", body=b"another")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 1
        assert other.status == 200
        assert [each.body for each in fleet.targets[0].received] == [b"another"]

    async def test_blame_is_written(self, running):
        """The record contains all crashed incarnations."""
        async with running(answers("ok")) as fleet:
            store = fleet.platform.store
            for number, incarnation_id in enumerate(INCARNATION_IDS):
                quarantine_of(fleet).record_crash(
                    identity(), incarnation_id, float(number)
                )

            def is_written():
                item = store.get(key())
                return (
                    item is not None and loads(item.value)["ended"] == INCARNATION_IDS
                )

            await fleet.until(is_written)

    async def test_record_that_a_trial_releases_during_its_deletion(
        self, running, monkeypatch
    ):
        """The router must go on: trials run beside the deletion of cleared records."""
        async with running(answers("ok"), prepare=stored_record()) as fleet:
            quarantine = quarantine_of(fleet)
            await fleet.until(lambda: identity() in quarantine.blames)
            records = fleet.router._quarantine_store
            delete_if = records._store.delete_if

            async def delete_beside_a_trial(*arguments):
                records._release(identity())
                return await delete_if(*arguments)

            monkeypatch.setattr(records._store, "delete_if", delete_beside_a_trial)
            quarantine.record_success(identity(), fleet.router._context.clock())
            await fleet.until(lambda: fleet.platform.store.get(key()) is None)
            assert (await fleet.call("/idempotent/x", body=b"another")).status == 200

    async def test_unreadable_record_is_ignored(self, running):
        """The unreadable record is ignored."""
        prepare = stored_record(value=b'{"ended": 3}')
        async with running(answers("ok"), prepare=prepare) as fleet:
            reply = await fleet.call("/idempotent/x", body=BODY)
        assert reply.status == 200

    async def test_unreadable_record_is_overwritten(
        self, running, no_delays, monkeypatch
    ):
        """It is overwritten without remaining trials, since their number is unknown.

        Deletion is suppressed, because it would come first without evidence.
        """

        async def keep(store):
            pass

        monkeypatch.setattr(store_module.QuarantineStore, "_delete_cleared", keep)
        prepare = stored_record(value=b'{"ended": 3}')
        async with running(answers("ok"), prepare=prepare) as fleet:
            store = fleet.platform.store
            for incarnation_id in INCARNATION_IDS:
                quarantine_of(fleet).record_crash(identity(), incarnation_id, 0.0)

            def record():
                item = store.get(key())
                return {} if item is None else loads(item.value)

            await fleet.until(lambda: record().get("ended") == INCARNATION_IDS)
            assert record()["trials"] == 2


class TestTrialsOfPromptParts:
    """A harmless part that was blamed returns with its first trial."""

    PART = part_identity("s", b"1f")
    KEY = record_key(PART)

    def blamed(self, fleet):
        """Write a record of the part before the router starts."""
        record = {"ended": INCARNATION_IDS, "trials": 0, "noted_s": 1.0e9}
        fleet.platform.store.put(self.KEY, dumps(record).encode())

    def call(self, fleet):
        """Send a request with the part."""
        return fleet.call("/idempotent/x", Prompt_Prefix="1f:60,2e:60")

    def trials(self, fleet):
        """Return the number of trials in the record."""
        return loads(fleet.platform.store.get(self.KEY).value)["trials"]

    async def until_due(self, fleet):
        """Wait until a trial is due."""
        quarantine, clock = quarantine_of(fleet), fleet.router._context.clock
        trial = QuarantineStatus.TRIAL
        await fleet.until(lambda: quarantine.status(self.PART, clock()) is trial)

    async def test_trial_is_served_and_ends_the_blame(self, running, no_delays):
        """The record is deleted, and further requests need no permit."""
        async with running(answers("ok"), prepare=self.blamed) as fleet:
            await self.until_due(fleet)
            assert (await self.call(fleet)).status == 200
            assert quarantine_of(fleet).blames == {}
            await fleet.until(lambda: fleet.platform.store.get(self.KEY) is None)
            assert (await self.call(fleet)).status == 200

    async def test_permit_of_a_trial_without_a_place_is_returned(self, running):
        """Otherwise the part would be held back for a minute."""
        async with running(answers("ok"), prepare=self.blamed) as fleet:
            await self.until_due(fleet)
            target = fleet.router._context.targets.by_id["i-0"]
            target.in_flight += 100
            assert (await self.call(fleet)).status == 503
            target.in_flight -= 100
            await fleet.until(lambda: self.trials(fleet) == 0)
            await self.until_due(fleet)
            assert (await self.call(fleet)).status == 200


class TestTrials:
    """A trial permit is a compare-and-swap on the record."""

    async def test_successful_trial_ends_the_blame(self, running, no_delays):
        """The record is deleted as well."""
        async with running(answers("ok"), prepare=stored_record()) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            reply = await fleet.call("/idempotent/x", body=BODY)
            assert reply.status == 200
            assert not quarantine_of(fleet).blames
            await fleet.until(lambda: fleet.platform.store.get(key()) is None)

    async def test_unsent_trial_is_retried(self, running, no_delays):
        """A request that was not sent is retried on the next target."""
        ok = answers("ok")
        async with running(ok, ok, ok, prepare=stored_record(trials=1)) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            for target in fleet.targets[:2]:
                await target.crash()
            reply = await fleet.call("/idempotent/x", body=BODY)
        assert reply.status == 200

    async def test_no_trial_without_the_store(self, running, no_delays):
        """Other routers may have taken the trial."""
        async with running(answers("ok"), prepare=stored_record()) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            fleet.platform.faults.down = True
            reply = await fleet.call("/idempotent/x", body=BODY)
        assert reply.status == 503
        assert not fleet.targets[0].received

    async def test_no_trial_after_the_last_one(self, running, no_delays):
        """The router may not have received the trials of others."""
        async with running(answers("ok"), prepare=stored_record(trials=2)) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            for _ in range(3):
                reply = await fleet.call("/idempotent/x", body=BODY)
                assert reply.status == 503
        assert not fleet.targets[0].received

    async def test_lost_response_grants_no_permit(self, running, no_delays):
        """The write may have succeeded, so the trial counts as taken."""
        async with running(answers("ok"), prepare=stored_record(trials=1)) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            store = fleet.platform.store
            await fleet.until(lambda: store.get(b"berylwalk/routers/edge-1"))
            await fleet.until(lambda: store.get(b"berylwalk/versions/s"))
            fleet.platform.faults.lose_answers = 1
            replies = [
                await fleet.call("/idempotent/x", body=BODY, Deadline_Ms="9000")
                for _ in range(2)
            ]
        assert [reply.status for reply in replies] == [503, 503]
        assert not fleet.targets[0].received


class TestOperators:
    """Operators release a request by deleting its record."""

    async def test_deleted_record_releases_the_request(
        self, running, no_delays, monkeypatch
    ):
        """All routers release it at their next scan."""
        monkeypatch.setattr(trials_module, "TRIAL_DELAYS_S", (60.0, 600.0))
        async with running(answers("ok"), prepare=stored_record()) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            fleet.platform.store.delete(key())
            await fleet.until(lambda: not quarantine_of(fleet).blames)
            reply = await fleet.call("/idempotent/x", body=BODY)
            await sleep(0.1)
            assert fleet.platform.store.get(key()) is None
        assert reply.status == 200


class TestSuspendedRouter:
    """A router whose monotonic clock stopped during a suspension of its VM."""

    def test_response_after_suspension_is_dated_by_its_sending(self):
        """The target may have terminated while the router was suspended.

        The request was sent at 1 s and its response read at 31 s. On a clock that
        excludes the suspension, it would seem to have been sent at 31 s.
        """
        router, other = Quarantine(), Quarantine()
        for each in (router, other):
            each.record_crash(identity(), "life", 20.0)
        assert not router.record_alive("life", sent_at=1.0, now=31.0)
        other.merge(
            router.next_update(router.direct_outbox, 31.0), 31.0, is_direct=True
        )
        assert other.crashed_incarnations(identity()) == ["life"]
        assert other.status(identity(), 31.0) is QuarantineStatus.FREE

    async def test_router_counts_suspension(self, running):
        """The time of sending is taken from a clock that includes the suspension."""
        async with running(answers("ok")) as fleet:
            context = fleet.router._context
            offset_s = 0.0
            clock = context.clock
            context.clock = lambda: clock() + offset_s

            async def slow(request, writer):
                nonlocal offset_s
                offset_s = 30.0
                context.quarantine.record_crash(identity(), "i-0", clock() + 20.0)
                await answers("late")(request, writer)

            fleet.targets[0].script = slow
            reply = await fleet.call("/idempotent/y", body=b"harmless")
            assert reply.status == 200
            assert context.quarantine.crashed_incarnations(identity()) == ["i-0"]
