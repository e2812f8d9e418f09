"""Simulation of routers, targets and callers with faulty requests in virtual time.

Peering, quarantine and its records are the real code; sending requests and running
them at targets is simulated.
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
    AccountUsage,
    Dispatcher,
    Peer,
    PeerTable,
    QuotaRules,
    QuotaTracker,
    RefusedRequests,
    StreamVersions,
    TargetTable,
    VmCapacity,
    WindowedRetryBudget,
)
from berylwalk.forwarding import TrafficCounter
from berylwalk.platform import Unavailable, UnavailableReason
from berylwalk.quarantine import Quarantine, QuarantineStatus
from berylwalk.rollout import ExposureRules, Rollouts
from berylwalk.standins.memory import InMemoryKeyValue
from virtual_hosts import host_of, name_of
from virtual_play import DOMAINS, SimulatedFleet
from virtual_time import VirtualLoop, seeded_ids

GRACE_S = 3.0
"""Grace period after a fault of a router."""
REPLACED_AFTER_S = 3.0
"""Time after which a terminated target is replaced."""
DETECTION_S = 0.002
MAX_RUN_S = 3.0


@dataclass(eq=False)
class Run:
    """A request running at a target."""

    identity: bytes
    done: Event = field(default_factory=Event)
    outcome: str = ""

    def end(self, outcome):
        """End the run, unless it has ended."""
        if not self.outcome:
            self.outcome = outcome
            self.done.set()


class Engine:
    """A target across its incarnations."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.number = number
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.incarnations = 0
        self.is_up = True
        self.newest_by_incarnation = {}
        self.runs = {}

    @property
    def incarnation_id(self):
        """Return the id of the current incarnation."""
        return f"i-{self.number}-{self.incarnations}"

    async def run(self, identity, run_s):
        """Run a request and return its outcome."""
        run = Run(identity)
        self.runs[run] = None
        try:
            with move_on_after(run_s):
                await run.done.wait()
            if not run.outcome and identity in self.simulation.faulty:
                self.simulation.count_crash(identity)
                self.crash()
            run.end("answered")
        finally:
            self.runs.pop(run, None)
        if run.outcome != "answered":
            await sleep(DETECTION_S * self.simulation.random.random())
        return run.outcome

    def crash(self):
        """Terminate with all running requests; a new incarnation follows."""
        if not self.is_up:
            return
        self.is_up = False
        self.newest_by_incarnation[self.incarnation_id] = list(self.runs)[-1:]
        for run in list(self.runs):
            run.end("closed")
        get_running_loop().call_later(REPLACED_AFTER_S, self._restart)

    def reset_one(self):
        """Reset the connection of one request without terminating."""
        if self.runs:
            self.simulation.random.choice(list(self.runs)).end("closed")

    def _restart(self):
        self.incarnations += 1
        self.is_up = True


class QuarantineRouter:
    """One process of a router."""

    def __init__(self, simulation, name, domain, incarnation):
        self.simulation = simulation
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
                caller_address=SimpleNamespace(host=host_of(name)),
                peer_port=1,
            ),
            targets=targets,
            quotas=QuotaTracker(QuotaRules(), started_at=self.clock()),
            streams=StreamVersions(),
            retries=WindowedRetryBudget(
                ratio=0.2,
                slack=50.0,
                window_s=10.0,
                started_at=self.clock(),
                is_first_start=True,
            ),
            dispatcher=Dispatcher(targets, failure_domain=domain),
            quarantine=self.quarantine,
            rollouts=Rollouts(ExposureRules()),
            peers=PeerTable(name, domain),
            account_usage=AccountUsage(),
            refused=RefusedRequests(),
            vm_capacity=VmCapacity(name),
            traffic=TrafficCounter(),
            metrics=RouterMetrics(),
            log=SimpleNamespace(process=self._log),
            note_suspension=lambda: None,
            clock=self.clock,
        )
        store_health = StoreHealth(self.context)
        store = RouterStore(simulation, name)
        self.peering = Peering(self.context, store, store_health)
        self.peering._transport = SimpleNamespace(
            sendto=self._send, is_closing=lambda: False
        )
        self.quarantine_store = QuarantineStore(
            self.context, store, store_health, wall_clock=self.clock
        )
        self.quarantine.on_urgent_update = self.peering.send_soon
        self.quarantine.on_change = lambda change: self.quarantine_store.wake()

    def _log(self, event, **fields):
        self.lines.append((round(self.clock(), 3), event, fields))

    def _send(self, data, address):
        self.simulation.send_datagram(self.name, name_of(address[0]), data)

    async def run(self):
        """Exchange messages and synchronize records forever."""
        others = [
            Peer(each, host_of(each), 1, "listed", domain)
            for each, domain in self.simulation.domains_by_name.items()
        ]
        self.context.peers.replace(others, self.clock())
        async with create_task_group() as tasks:
            for each in (
                self.peering._send_loop,
                self.peering._relay_loop,
                self.quarantine_store.run,
            ):
                tasks.start_soon(each)

    async def serve(self, identity, run_s):
        """Send a request like an exchange and return its outcome."""
        true_identity, identity = identity, self.simulation.defect.identity_of(identity)
        status = self.quarantine.status(identity, self.clock())
        if status is QuarantineStatus.BLAMED:
            return "held-back"
        is_trial = status is QuarantineStatus.TRIAL
        if is_trial and not await self.quarantine_store.acquire_trial_permits(
            [identity]
        ):
            return "held-back"
        for _ in range(self.simulation.attempts):
            isolated = is_trial or status is QuarantineStatus.SUSPECTED
            engine = self.simulation.choose(identity if isolated else b"")
            if engine is None:
                return "no-place"
            incarnation_id, sent_at = engine.incarnation_id, self.clock()
            self.simulation.count_attempt(true_identity, self.name)
            outcome = await engine.run(true_identity, run_s)
            if outcome == "answered":
                self.quarantine.record_alive(incarnation_id, sent_at, self.clock())
                self.quarantine.record_success(identity, self.clock())
                return "answered"
            self.simulation.defect.on_connection_closed(
                self, identity, engine, incarnation_id
            )
            status = self.quarantine.status(identity, self.clock())
            if status.is_blocked:
                break
        return "broken"


class RestorableKeyValue(InMemoryKeyValue):
    """A store whose users hear of a restore at once."""

    def restore(self, copy):
        """Go back to a copy, in a new era."""
        super().restore(copy)
        self._note_era()


class RouterStore:
    """The store as seen by one router."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self._name = name
        self.on_restored = simulation.store.on_restored

    @property
    def era(self):
        """Era of the store."""
        return self._simulation.store.era

    def __getattr__(self, call):
        async def make(*arguments, **options):
            is_cut = self._name in self._simulation.cut_from_store
            if is_cut or self._simulation.defect.no_store:
                return Unavailable(UnavailableReason.NOT_SENT, "cut off")
            return await getattr(self._simulation.store, call)(*arguments, **options)

        return make


class Defect:
    """Defects injected into routers; the base class injects none."""

    no_store = False
    no_sharing = False

    def identity_of(self, identity):
        """Return the identity used for a request."""
        return identity

    def on_connection_closed(self, router, identity, engine, incarnation_id):
        """Record that the connection of a request was closed."""
        router.quarantine.record_crash(identity, incarnation_id, router.clock())


@dataclass
class Results:
    """Results of a simulation."""

    crashes_by_identity: Counter = field(default_factory=Counter)
    third_crash_at: dict = field(default_factory=dict)
    sent_late: Counter = field(default_factory=Counter)
    harmless: int = 0
    harmless_quarantined: int = 0
    harmless_failed: int = 0
    store_calls: int = 0


class QuarantineSimulation(SimulatedFleet):
    """A fleet with callers and the faults of a seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    routers, engines, faulty : int
        Numbers of routers, targets and faulty requests.
    faults : collection of str
        Kinds of random faults; empty for none.
    duration_s : float
        Duration, in seconds.
    harmless_per_s : float
        Rate of harmless requests.
    faulty_run_s : float
        Time after which a faulty request terminates its target, in seconds.
    repeats_after_s : (float, float)
        Range of the time between repetitions of a faulty request, in seconds.
    fault_after_s : (float, float)
        Range of the time between faults, in seconds.
    attempts : int
        Largest number of attempts per request.
    defect : Defect
        Defects injected into routers.
    """

    def __init__(
        self,
        seed,
        *,
        routers,
        engines,
        faulty,
        faults,
        duration_s=90.0,
        harmless_per_s=20.0,
        faulty_run_s=0.12,
        repeats_after_s=(0.1, 1.5),
        fault_after_s=(0.5, 6.0),
        attempts=4,
        defect=None,
    ):
        super().__init__(routers)
        self.seed = seed
        self.random = Random(seed)
        self.defect = defect or Defect()
        self.duration_s = duration_s
        self.harmless_per_s = harmless_per_s
        self.faulty_run_s = faulty_run_s
        self.repeats_after_s = repeats_after_s
        self.fault_after_s = fault_after_s
        self.attempts = attempts
        self.faults = faults
        self.results = Results()
        self.faulty = [self._identity(b"acct") for _ in range(faulty)]
        self.engines = [Engine(self, number) for number in range(engines)]
        self.cut_from_store = set()

    def simulate(self):
        """Run the simulation and return its results."""
        # Seed the retry delays of store calls.
        random.seed(self.seed)
        runner = Runner(loop_factory=lambda: VirtualLoop(None))
        with seeded_ids(self.seed), runner:
            return runner.run(self._main())

    async def _main(self):
        self.clock = get_running_loop().time
        self.store = RestorableKeyValue(clock=self.clock)
        self.store.delay_s = 0.006
        self.store_last_fault_at = float("-inf")
        async with create_task_group() as self.tasks:
            for name in self.domains_by_name:
                self.start_router(name)
            await sleep(1.0)
            self.tasks.start_soon(self._send_harmless_requests)
            for identity in self.faulty:
                for _ in range(self.random.choice((1, 2))):
                    self.tasks.start_soon(self._repeat_request, identity)
            if self.faults:
                self.tasks.start_soon(self._inject_faults)
            await sleep(self.duration_s)
            self.tasks.cancel_scope.cancel()
        self.results.store_calls = self.store.calls
        return self.results

    # Callers

    def _identity(self, account):
        return account + self.random.randbytes(12)

    async def _send_harmless_requests(self):
        while True:
            await sleep(self.random.expovariate(self.harmless_per_s))
            self.tasks.start_soon(self._send_harmless_request, self._identity(b"inno"))

    async def _send_harmless_request(self, identity):
        run_s = self.random.uniform(0.05, MAX_RUN_S)
        self.results.harmless += 1
        for _ in range(2):
            status = await self._call(identity, run_s)
            if status == "held-back":
                self.results.harmless_quarantined += 1
            if status != "broken":
                return
            self.results.harmless_failed += 1
            await sleep(self.random.uniform(0.2, 1.0))

    async def _repeat_request(self, identity):
        """Repeat the request until the simulation ends."""
        await sleep(self.random.uniform(0, 10))
        while True:
            await self._call(identity, self.faulty_run_s)
            await sleep(self.random.uniform(*self.repeats_after_s))

    async def _call(self, identity, run_s):
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
                status = await router.serve(identity, run_s)
            finally:
                done.set()

        # Killing a router cancels its requests.
        tasks.start_soon(serve)
        await done.wait()
        return status

    def choose(self, isolation_key):
        """Return the target that a router selects, or None."""
        up = [engine for engine in self.engines if engine.is_up]
        if not up or not isolation_key:
            return self.random.choice(up) if up else None
        up.sort(key=lambda engine: len(engine.runs))
        emptiest = up[: max(2, len(up) // 3)]
        return max(
            emptiest,
            key=lambda each: parts_hash([isolation_key, each.incarnation_id.encode()]),
        )

    # Measurements

    def count_crash(self, identity):
        """Count a termination of a target by a faulty request."""
        self.results.crashes_by_identity[identity] += 1
        if self.results.crashes_by_identity[identity] == 3:
            self.results.third_crash_at[identity] = self.clock()

    def count_attempt(self, identity, name):
        """Count an attempt that the bound applies to."""
        third_crash_at = self.results.third_crash_at.get(identity, float("inf"))
        now = self.clock()
        last_fault_at = max(
            self.last_fault_by_name.get(name, float("-inf")),
            self.store_last_fault_at,
            now if name in self.cut or self.store.down else float("-inf"),
        )
        if now > third_crash_at + GRACE_S and now > last_fault_at + GRACE_S:
            self.results.sent_late[identity] += 1

    def make_router(self, name, domain, incarnation):
        """Return a new process of a router."""
        return QuarantineRouter(self, name, domain, incarnation)

    # Faults

    async def _inject_faults(self):
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
        self.last_fault_by_name[name] = self.clock()

    async def _store_restored(self):
        copy = self.store.take_copy()
        await sleep(self.random.uniform(1.0, 6.0))
        self.store.down = True
        await sleep(self.random.uniform(0.1, 2.0))
        self.store.restore(copy)
        self.store.down = False
        self.store_last_fault_at = self.clock()

    async def _store_away(self):
        self.store.down = True
        await sleep(self.random.uniform(0.5, 8.0))
        self.store.down = False
        self.store_last_fault_at = self.clock()
