"""The table of ends, repeats and statuses."""

from random import Random

import pytest

from berylwalk.dispatch import (
    AttemptEnd,
    Attempts,
    Peer,
    PeerTable,
    Route,
    RouteKind,
    ServiceShare,
    retry_after_s,
)


def route(kind, *, resumable=False, max_attempts=2):
    """Return a route of a kind."""
    return Route(
        name="r",
        hostname="h",
        path_prefix="/",
        kind=kind,
        timeout_s=1.0,
        objective_s=0.1,
        priority=0,
        shares=(ServiceShare("s", 1.0),),
        max_attempts=max_attempts,
        resumable=resumable,
    )


ONCE = route(RouteKind.NON_IDEMPOTENT)
REPEATABLE = route(RouteKind.IDEMPOTENT)
STREAM = route(RouteKind.STREAMING)
RESUMABLE = route(RouteKind.STREAMING, resumable=True)


class TestRepeats:
    """What may be sent to another target."""

    @pytest.mark.parametrize("of_kind", [ONCE, STREAM])
    @pytest.mark.parametrize(
        "end", [AttemptEnd.BROKEN, AttemptEnd.SILENT, AttemptEnd.FAILED]
    )
    def test_what_may_have_run_is_not_repeated(self, of_kind, end):
        """Requests that may run only once end there."""
        attempts = Attempts()
        attempts.note(end)
        assert not attempts.may_repeat(of_kind, end)
        assert attempts.final_status(end) in (502, 504)

    @pytest.mark.parametrize("of_kind", [ONCE, STREAM, REPEATABLE, RESUMABLE])
    @pytest.mark.parametrize("end", [AttemptEnd.NOT_SENT, AttemptEnd.REFUSED])
    def test_what_has_not_run_is_repeated_and_promised(self, of_kind, end):
        """A request that no target ran may go on, and 503 is true of it."""
        attempts = Attempts()
        attempts.note(end)
        assert attempts.may_repeat(of_kind, end)
        assert attempts.final_status(end) == 503

    @pytest.mark.parametrize("of_kind", [REPEATABLE, RESUMABLE])
    def test_attempts_of_the_route_bound_the_runs(self, of_kind):
        """As many targets as the route allows, and no more."""
        attempts = Attempts()
        attempts.note(AttemptEnd.BROKEN)
        assert attempts.may_repeat(of_kind, AttemptEnd.BROKEN)
        attempts.note(AttemptEnd.BROKEN)
        assert not attempts.may_repeat(of_kind, AttemptEnd.BROKEN)

    def test_no_promise_after_one_target_may_have_run_it(self):
        """A refusal later does not undo what came before."""
        attempts = Attempts()
        attempts.note(AttemptEnd.BROKEN)
        attempts.note(AttemptEnd.REFUSED)
        assert attempts.final_status(AttemptEnd.REFUSED) == 502

    def test_refusals_are_bounded(self):
        """A request does not wander through all full targets."""
        attempts = Attempts()
        for _ in range(4):
            attempts.note(AttemptEnd.REFUSED)
        assert not attempts.may_repeat(ONCE, AttemptEnd.REFUSED)


class TestReturnTime:
    """When a refused request comes back."""

    @pytest.mark.parametrize("left_s", [0.3, 3.0, 15.0])
    def test_within_what_callers_wait(self, left_s):
        """At most a third of the time left, and spread."""
        earliest = retry_after_s(left_s, draw=lambda low, high: low)
        latest = retry_after_s(left_s, draw=lambda low, high: high)
        assert 0 < earliest <= latest <= left_s / 3

    def test_soon_enough_to_be_in_time(self):
        """Bursts of engines that take a tenth of an objective of 420 ms for a start.

        All were told 2 to 4 s: late for sure, and still there when the burst was over.
        """
        draw = Random(1).uniform
        told = [retry_after_s(12.0, draw=draw) for _ in range(200)]
        in_time = sum(after_s < 0.42 - 0.08 - 0.04 for after_s in told)
        assert in_time >= 20
        assert max(told) < 2.0


class TestPeers:
    """Lives of other routers."""

    def peer(self, life, sequence=1):
        """Return the sender of a message."""
        return Peer("p", "127.0.0.1", 1, life, sequence=sequence)

    def test_heard_before_listed(self):
        """A router counts from its first message on."""
        peers = PeerTable("me")
        assert peers.record_message(self.peer("l1"), 0.0)
        peers.replace([], 0.1)
        assert peers.known_count() == 2
        assert len(peers.replace([], 10.0)) == 1

    def test_old_messages_are_dropped(self):
        """Datagrams may be late or doubled."""
        peers = PeerTable("me")
        assert peers.record_message(self.peer("l1", 5), 0.0)
        assert not peers.record_message(self.peer("l1", 5), 0.0)
        assert not peers.record_message(self.peer("l1", 4), 0.0)

    def test_new_life_replaces_a_silent_one(self):
        """A late message of the former life does not bring it back."""
        peers = PeerTable("me")
        peers.record_message(self.peer("l1", 9), 0.0)
        assert not peers.record_message(self.peer("l2"), 0.1)
        assert peers.record_message(self.peer("l2"), 0.5)
        assert not peers.record_message(self.peer("l1", 10), 0.6)

    def test_silence_shows(self):
        """A peer that says nothing is known and not heard."""
        peers = PeerTable("me")
        peers.record_message(self.peer("l1"), 0.0)
        assert (peers.alive_count(0.1), peers.known_count()) == (2, 2)
        assert (peers.alive_count(5.0), peers.known_count()) == (1, 2)
