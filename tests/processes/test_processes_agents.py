"""Agents that are killed, frozen or terminated with queued and running requests."""

import time
from collections import Counter

from berylwalk.localfleet import AnswerEnd

ENGINES = ("engine-1", "engine-2", "engine-3")
FAILED_ENDS = (AnswerEnd.BROKEN, AnswerEnd.UNKNOWN)
LOAD = 24
GRANTS_IN_FLIGHT_S = 0.5
"""Time for grants to arrive that were sent before a router saw the VM leave."""
# The agent's slots, and one grant in flight.
MAX_GRANTED_PER_AGENT = 3


def count_ends(responses):
    """Count responses by their end."""
    return Counter(response.end for response in responses)


def wait_saturated(fleet):
    """Wait until an engine has running and queued requests; return its name."""
    saturated = []

    def found():
        targets = fleet.targets()
        saturated[:] = [name for name in ENGINES if is_saturated(targets[name])]
        return bool(saturated)

    fleet.wait(found, "requests to queue at an agent")
    return saturated[0]


def is_saturated(target):
    """Whether a target has running and queued requests."""
    return target["waiting"] >= 2 and target["running"] >= 2


class TestKilledAgent:
    def test_waiting_requests_finish_elsewhere(self, fleet):
        """Only dispatched requests of a killed agent fail; once restarted it serves."""
        calls = fleet.chats(LOAD)
        victim = wait_saturated(fleet)
        fleet.process(victim).kill()
        responses = fleet.results(calls)
        granted = fleet.seen_at(victim)
        failed = [response for response in responses if response.end in FAILED_ENDS]
        assert {response.request_id for response in failed} <= set(granted)
        assert 1 <= len(failed) <= MAX_GRANTED_PER_AGENT
        assert count_ends(responses)[AnswerEnd.WHOLE] == LOAD - len(failed)

        fleet.restart(victim)
        responses = fleet.results(fleet.chats(LOAD))
        assert count_ends(responses) == {AnswerEnd.WHOLE: LOAD}
        assert len(fleet.seen_at(victim)) > len(granted)


class TestFrozenAgent:
    def test_thawed_agent_dispatches_no_request_reported_not_run(self, fleet):
        """Requests that ended or ran elsewhere meanwhile are not dispatched again."""
        calls = fleet.chats(LOAD)
        victim = wait_saturated(fleet)
        process = fleet.process(victim)
        process.freeze()
        try:
            responses = fleet.results(calls)
        finally:
            process.thaw()
        failed = [response for response in responses if response.end in FAILED_ENDS]
        assert len(failed) <= MAX_GRANTED_PER_AGENT
        assert count_ends(responses)[AnswerEnd.WHOLE] == LOAD - len(failed)


class TestFrozenAgents:
    def test_ended_requests_are_not_dispatched_after_thaw(self, fleet):
        """Requests end while all agents are frozen, and are not dispatched later."""
        calls = fleet.chats(LOAD)
        calls += fleet.chats(LOAD, headers={"Berylwalk-Deadline-Ms": "5000"})
        wait_saturated(fleet)
        for name in ENGINES:
            fleet.process(name).freeze()
        calls += fleet.chats(LOAD, headers={"Berylwalk-Deadline-Ms": "2000"})
        try:
            responses = fleet.results(calls)
            rejected = fleet.results(fleet.chats(2))
        finally:
            for name in ENGINES:
                fleet.process(name).thaw()
        counts = count_ends(responses)
        assert counts[AnswerEnd.NOT_RUN] >= LOAD
        assert (
            sum(counts[end] for end in FAILED_ENDS)
            <= len(ENGINES) * MAX_GRANTED_PER_AGENT
        )
        reported = {(response.end, response.status) for response in rejected}
        assert reported == {(AnswerEnd.NOT_RUN, 503)}
        assert all(response.retry_after for response in rejected)

        fleet.wait_until_idle()
        responses = fleet.results(fleet.chats(6))
        assert count_ends(responses) == {AnswerEnd.WHOLE: 6}


class TestTerminatedAgent:
    def test_no_response_is_truncated(self, fleet):
        """Running requests finish, queued ones run elsewhere, and it exits with 0."""
        calls = fleet.chats(LOAD)
        victim = wait_saturated(fleet)
        process = fleet.process(victim)
        process.terminate()
        responses = fleet.results(calls)
        assert count_ends(responses) == {AnswerEnd.WHOLE: LOAD}
        assert process.wait_for_exit() == 0
        fleet.restart(victim)


class TestLeavingVm:
    def test_receives_no_new_requests_and_finishes_running_ones(self, fleet):
        """Routers stop placing requests on a VM that the list marks as leaving."""
        calls = fleet.chats(LOAD)
        victim = wait_saturated(fleet)
        fleet.set_vm_state(victim, "leaving", lag_s=1.0)
        try:
            fleet.wait(
                lambda: all(fleet.targets(r)[victim]["leaving"] for r in (0, 1)),
                "both routers to see the VM leave",
            )
            time.sleep(GRANTS_IN_FLIGHT_S)
            before = fleet.seen_at(victim)
            calls += fleet.chats(LOAD // 2)
            responses = fleet.results(calls)
            after = fleet.seen_at(victim)
        finally:
            fleet.set_vm_state(victim, "live")
        assert count_ends(responses) == {AnswerEnd.WHOLE: len(calls)}
        assert after == before
