"""What the store keeps of requests under which targets ended."""

from json import dumps, loads

import pytest
from anyio import sleep

from berylwalk.direct import _quarantine_store as note_module
from berylwalk.quarantine import (
    BodyHash,
    Quarantine,
    QuarantineStatus,
    request_identity,
)
from berylwalk.quarantine import _quarantine as quarantine_module
from direct_fleet import answers

pytestmark = pytest.mark.anyio
PREFIX = "berylwalk/quarantine/"
BODY = b"ends who runs it"
LIVES = ["x-1", "x-2", "x-3"]


def identity():
    """Return what the router takes the request for."""
    body_hash = BodyHash()
    body_hash.add(BODY)
    return request_identity("t", b"POST", b"/idempotent/x", body_hash.digest())


def key():
    """Return where its record lies."""
    return f"{PREFIX}{identity().hex()}".encode()


def noted(trials=0, value=None):
    """Return a preparation that writes the record of an earlier life."""
    record = {"ended": LIVES, "trials": trials, "noted_s": 1.0e9}

    def prepare(fleet):
        fleet.platform.store.put(key(), value or dumps(record).encode())

    return prepare


def quarantine_of(fleet):
    """Return what the router believes."""
    return fleet.router._context.quarantine


@pytest.fixture
def soon(monkeypatch):
    """Have trials, looks and writes come at once, and records last."""
    monkeypatch.setattr(quarantine_module, "TRIAL_DELAYS_S", (0.0, 0.0))
    monkeypatch.setattr(note_module, "SYNC_INTERVAL_S", 0.02)
    monkeypatch.setattr(note_module, "SCAN_INTERVAL_S", 0.0)
    monkeypatch.setattr(note_module, "RECORD_TTL_S", float("inf"))


class TestRecords:
    """They outlive all routers."""

    async def test_blame_outlives_all_routers(self, running):
        """A router that starts holds back what an earlier life blamed."""
        async with running(answers("ok"), prepare=noted()) as fleet:
            blames = quarantine_of(fleet).blames
            await fleet.until(lambda: identity() in blames)
            reply = await fleet.call("/idempotent/x", body=BODY)
            other = await fleet.call("/idempotent/x", body=b"another")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 1
        assert other.status == 200
        assert [each.body for each in fleet.targets[0].received] == [b"another"]

    async def test_blame_is_written(self, running):
        """Once for two ends and once for three."""
        async with running(answers("ok")) as fleet:
            store = fleet.platform.store
            for number, incarnation_id in enumerate(LIVES):
                quarantine_of(fleet).record_crash(
                    identity(), incarnation_id, float(number)
                )

            def is_written():
                item = store.get(key())
                return item is not None and loads(item.value)["ended"] == LIVES

            await fleet.until(is_written)

    async def test_record_that_makes_no_sense_is_passed_over(self, running):
        """It is told, and the others are read."""
        prepare = noted(value=b'{"ended": 3}')
        async with running(answers("ok"), prepare=prepare) as fleet:
            reply = await fleet.call("/idempotent/x", body=BODY)
        assert reply.status == 200

    async def test_record_that_makes_no_sense_is_written_anew(
        self, running, soon, monkeypatch
    ):
        """With no trials left, since those that it had are not known.

        It would be deleted if it were read before the ends are known.
        """

        async def keep(note):
            pass

        monkeypatch.setattr(note_module.QuarantineStore, "_delete_cleared", keep)
        prepare = noted(value=b'{"ended": 3}')
        async with running(answers("ok"), prepare=prepare) as fleet:
            store = fleet.platform.store
            for incarnation_id in LIVES:
                quarantine_of(fleet).record_crash(identity(), incarnation_id, 0.0)

            def record():
                item = store.get(key())
                return {} if item is None else loads(item.value)

            await fleet.until(lambda: record().get("ended") == LIVES)
            assert record()["trials"] == 2


class TestTrials:
    """A permit is a write under a condition."""

    async def test_trial_that_is_answered_ends_the_blame(self, running, soon):
        """And the record."""
        async with running(answers("ok"), prepare=noted()) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            reply = await fleet.call("/idempotent/x", body=BODY)
            assert reply.status == 200
            assert not quarantine_of(fleet).blames
            await fleet.until(lambda: fleet.platform.store.get(key()) is None)

    async def test_trial_is_not_used_up_by_a_target_that_is_gone(self, running, soon):
        """What was not sent goes on to the next target."""
        ok = answers("ok")
        async with running(ok, ok, ok, prepare=noted(trials=1)) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            for target in fleet.targets[:2]:
                await target.crash()
            reply = await fleet.call("/idempotent/x", body=BODY)
        assert reply.status == 200

    async def test_no_trial_without_the_store(self, running, soon):
        """Others may have taken it."""
        async with running(answers("ok"), prepare=noted()) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            fleet.platform.faults.down = True
            reply = await fleet.call("/idempotent/x", body=BODY)
        assert reply.status == 503
        assert not fleet.targets[0].received

    async def test_no_trial_when_all_were_given(self, running, soon):
        """Also if this router has not heard of them."""
        async with running(answers("ok"), prepare=noted(trials=2)) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            for _ in range(3):
                reply = await fleet.call("/idempotent/x", body=BODY)
                assert reply.status == 503
        assert not fleet.targets[0].received

    async def test_lost_answer_is_no_permit(self, running, soon):
        """It may have been written, and counts as given."""
        async with running(answers("ok"), prepare=noted(trials=1)) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            store = fleet.platform.store
            await fleet.until(lambda: store.get(b"berylwalk/routers/edge-1"))
            fleet.platform.faults.lose_answers = 1
            replies = [
                await fleet.call("/idempotent/x", body=BODY, Deadline_Ms="9000")
                for _ in range(2)
            ]
        assert [reply.status for reply in replies] == [503, 503]
        assert not fleet.targets[0].received


class TestOperators:
    """Who is on call lets a request through by deleting its record."""

    async def test_deleted_record_lets_it_through(self, running, soon, monkeypatch):
        """At all routers, within a look."""
        monkeypatch.setattr(quarantine_module, "TRIAL_DELAYS_S", (60.0, 600.0))
        async with running(answers("ok"), prepare=noted()) as fleet:
            await fleet.until(lambda: identity() in quarantine_of(fleet).blames)
            fleet.platform.store.delete(key())
            await fleet.until(lambda: not quarantine_of(fleet).blames)
            reply = await fleet.call("/idempotent/x", body=BODY)
            await sleep(0.1)
            assert fleet.platform.store.get(key()) is None
        assert reply.status == 200


class TestSuspendedRouter:
    """Its steady clock stood still, and the time that counts went on."""

    def test_answer_read_after_a_suspension_proves_nothing_after_it_was_sent(self):
        """The target may have ended while the router was suspended.

        The request was sent at 1 s, and its answer read at 31 s: 30 s of that are not
        in the steady clock, by which it would count as sent at 31 s.
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
        """By a clock that goes on then, at the moment of sending."""
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
