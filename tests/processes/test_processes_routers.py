"""Routers that die or end while they hold requests."""

from collections import Counter

from berylwalk.localfleet import AnswerEnd

VICTIM = "entry-1"
OTHER = 1
LOAD = 24
LOST = {AnswerEnd.BROKEN, AnswerEnd.NO_CONNECTION}
NOT_TAKEN = {AnswerEnd.NOT_RUN, AnswerEnd.NO_CONNECTION}


def wait_saturated(fleet):
    """Wait until requests run and wait at some agent."""

    def saturated():
        targets = fleet.targets(OTHER).values()
        return any(each["waiting"] >= 2 and each["running"] >= 2 for each in targets)

    fleet.wait(saturated, "requests that wait")


class TestKilledRouter:
    def test_other_callers_are_served(self, fleet):
        """Agents drop the reservations of a dead router and serve the other's."""
        lost = fleet.chats(LOAD // 2, routers=(0,))
        kept = fleet.chats(LOAD // 2, routers=(1,))
        wait_saturated(fleet)
        fleet.process(VICTIM).kill()
        assert {answer.end for answer in fleet.results(kept)} == {AnswerEnd.WHOLE}
        ends = {answer.end for answer in fleet.results(lost)}
        assert ends & LOST
        assert ends <= LOST | {AnswerEnd.WHOLE}

        def forgotten():
            targets = fleet.targets(OTHER).values()
            return not any(each["waiting"] or each["running"] for each in targets)

        fleet.wait(forgotten, "agents to drop what the dead router held")
        fleet.restart(VICTIM)
        answers = fleet.results(fleet.chats(LOAD, routers=(0,)))
        assert {answer.end for answer in answers} == {AnswerEnd.WHOLE}


class TestEndedRouter:
    def test_nothing_is_cut(self, fleet):
        """Accepted streams finish, new calls are turned away, and it exits with 0."""
        calls = fleet.chats(LOAD, routers=(0,))

        def all_accepted():
            # Those that have ended first: one that ends between the two counts is in
            # neither, and no moment has to be met at which all 24 are held.
            ended = sum(call.done() for call in calls)
            return ended + fleet.accepted(0) == LOAD

        fleet.wait(all_accepted, "all calls to be accepted")
        process = fleet.process(VICTIM)
        process.terminate()
        late = fleet.chats(4, routers=(0,))
        ends = Counter(answer.end for answer in fleet.results(calls))
        assert ends == {AnswerEnd.WHOLE: LOAD}
        assert process.wait_for_exit() == 0
        # The signal may be handled after a late call has arrived.
        late_ends = {answer.end for answer in fleet.results(late)}
        assert late_ends <= NOT_TAKEN | {AnswerEnd.WHOLE}
        fleet.restart(VICTIM)
