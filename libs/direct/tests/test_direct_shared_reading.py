"""One reading of the store for many routers: no belief is older than it says.

Any changes; a store that is silent, slow or loses answers; routers that it turns away,
that are cut from each other, killed, started again and paused; messages that are lost,
late, doubled and overtaken.
"""

from collections import Counter
from dataclasses import dataclass
from json import loads
from random import Random

import pytest
from anyio import create_task_group

from berylwalk.reading import PrefixDelta, PrefixState
from virtual_fleet import DOMAINS_BY_NAME, Network, play_fleet
from virtual_store import ANSWER_S, configuration_value, target_value, until
from written_truths import Truths

DRAIN_S = 4.0
CONFIGURATION_S = 2.0
REVOCATION_S = 5.0
PLAY_S = 32.0
LOOK_S = 0.05
SOUND_FOR_S = 3.0
"""Time after which a store that is well again has to be believed within the bounds."""
ROUTERS = list(DOMAINS_BY_NAME)
TARGETS = ["i-1", "i-2"]


@pytest.fixture(autouse=True)
def by_failure_domain(monkeypatch):
    """Let four routers tell by failure domain, as a large fleet does."""
    monkeypatch.setattr("berylwalk.dispatch._peer_table.MAX_FULL_MESH_PEERS", 0)


@dataclass(frozen=True)
class Trouble:
    """Something that is wrong for a time.

    Parameters
    ----------
    kind : str
        Of the store: ``silent``, ``slow``, ``lost``, ``away`` (for one router). Of the
        network: ``lossy``, ``late``, ``cut`` (one router from the others). Of a router:
        ``killed``, ``paused`` (its messages stay where they are).
    at_s, for_s : float
        When, and how long.
    router : str
        Which one, if one is concerned.
    """

    kind: str
    at_s: float
    for_s: float
    router: str

    def holds(self, now):
        """Return whether it is going on."""
        return self.at_s <= now < self.at_s + self.for_s

    def touches(self, router, since, now):
        """Return whether a router was in it at some time since a moment."""
        is_of_store = self.kind in ("silent", "slow", "lost")
        is_meant = is_of_store or self.router == router
        return is_meant and self.at_s <= now and self.at_s + self.for_s > since


STORE_KINDS = ["silent", "slow", "lost", "away", "away"]
FLEET_KINDS = ["lossy", "late", "cut", "killed", "paused"]


class Play:
    """Troubles and changes drawn from a seed, and what must hold."""

    def __init__(self, seed):
        self.draws = Random(seed)
        self.troubles = [self._drawn(kind) for kind in self._kinds()]
        self.findings = []

    def _kinds(self):
        kinds = self.draws.sample(STORE_KINDS, k=self.draws.randint(0, 2))
        return kinds + self.draws.choices(FLEET_KINDS, k=self.draws.randint(1, 4))

    def _drawn(self, kind):
        return Trouble(
            kind,
            self.draws.uniform(4.0, PLAY_S - 8.0),
            self.draws.uniform(0.1, 14.0 if kind == "away" else 8.0),
            self.draws.choice(ROUTERS),
        )

    def _now(self, kind, router=None):
        now = self.fleet.clock()
        return any(
            each.kind == kind and each.holds(now) and router in (None, each.router)
            for each in self.troubles
        )

    def fate_of_call(self, call):
        """Return when an answer of the store arrives."""
        router = ROUTERS[int(call.transport.host.rpartition(".")[2])]
        if self._now("away", router):
            return None
        if self._now("lost") and self.draws.random() < 0.4:
            return None
        if self._now("slow"):
            return self.draws.uniform(ANSWER_S, 0.8)
        return self._held(router) + self.draws.uniform(ANSWER_S, 0.03)

    def fate_of_message(self, sender, receiver, is_beat):
        """Return the delays of a message's copies."""
        if self._now("cut", sender) or self._now("cut", receiver):
            return ()
        if self._now("lossy") and self.draws.random() < 0.5:
            return ()
        delay_s = self._held(sender) + self._held(receiver)
        delay_s += self.draws.uniform(0.0005, 0.004)
        if self._now("late"):
            # Routers still hear each other, so that they go on asking.
            delay_s += self.draws.uniform(0.0, 0.2 if is_beat else 3.0)
        copies = 2 if self.draws.random() < 0.05 else 1
        return [delay_s + 0.1 * copy for copy in range(copies)]

    def _held(self, router):
        """Return for how long a router is paused from now on."""
        now = self.fleet.clock()
        ends = [
            each.at_s + each.for_s
            for each in self.troubles
            if each.kind == "paused" and each.router == router and each.holds(now)
        ]
        return max(ends, default=now) - now

    async def run(self, fleet):
        """Play all; return what did not hold."""
        self.fleet = fleet
        self.truths = Truths(fleet.store.store, fleet.clock)
        for name in ("configuration", *TARGETS):
            self.truths.write(name, "ready")
        async with create_task_group() as tasks:
            for trouble in self.troubles:
                tasks.start_soon(self._trouble, trouble)
            tasks.start_soon(self._change)
            while fleet.clock() < PLAY_S:
                await until(fleet.clock() + LOOK_S)
                for router in fleet.routers:
                    self._look(router)
            tasks.cancel_scope.cancel()
        return self.findings

    async def _trouble(self, trouble):
        await until(trouble.at_s)
        if trouble.kind == "silent":
            await self.fleet.store.go_down(trouble.for_s)
        elif trouble.kind == "killed":
            self.fleet.kill(trouble.router)
            await until(trouble.at_s + trouble.for_s)
            if trouble.router not in self.fleet.scopes_by_name:
                self.fleet.begin(trouble.router)

    async def _change(self):
        while True:
            await until(self.fleet.clock() + self.draws.expovariate(0.8))
            name = self.draws.choice([*TARGETS, *TARGETS, "configuration"])
            state = self.draws.choice(["ready", "ready", "draining", "gone"])
            if not self.fleet.store.is_down:
                self.truths.write(name, state)
            if self.draws.random() < 0.05:
                self.fleet.store.store.compact()

    def _look(self, router):
        now = self.fleet.clock()
        if not hasattr(router, "mirrors_by_name"):
            return
        self._look_at_ages(router)
        if router.configuration.current is not None:
            if router.configuration.trusts_keys(now):
                self._expect(
                    router, "keys", "configuration", router.version, REVOCATION_S
                )
            self._look_at_bounds(router, now)

    def _look_at_ages(self, router):
        """What is known was so at the moment at which it says, or later."""
        ordered = router.mirrors_by_name["targets"]._state
        if not ordered.revision:
            return
        known = {item.key.decode()[8:]: item for item in ordered.items}
        for name in TARGETS:
            item = known.get(name)
            state = "gone" if item is None else loads(item.value)["state"]
            age_s = self.fleet.clock() - ordered.known_at
            self._expect(router, "age", name, state, age_s)

    def _look_at_bounds(self, router, now):
        for name, bound_s in (
            ("i-1", DRAIN_S),
            ("i-2", DRAIN_S),
            ("configuration", CONFIGURATION_S),
        ):
            since = now - bound_s - SOUND_FOR_S
            if now - router.began_at < bound_s or any(
                trouble.touches(router.name, since, now)
                for trouble in self.troubles
                if trouble.kind in (*STORE_KINDS, "paused", "cut")
            ):
                continue
            if name == "configuration":
                self._expect(router, "bound", name, router.version, bound_s)
            elif router.takes_work(name):
                self._expect(router, "bound", name, "ready", bound_s)

    def _expect(self, router, what, name, believed, within_s):
        """Note a belief that was true at no time within some seconds."""
        now = self.fleet.clock()
        if not self.truths.began_before(name, now - within_s):
            return
        truths = self.truths.since(name, now - within_s)
        if believed not in truths:
            found = (round(now, 2), router.name, what, name, believed, truths)
            self.findings.append(found)


def findings_of(seed):
    """Return what did not hold in the play of a seed."""
    played = Play(seed)
    return play_fleet(
        played.run,
        network=Network(played.fate_of_message),
        drain_s=DRAIN_S,
        seed=seed,
        fate=played.fate_of_call,
    )


class TestBeliefs:
    """Whatever happens to the routers, the store and the messages."""

    @pytest.mark.parametrize("first", range(0, 40, 10))
    def test_are_no_older_than_they_say_and_than_they_may_be(self, first):
        """Ages hold always; bounds while the store and the router are well."""
        found = {seed: findings_of(seed)[:2] for seed in range(first, first + 10)}
        assert {seed: each for seed, each in found.items() if each} == {}


class TestItemThatCameAndWent:
    """A reader that lists sees no sign of it, while others have seen it come."""

    def test_it_is_not_kept(self):
        """The seed that showed it."""
        assert findings_of(1563) == []


def no_age(monkeypatch):
    """Tell all as if the store had said it just now."""
    word = PrefixState.delta

    def fresh(items, name, since, now):
        told = word(items, name, since, now)
        told.age_s = 0.0
        return told

    monkeypatch.setattr(PrefixState, "delta", fresh)


def age_of_arrival(monkeypatch):
    """Date a word by its arrival in place of the question."""
    take = PrefixState.apply_delta

    def dated_late(items, word, asked_at):
        from asyncio import get_running_loop

        return take(items, word, get_running_loop().time())

    monkeypatch.setattr(PrefixState, "apply_delta", dated_late)


def revision_ignored(monkeypatch):
    """Take every word for all that there is to know."""
    take = PrefixState.apply_delta

    def whole(items, word, asked_at):
        told = PrefixDelta(word.name, word.revision, word.age_s, 0, 0, word.items)
        return take(items, told, asked_at)

    monkeypatch.setattr(PrefixState, "apply_delta", whole)


def removed_kept(monkeypatch):
    """Leave removed items out of what is told."""
    word = PrefixState.delta

    def without_removed(items, name, since, now):
        told = word(items, name, since, now)
        told.items = [item for item in told.items if item.value is not None]
        return told

    monkeypatch.setattr(PrefixState, "delta", without_removed)


def trust_for_ever(monkeypatch):
    """Take the word of others however old it is."""
    monkeypatch.setattr(
        "berylwalk.direct._mirrored_prefix.MirroredPrefix.is_fresh",
        property(lambda mirror: mirror._is_listed),
    )


class TestPlantedFaults:
    """Faults of the passing on that the plays have to show."""

    @pytest.mark.parametrize(
        "plant",
        [no_age, age_of_arrival, revision_ignored, removed_kept, trust_for_ever],
        ids=lambda plant: plant.__name__,
    )
    def test_is_shown_by_some_play(self, plant, monkeypatch):
        """One that no play shows would not be missed."""
        plant(monkeypatch)
        assert any(findings_of(seed) for seed in range(60))


class TestCalls:
    """Calls of the store are paid for."""

    @staticmethod
    async def calm(fleet):
        """Return the calls by router in a minute in which nothing changes."""
        store = fleet.store.store
        store.put(b"op/config", configuration_value(1))
        store.put(b"servers/i-1", target_value())
        await until(10.0)
        before = len(fleet.store.calls)
        await until(70.0)
        return Counter(
            ROUTERS[int(call.transport.host.rpartition(".")[2])]
            for call in fleet.store.calls[before:]
            if not call.path.startswith("/kv-keep")
        )

    def test_first_of_each_domain_reads_and_the_others_make_no_calls(self):
        """While nothing is wrong."""
        calls = play_fleet(self.calm, network=Network(), drain_s=DRAIN_S)
        assert set(calls) == {"a-1", "b-1"}

    def test_router_that_hears_nobody_reads_by_itself(self):
        """No worse than a router alone."""
        network = Network(lambda sender, receiver, is_beat: ())
        calls = play_fleet(self.calm, network=network, drain_s=DRAIN_S)
        assert set(calls) == set(ROUTERS)

    def test_change_is_told_without_a_call(self):
        """To routers that lean on others, within one question."""

        async def scenario(fleet):
            store = fleet.store.store
            store.put(b"op/config", configuration_value(1))
            store.put(b"servers/i-1", target_value())
            await until(10.0)
            before = len(fleet.store.calls)
            store.put(b"servers/i-1", target_value(state="draining"))
            await until(10.6)
            hosts = {
                call.transport.host
                for call in fleet.store.calls[before:]
                if not call.path.startswith("/kv-keep")
            }
            return [each.takes_work("i-1") for each in fleet.routers], len(hosts)

        believed, hosts = play_fleet(scenario, network=Network(), drain_s=DRAIN_S)
        assert believed == [False] * 4
        assert hosts <= 2

    def test_router_that_the_store_turns_away_goes_on(self):
        """It believes what the others tell, and keeps to the bounds."""

        async def scenario(fleet):
            self.fleet = fleet
            store = fleet.store.store
            store.put(b"op/config", configuration_value(1))
            store.put(b"servers/i-1", target_value())
            await until(16.0)
            store.put(b"op/config", configuration_value(1))
            store.put(b"servers/i-1", target_value(state="draining"))
            await until(20.0)
            away = next(each for each in fleet.routers if each.name == "a-1")
            return away.takes_work("i-1"), away.configuration.age_s(fleet.clock())

        def fate(call):
            is_turned_away = call.transport.host == "10.0.0.0"
            return None if is_turned_away and self.fleet.clock() > 12.0 else ANSWER_S

        takes_work, age_s = play_fleet(
            scenario, network=Network(), drain_s=DRAIN_S, fate=fate
        )
        assert not takes_work
        assert age_s < 3.0
