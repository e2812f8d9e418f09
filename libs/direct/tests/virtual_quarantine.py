"""Routers, targets and callers of which some end what runs them, in virtual time.

What routers believe, tell and write is the real code; that a request is sent, and what
becomes of it at a target, is played here.
"""

import random
from asyncio import Runner, get_running_loop
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

from anyio import Event, create_task_group, move_on_after, sleep

from berylwalk.affinity import parts_hash
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._peering import Peering
from berylwalk.direct._quarantine_store import QuarantineStore
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import (
    Dispatcher,
    Peer,
    PeerTable,
    QuotaRules,
    QuotaTracker,
    TargetTable,
)
from berylwalk.platform import Unavailable, UnavailableReason
from berylwalk.quarantine import Quarantine, QuarantineStatus
from berylwalk.rollout import ExposureRules, Rollouts
from berylwalk.standins.memory import InMemoryKeyValue
from virtual_play import DOMAINS, PlayedFleet
from virtual_time import VirtualLoop

CONTACT_S = 3.0
"""Time after which a router that was killed or cut off is bound by the rules again."""
BACK_S = 3.0
"""Time after which a target that ended is replaced."""
NOTICED_S = 0.002
LONGEST_RUN_S = 3.0


@dataclass(eq=False)
class Run:
    """A request at a target."""

    identity: bytes
    done: Event = field(default_factory=Event)
    outcome: str = ""

    def end(self, outcome):
        """End it, unless it has ended."""
        if not self.outcome:
            self.outcome = outcome
            self.done.set()


class Engine:
    """A target, over all its lives."""

    def __init__(self, play, number):
        self.play = play
        self.number = number
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.lives = 0
        self.is_up = True
        self.newest_by_life = {}
        self.runs = {}

    @property
    def incarnation_id(self):
        """Return the id of the present life."""
        return f"i-{self.number}-{self.lives}"

    async def run(self, identity, takes_s):
        """Run a request; return how it ended."""
        run = Run(identity)
        self.runs[run] = None
        try:
            with move_on_after(takes_s):
                await run.done.wait()
            if not run.outcome and identity in self.play.guilty:
                self.play.note_ended_by(identity)
                self.crash()
            run.end("answered")
        finally:
            self.runs.pop(run, None)
        if run.outcome != "answered":
            await sleep(NOTICED_S * self.play.random.random())
        return run.outcome

    def crash(self):
        """End this life with all that runs; a next one follows."""
        if not self.is_up:
            return
        self.is_up = False
        self.newest_by_life[self.incarnation_id] = list(self.runs)[-1:]
        for run in list(self.runs):
            run.end("closed")
        get_running_loop().call_later(BACK_S, self._begin)

    def reset_one(self):
        """Reset the connection of one request; the target goes on."""
        if self.runs:
            self.play.random.choice(list(self.runs)).end("closed")

    def _begin(self):
        self.lives += 1
        self.is_up = True


class QuarantineRouter:
    """One life of a router."""

    def __init__(self, play, name, domain, life):
        self.play = play
        self.name = name
        self.clock = get_running_loop().time
        self.lines = []
        targets = TargetTable()
        self.quarantine = Quarantine()
        self.context = SimpleNamespace(
            settings=SimpleNamespace(
                name=name,
                failure_domain=domain,
                heartbeat_s=1.2,
                caller_address=SimpleNamespace(host=name),
                peer_port=1,
            ),
            targets=targets,
            quotas=QuotaTracker(QuotaRules(), started_at=self.clock()),
            dispatcher=Dispatcher(targets, failure_domain=domain),
            quarantine=self.quarantine,
            rollouts=Rollouts(ExposureRules()),
            peers=PeerTable(name, domain),
            metrics=RouterMetrics(),
            log=SimpleNamespace(process=self._log),
            note_suspension=lambda: None,
            clock=self.clock,
        )
        store_health = StoreHealth(self.context)
        store = StoreOf(play, name)
        self.peering = Peering(self.context, store, store_health)
        self.peering._transport = SimpleNamespace(sendto=self._send)
        self.note = QuarantineStore(
            self.context, store, store_health, wall_clock=self.clock
        )
        self.quarantine.on_urgent_update = self.peering.send_soon
        self.quarantine.on_change = lambda change: self.note.wake()

    def _log(self, event, **fields):
        self.lines.append((round(self.clock(), 3), event, fields))

    def _send(self, data, address):
        self.play.carry(self.name, address[0], data)

    async def run(self):
        """Tell, write and read for ever."""
        others = [
            Peer(each, each, 1, "listed", domain)
            for each, domain in self.play.domains_by_name.items()
        ]
        self.context.peers.replace(others, self.clock())
        async with create_task_group() as tasks:
            for each in (
                self.peering._send_loop,
                self.peering._relay_loop,
                self.note.run,
            ):
                tasks.start_soon(each)

    async def serve(self, identity, takes_s):
        """Send a request as an exchange does; return its status."""
        sent_as, identity = identity, self.play.plants.known_as(identity)
        standing = self.quarantine.status(identity, self.clock())
        if standing is QuarantineStatus.BLAMED:
            return "held-back"
        is_trial = standing is QuarantineStatus.TRIAL
        if is_trial and not await self.note.acquire_trial_permit(identity):
            return "held-back"
        for _ in range(self.play.attempts):
            apart = is_trial or standing is QuarantineStatus.SUSPECTED
            engine = self.play.choose(identity if apart else b"")
            if engine is None:
                return "no-place"
            incarnation_id, sent_at = engine.incarnation_id, self.clock()
            self.play.note_sent(sent_as, self.name)
            outcome = await engine.run(sent_as, takes_s)
            if outcome == "answered":
                self.quarantine.record_alive(incarnation_id, sent_at, self.clock())
                self.quarantine.record_success(identity, self.clock())
                return "answered"
            self.play.plants.note_ended(self, identity, engine, incarnation_id)
            standing = self.quarantine.status(identity, self.clock())
            if standing.is_blocked:
                break
        return "broken"


class StoreOf:
    """The store as one router reaches it."""

    def __init__(self, play, name):
        self._play = play
        self._name = name

    def __getattr__(self, call):
        async def make(*arguments, **options):
            is_cut = self._name in self._play.cut_from_store
            if is_cut or self._play.plants.no_store:
                return Unavailable(UnavailableReason.NOT_SENT, "cut off")
            return await getattr(self._play.store, call)(*arguments, **options)

        return make


class Plants:
    """Deliberate faults of the routers; without one they are as they are."""

    no_store = False
    no_sharing = False

    def known_as(self, identity):
        """Return what a request is taken for."""
        return identity

    def note_ended(self, router, identity, engine, incarnation_id):
        """Note that the connection of a request was closed."""
        router.quarantine.record_crash(identity, incarnation_id, router.clock())


@dataclass
class Figures:
    """What came of a play."""

    ended_by: Counter = field(default_factory=Counter)
    third_at: dict = field(default_factory=dict)
    sent_late: Counter = field(default_factory=Counter)
    innocents: int = 0
    innocents_held_back: int = 0
    innocents_broken: int = 0
    store_calls: int = 0


class QuarantinePlay(PlayedFleet):
    """A fleet, its callers and the faults of a seed.

    Parameters
    ----------
    seed : int
        Of all that is drawn.
    routers, engines, guilty : int
        How many there are.
    faults : collection of str
        Kinds of faults that are drawn; empty for none.
    lasts_s : float
        How long it lasts, in seconds.
    innocents_per_s : float
        Harmless requests a second.
    guilty_run_s : float
        After what time a guilty request ends its target, in seconds.
    returns_after_s : (float, float)
        Bounds of the time after which a guilty request comes again, in seconds.
    fault_after_s : (float, float)
        Bounds of the time from one fault to the next, in seconds.
    attempts : int
        Targets to which a router sends a request at most.
    plants : Plants
        Deliberate faults of the routers.
    """

    def __init__(
        self,
        seed,
        *,
        routers,
        engines,
        guilty,
        faults,
        lasts_s=90.0,
        innocents_per_s=20.0,
        guilty_run_s=0.12,
        returns_after_s=(0.1, 1.5),
        fault_after_s=(0.5, 6.0),
        attempts=4,
        plants=None,
    ):
        super().__init__(routers)
        self.seed = seed
        self.random = Random(seed)
        self.plants = plants or Plants()
        self.lasts_s = lasts_s
        self.innocents_per_s = innocents_per_s
        self.guilty_run_s = guilty_run_s
        self.returns_after_s = returns_after_s
        self.fault_after_s = fault_after_s
        self.attempts = attempts
        self.faults = faults
        self.figures = Figures()
        self.guilty = [self._identity(b"acct") for _ in range(guilty)]
        self.engines = [Engine(self, number) for number in range(engines)]
        self.cut_from_store = set()

    def play(self):
        """Play it; return its figures."""
        # Pauses between calls of the store are drawn from here.
        random.seed(self.seed)
        with Runner(loop_factory=lambda: VirtualLoop(None)) as runner:
            return runner.run(self._main())

    async def _main(self):
        self.clock = get_running_loop().time
        self.store = InMemoryKeyValue(clock=self.clock)
        self.store.delay_s = 0.006
        self.store_disturbed_at = float("-inf")
        async with create_task_group() as self.tasks:
            for name in self.domains_by_name:
                self.begin(name)
            await sleep(1.0)
            self.tasks.start_soon(self._innocents)
            for identity in self.guilty:
                for _ in range(self.random.choice((1, 2))):
                    self.tasks.start_soon(self._returns, identity)
            if self.faults:
                self.tasks.start_soon(self._disturb)
            await sleep(self.lasts_s)
            self.tasks.cancel_scope.cancel()
        self.figures.store_calls = self.store.calls
        return self.figures

    # Callers.

    def _identity(self, account):
        return account + self.random.randbytes(12)

    async def _innocents(self):
        while True:
            await sleep(self.random.expovariate(self.innocents_per_s))
            self.tasks.start_soon(self._innocent, self._identity(b"inno"))

    async def _innocent(self, identity):
        takes_s = self.random.uniform(0.05, LONGEST_RUN_S)
        self.figures.innocents += 1
        for _ in range(2):
            status = await self._call(identity, takes_s)
            if status == "held-back":
                self.figures.innocents_held_back += 1
            if status != "broken":
                return
            self.figures.innocents_broken += 1
            await sleep(self.random.uniform(0.2, 1.0))

    async def _returns(self, identity):
        """Come again for as long as the play lasts."""
        await sleep(self.random.uniform(0, 10))
        while True:
            await self._call(identity, self.guilty_run_s)
            await sleep(self.random.uniform(*self.returns_after_s))

    async def _call(self, identity, takes_s):
        names = sorted(self.routers_by_name)
        if not names:
            return "no-router"
        name = self.random.choice(names)
        router, tasks = self.routers_by_name[name], self.tasks_by_name[name]
        status = "broken"
        done = Event()

        async def serve():
            nonlocal status
            try:
                status = await router.serve(identity, takes_s)
            finally:
                done.set()

        # A router that is killed takes its requests along.
        tasks.start_soon(serve)
        await done.wait()
        return status

    def choose(self, isolation_key):
        """Return the target that a router chooses, or None."""
        up = [engine for engine in self.engines if engine.is_up]
        if not up or not isolation_key:
            return self.random.choice(up) if up else None
        up.sort(key=lambda engine: len(engine.runs))
        emptiest = up[: max(2, len(up) // 3)]
        return max(
            emptiest,
            key=lambda each: parts_hash([isolation_key, each.incarnation_id.encode()]),
        )

    # What counts.

    def note_ended_by(self, identity):
        """Count an end of a target by a guilty request."""
        self.figures.ended_by[identity] += 1
        if self.figures.ended_by[identity] == 3:
            self.figures.third_at[identity] = self.clock()

    def note_sent(self, identity, name):
        """Count a send that the bound counts."""
        third_at = self.figures.third_at.get(identity, float("inf"))
        now = self.clock()
        disturbed_at = max(
            self.disturbed_at_by_name.get(name, float("-inf")),
            self.store_disturbed_at,
            now if name in self.cut or self.store.down else float("-inf"),
        )
        if now > third_at + CONTACT_S and now > disturbed_at + CONTACT_S:
            self.figures.sent_late[identity] += 1

    def make_router(self, name, domain, life):
        """Return one life of a router."""
        return QuarantineRouter(self, name, domain, life)

    # Faults.

    async def _disturb(self):
        while True:
            await sleep(self.random.uniform(*self.fault_after_s))
            await getattr(self, "_" + self.random.choice(self.faults))()

    async def _end_one(self):
        self.random.choice(self.engines).crash()

    async def _end_domain(self):
        domain = self.random.choice(DOMAINS)
        for engine in self.engines:
            if engine.domain == domain:
                engine.crash()

    async def _reset(self):
        for _ in range(20):
            self.random.choice(self.engines).reset_one()
            await sleep(0.1)

    async def _kill_all(self):
        self.kill(list(self.domains_by_name))
        await sleep(4.0)

    async def _cut_one(self):
        name = self.random.choice(sorted(self.domains_by_name))
        self.cut.add(name)
        self.cut_from_store.add(name)
        await sleep(self.random.uniform(1.0, 8.0))
        self.cut.discard(name)
        self.cut_from_store.discard(name)
        self.disturbed_at_by_name[name] = self.clock()

    async def _store_away(self):
        self.store.down = True
        await sleep(self.random.uniform(0.5, 8.0))
        self.store.down = False
        self.store_disturbed_at = self.clock()
