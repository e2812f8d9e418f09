"""Targets get what they say that they take: limits, rest, leaving."""

from anyio import sleep

from virtual_statements import StatementPlay


class TestLimit:
    """A target names the requests a second that it takes of all routers together."""

    def test_sum_over_routers_stays_within_the_limit_of_a_target(self):
        """Those that were told send no more than it allows, whoever sends it."""

        async def script(play):
            await sleep(4.0)
            play.targets[0].name_limit(1.3)
            play.targets[1].name_limit(5.0)

        play = StatementPlay(1, routers=6, targets=6, script=script)
        play.play()
        assert [play.most_over_limit(each) <= 0 for each in play.targets[:2]] == [
            True,
            True,
        ]


class TestRest:
    """A target turns a request away and says for how long it wants no other."""

    def test_target_at_rest_gets_nothing_of_the_router_that_it_told(self):
        """Not even one after the other, each refused."""

        async def script(play):
            await sleep(3.0)
            for target in play.targets[:3]:
                target.rest_s = 3.0

        play = StatementPlay(1, routers=6, targets=9, script=script)
        play.play()
        assert max(play.most_in_rest(each) for each in play.targets) <= 2


class TestLeaving:
    """A target says in its answers that it leaves; its entry says nothing."""

    def test_target_that_leaves_gets_nothing_once_it_has_said_so(self):
        """Of no router that passed such an answer on."""

        async def script(play):
            await sleep(3.0)
            play.targets[0].is_leaving = True

        play = StatementPlay(1, routers=6, targets=6, script=script)
        play.play()
        assert play.sent_while_leaving(play.targets[0]) == 0
