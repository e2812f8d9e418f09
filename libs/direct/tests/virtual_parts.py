"""Simulation of targets that crash on parts of prompts, in virtual time.

Admission, request handling, peering, the quarantine and its records are the real code;
the store is the stand-in behind the real client. Callers, targets and the network are
simulated.
"""

from asyncio import get_running_loop
from collections import Counter, defaultdict
from dataclasses import dataclass, replace

from anyio import create_task_group, sleep

from berylwalk.direct._exchange import Exchange
from berylwalk.direct._quarantine_store import QuarantineStore
from berylwalk.direct._request_lifecycle import TrialPermits
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import (
    Account,
    CallerLimits,
    Configuration,
    RouteKind,
    Service,
    TargetEntry,
    TargetState,
)
from berylwalk.forwarding import CallerRequest
from stating_targets import LATENCY_S, SERVICE, Arrival, SignallingTarget
from virtual_play import DOMAINS
from virtual_retries import RetryRouter, RetrySimulation
from virtual_statements import Defect

CONTACT_S = 3.0
"""Age of a fault, or of the fifth crash, from which the bounds apply."""
CRASHES_TO_FIND = 5
FEWEST_CALLS = 20
"""Number of watched calls that a judgement needs."""
TARGET_LIST_DELAY_S = 0.1
"""Time until routers learn of an ended or new target."""
EVENT_S = 0.03
EVENTS = 20
FIRST_EVENT_S = (0.03, 0.25)
"""Range of the time from the arrival of a request to its first event."""
BACK_S = (1.0, 5.0)
"""Range of the time until a crashed target is replaced."""
OUTER_PARTS = ("f1", "f2", "f3")
INNER_PARTS = 40
ACCOUNTS = ("a1", "a2", "a3")
RETURN_S = 0.2
GUILTY = "b4d"


@dataclass
class Call:
    """One request of a caller, which is its first or its second try."""

    parts: tuple
    account: str
    at: float = 0.0
    router: str = ""
    is_first_try: bool = True
    is_guilty: bool = False
    status: int = 0
    has_begun: bool = False
    is_complete: bool = False


class PartCaller:
    """The caller's connection of one request."""

    is_writable = True
    on_writable = None

    def __init__(self, call):
        self._call = call

    def ends_with_head(self, status):
        """Return whether a response has no body by its kind."""
        return False

    def respond(self, status, headers, body):
        """Receive a complete response."""
        self._call.status = status

    def start_stream(self, status, headers):
        """Receive the head of a stream."""
        self._call.status = status

    def write(self, data):
        """Receive events."""
        self._call.has_begun = True

    def end_stream(self):
        """Receive the end."""
        self._call.is_complete = True

    def truncate_response(self):
        """Receive a truncated end."""


@dataclass(frozen=True)
class GuiltyArrival(Arrival):
    """A request with a guilty part that was received by a target."""

    part: str = ""


class PartTarget(SignallingTarget):
    """A target that crashes when it begins to respond to a guilty part.

    Another one with a new id follows at its address.
    """

    event_text = ""
    """Data of each event besides its number."""

    def __init__(self, simulation, number, *, run_s, slots):
        super().__init__(simulation, number, run_s=run_s, slots=slots)
        self.number = number
        self.incarnations = 0
        self.open_transports = {}

    def entry(self, state=TargetState.READY):
        """Return its entry."""
        return replace(super().entry(state), version="v1")

    def _arrive(self, transport, headers):
        if self.is_gone:
            transport.abort()
            return
        if headers["expect-instance"] != self.target_id:
            head = f"HTTP/1.1 421 X\r\nAttempt-Id: {headers['attempt-id']}\r\n"
            transport.deliver(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        parts = [
            part.split(":")[0]
            for part in headers.get("prompt-prefix", "").split(",")[:-1]
        ]
        guilty = [part for part in parts if part in self.simulation.guilty_parts]
        for part in guilty:
            self.simulation.guilty_arrivals.append(
                GuiltyArrival(
                    self.simulation.clock(),
                    headers["x-router"],
                    headers["attempt-id"],
                    part,
                )
            )
        self.arrivals.append(
            Arrival(self.simulation.clock(), headers["x-router"], headers["attempt-id"])
        )
        self.open_transports[transport] = None
        self.running += 1
        load = max(1.0, self.running / self.slots)
        delay_s = load * self.simulation.random.uniform(*FIRST_EVENT_S)
        begin = self._crash_on if guilty else self._begin
        get_running_loop().call_later(
            delay_s, begin, transport, guilty or headers, self.target_id
        )

    def _is_running(self, transport, target_id):
        is_same = target_id == self.target_id and not self.is_gone
        return is_same and transport in self.open_transports

    def _crash_on(self, transport, guilty, target_id):
        if not self._is_running(transport, target_id):
            return
        if transport.is_closing():
            self._leave(transport)
            return
        for part in guilty:
            self.simulation.count_crash(part)
        self.crash()

    def _begin(self, transport, headers, target_id):
        if not self._is_running(transport, target_id):
            return
        head = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {headers['attempt-id']}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "Keep-Alive: timeout=5",
        ]
        if self.limit is not None:
            head.append(f"Server-Limit: {self.limit}")
            now = self.simulation.clock()
            self._limit_forwarded_at.setdefault(headers["x-router"], now)
        transport.deliver(("\r\n".join(head) + "\r\n\r\n").encode())
        self._send_event(transport, target_id, 1)

    def _send_event(self, transport, target_id, number):
        if not self._is_running(transport, target_id):
            return
        if transport.is_closing():
            self._leave(transport)
            return
        if number > EVENTS:
            self._leave(transport)
            transport.deliver(b"0\r\n\r\n")
            return
        data = f"id: {number}\ndata: {number}{self.event_text}\n\n".encode()
        transport.deliver(b"%x\r\n%s\r\n" % (len(data), data))
        get_running_loop().call_later(
            EVENT_S, self._send_event, transport, target_id, number + 1
        )

    def _leave(self, transport):
        self.open_transports.pop(transport, None)
        self.running -= 1

    def crash(self):
        """End with all its requests; another one follows."""
        if self.is_gone:
            return
        self.is_gone = True
        self.running = 0
        for transport in self.open_transports:
            get_running_loop().call_later(LATENCY_S, transport.abort)
        self.open_transports = {}
        loop = get_running_loop()
        loop.call_later(TARGET_LIST_DELAY_S, self.simulation.list_targets)
        back_s = self.simulation.fault_random.uniform(*BACK_S)
        loop.call_later(back_s, self._start_again)

    def reset_one(self):
        """Reset the connection of one request without ending."""
        if self.open_transports:
            transport = self.simulation.fault_random.choice(list(self.open_transports))
            self._leave(transport)
            transport.abort()

    def _start_again(self):
        self.incarnations += 1
        self.target_id = f"i-{self.number}-{self.incarnations}"
        self.is_gone = False
        get_running_loop().call_later(TARGET_LIST_DELAY_S, self.simulation.list_targets)


class PartRouter(RetryRouter):
    """One process of a router, with its quarantine."""

    def __init__(self, simulation, name, domain, incarnation):
        super().__init__(simulation, name, domain, incarnation)
        context = self.context
        # Keys stay valid without further reads of the configuration.
        context.configuration.confirm(simulation.configuration, float("inf"))
        self.quarantine_store = QuarantineStore(
            context, self.store, StoreHealth(context), wall_clock=self.clock
        )
        context.quarantine.on_urgent_update = self.peering.send_soon
        context.quarantine.on_change = lambda change: self.quarantine_store.wake()

    async def run(self):
        """Synchronize the records beside the other tasks of a router."""
        async with create_task_group() as tasks:
            tasks.start_soon(super().run)
            tasks.start_soon(self.quarantine_store.run)

    def headers(self, request_id, call):
        """Return the headers of a call."""
        return [
            (b"Host", b"h"),
            (b"Attempt-Id", request_id),
            (b"X-Router", self.name.encode()),
            (b"X-Api-Key", call.account.encode()),
            (b"Token-Count", b"400,40"),
            (b"Deadline-Ms", b"4000"),
            (b"Prompt-Prefix", ",".join(f"{each}:60" for each in call.parts).encode()),
        ]

    async def handle(self, request_id, call, *, body=b"", caller=None):
        """Handle a request like one read from a connection."""
        headers, now = self.headers(request_id, call), self.clock()
        request = CallerRequest(b"POST", b"/", headers, body, request_id, now, True)
        permits = TrialPermits(
            self.quarantine_store.acquire_trial_permits,
            self.quarantine_store.return_trial_permits,
        )
        exchange = Exchange(
            self.context, caller or PartCaller(call), request, trial_permits=permits
        )
        await exchange.run()


class PartDefect(Defect):
    """Defects injected into routers; the base class injects none."""

    def __init__(self, *, no_sharing=False):
        self.no_sharing = no_sharing


class PartSimulation(RetrySimulation):
    """A fleet whose targets crash on parts of prompts.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    guilty_per_s : float
        Rate of requests with a guilty part.
    guilty_parts : tuple of str
        Guilty parts; each guilty request has one of them.
    are_together : bool
        Whether each guilty request has all of them instead.
    guilty_from_s : float
        When such requests begin, in seconds.
    is_outer : bool
        Whether the guilty part is the first one of its prompts.
    options : dict
        As of `RetrySimulation`.
    """

    def __init__(
        self,
        seed,
        *,
        guilty_per_s=3.0,
        guilty_parts=(GUILTY,),
        are_together=False,
        guilty_from_s=8.0,
        is_outer=False,
        max_attempts=1,
        resumable=False,
        **options,
    ):
        options.setdefault("script", _nothing)
        options.setdefault("defect", PartDefect())
        options.setdefault("requests_per_s", 60.0)
        options.setdefault("duration_s", 36.0)
        options.setdefault("slots", 12)
        super().__init__(seed, **options)
        self.guilty_per_s = guilty_per_s
        self.guilty_parts = guilty_parts
        self.are_together = are_together
        self.guilty_from_s = guilty_from_s
        self.is_outer = is_outer
        self.route = replace(
            self.route,
            kind=RouteKind.STREAMING,
            resumable=resumable,
            max_attempts=max_attempts,
            public=False,
        )
        self.configuration = Configuration.from_parts(
            version=1,
            routes=[self.route],
            services=[Service(name=SERVICE, max_connections=500)],
            accounts=[Account(name=each, keys=frozenset([each])) for each in ACCOUNTS],
            limits=CallerLimits(),
        )
        self.guilty_arrivals = []
        self.crash_times = defaultdict(list)
        self.calls = []
        self.unstable = []

    def make_target(self, number, *, run_s, slots):
        """Return a target."""
        return PartTarget(self, number, run_s=run_s, slots=slots)

    def make_router(self, name, domain, incarnation):
        """Return a new process of a router."""
        return PartRouter(self, name, domain, incarnation)

    def start_router(self, name):
        """Start a router, which is not judged at once."""
        self.fault_log.record(name, self.clock(), self.clock())
        super().start_router(name)

    def entries(self) -> list[TargetEntry]:
        """Return the entries of the running targets."""
        return [target.entry() for target in self.targets if not target.is_gone]

    def list_targets(self):
        """Tell all routers which targets run."""
        for router in self.routers_by_name.values():
            router.context.targets.replace(self.entries(), self.clock())

    def count_crash(self, part):
        """Count a crash of a target by a guilty part."""
        self.crash_times[part].append(self.clock())

    async def _main(self):
        self.clock = get_running_loop().time
        return await super()._main()

    # Callers

    async def _calls(self):
        async with create_task_group() as tasks:
            tasks.start_soon(self._harmless_calls)
            if self.guilty_per_s:
                tasks.start_soon(self._guilty_calls)

    async def _harmless_calls(self):
        while True:
            await sleep(self.random.expovariate(self.requests_per_s))
            outer = self.random.choice(OUTER_PARTS)
            # Some inner parts are common, and most are rare.
            inner = int(INNER_PARTS * self.random.random() ** 2)
            account = self.random.choice(ACCOUNTS)
            self._start(Call((outer, f"{inner:x}0", self._own_part()), account))

    async def _guilty_calls(self):
        await sleep(self.guilty_from_s)
        while True:
            await sleep(self.random.expovariate(self.guilty_per_s))
            guilty = (self.random.choice(self.guilty_parts),)
            if self.are_together:
                guilty = self.guilty_parts
            inner = f"{self.random.randrange(INNER_PARTS):x}0"
            shared = (*guilty, inner) if self.is_outer else (OUTER_PARTS[0], *guilty)
            call = Call((*shared, self._own_part()), ACCOUNTS[0], is_guilty=True)
            self._start(call)

    def _own_part(self):
        return f"e{self.random.randrange(1 << 40):x}"

    def _start(self, call):
        routers = sorted(self.routers_by_name)
        if not routers:
            return
        name = self.random.choices(
            routers,
            [self.weights[list(self.domains_by_name).index(each)] for each in routers],
        )[0]
        router = self.routers_by_name[name]
        self.requests += 1
        call.at, call.router = self.clock(), name
        self.calls.append(call)
        request_id = b"q%d" % self.requests

        async def serve():
            try:
                await router.handle(request_id, call)
            finally:
                if call.is_first_try and not call.has_begun:
                    self.tasks.start_soon(self._return, call)

        self.tasks_by_name[name].start_soon(serve)

    async def _return(self, call):
        await sleep(RETURN_S)
        again = Call(
            (*call.parts[:-1], self._own_part()),
            call.account,
            is_first_try=False,
            is_guilty=call.is_guilty,
        )
        self._start(again)

    # Faults

    async def _end_one(self):
        self.fault_random.choice(self.targets).crash()

    async def _end_domain(self):
        domain = self.fault_random.choice(DOMAINS)
        for target in self.targets:
            if target.domain == domain:
                target.crash()

    async def _reset(self):
        for _ in range(20):
            self.fault_random.choice(self.targets).reset_one()
            await sleep(0.1)

    async def _store_away(self):
        for_s = self.fault_random.uniform(1.0, 9.0)
        since = self.clock()
        self.unstable.append((since, since + for_s))
        await self.store.go_down(for_s)

    async def cut_off(self, names, for_s):
        """Cut routers off from the others and from the store."""
        for name in names:
            self.fault_log.record(name, self.clock(), self.clock() + for_s)
        await super().cut_off(names, for_s)

    # Judgement

    def is_in_touch(self, router, at):
        """Return whether the bounds apply to a router at a time."""
        is_stable = not any(
            since <= at < until + CONTACT_S for since, until in self.unstable
        )
        return is_stable and not self.fault_log.is_exempt(router, at)

    def late_sends(self):
        """Return the most requests with one part sent after its bound applies."""
        late = Counter()
        for arrival in self.guilty_arrivals:
            times = self.crash_times[arrival.part]
            if len(times) < CRASHES_TO_FIND:
                continue
            is_late = arrival.at > times[CRASHES_TO_FIND - 1] + CONTACT_S
            if is_late and self.is_in_touch(arrival.router, arrival.at):
                late[arrival.part] += 1
        return max(late.values(), default=0)

    def crashes(self):
        """Return the most crashes by one guilty part."""
        return max(map(len, self.crash_times.values()), default=0)

    def served_ratio(self, shares):
        """Return how often watched requests begin, relative to before.

        Parameters
        ----------
        shares : callable
            Whether a harmless call has something in common with the guilty ones.

        Returns
        -------
        float
            Share of first tries that began since twice `CONTACT_S` after the fifth
            crash (the last, if there are fewer), divided by that before the first;
            1.0 if there are fewer than `FEWEST_CALLS` of either.
        """
        begin, end = self._judged_from()
        before, beside = [], []
        for call in self.calls:
            if call.is_guilty or not call.is_first_try or not shares(call):
                continue
            was_cut = call.status == 0 and not call.has_begun
            if was_cut or not self.is_in_touch(call.router, call.at):
                continue
            if CONTACT_S < call.at < begin:
                before.append(call.has_begun)
            elif end + 2 * CONTACT_S < call.at < self.duration_s:
                beside.append(call.has_begun)
        if min(len(before), len(beside)) < FEWEST_CALLS or not any(before):
            return 1.0
        return (sum(beside) / len(beside)) / (sum(before) / len(before))

    def _judged_from(self):
        """Return when guilty requests began, and the fifth or last crash by them."""
        times = sorted(time for each in self.crash_times.values() for time in each)
        if not times:
            return self.guilty_from_s, self.guilty_from_s
        return self.guilty_from_s, times[min(len(times), CRASHES_TO_FIND) - 1]

    def shares_first_part(self, call):
        """Return whether a call has the first part of the guilty ones."""
        return call.parts[0] == OUTER_PARTS[0]

    def shares_account(self, call):
        """Return whether a call is of the account of the guilty ones."""
        return call.account == ACCOUNTS[0]

    def unserved_share(self, since, until):
        """Return the share of harmless first tries to which no response began."""
        tries = [
            call
            for call in self.calls
            if not call.is_guilty and call.is_first_try and since <= call.at < until
        ]
        return sum(not call.has_begun for call in tries) / max(1, len(tries))


async def _nothing(simulation):
    """Change nothing."""
    await sleep(0.0)
