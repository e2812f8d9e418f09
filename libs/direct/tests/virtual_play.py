"""What plays of many routers in virtual time have in common."""

from asyncio import get_running_loop

from anyio import create_task_group, sleep

DOMAINS = ("fd-a", "fd-b", "fd-c")


class PlayedFleet:
    """Routers that are killed and cut off, and the network between them.

    A play sets ``random``, ``clock``, ``tasks`` and ``plants``, and says by
    ``make_router`` what a router is; its ``peering`` takes the messages.
    """

    def __init__(self, routers):
        self.domains_by_name = {
            f"r-{number:02}": DOMAINS[number % len(DOMAINS)]
            for number in range(routers)
        }
        self.routers_by_name = {}
        self.tasks_by_name = {}
        self.cut = set()
        self.disturbed_at_by_name = {}
        self.lost_share = 0.0
        self.lives = 0

    def begin(self, name):
        """Start a router."""
        self.lives += 1
        self.tasks.start_soon(self._run_router, name, str(self.lives))

    async def _begin_after(self, seconds, name):
        await sleep(seconds)
        self.begin(name)

    async def _run_router(self, name, life):
        router = self.make_router(name, self.domains_by_name[name], life)
        async with create_task_group() as tasks:
            self.routers_by_name[name] = router
            self.tasks_by_name[name] = tasks
            await router.run()

    def kill(self, names):
        """Kill routers; they are back after a second or so."""
        for name in names:
            if name in self.routers_by_name:
                del self.routers_by_name[name]
                self.tasks_by_name.pop(name).cancel_scope.cancel()
                back_s = self.random.uniform(0.8, 2.0)
                self.tasks.start_soon(self._begin_after, back_s, name)
                self.disturbed_at_by_name[name] = self.clock() + back_s

    def carry(self, sender, receiver, data):
        """Carry a datagram, unless it is lost."""
        is_cut = sender in self.cut or receiver in self.cut or self.plants.no_sharing
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
