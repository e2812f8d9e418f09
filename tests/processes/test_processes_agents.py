"""Agents that die, freeze or end while requests wait and run."""

import time
from collections import Counter

from berylwalk.localfleet import AnswerEnd

ENGINES = ("engine-1", "engine-2", "engine-3")
FAILED = (AnswerEnd.BROKEN, AnswerEnd.UNKNOWN)
LOAD = 24
SETTLE_S = 0.5
"""For grants that were sent just before a router saw the VM leave."""
# Slots, and a grant more that may be on its way.
MOST_GRANTED = 3


def ends(answers):
    """Count answers by how they ended."""
    return Counter(answer.end for answer in answers)


def wait_saturated(fleet):
    """Wait until requests run and wait at some engine's agent; return its name."""
    saturated = []

    def found():
        targets = fleet.targets()
        saturated[:] = [name for name in ENGINES if is_saturated(targets[name])]
        return bool(saturated)

    fleet.wait(found, "requests that wait at an agent")
    return saturated[0]


def is_saturated(target):
    """Whether requests run and wait at a target."""
    return target["waiting"] >= 2 and target["running"] >= 2


class TestKilledAgent:
    def test_waiting_requests_finish_elsewhere(self, fleet):
        """Only what ran at a killed agent fails, visibly; a restart serves again."""
        calls = fleet.chats(LOAD)
        victim = wait_saturated(fleet)
        fleet.process(victim).kill()
        answers = fleet.results(calls)
        granted = fleet.seen_at(victim)
        failed = [answer for answer in answers if answer.end in FAILED]
        assert {answer.request_id for answer in failed} <= set(granted)
        assert 1 <= len(failed) <= MOST_GRANTED
        assert ends(answers)[AnswerEnd.WHOLE] == LOAD - len(failed)

        fleet.restart(victim)
        answers = fleet.results(fleet.chats(LOAD))
        assert ends(answers) == {AnswerEnd.WHOLE: LOAD}
        assert len(fleet.seen_at(victim)) > len(granted)


class TestFrozenAgent:
    def test_thawed_agent_runs_nothing_that_was_told_not_run(self, fleet):
        """Callers have their final answers before the thaw, and none is doubled."""
        calls = fleet.chats(LOAD)
        victim = wait_saturated(fleet)
        process = fleet.process(victim)
        process.freeze()
        try:
            answers = fleet.results(calls)
        finally:
            process.thaw()
        failed = [answer for answer in answers if answer.end in FAILED]
        assert len(failed) <= MOST_GRANTED
        assert ends(answers)[AnswerEnd.WHOLE] == LOAD - len(failed)


class TestFrozenAgents:
    def test_none_runs_what_was_given_up(self, fleet):
        """What waited or was granted when all froze has its answer before the thaw."""
        calls = fleet.chats(LOAD)
        calls += fleet.chats(LOAD, headers={"Berylwalk-Deadline-Ms": "5000"})
        wait_saturated(fleet)
        for name in ENGINES:
            fleet.process(name).freeze()
        calls += fleet.chats(LOAD, headers={"Berylwalk-Deadline-Ms": "2000"})
        try:
            answers = fleet.results(calls)
            late = fleet.results(fleet.chats(2))
        finally:
            for name in ENGINES:
                fleet.process(name).thaw()
        counts = ends(answers)
        assert counts[AnswerEnd.NOT_RUN] >= LOAD
        assert sum(counts[end] for end in FAILED) <= len(ENGINES) * MOST_GRANTED
        told = {(answer.end, answer.status) for answer in late}
        assert told == {(AnswerEnd.NOT_RUN, 503)}
        assert all(answer.retry_after for answer in late)

        fleet.wait_calm()
        answers = fleet.results(fleet.chats(6))
        assert ends(answers) == {AnswerEnd.WHOLE: 6}


class TestEndedAgent:
    def test_nothing_is_cut(self, fleet):
        """Running streams finish, waiting ones go elsewhere, and it exits with 0."""
        calls = fleet.chats(LOAD)
        victim = wait_saturated(fleet)
        process = fleet.process(victim)
        process.terminate()
        answers = fleet.results(calls)
        assert ends(answers) == {AnswerEnd.WHOLE: LOAD}
        assert process.wait_for_exit() == 0
        fleet.restart(victim)


class TestLeavingVm:
    def test_gets_no_new_work_and_finishes_its_own(self, fleet):
        """A VM that a lagging list marks as leaving runs out of work."""
        calls = fleet.chats(LOAD)
        victim = wait_saturated(fleet)
        fleet.set_vm_state(victim, "leaving", lag_s=1.0)
        try:
            fleet.wait(
                lambda: all(fleet.targets(r)[victim]["leaving"] for r in (0, 1)),
                "both routers to see the VM leave",
            )
            time.sleep(SETTLE_S)
            before = fleet.seen_at(victim)
            calls += fleet.chats(LOAD // 2)
            answers = fleet.results(calls)
            after = fleet.seen_at(victim)
        finally:
            fleet.set_vm_state(victim, "live")
        assert ends(answers) == {AnswerEnd.WHOLE: len(calls)}
        assert after == before
