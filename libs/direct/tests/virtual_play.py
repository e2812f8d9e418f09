"""Common parts of simulations of many routers in virtual time."""

from asyncio import get_running_loop

from anyio import create_task_group, sleep

DOMAINS = ("fd-a", "fd-b", "fd-c")


class SimulatedFleet:
    """Routers that are killed and cut off, and the network between them.

    A subclass sets ``random``, ``clock``, ``tasks`` and ``defect``, and creates routers
    in ``make_router``; their ``peering`` receives the messages.
    """

    def __init__(self, routers):
        self.domains_by_name = {
            f"r-{number:02}": DOMAINS[number % len(DOMAINS)]
            for number in range(routers)
        }
        self.routers_by_name = {}
        self.tasks_by_name = {}
        self.cut = set()
        self.last_fault_by_name = {}
        self.lost_share = 0.0
        self.incarnations = 0

    def start_router(self, name):
        """Start a router."""
        self.incarnations += 1
        self.tasks.start_soon(self._run_router, name, str(self.incarnations))

    async def _start_after(self, seconds, name):
        await sleep(seconds)
        self.start_router(name)

    async def _run_router(self, name, incarnation):
        router = self.make_router(name, self.domains_by_name[name], incarnation)
        async with create_task_group() as tasks:
            self.routers_by_name[name] = router
            self.tasks_by_name[name] = tasks
            await router.run()

    def kill(self, names):
        """Kill routers, which restart after one or two seconds."""
        for name in names:
            if name in self.routers_by_name:
                del self.routers_by_name[name]
                self.tasks_by_name.pop(name).cancel_scope.cancel()
                back_s = self.random.uniform(0.8, 2.0)
                self.tasks.start_soon(self._start_after, back_s, name)
                self.last_fault_by_name[name] = self.clock() + back_s

    def send_datagram(self, sender, receiver, data):
        """Deliver a datagram, unless it is lost."""
        is_cut = sender in self.cut or receiver in self.cut or self.defect.no_sharing
        if is_cut or self.random.random() < self.lost_share:
            return
        delay_s = 0.001 + 0.004 * self.random.random()
        get_running_loop().call_later(delay_s, self._arrive, receiver, data)

    def _arrive(self, receiver, data):
        router = self.routers_by_name.get(receiver)
        if router is not None:
            router.peering._receive(data)

    async def _kill_one(self):
        self.kill([self.random.choice(sorted(self.domains_by_name))])

    async def _lose(self):
        self.lost_share = self.random.choice((0.03, 0.1, 0.3))
        await sleep(4.0)
        self.lost_share = 0.0
