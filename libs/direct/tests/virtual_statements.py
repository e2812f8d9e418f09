"""Simulation of routers and targets with flow control signals in virtual time.

The handling of requests in routers is the real code; the network, the targets and the
callers are simulated.
"""

import random
from asyncio import Runner, get_running_loop
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

from anyio import CancelScope, create_task_group, sleep

from berylwalk.direct._admission import Admitted
from berylwalk.direct._context import RouterContext
from berylwalk.direct._decision_log import DecisionLog
from berylwalk.direct._exchange_log import ExchangeLog
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._peering import Peering
from berylwalk.direct._request_lifecycle import RequestLifecycle
from berylwalk.direct._store_health import StoreHealth
from berylwalk.direct._suspension_detector import SuspensionDetector
from berylwalk.dispatch import (
    ConfigurationState,
    Dispatcher,
    Peer,
    PeerTable,
    QuotaTracker,
    Route,
    RouteKind,
    RouterSettings,
    ServiceShare,
    SocketAddress,
    TargetTable,
    WindowedRetryBudget,
)
from berylwalk.forwarding import CallerRequest, TargetPool
from berylwalk.platform import REQUEST_ID_HEADER, parse_request_headers
from berylwalk.quarantine import Quarantine
from berylwalk.rollout import ExposureRules, Rollouts
from statement_rules import FaultLog
from stating_targets import SERVICE, SignallingTarget, SimulatedLoop
from virtual_hosts import host_of, name_of
from virtual_play import SimulatedFleet
from virtual_time import seeded_ids

SWEEP_INTERVAL_S = 0.25
LIMIT_S = 8.0
OBJECTIVE_S = 0.4


class FakeCaller:
    """A caller's connection."""

    is_writable = True
    on_writable = None

    def __init__(self, done):
        self._done = done

    def ends_with_head(self, status):
        """Return whether a response has no body by its kind."""
        return False

    def respond(self, status, headers, body):
        """Receive a complete response."""
        self._done(status, headers)

    def start_stream(self, status, headers):
        """Receive the head of a stream."""
        self._done(status, headers)

    def write(self, data):
        """Ignore events."""

    def end_stream(self):
        """Ignore the end."""

    def truncate_response(self):
        """Receive a truncated end."""
        self._done(0, [])


class SignalsRouter:
    """One process of a router."""

    def __init__(self, simulation, name, domain, incarnation):
        self.simulation = simulation
        self.name = name
        self.incarnation = incarnation
        self.clock = clock = get_running_loop().time
        self.started_at = clock()
        self.lines = []
        targets = simulation.defect.make_targets()
        rollouts = Rollouts(ExposureRules())
        address = SocketAddress(simulation.peer_host(name), 1)
        self.context = RouterContext(
            settings=RouterSettings(
                name=name,
                failure_domain=domain,
                caller_address=address,
                readiness_address=address,
                peer_port=1,
                metrics_port=1,
                store_address=address,
            ),
            configuration=ConfigurationState(key_trust_s=4.5),
            targets=targets,
            dispatcher=Dispatcher(
                targets,
                failure_domain=domain,
                draw=simulation.random.random,
                rollouts=rollouts,
            ),
            quotas=QuotaTracker(
                RouterSettings.__dataclass_fields__["allowances"].default_factory(),
                started_at=clock(),
            ),
            retries=self.make_retry_budget(),
            quarantine=Quarantine(),
            rollouts=rollouts,
            peers=PeerTable(name, domain),
            pool=TargetPool(
                get_running_loop(),
                clock=clock,
                id_header=REQUEST_ID_HEADER,
                on_bytes=self._record_bytes,
            ),
            log=DecisionLog(name, write=self._write, clock=clock, wall_clock=clock),
            metrics=RouterMetrics(),
            suspension=SuspensionDetector(clock, monotonic=clock),
            clock=clock,
        )
        store = SimpleNamespace()
        self.peering = Peering(self.context, store, StoreHealth(self.context))
        self.peering._transport = SimpleNamespace(
            sendto=self._send, is_closing=lambda: False
        )
        self.context.on_placed = self.peering.announce_placement
        if hasattr(self.context, "on_signals_changed"):
            self.context.on_signals_changed = self.peering.send_soon

    def make_retry_budget(self):
        """Return the budget for retries."""
        return WindowedRetryBudget(
            ratio=0.2,
            slack=50.0,
            window_s=10.0,
            started_at=self.clock(),
            is_first_start=self.clock() == 0.0,
        )

    def _record_bytes(self, incarnation_id):
        target = self.context.targets.by_incarnation_id.get(incarnation_id)
        if target is not None:
            target.note_heard(self.clock())

    def _write(self, data):
        self.lines.append(data)
        return len(data)

    def _send(self, data, address):
        receiver = self.simulation.peer_name(address[0])
        self.simulation.send_datagram(self.name, receiver, data)

    async def run(self):
        """Exchange messages and dispatch requests forever."""
        others = [
            Peer(each, self.simulation.peer_host(each), 1, "listed", domain)
            for each, domain in self.simulation.domains_by_name.items()
        ]
        self.context.peers.replace(others, self.clock())
        self.context.peers.by_name.pop(self.name, None)
        self.context.retries.note_listed(len(others), self.clock())
        entries = [target.entry() for target in self.simulation.targets]
        self.context.targets.replace(entries, self.clock())
        async with create_task_group() as tasks:
            for each in (
                self.peering._send_loop,
                self.peering._relay_loop,
                self._sweep,
            ):
                tasks.start_soon(each)

    async def _sweep(self):
        while True:
            await sleep(SWEEP_INTERVAL_S)
            self.context.dispatcher.dispatch_all_queued(self.clock())

    async def serve(self, request_id, *, on_done=None, caller=None, headers=()):
        """Run a request to its end."""
        now = self.clock()
        headers = [
            (b"Attempt-Id", request_id),
            (b"X-Router", self.name.encode()),
            *headers,
        ]
        admitted = Admitted(
            request=CallerRequest(b"GET", b"/", headers, b"", b"", now, True),
            parsed_headers=parse_request_headers(headers),
            route=self.simulation.route,
            account=None,
            rank=(0, 0),
            service=SERVICE,
            cost=0.0,
            deadline=now + LIMIT_S,
            identity=request_id.rjust(16, b"-"),
        )
        lifecycle = RequestLifecycle(
            self.context,
            caller or FakeCaller(on_done),
            admitted,
            ExchangeLog(self.context, now),
            trial_permits=None,
        )
        try:
            await lifecycle.run()
        finally:
            lifecycle.discard_held()


class Defect:
    """Defects injected into routers; the base class injects none."""

    no_sharing = False

    def make_targets(self):
        """Return the target table of a router."""
        return TargetTable()


@dataclass
class Results:
    """Results of a simulation."""

    arrivals: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    answered_after_s: list = field(default_factory=list)
    refused_after_s: list = field(default_factory=list)


@dataclass(frozen=True)
class Refused:
    """A response that refuses a request.

    Parameters
    ----------
    kept_s : float
        Time until the response, in seconds.
    retry_after_s : float
        Value of ``Retry-After``, in seconds.
    """

    kept_s: float
    retry_after_s: float


class SignalsSimulation(SimulatedFleet):
    """A fleet with callers and targets that send flow control signals.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    routers, targets : int
        Numbers of routers and targets.
    script : callable
        Coroutine function of the simulation that sets the signals of targets.
    duration_s : float
        Duration of the calls, in seconds.
    requests_per_s : float
        Rate of all callers.
    load_ratio : float
        Load of the busiest router as a multiple of that of the least busy one.
    run_s : float
        Mean run time of a request at a target, in seconds.
    slots : int
        Slots of each target.
    faults : collection of str
        Kinds of random faults; empty for none.
    defect : Defect
        Defects injected into routers.
    """

    def __init__(
        self,
        seed,
        *,
        routers,
        targets,
        script,
        duration_s=20.0,
        requests_per_s=60.0,
        load_ratio=3.0,
        run_s=0.15,
        slots=8,
        faults=(),
        defect=None,
    ):
        super().__init__(routers)
        self.seed = seed
        self.random = Random(seed)
        self.script = script
        self.duration_s = duration_s
        self.requests_per_s = requests_per_s
        self.weights = [
            1 + (load_ratio - 1) * self.random.random() for _ in range(routers)
        ]
        self.faults = faults
        self.defect = defect or Defect()
        self.results = Results()
        self.targets = [
            self.make_target(number, run_s=run_s, slots=slots)
            for number in range(targets)
        ]
        self.targets_by_host = {each.host: each for each in self.targets}
        self.route = Route(
            name="r",
            hostname="h",
            path_prefix="/",
            kind=RouteKind.STREAMING,
            timeout_s=LIMIT_S,
            objective_s=OBJECTIVE_S,
            priority=0,
            shares=(ServiceShare(SERVICE, 1.0),),
            max_attempts=3,
            public=True,
        )
        self.fault_log = FaultLog()
        self.requests = 0
        self.refusals = []

    def simulate(self):
        """Run the simulation and return its results."""
        random.seed(self.seed)
        runner = Runner(loop_factory=self.make_loop)
        with seeded_ids(self.seed), runner:
            return runner.run(self._main())

    def make_loop(self):
        """Return the event loop of the simulation."""
        return SimulatedLoop(self)

    def make_target(self, number, *, run_s, slots):
        """Return a target."""
        return SignallingTarget(self, number, run_s=run_s, slots=slots)

    async def _main(self):
        self.clock = get_running_loop().time
        async with create_task_group() as self.tasks:
            for name in self.domains_by_name:
                self.start_router(name)
            await sleep(1.0)
            self.tasks.start_soon(self.script, self)
            if self.faults:
                self.tasks.start_soon(self._inject_faults)
            with CancelScope() as self.calling:
                get_running_loop().call_later(self.duration_s, self.calling.cancel)
                await self._calls()
            await sleep(2.0)
            self.tasks.cancel_scope.cancel()
        return self.results

    def receive(self, transport, data):
        """Deliver data of a router to a target."""
        self.targets_by_host[transport.host].receive(transport, data)

    def peer_host(self, name):
        """Return the host of a router for messages of other routers."""
        return host_of(name)

    def peer_name(self, host):
        """Return the router at a host."""
        return name_of(host)

    def make_router(self, name, domain, incarnation):
        """Return a new process of a router."""
        return SignalsRouter(self, name, domain, incarnation)

    async def _calls(self):
        names = list(self.domains_by_name)
        while True:
            await sleep(self.random.expovariate(self.requests_per_s))
            (name,) = self.random.choices(names, self.weights)
            router = self.routers_by_name.get(name)
            if router is not None:
                self._call(router)

    def _call(self, router):
        self.requests += 1
        started_at = self.clock()

        def on_done(status, headers):
            self.results.statuses[status] += 1
            after_s = self.clock() - started_at
            if status == 200:
                self.results.answered_after_s.append(after_s)
            else:
                self.results.refused_after_s.append(after_s)
                retry_after = dict(headers).get(b"Retry-After", b"0")
                self.refusals.append(Refused(after_s, float(retry_after)))

        async def serve():
            await router.serve(b"q%d" % self.requests, on_done=on_done)

        self.tasks_by_name[router.name].start_soon(serve)

    async def _inject_faults(self):
        while True:
            await sleep(self.random.uniform(0.5, 5.0))
            kind = self.random.choice(self.faults)
            await getattr(self, "_" + kind)()

    async def _cut_one(self):
        name = self.random.choice(sorted(self.domains_by_name))
        self.cut.add(name)
        since, duration_s = self.clock(), self.random.uniform(1.0, 6.0)
        self.fault_log.record(name, since, since + duration_s)
        await sleep(duration_s)
        self.cut.discard(name)

    def kill(self, names):
        """Kill routers, which restart after one or two seconds."""
        super().kill(names)
        for name in names:
            until = self.last_fault_by_name.get(name, self.clock())
            self.fault_log.record(name, self.clock(), until)
