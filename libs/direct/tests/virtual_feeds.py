"""The feeds and the store client of a router in virtual time."""

import random
from asyncio import Runner, get_running_loop
from types import SimpleNamespace

from anyio import create_task_group

from berylwalk.direct._configuration_feed import ConfigurationFeed
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._mirrored_prefix import ReadRole
from berylwalk.direct._store_health import CALL_TIMEOUT_S, StoreHealth
from berylwalk.direct._target_feed import TargetFeed
from berylwalk.dispatch import (
    ConfigurationState,
    Dispatcher,
    IdleTimeout,
    QuotaRules,
    QuotaTracker,
    SocketAddress,
    TargetTable,
)
from berylwalk.platform import KeyValueClient
from berylwalk.rollout import ExposureRules, Rollouts
from virtual_store import VirtualStore
from virtual_time import VirtualLoop

DRAIN_S = 2.0
"""Time after which a draining target must get no request."""
CONFIGURATION_S = 2.0
"""Time after which a configuration must be in force."""


class Feeds:
    """The feeds of a router, their state and the logged lines."""

    def __init__(self, store, *, drain_s=DRAIN_S):
        self.store = store
        self.lines = []
        self.clock = get_running_loop().time
        self.targets = TargetTable()
        self.configuration = ConfigurationState(key_trust_s=4.5)
        self.context = SimpleNamespace(
            settings=SimpleNamespace(
                drain_s=drain_s,
                configuration_s=CONFIGURATION_S,
                heartbeat_s=1.2,
                caller_address=SocketAddress("10.0.0.8", 80),
                readiness_address=SocketAddress("10.0.0.8", 81),
                metrics_port=82,
            ),
            targets=self.targets,
            configuration=self.configuration,
            idle_timeout=IdleTimeout(propagation_s=CONFIGURATION_S),
            quotas=QuotaTracker(QuotaRules(), started_at=self.clock()),
            dispatcher=Dispatcher(self.targets, failure_domain="fd-a"),
            rollouts=Rollouts(ExposureRules()),
            pool=SimpleNamespace(retain=lambda incarnation_ids: None),
            metrics=RouterMetrics(),
            log=SimpleNamespace(process=self._log),
            clock=self.clock,
        )

    def _log(self, event, **fields):
        self.lines.append((round(self.clock(), 3), event, fields))

    def is_available(self, target_id):
        """Return whether a request would be sent to a target."""
        target = self.targets.by_id.get(target_id)
        return target is not None and target.is_available(self.clock())

    @property
    def version(self):
        """Return the version in force, or 0."""
        current = self.configuration.current
        return 0 if current is None else current.version

    async def run(self):
        """Run the feeds forever."""
        client = KeyValueClient.from_config(
            ["http://10.0.0.9:80"], timeout_s=CALL_TIMEOUT_S
        )
        await client.start()
        self.store_health = store_health = StoreHealth(self.context)
        client.on_restored.add(store_health.note_restored)
        role = ReadRole()
        async with create_task_group() as tasks:
            tasks.start_soon(
                ConfigurationFeed(self.context, client, store_health, role).run
            )
            tasks.start_soon(TargetFeed(self.context, client, store_health, role).run)


def simulate(scenario, *, drain_s=DRAIN_S, **options):
    """Run a scenario against the feeds.

    Parameters
    ----------
    scenario : callable
        Coroutine function of the feeds; its result is returned.
    drain_s : float
        Setting of the router.
    options : dict
        Options of the store.
    """
    store = VirtualStore(**options)

    async def main():
        feeds = Feeds(store, drain_s=drain_s)
        async with create_task_group() as tasks:
            tasks.start_soon(feeds.run)
            result = await scenario(feeds)
            tasks.cancel_scope.cancel()
        return result

    return in_virtual_time(store, main)


def in_virtual_time(store, main):
    """Run a coroutine function with a store in virtual time and return its result."""
    # Retry delays are random, so they are seeded for reproducible runs.
    random.seed(1)

    async def run():
        store.start()
        return await main()

    with Runner(loop_factory=lambda: VirtualLoop(store)) as runner:
        return runner.run(run())
