"""Simulation of failing targets and restarting routers, for the retry budget.

Request handling, peering and membership are the real code; the store is the stand-in
behind the real client. Callers, targets and the network are simulated.
"""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass
from random import Random

from anyio import create_task_group, sleep

from berylwalk.direct._membership import Membership
from berylwalk.direct._store_health import CALL_TIMEOUT_S, StoreHealth
from berylwalk.dispatch import Route, RouteKind, ServiceShare, WindowedRetryBudget
from berylwalk.platform import KeyValueClient
from stating_targets import SERVICE, Arrival, SignallingTarget, SimulatedLoop
from virtual_statements import LIMIT_S, OBJECTIVE_S, SignalsRouter, SignalsSimulation
from virtual_store import VirtualStore
from virtual_time import SimulatedTransport

STORE_NETWORK = "10.9.0."
"""Addresses of the store; each router uses its own, so that it can be cut off."""
PEER_NETWORK = "10.1.0."
"""Addresses of routers for messages of other routers."""
CALLER_RETRIES = 1


@dataclass(frozen=True)
class RetryBound:
    """The users' bound on arrivals beyond the first of each request.

    Parameters
    ----------
    ratio : float
        Arrivals allowed per request.
    slack : float
        Additional arrivals allowed per window, over all routers.
    window_s : float
        Length of the sliding window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 58.0
    window_s: float = 10.0

    def allowed(self, sent_at, since):
        """Return how many are allowed in the window that begins at a time.

        The requests of that window, the one before and the one half a window before
        are counted; the most apply.
        """
        begins = (since, since - self.window_s, since - self.window_s / 2)
        counts = [_within(sent_at, begin, begin + self.window_s) for begin in begins]
        return self.ratio * max(counts) + self.slack


def _within(times, since, until):
    return bisect_left(times, until) - bisect_left(times, since)


@dataclass(frozen=True)
class RetryWindow:
    """Arrivals beyond the first of each request in one window, and the bound."""

    since: float
    repeats: int
    allowed: float


class FailingTarget(SignallingTarget):
    """A target that refuses, breaks or ignores a share of its requests.

    Attributes
    ----------
    refused_share, broken_share, ignored_share : float
        Shares of the requests that are refused as not executed, that break the
        connection, and that get no response.
    """

    refused_share = 0.0
    broken_share = 0.0
    ignored_share = 0.0

    def _arrive(self, transport, headers):
        draw = self.simulation.random.random()
        if draw < self.refused_share:
            self._record(headers)
            self._refuse(transport, headers)
        elif draw < self.refused_share + self.broken_share:
            self._record(headers)
            transport.abort()
        elif draw < self.refused_share + self.broken_share + self.ignored_share:
            self._record(headers)
        else:
            super()._arrive(transport, headers)

    def _record(self, headers):
        arrival = Arrival(
            self.simulation.clock(), headers["x-router"], headers["attempt-id"]
        )
        self.arrivals.append(arrival)

    def _refuse(self, transport, headers):
        lines = [
            "HTTP/1.1 503 Unavailable",
            f"Attempt-Id: {headers['attempt-id']}",
            "Not-Executed: 1",
            "Content-Length: 0",
        ]
        transport.deliver(("\r\n".join(lines) + "\r\n\r\n").encode())


class ReachedStore(VirtualStore):
    """A store that some routers cannot reach.

    Attributes
    ----------
    unreachable_from : set of str
        Addresses whose calls are lost before they take effect.
    """

    def __post_init__(self):
        super().__post_init__()
        self.unreachable_from = set()

    def receive(self, transport, data):
        """Receive a call, unless its router is cut off."""
        if transport.host not in self.unreachable_from:
            super().receive(transport, data)


class RetryLoop(SimulatedLoop):
    """Event loop that connects to simulated targets and to the store."""

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        """Open a connection."""
        if not host.startswith(STORE_NETWORK):
            return await super().create_connection(protocol_factory, host, port)
        protocol = protocol_factory()
        store = self._server.store
        transport = SimulatedTransport(self, protocol, store, host)
        await store.accept(transport)
        protocol.connection_made(transport)
        return transport, protocol


class RetryRouter(SignalsRouter):
    """One process of a router, with its membership in the store."""

    def __init__(self, simulation, name, domain, incarnation):
        super().__init__(simulation, name, domain, incarnation)
        self.store = KeyValueClient.from_config(
            [f"http://{simulation.store_host(name)}:80"], timeout_s=CALL_TIMEOUT_S
        )
        store_health = self.store_health = StoreHealth(self.context)
        self.store.on_restored.add(store_health.note_restored)
        self.peering._membership = Membership(
            self.context,
            self.store,
            store_health,
            incarnation=self.peering._incarnation,
            on_ended=self.peering._forget,
        )

    def make_retry_budget(self):
        """Return the budget for retries."""
        bound = self.simulation.bound
        return WindowedRetryBudget(
            ratio=bound.ratio,
            slack=bound.slack,
            window_s=bound.window_s,
            started_at=self.clock(),
            is_first_start=self.clock() == 0.0,
        )

    async def run(self):
        """Register, exchange messages and dispatch requests forever."""
        await self.store.start()
        entries = [target.entry() for target in self.simulation.targets]
        self.context.targets.replace(entries, self.clock())
        async with create_task_group() as tasks:
            for each in (
                self.peering._membership.run,
                self.peering._send_loop,
                self.peering._relay_loop,
                self._sweep,
            ):
                tasks.start_soon(each)

    async def leave(self):
        """Remove this router from the list of routers."""
        await self.peering.leave()


class RetrySimulation(SignalsSimulation):
    """A fleet of routers whose targets fail, judged at targets and callers.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    bound : RetryBound
        The bound that the arrivals are judged by.
    joining : int
        Number of routers that do not start before `join`.
    options : dict
        As of `SignalsSimulation`.
    """

    router_class = RetryRouter

    def __init__(self, seed, *, bound=None, joining=0, **options):
        self.bound = bound or RetryBound()
        self.joining = joining
        self.store = ReachedStore()
        self.fault_random = Random(f"faults {seed}")
        self.sent_at = []
        self.reasons = defaultdict(int)
        options.setdefault("requests_per_s", 87.0)
        super().__init__(seed, **options)
        self.route = Route(
            name="r",
            hostname="h",
            path_prefix="/",
            kind=RouteKind.IDEMPOTENT,
            timeout_s=LIMIT_S,
            objective_s=OBJECTIVE_S,
            priority=0,
            shares=(ServiceShare(SERVICE, 1.0),),
            max_attempts=3,
            public=True,
        )

    def make_loop(self):
        """Return the event loop of the simulation."""
        return RetryLoop(self)

    def make_target(self, number, *, run_s, slots):
        """Return a target."""
        return FailingTarget(self, number, run_s=run_s, slots=slots)

    def make_router(self, name, domain, incarnation):
        """Return a new process of a router."""
        return self.router_class(self, name, domain, incarnation)

    def store_host(self, name):
        """Return the address at which a router finds the store."""
        return f"{STORE_NETWORK}{list(self.domains_by_name).index(name)}"

    def peer_host(self, name):
        """Return the host of a router for messages of other routers."""
        return f"{PEER_NETWORK}{list(self.domains_by_name).index(name)}"

    def peer_name(self, host):
        """Return the router at a host."""
        return list(self.domains_by_name)[int(host.removeprefix(PEER_NETWORK))]

    async def _main(self):
        self.store.start()
        return await super()._main()

    def start_router(self, name):
        """Start a router, unless it has not joined yet."""
        names = list(self.domains_by_name)
        if names.index(name) < len(names) - self.joining:
            super().start_router(name)

    # Faults

    async def join(self):
        """Start the routers that were held back."""
        names = list(self.domains_by_name)[-self.joining :]
        self.joining = 0
        for name in names:
            self.start_router(name)

    def kill_all(self):
        """Kill all routers at the same moment."""
        self.kill(list(self.domains_by_name))

    async def _kill_all(self):
        self.kill_all()

    async def _kill_some(self):
        names = sorted(self.domains_by_name)
        self.kill(
            self.fault_random.sample(names, self.fault_random.randint(1, len(names)))
        )

    async def _restart_in_turn(self):
        await self.restart_in_turn(self.fault_random.uniform(0.3, 1.0))

    async def _cut_some(self):
        names = sorted(self.domains_by_name)
        some = self.fault_random.sample(names, self.fault_random.randint(1, len(names)))
        await self.cut_off(some, self.fault_random.uniform(1.0, 9.0))

    async def _store_away(self):
        await self.store.go_down(self.fault_random.uniform(1.0, 9.0))

    async def restore_store(self):
        """Let the store be away for a moment and come back from an older copy."""
        copy = self.store.store.take_copy()
        await sleep(self.fault_random.uniform(0.5, 4.0))
        await self.store.go_down_and_back(copy, self.fault_random.uniform(0.05, 1.5))

    async def _inject_faults(self):
        while True:
            await sleep(self.fault_random.uniform(0.2, 3.0))
            kind = self.fault_random.choice(self.faults)
            self.tasks.start_soon(getattr(self, "_" + kind))

    async def restart_in_turn(self, gap_s):
        """End each router gracefully and start it again, one after the other."""
        for name in self.domains_by_name:
            router = self.routers_by_name.get(name)
            if router is not None:
                await router.leave()
            self.kill([name])
            await sleep(gap_s)

    async def cut_off(self, names, for_s):
        """Cut routers off from the others and from the store."""
        hosts = {self.store_host(name) for name in names}
        self.cut |= set(names)
        self.store.unreachable_from |= hosts
        await sleep(for_s)
        self.cut -= set(names)
        self.store.unreachable_from -= hosts

    # Callers

    def _call(self, router, *, tries_left=CALLER_RETRIES):
        self.requests += 1
        self.sent_at.append(self.clock())
        request_id = b"q%d" % self.requests
        done = []

        def on_done(status, headers):
            done.append(status)
            self.results.statuses[status] += 1
            if status != 200 and tries_left:
                delay_s = float(dict(headers).get(b"Retry-After", b"0.05"))
                self.tasks.start_soon(self._call_again, delay_s, tries_left - 1)

        async def serve():
            try:
                await router.serve(request_id, on_done=on_done)
            finally:
                if not done and tries_left:
                    self.tasks.start_soon(self._call_again, 0.05, tries_left - 1)

        self.tasks_by_name[router.name].start_soon(serve)

    async def _call_again(self, delay_s, tries_left):
        await sleep(delay_s)
        routers = list(self.routers_by_name.values())
        if routers:
            self._call(self.random.choice(routers), tries_left=tries_left)

    # Judgement

    def repeats_at(self):
        """Return the times of all arrivals beyond the first of their request."""
        arrivals = sorted(
            (arrival.at, arrival.request_id)
            for target in self.targets
            for arrival in target.arrivals
        )
        seen, repeats = set(), []
        for at, request_id in arrivals:
            if request_id in seen:
                repeats.append(at)
            seen.add(request_id)
        return repeats

    def windows(self):
        """Return every window that begins or ends at a repeat."""
        repeats = self.repeats_at()
        width = self.bound.window_s
        begins = [*repeats, *(at - width + 1e-6 for at in repeats)]
        return [
            RetryWindow(
                since,
                _within(repeats, since, since + width),
                self.bound.allowed(self.sent_at, since),
            )
            for since in sorted(begins)
        ]

    def excess(self):
        """Return by how much the worst window exceeds the bound; 0 if none does."""
        worst = self.worst_window()
        return max(0, round(worst.repeats - worst.allowed))

    def used_share(self, since, until):
        """Return the smallest used share of the bound over windows in a period."""
        width = self.bound.window_s
        repeats = self.repeats_at()
        begins = [
            since + 0.5 * step for step in range(int(2 * (until - since - width)))
        ]
        return min(
            _within(repeats, begin, begin + width)
            / self.bound.allowed(self.sent_at, begin)
            for begin in begins
        )

    def worst_window(self):
        """Return the window whose repeats exceed the bound by most."""
        nothing = RetryWindow(0.0, 0, self.bound.slack)
        return max(
            [nothing, *self.windows()], key=lambda each: each.repeats - each.allowed
        )
