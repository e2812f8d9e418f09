"""Simulation of a load balancer that sends most connections to one router.

The routers have VMs with limits, measure them, and decide on connections and requests
with the real code.
"""

from asyncio import get_running_loop
from dataclasses import dataclass, replace

from anyio import Event, create_task_group, sleep

from berylwalk.direct._vm_meter import INTERVAL_S, VmMeter
from berylwalk.dispatch import VmCapacity, VmLimits
from berylwalk.forwarding import TargetPool
from berylwalk.platform import REQUEST_ID_HEADER
from berylwalk.standins.load_balancer import LoadBalancer
from virtual_parts import (
    CONTACT_S,
    Call,
    PartCaller,
    PartRouter,
    PartSimulation,
    PartTarget,
)
from virtual_vm import MAX_QUEUE_S, REQUEST_S, VirtualVm

PROBE_INTERVAL_S = 1.0
BEFORE_S = 5.0
SURGE_S = 12.0
GIVES_UP_S = 4.0
ROUND_TRIP_S = 0.002
CONNECTIONS_TRIED = 2
"""Connections that a caller tries to open for a call."""
BODY_BYTES = 4_000
EVENT_TEXT = "x" * 70
KEPT_SHARE = 0.3
"""Share of the calls on connections that are open already, outside a surge."""
KEPT_SHARE_IN_SURGE = 0.1


@dataclass
class EntryCall(Call):
    """One request of a caller, with the connections that it tried."""

    domain: str = ""
    was_turned_away: bool = False
    completed_at: float = float("inf")


class EntryCaller(PartCaller):
    """The caller's end of a connection, behind the link of the router's VM."""

    def __init__(self, call, router):
        super().__init__(call)
        self._router = router

    def _carry(self, size, deliver, *args):
        self._router.context.traffic.note_sent(size)
        self._router.vm.carry_out(size, deliver, *args)

    def respond(self, status, headers, body):
        """Receive a complete response."""
        self._carry(200 + len(body), super().respond, status, headers, body)

    def start_stream(self, status, headers):
        """Receive the head of a stream."""
        self._carry(200, super().start_stream, status, headers)

    def write(self, data):
        """Receive events."""
        self._carry(len(data), super().write, data)

    def end_stream(self):
        """Receive the end."""
        self._carry(5, self._complete)

    def _complete(self):
        super().end_stream()
        self._call.completed_at = self._router.clock()


class EntryTarget(PartTarget):
    """A target whose events reach a router through the link of its VM."""

    event_text = EVENT_TEXT

    def _arrive(self, transport, headers):
        vm = self.simulation.vms[headers["x-router"]]
        deliver = type(transport).deliver.__get__(transport)
        transport.deliver = lambda data: vm.carry_in(len(data), deliver, data)
        super()._arrive(transport, headers)


class EntryRouter(PartRouter):
    """A router that measures its VM and decides on connections."""

    def __init__(self, simulation, name, domain, incarnation):
        super().__init__(simulation, name, domain, incarnation)
        context = self.context
        self.vm = simulation.vms[name]
        limits = VmLimits(
            link_bytes_per_s=self.vm.link_bytes_per_s, processor_share=self.vm.speed
        )
        context.settings = replace(context.settings, limits=limits)
        context.vm_capacity = VmCapacity(name)
        context.pool = TargetPool(
            simulation.loop,
            clock=self.clock,
            id_header=REQUEST_ID_HEADER,
            on_bytes=self._record_bytes,
            traffic=context.traffic,
        )
        self.meter = VmMeter(
            context,
            caller_connections=lambda: context.open_requests,
            waited_s=lambda: self.clock() - self.vm.busy_s,
        )
        self.peering.is_unready = lambda: context.vm_capacity.is_unready

    async def run(self):
        """Measure the VM beside the other tasks of a router."""
        async with create_task_group() as tasks:
            tasks.start_soon(super().run)
            tasks.start_soon(self._measure)

    async def _measure(self):
        while True:
            await sleep(INTERVAL_S)
            self.meter.record(self.vm.queue_s("processor"))

    def takes_connection(self):
        """Return whether a new connection is accepted."""
        capacity = self.context.vm_capacity
        return capacity.takes_connection(self.context.open_requests, self.clock())

    async def read(self, request_id, call):
        """Read a request from a connection and handle it."""
        size, is_read = 300 + BODY_BYTES, Event()
        self.vm.carry_in(size, self.vm.process, REQUEST_S, is_read.set)
        await is_read.wait()
        self.context.traffic.note_received(size)
        body, caller = b"b" * BODY_BYTES, EntryCaller(call, self)
        await self.handle(request_id, call, body=body, caller=caller)


class EntrySimulation(PartSimulation):
    """A fleet whose load balancer sends most new connections to one router.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    links : sequence of float
        Bandwidths of the links of the routers' VMs in turn, in bytes per second.
    speeds : sequence of float
        Speeds of their processors in turn.
    hot : int
        Number of the router that gets most of the connections.
    is_regional : bool
        Whether it gets those of all failure domains instead of its own.
    share : float
        Its share of the new connections.
    options : dict
        As of `PartSimulation`.
    """

    def __init__(
        self,
        seed,
        *,
        links,
        speeds=(1.0,),
        hot=1,
        is_regional=True,
        share=0.9,
        **options,
    ):
        options.setdefault("script", _surge)
        options.setdefault("duration_s", 1.0 + BEFORE_S + SURGE_S)
        super().__init__(seed, guilty_per_s=0.0, **options)
        self.vms = {
            name: VirtualVm(
                link_bytes_per_s=links[number % len(links)],
                speed=speeds[number % len(speeds)],
            )
            for number, name in enumerate(self.domains_by_name)
        }
        self.balancer = LoadBalancer(self.domains_by_name, self.random)
        self.hot, self.is_regional, self.share = hot, is_regional, share
        self.surge_at = float("inf")

    def make_target(self, number, *, run_s, slots):
        """Return a target."""
        return EntryTarget(self, number, run_s=run_s, slots=slots)

    def make_router(self, name, domain, incarnation):
        """Return a new process of a router."""
        return EntryRouter(self, name, domain, incarnation)

    async def _main(self):
        self.loop = get_running_loop()
        return await super()._main()

    def receive(self, transport, data):
        """Carry a request over the link of its router to a target."""
        name = data.split(b"X-Router: ", 1)[1].split(b"\r\n", 1)[0].decode()
        self.vms[name].carry_out(len(data), super().receive, transport, data)

    def send_datagram(self, sender, receiver, data):
        """Carry a datagram over the link of its sender; a full one loses it."""
        vm = self.vms[sender]
        if vm.queue_s("out") < MAX_QUEUE_S:
            vm.carry_out(len(data) + 28, super().send_datagram, sender, receiver, data)

    def _arrive(self, receiver, data):
        vm = self.vms[receiver]
        if vm.queue_s("in") < MAX_QUEUE_S:
            vm.carry_in(len(data) + 28, super()._arrive, receiver, data)

    # Callers

    async def _harmless_calls(self):
        domains = sorted(set(self.domains_by_name.values()))
        while True:
            await sleep(self.random.expovariate(self.requests_per_s))
            call = EntryCall(("p",), self.random.choice(("a1", "a2", "a3")))
            call.at = self.clock()
            self.calls.append(call)
            in_surge = self.clock() >= self.surge_at
            kept_share = KEPT_SHARE_IN_SURGE if in_surge else KEPT_SHARE
            domain = call.domain = self.random.choice(domains)
            if self.random.random() < kept_share:
                name = self.random.choice(sorted(self.routers_by_name))
                self._read(name, call)
            else:
                self.tasks.start_soon(self._connect, domain, call)

    async def _connect(self, domain, call):
        """Try routers until one accepts the connection."""
        name = self.balancer.choose(domain)
        for _ in range(CONNECTIONS_TRIED):
            router = self.routers_by_name.get(name)
            if router is not None and router.takes_connection():
                self._read(name, call)
                return
            call.was_turned_away = True
            await sleep(ROUND_TRIP_S)
            name = self.balancer.choose(domain, excluded=name)

    def _read(self, name, call):
        self.requests += 1
        call.router = name
        router, tasks = self.routers_by_name[name], self.tasks_by_name[name]
        tasks.start_soon(router.read, b"q%d" % self.requests, call)

    async def probe_readiness(self):
        """Ask each router once a second whether it is ready."""
        while True:
            await sleep(PROBE_INTERVAL_S)
            for name, router in self.routers_by_name.items():
                is_ready = not router.context.vm_capacity.is_unready
                self.balancer.note_probe(name, is_ready=is_ready)

    # Judgement

    def served_share(self, since, until):
        """Return how often the first attempt that a router has read was served.

        Only callers of the concerned failure domains count.
        """
        domain = self.balancer.surge_domain
        tries = [
            call
            for call in self.calls
            if since <= call.at < until and domain in (None, call.domain)
        ]
        served = sum(call.completed_at - call.at <= GIVES_UP_S for call in tries)
        return served / max(1, len(tries))

    def served_ratio(self):
        """Return the same in the surge, relative to the seconds before."""
        before = self.served_share(self.surge_at - BEFORE_S, self.surge_at)
        beside = self.served_share(self.surge_at + CONTACT_S, self.surge_at + SURGE_S)
        return beside / before

    def turned_away(self):
        """Return the number of calls that were turned away once or more."""
        return sum(call.was_turned_away for call in self.calls)


async def _surge(simulation):
    """Send most of the new connections to one router after a while."""
    simulation.tasks.start_soon(simulation.probe_readiness)
    await sleep(BEFORE_S)
    names = list(simulation.domains_by_name)
    name = names[simulation.hot % len(names)]
    simulation.surge_at = simulation.clock()
    domain = None if simulation.is_regional else simulation.domains_by_name[name]
    simulation.balancer.begin_surge(name, share=simulation.share, domain=domain)
    await sleep(SURGE_S)
    simulation.balancer.end_surge()
