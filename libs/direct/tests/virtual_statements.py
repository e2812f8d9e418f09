"""Routers and targets that state limits, ask for rest and leave, in virtual time.

What routers do with a request is the real code from its arrival to its last byte; the
network, the targets and the callers are played here.
"""

import random
from asyncio import Runner, get_running_loop
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random
from types import SimpleNamespace

from anyio import CancelScope, create_task_group, sleep

from berylwalk.direct._admission import Admitted
from berylwalk.direct._context import RouterContext
from berylwalk.direct._decision_log import DecisionLog
from berylwalk.direct._exchange import RequestLifecycle
from berylwalk.direct._exchange_log import ExchangeLog
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._peering import Peering
from berylwalk.direct._store_reach import StoreReach
from berylwalk.direct._suspension import SuspensionWatch
from berylwalk.dispatch import (
    Allowances,
    ConfigurationState,
    Dispatcher,
    Peer,
    PeerTable,
    Route,
    RouteKind,
    RouterSettings,
    ServiceShare,
    SocketAddress,
    TargetEntry,
    TargetState,
    TargetTable,
    WindowedRetryBudget,
)
from berylwalk.forwarding import CallerRequest, TargetPool
from berylwalk.platform import REQUEST_ID_HEADER, read_call
from berylwalk.quarantine import Quarantine
from berylwalk.rollout import ExposureRules, Rollouts
from virtual_play import DOMAINS, PlayedFleet
from virtual_time import SimulatedTransport, VirtualLoop

SERVICE = "s"
CONTACT_S = 3.0
"""Time after a fault of a router until the rules bind it, and after a target first
states a limit until it binds at all."""
TOLD_S = 0.5
"""Time after an answer from which its router is held to what it stated."""
WINDOW_S = 4.0
DRAIN_S = 2.0
WAY_S = 0.002
SWEEP_S = 0.25
LIMIT_S = 8.0
OBJECTIVE_S = 0.4


class SocketStandin:
    """Takes options."""

    def setsockopt(self, *_):
        """Do nothing."""


class TargetTransport(SimulatedTransport):
    """A connection to a played target."""

    def get_extra_info(self, name):
        """Return what the pool asks for."""
        return SocketStandin() if name == "socket" else None


class PlayedLoop(VirtualLoop):
    """Opens connections to played targets."""

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        """Open a connection, unless the target is gone."""
        target = self._server.targets_by_host.get(host)
        if target is None or target.is_gone:
            raise ConnectionRefusedError
        protocol = protocol_factory()
        transport = TargetTransport(self, protocol, self._server, host)
        protocol.connection_made(transport)
        return transport, protocol


@dataclass(frozen=True)
class Arrival:
    """A request that reached a target."""

    at: float
    router: str


class StatingTarget:
    """A target, and what it states of itself.

    Attributes
    ----------
    limit : str or None
        Value of the header that names its limit.
    limits : list of (float, float or None)
        When it named which limit, or none any more.
    is_leaving : bool
        Whether it says that it leaves.
    rest_s : float or None
        Rest that it asks for as it refuses all requests; None while it serves.
    """

    def __init__(self, play, number, *, run_s, slots):
        self.play = play
        self.target_id = f"i-{number}"
        self.host = f"10.0.0.{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.run_s = run_s
        self.slots = slots
        self.is_gone = False
        self.limit = None
        self.limits = []
        self.is_leaving = False
        self.rest_s = None
        self.arrivals = []
        self.told_limit_at = {}
        self.told_leaving_at = {}
        self.rests = []
        self.running = 0

    def entry(self, state=TargetState.READY):
        """Return its entry."""
        return TargetEntry(
            target_id=self.target_id,
            service=SERVICE,
            host=self.host,
            port=1,
            failure_domain=self.domain,
            slots=self.slots,
            state=state,
        )

    def name_limit(self, limit):
        """Name a limit from now on; None for no longer."""
        self.limit = None if limit is None else f"{limit:.2f}"
        self.limits.append((self.play.clock(), limit))

    def receive(self, transport, data):
        """Take a request: its head and body come at once."""
        head = data.split(b"\r\n\r\n", 1)[0].decode()
        headers = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        loop = get_running_loop()
        loop.call_later(WAY_S, self._arrive, transport, headers)

    def _arrive(self, transport, headers):
        router = headers["x-router"]
        self.arrivals.append(Arrival(self.play.clock(), router))
        self.play.figures.arrivals[self.target_id] += 1
        request_id = headers["attempt-id"]
        if self.rest_s is not None:
            self._answer(transport, router, request_id, "503 Unavailable", b"")
            return
        self.running += 1
        crowd = max(1.0, self.running / self.slots)
        takes_s = self.run_s * crowd * self.play.random.uniform(0.5, 1.5)
        if self.play.random.random() < 0.5:
            # The head of a stream comes with its first event.
            get_running_loop().call_later(
                0.2 * takes_s, self._stream, transport, router, request_id, takes_s
            )
        else:
            get_running_loop().call_later(
                takes_s, self._end, transport, router, request_id
            )

    def _end(self, transport, router, request_id):
        self.running -= 1
        self._answer(transport, router, request_id, "200 OK", b"ok")

    def _stream(self, transport, router, request_id, takes_s):
        self._send_head(
            transport,
            router,
            request_id,
            "200 OK",
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            b"f\r\nid: 1\ndata: 1\n\n\r\n",
        )
        get_running_loop().call_later(0.8 * takes_s, self._end_stream, transport)

    def _end_stream(self, transport):
        self.running -= 1
        get_running_loop().call_later(WAY_S, transport.deliver, b"0\r\n\r\n")

    def _answer(self, transport, router, request_id, status, body):
        self._send_head(
            transport,
            router,
            request_id,
            status,
            f"Content-Length: {len(body)}\r\n",
            body,
        )

    def _send_head(self, transport, router, request_id, status, more, body):
        lines = [
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {request_id}",
            "Keep-Alive: timeout=5",
        ]
        if self.limit is not None:
            lines.append(f"Server-Limit: {self.limit}")
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
        if status.startswith("503"):
            lines += ["Not-Executed: 1", f"Retry-After: {self.rest_s}"]
        data = ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + body
        said = (self.limit is not None, self.is_leaving, self.rest_s)
        get_running_loop().call_later(
            WAY_S, self._deliver, transport, router, data, status, said
        )

    def _deliver(self, transport, router, data, status, said):
        now = self.play.clock()
        names_limit, is_leaving, rest_s = said
        life = self.play.life_of(router)
        if names_limit:
            self.told_limit_at.setdefault(life, now)
        if is_leaving:
            self.told_leaving_at.setdefault(life, now)
        if status.startswith("503"):
            self.rests.append((now, router, rest_s))
        transport.deliver(data)


class CallerStandin:
    """A caller's connection."""

    is_writable = True
    on_writable = None

    def __init__(self, done):
        self._done = done

    def respond(self, status, headers, body):
        """Take a whole answer."""
        self._done(status, headers)

    def start_stream(self, status, headers):
        """Take the head of a stream."""
        self._done(status, headers)

    def write(self, data):
        """Take events."""

    def end_stream(self):
        """Take the end."""

    def cut(self):
        """Take a broken end."""
        self._done(0, [])


class StatementRouter:
    """One life of a router."""

    def __init__(self, play, name, domain, life):
        self.play = play
        self.name = name
        self.life = life
        self.clock = clock = get_running_loop().time
        self.lines = []
        targets = play.plants.make_targets()
        rollouts = Rollouts(ExposureRules())
        address = SocketAddress(name, 1)
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
                draw=play.random.random,
                rollouts=rollouts,
            ),
            allowances=Allowances(
                RouterSettings.__dataclass_fields__["allowances"].default_factory(),
                started_at=clock(),
            ),
            retries=WindowedRetryBudget(ratio=0.2, slack=50.0, window_s=10.0),
            quarantine=Quarantine(),
            rollouts=rollouts,
            peers=PeerTable(name, domain),
            pool=TargetPool(
                get_running_loop(),
                clock=clock,
                id_header=REQUEST_ID_HEADER,
                on_bytes=self._note_bytes,
            ),
            log=DecisionLog(name, write=self._write, clock=clock, wall_clock=clock),
            metrics=RouterMetrics(),
            suspension=SuspensionWatch(clock, steady=clock),
            clock=clock,
        )
        store = SimpleNamespace()
        self.peering = Peering(self.context, store, StoreReach(self.context))
        self.peering._transport = SimpleNamespace(
            sendto=self._send, is_closing=lambda: False
        )
        self.context.on_placed = self.peering.tell_placed
        if hasattr(self.context, "on_statement_news"):
            self.context.on_statement_news = self.peering.tell_soon

    def _note_bytes(self, life_id):
        target = self.context.targets.by_life_id.get(life_id)
        if target is not None:
            target.note_heard(self.clock())

    def _write(self, data):
        self.lines.append(data)
        return len(data)

    def _send(self, data, address):
        self.play.carry(self.name, address[0], data)

    async def run(self):
        """Tell and place for ever."""
        others = [
            Peer(each, each, 1, "listed", domain)
            for each, domain in self.play.domains_by_name.items()
        ]
        self.context.peers.replace(others, self.clock())
        self.context.peers.by_name.pop(self.name, None)
        entries = [target.entry() for target in self.play.targets]
        self.context.targets.replace(entries, self.clock())
        async with create_task_group() as tasks:
            for each in (self.peering._tell, self.peering._relay, self._sweep):
                tasks.start_soon(each)

    async def _sweep(self):
        while True:
            await sleep(SWEEP_S)
            self.context.dispatcher.pump_all(self.clock())

    async def serve(self, request_id, *, on_done):
        """Run a request to its end."""
        now = self.clock()
        headers = [(b"Attempt-Id", request_id), (b"X-Router", self.name.encode())]
        admitted = Admitted(
            request=CallerRequest(b"GET", b"/", headers, b"", b"", now, True),
            facts=read_call(headers),
            route=self.play.route,
            account=None,
            rank=(0, 0),
            service=SERVICE,
            cost=0.0,
            ends_at=now + LIMIT_S,
            identity=request_id,
        )
        lifecycle = RequestLifecycle(
            self.context,
            CallerStandin(on_done),
            admitted,
            ExchangeLog(self.context, now),
            take_trial=None,
        )
        await lifecycle.run()


class Plants:
    """Deliberate faults of the routers; without one they are as they are."""

    no_sharing = False

    def make_targets(self):
        """Return the beliefs of a router."""
        return TargetTable()


@dataclass
class Figures:
    """What came of a play."""

    arrivals: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    answered_after_s: list = field(default_factory=list)
    refused_after_s: list = field(default_factory=list)


@dataclass(frozen=True)
class Refused:
    """What a caller heard that was not served.

    Parameters
    ----------
    kept_s : float
        How long it was kept, in seconds.
    retry_after_s : float
        When it is to come back, in seconds.
    """

    kept_s: float
    retry_after_s: float


class StatementPlay(PlayedFleet):
    """A fleet, its callers and what its targets state.

    Parameters
    ----------
    seed : int
        Of all that is drawn.
    routers, targets : int
        How many there are.
    script : callable
        Coroutine function of the play: what targets state, and when.
    lasts_s : float
        How long callers come, in seconds.
    requests_per_s : float
        Of all callers.
    unevenness : float
        Callers of the busiest router, as a multiple of those of the quietest.
    run_s : float
        Mean time that a target takes for a request, in seconds.
    slots : int
        Of each target.
    faults : collection of str
        Kinds of faults that are drawn; empty for none.
    plants : Plants
        Deliberate faults of the routers.
    """

    def __init__(
        self,
        seed,
        *,
        routers,
        targets,
        script,
        lasts_s=20.0,
        requests_per_s=60.0,
        unevenness=3.0,
        run_s=0.15,
        slots=8,
        faults=(),
        plants=None,
    ):
        super().__init__(routers)
        self.seed = seed
        self.random = Random(seed)
        self.script = script
        self.lasts_s = lasts_s
        self.requests_per_s = requests_per_s
        self.weights = [
            1 + (unevenness - 1) * self.random.random() for _ in range(routers)
        ]
        self.faults = faults
        self.plants = plants or Plants()
        self.figures = Figures()
        self.targets = [
            StatingTarget(self, number, run_s=run_s, slots=slots)
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
        self.requests = 0
        self.refusals = []

    def play(self):
        """Play it; return its figures."""
        random.seed(self.seed)
        with Runner(loop_factory=lambda: PlayedLoop(self)) as runner:
            return runner.run(self._main())

    async def _main(self):
        self.clock = get_running_loop().time
        async with create_task_group() as self.tasks:
            for name in self.domains_by_name:
                self.begin(name)
            await sleep(1.0)
            self.tasks.start_soon(self.script, self)
            if self.faults:
                self.tasks.start_soon(self._disturb)
            with CancelScope() as self.calling:
                get_running_loop().call_later(self.lasts_s, self.calling.cancel)
                await self._calls()
            await sleep(2.0)
            self.tasks.cancel_scope.cancel()
        return self.figures

    def receive(self, transport, data):
        """Take what a router sends to a target."""
        self.targets_by_host[transport.host].receive(transport, data)

    def make_router(self, name, domain, life):
        """Return one life of a router."""
        return StatementRouter(self, name, domain, life)

    def life_of(self, name):
        """Return the present life of a router."""
        router = self.routers_by_name.get(name)
        return (name, None if router is None else router.life)

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
        began_at = self.clock()

        def on_done(status, headers):
            self.figures.statuses[status] += 1
            after_s = self.clock() - began_at
            if status == 200:
                self.figures.answered_after_s.append(after_s)
            else:
                self.figures.refused_after_s.append(after_s)
                retry_after = dict(headers).get(b"Retry-After", b"0")
                self.refusals.append(Refused(after_s, float(retry_after)))

        async def serve():
            await router.serve(b"q%d" % self.requests, on_done=on_done)

        self.tasks_by_name[router.name].start_soon(serve)

    async def _disturb(self):
        while True:
            await sleep(self.random.uniform(0.5, 5.0))
            kind = self.random.choice(self.faults)
            await getattr(self, "_" + kind)()

    async def _cut_one(self):
        name = self.random.choice(sorted(self.domains_by_name))
        self.cut.add(name)
        await sleep(self.random.uniform(1.0, 6.0))
        self.cut.discard(name)
        self.disturbed_at_by_name[name] = self.clock()

    # What the rules count.

    def is_excused(self, router, at):
        """Return whether a fault of a router excuses it at a time."""
        disturbed_at = self.disturbed_at_by_name.get(router, float("-inf"))
        return router in self.cut or at < disturbed_at + CONTACT_S

    def most_over_limit(self, target):
        """Return the largest excess over what a target's limit allows in a window.

        Counted are requests of routers that had passed on an answer with a limit half
        a second before; up to 0 the rule holds.
        """
        counted = [
            arrival.at
            for arrival in target.arrivals
            if self._is_held_to_limit(target, arrival)
        ]
        worst = float("-inf")
        first = 0
        for last, at in enumerate(counted):
            while counted[first] <= at - WINDOW_S:
                first += 1
            limit = highest_limit(target, at - WINDOW_S, at)
            if limit is not None and at >= target.limits[0][0] + CONTACT_S:
                allowed = 1.5 * limit * WINDOW_S + 5
                worst = max(worst, last - first + 1 - allowed)
        return worst

    def _is_held_to_limit(self, target, arrival):
        told_at = min(
            (
                at
                for (name, _), at in target.told_limit_at.items()
                if name == arrival.router
            ),
            default=float("inf"),
        )
        is_told = arrival.at >= told_at + TOLD_S
        return is_told and not self.is_excused(arrival.router, arrival.at)

    def most_in_rest(self, target):
        """Return the most requests that a router sent a target within a rest."""
        most = 0
        by_router = defaultdict(list)
        for arrival in target.arrivals:
            by_router[arrival.router].append(arrival.at)
        for told_at, router, rest_s in target.rests:
            if self.is_excused(router, told_at):
                continue
            within = [
                at
                for at in by_router[router]
                if told_at + TOLD_S < at < told_at + rest_s
            ]
            most = max(most, len(within))
        return most

    def sent_while_leaving(self, target):
        """Return the requests of routers that had been told that a target leaves."""
        return sum(
            arrival.at > told_at + DRAIN_S
            for arrival in target.arrivals
            for (name, _), told_at in target.told_leaving_at.items()
            if name == arrival.router
            and not self.is_excused(arrival.router, arrival.at)
        )

    def arrived(self, target, since, until):
        """Return the requests that reached a target in a time."""
        return sum(since <= arrival.at < until for arrival in target.arrivals)


def highest_limit(target, since, until):
    """Return the highest limit that was named in a time; None if none was for a part.

    A router may hear a change half a second late.
    """
    highest = None
    changes = [*target.limits, (float("inf"), None)]
    for (begins_at, limit), (ends_at, _) in pairwise(changes):
        if begins_at < until and ends_at > since - TOLD_S:
            if limit is None:
                return None
            highest = limit if highest is None else max(highest, limit)
    return highest
