"""Refusals of a router whose VM has little left, and its readiness."""

from random import Random

import pytest

from berylwalk.dispatch import RouterPressure, VmCapacity, VmResource

STEP_S = 0.1
OPEN = 10
"""Open requests that use the VM."""
SETTLED_S = 20.0
"""Time after which the means are those of the present use."""
URGENT, USUAL, LEAST = (0, 0), (0, 1), (1, 2)


class Router:
    """A router whose VM is used to some share by some open requests."""

    def __init__(self, name="r-0"):
        self.name = name
        self.now = 0.0
        self.random = Random(1)
        self.capacity = VmCapacity(name)

    def use(self, share, duration_s=STEP_S, *, peers=(), open_requests=OPEN):
        """Use the link to a share for a while."""
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            self.capacity.record(
                {VmResource.LINK: share}, self.now, open_requests=open_requests
            )
            self.capacity.update_readiness(peers, self.now)

    def refused(self, *ranks, count=300, open_requests=OPEN):
        """Return the shares of requests that are refused, by rank."""
        refused = dict.fromkeys(ranks, 0)
        for _ in range(count):
            for rank in ranks:
                refused[rank] += self.capacity.refuses(
                    rank, open_requests=open_requests, draw=self.random.random
                )
        return {rank: number / count for rank, number in refused.items()}

    def taken(self, count, *, open_requests=OPEN, step_s=0.0):
        """Return how many new connections are taken; none of them sends a request."""
        taken = 0
        for _ in range(count):
            self.now += step_s
            taken += self.capacity.takes_connection(open_requests, self.now)
        return taken


def peers(count, **changes):
    """Return known peers."""
    return [RouterPressure(f"p-{number}", **changes) for number in range(count)]


class TestRefusals:
    """Requests that are refused to spare the VM."""

    def test_missing_limits_are_not_judged(self):
        """Without limits nothing is refused."""
        capacity = VmCapacity("r-0")
        capacity.record({}, 0.0)
        assert (capacity.pressure, capacity.refuses(LEAST, draw=lambda: 0.0)) == (
            0.0,
            False,
        )

    def test_nothing_is_refused_below_the_limit(self):
        """A VM that is well used serves everybody."""
        router = Router()
        router.use(0.89, 60.0)
        assert router.refused(LEAST) == {LEAST: 0.0}

    def test_largest_share_counts(self):
        """One exhausted resource is enough to fail callers."""
        capacity = VmCapacity("r-0")
        capacity.record({VmResource.LINK: 0.1, VmResource.MEMORY: 0.95}, 0.0)
        assert capacity.pressure == 0.95

    def test_least_urgent_are_refused_first(self):
        """The more urgent ones are served in full meanwhile."""
        router = Router()
        router.use(1.0, SETTLED_S)
        router.refused(URGENT, USUAL, LEAST)
        assert router.capacity.refused_share == pytest.approx(0.45, abs=0.01)
        refused = router.refused(URGENT, USUAL, LEAST)
        assert refused[LEAST] == 1.0
        assert 0.2 < refused[USUAL] < 0.5
        assert refused[URGENT] == 0.0

    def test_requests_of_one_rank_are_refused_in_part(self):
        """A rank is not cut off because it is the only one."""
        router = Router()
        router.use(1.0, SETTLED_S)
        assert router.refused(URGENT)[URGENT] == pytest.approx(0.45, abs=0.1)

    def test_refusals_do_not_add_up(self):
        """The same use refuses the same share, however long it lasts."""
        router = Router()
        router.use(0.95, SETTLED_S)
        refused_share = router.capacity.refused_share
        router.use(0.95, 100.0)
        assert 0.1 < router.capacity.refused_share < 0.4
        assert router.capacity.refused_share == pytest.approx(refused_share, abs=0.01)

    def test_refusals_end_with_the_load(self):
        """Fewer open requests are served at once, also just below the limit."""
        router = Router()
        router.use(1.0, SETTLED_S)
        assert router.refused(URGENT, open_requests=8) == {URGENT: 0.0}
        assert router.refused(URGENT, open_requests=12)[URGENT] > 0.6

    def test_some_are_always_taken(self):
        """A wrong measurement must not turn a router off."""
        router = Router()
        router.use(5.0, 60.0)
        assert router.refused(URGENT)[URGENT] < 0.95

    def test_long_gap_does_not_jump(self):
        """A suspension counts like one second."""
        router = Router()
        router.use(0.0, SETTLED_S)
        router.now += 600.0
        router.use(1.0)
        assert router.capacity.refused_share == 0.0


class TestConnections:
    """New connections that are turned away to spare the VM."""

    def test_all_are_taken_while_there_is_room(self):
        """A VM that is well used serves everybody."""
        router = Router()
        router.use(0.5, SETTLED_S)
        router.capacity.update_room_of_others(peers(3))
        assert router.taken(3) == 3

    def test_surge_is_turned_away_before_it_is_measured(self):
        """What was taken since the last measurement counts like open requests."""
        router = Router()
        router.use(0.2, SETTLED_S)
        router.capacity.update_room_of_others(peers(3))
        assert 20 <= router.taken(1000) <= 32

    def test_few_open_requests_say_little(self):
        """A VM that is busy with something else is not filled by a few requests."""
        router = Router()
        router.use(0.2, SETTLED_S, open_requests=1)
        router.capacity.update_room_of_others(peers(3))
        assert router.taken(10, open_requests=1) == 10

    def test_work_beside_the_requests_is_not_counted_for_each(self):
        """Three times as many requests rarely need three times as much."""
        router = Router()
        router.use(0.3, SETTLED_S)
        router.use(0.4, 2.0, open_requests=3 * OPEN)
        router.capacity.update_room_of_others(peers(3))
        assert router.taken(10, open_requests=3 * OPEN) == 10

    def test_open_requests_of_other_sizes_are_learned(self):
        """The same number of smaller requests leaves room."""
        router = Router()
        router.use(0.8, SETTLED_S)
        router.capacity.update_room_of_others(peers(3))
        assert router.taken(10) == 1
        assert router.taken(10) == 0
        router.use(0.2, SETTLED_S)
        assert router.taken(10) == 10

    def test_none_is_turned_away_if_others_have_no_room(self):
        """Callers would be turned away there, whatever their rank."""
        router = Router()
        router.use(1.0, SETTLED_S)
        for others in ([], peers(3, has_room=False), peers(3, is_heard=False)):
            router.capacity.update_room_of_others(others)
            assert router.taken(10) == 10

    def test_half_of_the_others_must_have_room(self):
        """Callers that are turned away reach one at random."""
        router = Router()
        full, silent = peers(1, has_room=False), peers(1, is_heard=False)
        router.capacity.update_room_of_others([*full, *silent, *peers(1)])
        assert not router.capacity.others_have_room
        router.capacity.update_room_of_others([*full, *silent, *peers(2)])
        assert router.capacity.others_have_room

    def test_some_are_always_taken(self):
        """Callers that reach nobody else get in, and a wrong measurement heals."""
        router = Router()
        router.use(5.0, SETTLED_S)
        router.capacity.update_room_of_others(peers(3))
        assert 3 <= router.taken(200, step_s=0.01) <= 5

    def test_router_that_turns_away_wants_no_more(self):
        """The load balancer learns of it as well, and callers need no second try."""
        router = Router()
        router.use(0.2, SETTLED_S)
        router.capacity.update_room_of_others(peers(3))
        for _ in range(25):
            router.use(0.79, peers=peers(3), open_requests=4 * OPEN)
            router.taken(5, open_requests=4 * OPEN)
        assert router.capacity.is_unready
        router.use(0.5, 2.0, peers=peers(3))
        assert not router.capacity.is_unready


class TestReadiness:
    """Answers to the load balancer."""

    def test_unready_only_after_a_while(self):
        """A short peak must not move callers."""
        router = Router()
        router.use(1.0, 1.9, peers=peers(3))
        assert not router.capacity.is_unready
        router.use(1.0, 0.5, peers=peers(3))
        assert router.capacity.is_unready

    def test_ready_again_with_hysteresis(self):
        """It must not return at the share at which it left."""
        router = Router()
        router.use(1.0, 3.0, peers=peers(3))
        router.use(0.85, 10.0, peers=peers(3))
        assert router.capacity.is_unready
        router.use(0.7, peers=peers(3))
        assert not router.capacity.is_unready

    def test_small_domains_stay_ready(self):
        """A quarter of less than four routers is none."""
        for count in range(3):
            router = Router()
            router.use(1.0, 10.0, peers=peers(count))
            assert not router.capacity.is_unready

    def test_peers_that_are_not_heard_count_as_unready(self):
        """They may be gone, and their callers come here."""
        router = Router()
        router.use(1.0, 10.0, peers=[*peers(2), RouterPressure("x", is_heard=False)])
        assert router.capacity.is_unready is False
        router.use(1.0, 10.0, peers=peers(3))
        assert router.capacity.is_unready

    def test_peers_that_are_unready_for_other_reasons_count(self):
        """A router that stops takes a place."""
        router = Router()
        stopping = RouterPressure("p-9", is_unready=True)
        router.use(1.0, 10.0, peers=[*peers(2), stopping])
        assert not router.capacity.is_unready
        router.use(1.0, 10.0, peers=peers(3))
        assert router.capacity.is_unready
        router.use(1.0, peers=[*peers(2), stopping])
        assert not router.capacity.is_unready

    def test_router_that_hears_nobody_stays_ready(self):
        """It can't know whether others serve."""
        router = Router()
        router.use(1.0, 10.0, peers=peers(20, is_heard=False))
        assert not router.capacity.is_unready

    def test_unready_router_returns_if_others_vanish(self):
        """Its callers need it more than it needs rest."""
        router = Router()
        router.use(1.0, 3.0, peers=peers(3))
        assert router.capacity.is_unready
        router.use(1.0, peers=peers(3, is_heard=False))
        assert not router.capacity.is_unready

    @pytest.mark.parametrize("count", [1, 3, 4, 7, 8, 21])
    def test_all_routers_of_a_domain_at_their_limit(self, count):
        """At most a quarter leaves, however many want to at the same moment."""
        routers = [Router(f"r-{number}") for number in range(count)]
        told = {}
        for step in range(100):
            for router in routers:
                others = [each for name, each in told.items() if name != router.name]
                router.use(1.0 + step % 3 / 100, peers=others)
            told = {
                router.name: RouterPressure(
                    router.name,
                    router.capacity.claim,
                    router.capacity.is_unready,
                )
                for router in routers
            }
            unready = sum(router.capacity.is_unready for router in routers)
            assert unready <= count // 4
        assert unready == count // 4

    def test_too_many_unready_return_by_pressure(self):
        """If a quarter is exceeded after all, the one under less pressure returns."""
        heavy = RouterPressure("p-9", 150, is_unready=True)
        router = Router()
        router.use(1.0, 3.0, peers=peers(3))
        router.use(1.0, peers=[*peers(2), heavy])
        assert not router.capacity.is_unready
