"""Simulation of routers, targets of two versions and a roll-out in virtual time.

Feeds, peering and the roll-out coordinator are the real code; running requests at
targets and the operator are simulated.
"""

import random
from asyncio import Runner, get_running_loop
from collections import Counter
from dataclasses import dataclass, field, replace
from json import dumps, loads
from random import Random
from types import SimpleNamespace

from anyio import Event, create_task_group, move_on_after, sleep

from berylwalk.direct._configuration_feed import ConfigurationFeed
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._mirrored_prefix import ReadRole
from berylwalk.direct._peering import Peering
from berylwalk.direct._rollout_coordinator import RolloutCoordinator
from berylwalk.direct._store_health import StoreHealth
from berylwalk.direct._target_feed import TargetFeed
from berylwalk.dispatch import (
    AccountUsage,
    ConfigurationState,
    Dispatcher,
    IdleTimeout,
    Peer,
    PeerTable,
    QuotaRules,
    QuotaTracker,
    RefusedRequests,
    SocketAddress,
    StreamVersions,
    TargetTable,
    VmCapacity,
    WindowedRetryBudget,
    Work,
)
from berylwalk.forwarding import TrafficCounter
from berylwalk.platform import (
    Callbacks,
    Changes,
    Conflict,
    EventKind,
    KeyValue,
    Listing,
    OutcomeUnknown,
    Swapped,
    Unavailable,
    UnavailableReason,
    WatchEvent,
)
from berylwalk.platform._eras import era_of, to_revision, to_store_revision
from berylwalk.quarantine import Quarantine
from berylwalk.rollout import AnswerKind, ExposureRules, Rollouts
from virtual_hosts import host_of, name_of
from virtual_play import DOMAINS, SimulatedFleet
from virtual_time import VirtualLoop, seeded_ids

SERVICE = "s"
OLD, NEW = "v1", "v2"
ORDER_KEY = b"op/rollout/s"
STATUS_KEY = b"status/rollout/s"
GRACE_S = 4.0
"""Grace period after a fault of a router or the store."""
ROLLBACK_S = 5.0
FIRST_EVENT_SHARE = 0.25
"""Share of the response time after which the first event arrives."""
SLOW_FACTOR = 3.5
"""Multiple of the usual time from which a router counts a response as slow."""
MAX_BAD_RESPONSES = 50
CALL_S = 0.006
LOST_CALL_S = 0.9
NO_ANSWER = Unavailable(UnavailableReason.NO_ANSWER, "no answer")
HISTORY_GONE = Unavailable(UnavailableReason.HISTORY_GONE, "restored")


class SimulatedStore:
    """A store with revisions and watches whose calls may go unanswered."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.down = False
        self.lost_share = 0.0
        self.calls = 0
        self.era = 0
        self.changed = Event()

    def take_copy(self):
        """Return a copy of the present state."""
        return dict(self.items), self.revision

    def restore(self, copy):
        """Go back to a copy, in a new era; its revisions are given out again."""
        items, revision = copy
        self.era += 1
        self.revision = to_revision(self.era, to_store_revision(revision))
        self.items = {
            key: replace(
                item,
                mod_revision=to_revision(
                    self.era, to_store_revision(item.mod_revision)
                ),
            )
            for key, item in items.items()
        }
        self.events = []
        self.changed.set()
        self.changed = Event()

    def put(self, key, value):
        """Write an item directly, like operators and targets."""
        self.revision += 1
        self.items[key] = KeyValue(key, value, self.revision)
        self._note(WatchEvent(EventKind.PUT, self.items[key]))
        return self.revision

    def delete(self, key):
        """Delete an item directly."""
        if key in self.items:
            self.revision += 1
            del self.items[key]
            gone = KeyValue(key, b"", self.revision)
            self._note(WatchEvent(EventKind.DELETE, gone))

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = Event()

    async def list_prefix(self, prefix, *, stale_ok=False):
        """Return all items."""
        entries = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Listing(tuple(entries), self.revision)

    async def changes(self, prefix, after, *, wait_s):
        """Return once there is a change or the time has elapsed."""
        if era_of(after) < self.era:
            return HISTORY_GONE
        with move_on_after(wait_s):
            while not (events := self._since(prefix, after)):
                await self.changed.wait()
                if era_of(after) < self.era:
                    return HISTORY_GONE
        return Changes(tuple(events), self.revision)

    def _since(self, prefix, after):
        return [
            event
            for event in self.events
            if event.key_value.mod_revision > after
            and event.key_value.key.startswith(prefix)
        ]

    async def get(self, key):
        """Return one item."""
        return self.items.get(key)

    async def compare_and_swap(self, key, value, expected):
        """Write an item if its revision is as expected."""
        item = self.items.get(key)
        if (item.mod_revision if item else 0) != expected:
            return Conflict(item)
        return Swapped(self.put(key, value))


class RouterStore:
    """The store as seen by one router."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self._name = name
        self._knows_era = False
        self.era = 0
        self.on_restored = Callbacks()

    def note_era(self, era):
        """Note the era of an answer, or one that another router has told."""
        is_restored = self._knows_era and era > self.era
        self.era, self._knows_era = max(self.era, era), True
        if is_restored:
            for callback in self.on_restored:
                callback()

    def __getattr__(self, call):
        async def make(*arguments, **options):
            simulation, store = self._simulation, self._simulation.store
            store.calls += 1
            await sleep(CALL_S)
            if self._is_away() or simulation.random.random() < store.lost_share / 2:
                await sleep(LOST_CALL_S)
                return NO_ANSWER
            answer = await getattr(store, call)(*arguments, **options)
            if self._is_away() or simulation.random.random() < store.lost_share:
                await sleep(LOST_CALL_S)
                return (
                    OutcomeUnknown("no answer")
                    if call == "compare_and_swap"
                    else NO_ANSWER
                )
            self.note_era(store.era)
            return answer

        return make

    def _is_away(self):
        return self._simulation.store.down or self._name in self._simulation.cut


@dataclass(frozen=True)
class VersionDefect:
    """Defect of a version.

    Parameters
    ----------
    share : float
        Share of its responses that are bad; 0 for a good version.
    is_slow : bool
        Whether these are slow instead of failing.
    from_s : float
        Time after the order from which it is bad, in seconds.
    from_load : int
        Requests at a target from which it is bad.
    route : str
        The only route on which it is bad; empty for all.
    """

    share: float = 0.0
    is_slow: bool = False
    from_s: float = 0.0
    from_load: int = 0
    route: str = ""


class Engine:
    """One target."""

    def __init__(self, simulation, number, version):
        self.simulation = simulation
        self.target_id = f"i-{version}-{number}"
        self.version = version
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.is_up = True
        self.is_grey = False
        self.slowness = simulation.random.choice((0.6, 1.0, 1.0, 2.5))
        self.runs = {}

    @property
    def key(self):
        """Return the key of its entry."""
        return b"servers/" + self.target_id.encode()

    def enlist(self, state="ready"):
        """Write its entry."""
        entry = {
            "service": SERVICE,
            "address": "10.0.0.1:8000",
            "zone": self.domain,
            "slots": 16,
            "state": state,
            "version": self.version,
        }
        self.simulation.store.put(self.key, dumps(entry).encode())

    def leave(self):
        """Stop immediately; running requests are lost."""
        self.is_up = False
        for ended in list(self.runs):
            ended.set()
        self.delist()

    def delist(self):
        """Delete its entry."""
        self.simulation.store.delete(self.key)

    async def run(self, route, run_s, router, on_late):
        """Run a request and return the class of its response.

        ``on_late`` is called when its first event is late enough to count as slow.
        """
        if not self.is_up:
            return AnswerKind.FAILED
        is_bad = self._is_bad(route)
        factor = (
            5.0 if is_bad and self.simulation.version_defect.is_slow else self.slowness
        )
        ended = Event()
        self.runs[ended] = router
        self.simulation.count_arrival(self, router)
        if factor > SLOW_FACTOR:
            seen_after_s = SLOW_FACTOR * FIRST_EVENT_SHARE * run_s
            get_running_loop().call_later(seen_after_s, on_late)
        try:
            with move_on_after(run_s * factor):
                await ended.wait()
        finally:
            del self.runs[ended]
        if ended.is_set() or self.is_grey:
            return AnswerKind.FAILED
        if is_bad:
            self.simulation.count_bad_response()
            slow = self.simulation.version_defect.is_slow
            return AnswerKind.SLOW if slow else AnswerKind.FAILED
        is_late = self.simulation.random.random() < self.simulation.late_share
        return AnswerKind.SLOW if is_late else AnswerKind.GOOD

    def _is_bad(self, route):
        version_defect, simulation = self.simulation.version_defect, self.simulation
        return (
            self.version == NEW
            and simulation.random.random() < version_defect.share
            and simulation.since_order_s() >= version_defect.from_s
            and len(self.runs) >= version_defect.from_load
            and version_defect.route in ("", route)
        )


class RolloutRouter:
    """One process of a router."""

    def __init__(self, simulation, name, domain, incarnation):
        self.simulation = simulation
        self.name = name
        self.clock = get_running_loop().time
        self.lines = []
        self.targets = TargetTable()
        self.rollouts = simulation.defect.make_rollouts(f"{name}/{incarnation}")
        peers = PeerTable(name, domain)
        self.rollouts.router_count = peers.known_count
        self.rollouts.in_flight_at_other_versions = (
            self.targets.in_flight_other_versions
        )
        self.context = SimpleNamespace(
            settings=SimpleNamespace(
                name=name,
                failure_domain=domain,
                heartbeat_s=1.2,
                drain_s=3.0,
                configuration_s=3.0,
                caller_address=SocketAddress(host_of(name), 80),
                readiness_address=SocketAddress(host_of(name), 81),
                metrics_port=82,
                peer_port=1,
            ),
            targets=self.targets,
            configuration=ConfigurationState(key_trust_s=4.5),
            idle_timeout=IdleTimeout(propagation_s=3.0),
            quotas=QuotaTracker(QuotaRules(), started_at=self.clock()),
            streams=StreamVersions(),
            refused=RefusedRequests(),
            account_usage=AccountUsage(),
            traffic=TrafficCounter(),
            vm_capacity=VmCapacity(name),
            retries=WindowedRetryBudget(
                ratio=0.2,
                slack=50.0,
                window_s=10.0,
                started_at=self.clock(),
                is_first_start=True,
            ),
            dispatcher=Dispatcher(
                self.targets, failure_domain=domain, rollouts=self.rollouts
            ),
            quarantine=Quarantine(),
            rollouts=self.rollouts,
            peers=peers,
            pool=SimpleNamespace(retain=lambda incarnation_ids: None),
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
        shared_reads = self.peering.shared_reads
        role = ReadRole(
            follows_peers=shared_reads.follows_peers,
            serves_peers=shared_reads.serves_peers,
        )
        self.feeds = [
            ConfigurationFeed(self.context, store, store_health, role),
            TargetFeed(self.context, store, store_health, role),
        ]
        for feed in self.feeds:
            shared_reads.add(feed.mirror)
        self.coordinator = RolloutCoordinator(
            self.context,
            store,
            store_health,
            shared_reads=shared_reads,
            role=role,
            wall_clock=self.clock,
        )
        self.rollouts.on_urgent_update = self.peering.send_soon
        self.rollouts.on_orders_changed = self.coordinator.wake
        self.rollouts.on_rejected = lambda rejection: self.coordinator.wake()

    def _log(self, event, **fields):
        self.lines.append((round(self.clock(), 3), event, fields))

    def _send(self, data, address):
        self.simulation.send_datagram(self.name, name_of(address[0]), data)

    async def run(self):
        """Run the feeds, peering and the coordinator forever."""
        others = [
            Peer(each, host_of(each), 1, "listed", domain)
            for each, domain in self.simulation.domains_by_name.items()
        ]
        self.context.peers.replace(others, self.clock())
        async with create_task_group() as tasks:
            for each in (
                *(feed.run for feed in self.feeds),
                self.peering._send_loop,
                self.peering._relay_loop,
                self.peering.shared_reads.run,
                self.coordinator.run,
            ):
                tasks.start_soon(each)

    def choose(self, route):
        """Return the target for a request, or None."""
        now, rollouts = self.clock(), self.rollouts
        targets = self.targets.of_service(SERVICE)
        if rollouts.is_in_progress(SERVICE):
            rollouts.count_send(SERVICE)
            if rollouts.take_canary(SERVICE, route, now):
                version = rollouts.progress(SERVICE).order.version
                new = [each for each in targets if each.entry.version == version]
                incarnation_ids = [each.entry.incarnation_id for each in new]
                others = len(targets) - len(new)
                canary_ids = rollouts.canary_targets(
                    SERVICE, incarnation_ids, others, now
                )
                candidates = [
                    each
                    for each in new
                    if each.entry.incarnation_id in canary_ids
                    and each.is_available(now)
                ]
                if candidates:
                    return min(candidates, key=lambda each: each.total_in_flight)
                rollouts.refund_canary(SERVICE, route)
        draw = self.simulation.random.random()
        allowed = [
            each
            for each in targets
            if each.is_available(now)
            and rollouts.allows(SERVICE, each.entry.version, draw, now)
        ]
        if not allowed:
            return None
        sampled = self.simulation.random.sample(allowed, min(2, len(allowed)))
        return min(sampled, key=lambda each: each.total_in_flight)

    async def serve(self, route, run_s):
        """Send a request like an exchange and return the class of its response."""
        target = self.choose(route)
        if target is None:
            return None
        rollouts, work, sent_at = self.rollouts, Work(), self.clock()
        version, incarnation_id = target.entry.version, target.entry.incarnation_id
        key = rollouts.answer_key(SERVICE, version, incarnation_id, route, sent_at)
        target.note_sent(work, sent_at)
        engine = self.simulation.engines_by_id[target.entry.target_id]
        recorded = []

        def record(kind):
            if key is not None and not recorded:
                recorded.append(kind)
                rollouts.record_answer(SERVICE, key, kind, self.clock())

        try:
            kind = await engine.run(
                route, run_s, self.name, lambda: record(AnswerKind.SLOW)
            )
        finally:
            target.note_finished(work, had_first_event=True)
        if not engine.is_up:
            target.note_unreachable(self.clock())
            rollouts.record_crash(SERVICE, incarnation_id, is_new=version == NEW)
            return kind
        if version != NEW:
            rollouts.record_duration(SERVICE, self.clock() - sent_at)
        record(kind)
        return kind


class Defect:
    """Defects injected into routers; the base class injects none."""

    no_sharing = False

    def make_rollouts(self, incarnation):
        """Return the roll-out state of a router."""
        return Rollouts(ExposureRules(), router=incarnation)


@dataclass
class Results:
    """Results of a simulation."""

    arrivals: int = 0
    exposed: int = 0
    bad_responses: int = 0
    bad_limit_reached_at: float = float("inf")
    sent_late: int = 0
    unordered: int = 0
    cut_at_completion: int = 0
    statuses: list = field(default_factory=list)
    kinds: Counter = field(default_factory=Counter)
    no_place: int = 0

    @property
    def state(self):
        """Return the last published state."""
        return self.statuses[-1][1] if self.statuses else None

    @property
    def allowed(self):
        """Return the exposure limit of a bad version."""
        rules = ExposureRules()
        return rules.share * self.arrivals + rules.slack


class RolloutSimulation(SimulatedFleet):
    """A fleet with callers, an operator and the faults of a seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    routers, engines : int
        Numbers of routers, and of targets per version.
    version_defect : VersionDefect
        Defect of the new version.
    faults : collection of str
        Kinds of random faults; empty for none.
    period_s : float
        Period of the roll-out order, in seconds.
    requests_per_s : float
        Rate of all callers.
    routes : tuple of (str, float)
        Routes and their shares of the requests.
    longest_s : float
        Longest response time of a target of usual speed, in seconds.
    defect : Defect
        Defects injected into routers.
    """

    def __init__(
        self,
        seed,
        *,
        routers,
        engines,
        version_defect,
        faults=(),
        period_s=12.0,
        requests_per_s=120.0,
        routes=(("r1", 0.6), ("r2", 0.3), ("r3", 0.1)),
        longest_s=1.2,
        defect=None,
    ):
        super().__init__(routers)
        self.seed = seed
        self.random = Random(seed)
        self.version_defect = version_defect
        self.faults = faults
        self.period_s = period_s
        self.requests_per_s = requests_per_s
        self.routes = routes
        self.longest_s = longest_s
        self.defect = defect or Defect()
        self.results = Results()
        self.engine_count = engines
        self.engines_by_id = {}
        self.store_last_fault_at = float("-inf")
        self.late_share = 0.01
        self.ordered_at = float("inf")

    def simulate(self):
        """Run the simulation and return its results."""
        random.seed(self.seed)
        runner = Runner(loop_factory=lambda: VirtualLoop(None))
        with seeded_ids(self.seed), runner:
            return runner.run(self._main())

    async def _main(self):
        self.clock = get_running_loop().time
        self.store = SimulatedStore()
        self._write_configuration()
        for number in range(self.engine_count):
            self._start_engine(number, OLD)
        async with create_task_group() as self.tasks:
            for name in self.domains_by_name:
                self.start_router(name)
            await sleep(2.0)
            self.tasks.start_soon(self._calls)
            await sleep(2.0)
            if self.faults:
                self.tasks.start_soon(self._inject_faults)
            await sleep(self.random.uniform(0, 1.0))
            self.tasks.start_soon(self._operate)
            await sleep(self.period_s + 9.0)
            self.tasks.cancel_scope.cancel()
        return self.results

    # The operator and the targets

    def since_order_s(self):
        """Return the time since the order, in seconds."""
        return self.clock() - self.ordered_at

    def _write_configuration(self):
        configuration = {"version": 1, "routes": [], "services": [{"name": SERVICE}]}
        self.store.put(b"op/config", dumps(configuration).encode())

    def order(self, version=NEW, period_s=None):
        """Write an order."""
        order = {
            "service": SERVICE,
            "target": version,
            "period-s": period_s or self.period_s,
        }
        self.store.put(ORDER_KEY, dumps(order).encode())

    async def _operate(self):
        self.ordered_at = self.clock()
        self.order()
        for number in range(self.engine_count):
            await sleep(self.random.uniform(0.0, 0.1))
            self._start_engine(number, NEW)
        if "grey" in self.faults:
            self.random.choice(self._of_version(NEW)).is_grey = True
        published = None
        while True:
            item = self.store.items.get(STATUS_KEY)
            if item is not None and item.value != published:
                published = item.value
                self._handle_status(loads(published))
            await sleep(0.005)

    def _handle_status(self, status):
        self.results.statuses.append((self.since_order_s(), status["state"]))
        if status["state"] == "completed":
            for engine in self._of_version(OLD):
                for router in engine.runs.values():
                    self.results.cut_at_completion += self.is_connected(router)
                engine.leave()
        elif status["state"] == "reverted":
            self.tasks.start_soon(self._drain_new)

    async def _drain_new(self):
        await sleep(3.0)
        for engine in self._of_version(NEW):
            if engine.is_up:
                engine.enlist("draining")
        await sleep(4.0)
        for engine in self._of_version(NEW):
            engine.leave()

    def _start_engine(self, number, version):
        engine = Engine(self, number, version)
        self.engines_by_id[engine.target_id] = engine
        engine.enlist()

    def _of_version(self, version):
        return [each for each in self.engines_by_id.values() if each.version == version]

    # Callers

    async def _calls(self):
        names, weights = zip(*self.routes, strict=True)
        while True:
            await sleep(self.random.expovariate(self.requests_per_s))
            (route,) = self.random.choices(names, weights)
            run_s = self.random.uniform(0.03, self.longest_s)
            routers = sorted(self.routers_by_name)
            if routers:
                name = self.random.choice(routers)
                # Killing a router cancels its requests.
                self.tasks_by_name[name].start_soon(self._call, name, route, run_s)

    async def _call(self, name, route, run_s):
        kind = await self.routers_by_name[name].serve(route, run_s)
        if kind is None:
            self.results.no_place += 1
        else:
            self.results.kinds[kind] += 1

    # Measurements

    def is_connected(self, name):
        """Return whether a router has been connected for the grace period."""
        now = self.clock()
        last_fault_at = max(
            self.last_fault_by_name.get(name, float("-inf")),
            self.store_last_fault_at,
            now if name in self.cut or self.store.down else float("-inf"),
        )
        return now > last_fault_at + GRACE_S

    def count_arrival(self, engine, router):
        """Count a request that reaches a target."""
        results = self.results
        if self.since_order_s() < 0:
            results.unordered += engine.version == NEW
            return
        if self.since_order_s() <= self.period_s:
            results.arrivals += 1
        if engine.version != NEW or not self.is_connected(router):
            return
        results.exposed += self.since_order_s() <= self.period_s
        since = max(results.bad_limit_reached_at, self.store_last_fault_at)
        if (
            results.bad_limit_reached_at < float("inf")
            and self.clock() > since + ROLLBACK_S
        ):
            results.sent_late += 1

    def count_bad_response(self):
        """Count a bad response of a bad version."""
        self.results.bad_responses += 1
        if self.results.bad_responses == MAX_BAD_RESPONSES:
            self.results.bad_limit_reached_at = self.clock()

    def make_router(self, name, domain, incarnation):
        """Return a new process of a router."""
        return RolloutRouter(self, name, domain, incarnation)

    # Faults

    async def _inject_faults(self):
        while True:
            await sleep(self.random.uniform(0.5, 5.0))
            kind = self.random.choice(self.faults)
            if kind != "grey":
                await getattr(self, "_" + kind)()

    async def _kill_leader(self):
        self.kill(sorted(self.domains_by_name)[:1])

    async def _kill_all(self):
        self.kill(list(self.domains_by_name))
        await sleep(5.0)

    async def _cut_one(self):
        name = self.random.choice(sorted(self.domains_by_name))
        self.cut.add(name)
        await sleep(self.random.uniform(1.0, 6.0))
        self.cut.discard(name)
        self.last_fault_by_name[name] = self.clock()

    async def _store_away(self):
        self.store.down = True
        await sleep(self.random.uniform(0.5, 4.0))
        self.store.down = False
        self.store_last_fault_at = self.clock()

    async def _store_restored(self):
        copy = self.store.take_copy()
        await sleep(self.random.uniform(0.5, 6.0))
        self.store.down = True
        await sleep(self.random.uniform(0.1, 1.5))
        self.store.restore(copy)
        self.store.down = False
        await sleep(self.random.uniform(0.1, 3.5))
        self._write_again()
        self.store_last_fault_at = self.clock()

    def _write_again(self):
        """Write what the operator and the targets wrote, in any order."""
        writes = [self._write_configuration]
        if self.ordered_at < float("inf"):
            writes.append(self.order)
        for engine in self.engines_by_id.values():
            writes.append(engine.enlist if engine.is_up else engine.delist)
        self.random.shuffle(writes)
        for write in writes:
            write()

    async def _store_loses(self):
        self.store.lost_share = 0.3
        await sleep(self.random.uniform(1.0, 4.0))
        self.store.lost_share = 0.0
        self.store_last_fault_at = self.clock()

    async def _burst(self):
        usual = self.requests_per_s
        self.requests_per_s, self.late_share = 2 * usual, 0.25
        await sleep(2.0)
        self.requests_per_s, self.late_share = usual, 0.01

    async def _crash_one(self):
        engines = [each for each in self.engines_by_id.values() if each.is_up]
        if len(engines) > self.engine_count:
            self.random.choice(engines).leave()
