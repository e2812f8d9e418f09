"""Targets that break connections or hang."""

import pytest

from berylwalk.localfleet import AnswerEnd, post_json

ENGINES = ("engine-1", "engine-2", "engine-3")
LOAD = 24


@pytest.fixture
def set_faults(fleet):
    """Return a function that sets faults of an engine until the test ends."""

    def set_faults(vm_id, **faults):
        post_json(f"{fleet.fleet.target_url(vm_id)}/control/faults", faults)

    yield set_faults
    for vm_id in ENGINES:
        set_faults(vm_id)


class TestBrokenConnections:
    def test_truncated_response_is_not_reported_complete(self, fleet, set_faults):
        """A broken stream ends with an error, an unstreamed response with a 502."""
        for vm_id in ENGINES:
            set_faults(vm_id, break_after_tokens=5)
        streams = fleet.results(fleet.chats(6, stream=True))
        reported = {(response.end, response.code) for response in streams}
        assert reported == {(AnswerEnd.BROKEN, "unknown-outcome")}
        unstreamed = fleet.results(fleet.chats(6, stream=False))
        reported = {(response.end, response.status) for response in unstreamed}
        assert reported == {(AnswerEnd.UNKNOWN, 502)}
        assert {
            fleet.seen()[response.request_id] for response in streams + unstreamed
        } == {1}


class TestHangingEngine:
    def test_waiting_requests_finish_elsewhere(self, fleet, set_faults):
        """Only running requests wait for a hanging engine, and all complete."""
        calls = fleet.chats(LOAD)
        victim = ENGINES[0]
        fleet.wait(lambda: fleet.targets()[victim]["running"] >= 2, "load")
        set_faults(victim, hang=True)
        fleet.wait(
            lambda: sum(not call.done() for call in calls) <= 3,
            "all calls but those that run at the engine",
        )
        set_faults(victim)
        responses = fleet.results(calls)
        assert {response.end for response in responses} == {AnswerEnd.WHOLE}
