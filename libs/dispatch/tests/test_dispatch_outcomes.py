"""Outcomes of attempts, retry delays and peer liveness."""

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


class TestRetries:
    """Requests that may be sent to another target."""

    @pytest.mark.parametrize("route_of_kind", [ONCE, STREAM])
    @pytest.mark.parametrize(
        "end", [AttemptEnd.BROKEN, AttemptEnd.SILENT, AttemptEnd.FAILED]
    )
    def test_possibly_executed_request_is_not_retried(self, route_of_kind, end):
        """Requests that are not repeatable must not be executed twice."""
        attempts = Attempts()
        attempts.note(end)
        assert not attempts.may_retry(route_of_kind, end)
        assert attempts.final_status(end) in (502, 504)

    @pytest.mark.parametrize("route_of_kind", [ONCE, STREAM, REPEATABLE, RESUMABLE])
    @pytest.mark.parametrize("end", [AttemptEnd.NOT_SENT, AttemptEnd.REFUSED])
    def test_unexecuted_request_is_retried(self, route_of_kind, end):
        """Any request may be retried, and a final 503 is correct."""
        attempts = Attempts()
        attempts.note(end)
        assert attempts.may_retry(route_of_kind, end)
        assert attempts.final_status(end) == 503

    @pytest.mark.parametrize("route_of_kind", [REPEATABLE, RESUMABLE])
    def test_attempts_are_bounded_by_the_route(self, route_of_kind):
        """No more targets than `max_attempts` may execute a request."""
        attempts = Attempts()
        attempts.note(AttemptEnd.BROKEN)
        assert attempts.may_retry(route_of_kind, AttemptEnd.BROKEN)
        attempts.note(AttemptEnd.BROKEN)
        assert not attempts.may_retry(route_of_kind, AttemptEnd.BROKEN)

    def test_refusal_after_possible_execution_is_not_503(self):
        """503 guarantees that the request was not executed."""
        attempts = Attempts()
        attempts.note(AttemptEnd.BROKEN)
        attempts.note(AttemptEnd.REFUSED)
        assert attempts.final_status(AttemptEnd.REFUSED) == 502

    def test_refusals_are_bounded(self):
        """A request must not be tried at every target of an overloaded service."""
        attempts = Attempts()
        for _ in range(4):
            attempts.note(AttemptEnd.REFUSED)
        assert not attempts.may_retry(ONCE, AttemptEnd.REFUSED)


class TestRetryAfter:
    """Retry delay of refused callers."""

    @pytest.mark.parametrize("left_s", [0.3, 3.0, 15.0])
    def test_delay_is_within_a_third_of_the_remaining_time(self, left_s):
        """Callers must have time left for the retry."""
        earliest = retry_after_s(left_s, draw=lambda low, high: low)
        latest = retry_after_s(left_s, draw=lambda low, high: high)
        assert 0 < earliest <= latest <= left_s / 3

    @pytest.mark.parametrize("backoff_s", [0.0, 0.5])
    def test_delay_after_the_deadline_is_not_negative(self, backoff_s):
        """A request may be refused when its time has passed already."""
        delays = [
            retry_after_s(-2.0, available_in_s=backoff_s, draw=draw)
            for draw in (min, max)
        ]
        assert delays == [backoff_s, backoff_s]

    def test_retries_that_can_be_in_time_are(self):
        """Later ones would all be late and take places from others."""
        draw = Random(1).uniform
        delays = [retry_after_s(12.0, in_time_s=0.3, draw=draw) for _ in range(200)]
        assert max(delays) <= 0.3

    def test_late_retries_lead_past_the_overload(self):
        """They would come back to the same full targets, and be refused again."""
        draw = Random(1).uniform
        delays = [retry_after_s(12.0, in_time_s=0.0, draw=draw) for _ in range(200)]
        assert min(delays) >= 1.0
        assert max(delays) - min(delays) > 2.0

    @pytest.mark.parametrize("backoff_s", [0.5, 30.0])
    def test_return_after_a_backoff_is_late_but_not_later(self, backoff_s):
        """There is room as soon as the targets accept requests."""
        draw = Random(1).uniform
        delays = [
            retry_after_s(12.0, in_time_s=0.3, available_in_s=backoff_s, draw=draw)
            for _ in range(200)
        ]
        assert backoff_s + 0.1 <= min(delays)
        assert backoff_s + 0.8 < max(delays) <= backoff_s + 1.2


class TestPeers:
    """Incarnations of other routers."""

    def peer(self, incarnation, sequence=1):
        """Return the sender of a message."""
        return Peer("p", "127.0.0.1", 1, incarnation, sequence=sequence)

    def test_peer_is_known_before_it_is_listed(self):
        """Its messages may arrive before its entry."""
        peers = PeerTable("me")
        assert peers.record_message(self.peer("l1"), 0.0)
        peers.replace([], 0.1)
        assert peers.known_count() == 2
        assert len(peers.replace([], 10.0)) == 1

    def test_outdated_messages_are_dropped(self):
        """Datagrams may be delayed or duplicated."""
        peers = PeerTable("me")
        assert peers.record_message(self.peer("l1", 5), 0.0)
        assert not peers.record_message(self.peer("l1", 5), 0.0)
        assert not peers.record_message(self.peer("l1", 4), 0.0)

    def test_new_incarnation_replaces_a_silent_one(self):
        """A late message of the previous incarnation must not restore it."""
        peers = PeerTable("me")
        peers.record_message(self.peer("l1", 9), 0.0)
        assert not peers.record_message(self.peer("l2"), 0.1)
        assert peers.record_message(self.peer("l2"), 0.5)
        assert not peers.record_message(self.peer("l1", 10), 0.6)

    def test_silent_peer_is_known_but_not_alive(self):
        """A peer without messages counts as known, not as alive."""
        peers = PeerTable("me")
        peers.record_message(self.peer("l1"), 0.0)
        assert (peers.alive_count(0.1), peers.known_count()) == (2, 2)
        assert (peers.alive_count(5.0), peers.known_count()) == (1, 2)
