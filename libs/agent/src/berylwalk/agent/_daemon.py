"""Agent process: construction, start, drain and shutdown."""

import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Self

from absl import logging
from anyio import CancelScope, create_task_group, sleep
from anyio.abc import TaskGroup

from berylwalk.agent._control import ControlChannel
from berylwalk.agent._dispatch import Dispatcher
from berylwalk.agent._dispatch_observer import DispatchObserver
from berylwalk.agent._events import DrainRequested, TargetChanged, TiersChanged
from berylwalk.agent._health import TargetHealth, health_url
from berylwalk.agent._machine import AgentMachine
from berylwalk.agent._orders import ORDERS_PATH, OrderCaller, OrdersEndpoint
from berylwalk.agent._paths import DISPATCH_PATH, by_path
from berylwalk.agent._settings_puller import SettingsPuller
from berylwalk.agent._settings_responder import SettingsResponder
from berylwalk.agent._shell import AgentShell
from berylwalk.agent._startup import machine_config
from berylwalk.agent._target_probe import TargetProbe
from berylwalk.model import Finding
from berylwalk.orders import FencingGate
from berylwalk.process import (
    DatagramCounter,
    NodeConnections,
    keep_running,
    run_daemon,
    tracing_from_settings,
)
from berylwalk.settings import AgentSettings, SettingsReplica
from berylwalk.telemetry import AgentMetrics, ops_application
from berylwalk.transport import HttpServer, KeptConnection

DRAIN_LINGER_S = 1.0
"""Time for which routers are still served after the last request ended, in seconds."""

CLOSE_TIMEOUT_S = 5.0
"""Longest time for routers to read the rest of their responses, in seconds."""


class AgentDaemon:
    """Agent process of one target.

    Create it with :meth:`from_config`, then ``await start()``. Call `start` and
    `close` in the same task.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the node.
    incarnation : int
        Wall-clock milliseconds at the start of the process.
    """

    def __init__(self, settings: AgentSettings, *, incarnation: int) -> None:
        self._settings = settings
        self._exit_stack = AsyncExitStack()
        self._task_group: TaskGroup | None = None
        self._is_draining = False
        self._connections = NodeConnections.from_config(settings)
        self._metrics = AgentMetrics.create()
        self._tracing = tracing_from_settings(
            "agent", settings.node.id, settings.telemetry
        )
        machine = AgentMachine(machine_config(settings, incarnation))
        self._shell = AgentShell(machine)
        self._observer = DispatchObserver(self._metrics, self._tracing, machine)
        self._datagrams = DatagramCounter(self._metrics, self._connections.endpoint)
        self._probe = self._new_probe()
        self._health = self._new_health()
        self._replica = SettingsReplica(time.monotonic(), node_id=settings.node.id)
        self._puller = SettingsPuller(
            self._replica,
            self._connections.sync_client,
            port=settings.ports.sync,
            on_change=self._on_settings_change,
        )
        self._sync_server = self._connections.sync_server(
            settings, SettingsResponder(self._replica).respond
        )
        self._control = ControlChannel(
            self._connections.endpoint,
            agent_id=settings.node.id,
            incarnation=incarnation,
            settings=self._puller,
            handle=self._shell.handle,
        )
        self._shell.set_sender(self._control.send)
        self._dispatch_server = self._new_dispatch_server()
        self._ops_server = self._new_ops_server()

    @classmethod
    def from_config(
        cls, settings: AgentSettings, *, incarnation: int | None = None
    ) -> Self:
        """Create an agent; its incarnation is the current time by default."""
        if incarnation is None:
            incarnation = int(time.time() * 1000)
        return cls(settings, incarnation=incarnation)

    async def start(self) -> None:
        """Bind all ports and start the background tasks.

        Raises
        ------
        OSError or pynng.NNGException
            If an address cannot be bound.
        """
        group = create_task_group()
        self._task_group = await self._exit_stack.enter_async_context(group)
        await self._connections.start()
        await self._sync_server.start(self._task_group)
        self._on_target_change()
        for name, task in self._background_tasks():
            self._task_group.start_soon(keep_running, name, task)
        await self._dispatch_server.start()
        await self._ops_server.start()
        logging.info("agent %s started", self._settings.node.id)

    async def drain(self) -> None:
        """Refuse new work and return when all running requests have ended."""
        logging.info("draining")
        self._is_draining = True
        self._shell.handle(DrainRequested())
        await self._shell.drained.wait()
        # Routers learn of the drain from digests and may still query attempts.
        await sleep(DRAIN_LINGER_S)
        await self._dispatch_server.close(timeout_s=CLOSE_TIMEOUT_S)
        logging.info("drained")

    async def close(self) -> None:
        """Stop immediately and abort the requests in progress."""
        with CancelScope(shield=True):
            await self._dispatch_server.close()
            await self._ops_server.close()
            if self._task_group is not None:
                self._task_group.cancel_scope.cancel()
            await self._sync_server.close()
            await self._probe.close()
            await self._connections.close()
        await self._exit_stack.aclose()
        self._tracing.close()

    def readiness(self) -> list[Finding]:
        """Return why the agent admits no requests; empty if it is ready."""
        findings = []
        if self._is_draining:
            findings.append(Finding("agent", "it is draining"))
        if not self._health.reachable:
            findings.append(Finding("target", "it does not respond"))
        if not self._puller.is_usable:
            findings.append(Finding("settings", "a newer version is not pulled yet"))
        return findings

    def _new_probe(self) -> TargetProbe:
        target = self._settings.target
        url = health_url(target.url, has_models=bool(target.models))
        return TargetProbe(partial(KeptConnection.from_config, url))

    def _new_health(self) -> TargetHealth:
        target = self._settings.target
        return TargetHealth(
            self._probe,
            models=target.models,
            services=target.services,
            on_change=self._on_target_change,
        )

    def _new_dispatch_server(self) -> HttpServer:
        settings = self._settings
        connections = self._connections
        dispatcher = Dispatcher(
            self._shell,
            connections.http,
            connections.key,
            settings.target.url,
            self._observer,
            self._probe,
            on_refused_connection=self._health.mark_unreachable,
        )
        orders = OrderCaller(connections.http, settings.target.url)
        gate = FencingGate(settings.node.id, connections.store, orders.forward)
        orders_endpoint = OrdersEndpoint(gate, connections.key)
        application = by_path({DISPATCH_PATH: dispatcher, ORDERS_PATH: orders_endpoint})
        return HttpServer.from_config(
            application, settings.node.address, settings.ports.dispatch
        )

    def _new_ops_server(self) -> HttpServer:
        settings = self._settings
        application = ops_application(
            self._metrics.registry, self.readiness, before_metrics=self._update_gauges
        )
        return HttpServer.from_config(
            application, settings.node.address, settings.ports.ops
        )

    def _background_tasks(
        self,
    ) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        return [
            ("ticks", self._shell.run_ticks),
            ("receiver", self._control.run_receiver),
            ("settings-pulls", self._puller.run),
            ("target-health", self._health.run),
        ]

    def _on_target_change(self) -> None:
        reachable = self._health.reachable and self._puller.is_usable
        self._shell.handle(TargetChanged(self._health.resources, reachable))

    def _on_settings_change(self) -> None:
        document = self._replica.document
        if document is not None:
            tiers = tuple(document.tree.tiers_by_name.values())
            self._shell.handle(TiersChanged(document.version, tiers))
        self._on_target_change()

    def _update_gauges(self) -> None:
        self._observer.update_gauges(self._puller.version)
        self._datagrams.update()


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the node.

    Raises
    ------
    OSError or pynng.NNGException
        If an address cannot be bound.
    """
    run_daemon(
        partial(AgentDaemon.from_config, settings),
        node_id=settings.node.id,
        log_level=settings.telemetry.log_level,
    )
