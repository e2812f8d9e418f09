"""Routers that are killed or terminated while they hold requests."""

from collections import Counter

from berylwalk.localfleet import AnswerEnd

VICTIM = "entry-1"
OTHER = 1
LOAD = 24
LOST_ENDS = {AnswerEnd.BROKEN, AnswerEnd.NO_CONNECTION}
NOT_ACCEPTED_ENDS = {AnswerEnd.NOT_RUN, AnswerEnd.NO_CONNECTION}


def wait_saturated(fleet):
    """Wait until some agent has running and queued requests."""

    def saturated():
        targets = fleet.targets(OTHER).values()
        return any(each["waiting"] >= 2 and each["running"] >= 2 for each in targets)

    fleet.wait(saturated, "requests to queue at an agent")


class TestKilledRouter:
    def test_other_callers_are_served(self, fleet):
        """Agents drop the reservations of a killed router and serve the other's."""
        killed_calls = fleet.chats(LOAD // 2, routers=(0,))
        other_calls = fleet.chats(LOAD // 2, routers=(1,))
        wait_saturated(fleet)
        fleet.process(VICTIM).kill()
        assert {response.end for response in fleet.results(other_calls)} == {
            AnswerEnd.WHOLE
        }
        ends = {response.end for response in fleet.results(killed_calls)}
        assert ends & LOST_ENDS
        assert ends <= LOST_ENDS | {AnswerEnd.WHOLE}

        def reservations_dropped():
            targets = fleet.targets(OTHER).values()
            return not any(each["waiting"] or each["running"] for each in targets)

        fleet.wait(
            reservations_dropped, "agents to drop the reservations of the killed router"
        )
        fleet.restart(VICTIM)
        responses = fleet.results(fleet.chats(LOAD, routers=(0,)))
        assert {response.end for response in responses} == {AnswerEnd.WHOLE}


class TestTerminatedRouter:
    def test_no_response_is_truncated(self, fleet):
        """Accepted requests finish, new ones are refused, and the exit code is 0."""
        calls = fleet.chats(LOAD, routers=(0,))

        def all_accepted():
            # Ended calls are counted first, so that a call that ends between the two
            # counts is in neither rather than in both.
            ended = sum(call.done() for call in calls)
            return ended + fleet.accepted(0) == LOAD

        fleet.wait(all_accepted, "all calls to be accepted")
        process = fleet.process(VICTIM)
        process.terminate()
        late = fleet.chats(4, routers=(0,))
        ends = Counter(response.end for response in fleet.results(calls))
        assert ends == {AnswerEnd.WHOLE: LOAD}
        assert process.wait_for_exit() == 0
        # The signal may be handled after a late call has arrived.
        late_ends = {response.end for response in fleet.results(late)}
        assert late_ends <= NOT_ACCEPTED_ENDS | {AnswerEnd.WHOLE}
        fleet.restart(VICTIM)
