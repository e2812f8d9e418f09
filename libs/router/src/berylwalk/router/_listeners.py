"""The HTTP servers of a router."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Self

from anyio import create_task_group

from berylwalk.admin import FleetView, OrderService, SettingsService, admin_app
from berylwalk.caller import CallerLimits, KnownResources, caller_app
from berylwalk.model import Submitter
from berylwalk.placement import prefix_hashes
from berylwalk.router._readiness import Readiness
from berylwalk.router._service_policies import DocumentServicePolicies
from berylwalk.settings import RouterSettings
from berylwalk.telemetry import RouterMetrics, Tracing, ops_application
from berylwalk.transport import Application, HttpLimits, HttpServer

BODY_TIMEOUT_MARGIN_S = 5.0
"""Lets the caller API respond to a timeout before the server closes the connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Services:
    """Dependencies of the HTTP servers.

    Parameters
    ----------
    submitter : Submitter
        Accepts and places requests.
    service_policies : DocumentServicePolicies
        Service policies of client accounts.
    resources : callable
        Known models and services.
    settings_service : SettingsService
        Reads and changes the settings document.
    fleet : FleetView
        Nodes, targets and tiers.
    orders : OrderService
        Sends orders to agents.
    metrics : RouterMetrics
        Counters, gauges and histograms.
    tracing : Tracing
        Starts spans.
    readiness : Readiness
        Whether the router is ready.
    before_metrics : callable
        Updates the gauges before each scrape.
    """

    submitter: Submitter
    service_policies: DocumentServicePolicies
    resources: KnownResources
    settings_service: SettingsService
    fleet: FleetView
    orders: OrderService
    metrics: RouterMetrics
    tracing: Tracing
    readiness: Readiness
    before_metrics: Callable[[], None]


class Listeners:
    """The caller, admin and operations servers.

    Parameters
    ----------
    caller, admin, ops : HttpServer
        The servers.
    """

    def __init__(
        self, *, caller: HttpServer, admin: HttpServer, ops: HttpServer
    ) -> None:
        self._caller = caller
        self._admin = admin
        self._ops = ops

    @classmethod
    def from_config(cls, settings: RouterSettings, services: Services) -> Self:
        """Build the servers at the configured addresses."""
        host = settings.node.address
        ports = settings.ports
        return cls(
            caller=HttpServer(
                _caller_application(settings, services),
                host,
                ports.caller,
                limits=_caller_http_limits(settings),
            ),
            admin=HttpServer(
                admin_app(
                    settings=services.settings_service,
                    fleet=services.fleet,
                    orders=services.orders,
                    credentials=settings.admin.credential_sha256,
                ),
                host,
                ports.admin,
            ),
            ops=HttpServer(
                ops_application(
                    services.metrics.registry,
                    services.readiness.findings,
                    before_metrics=services.before_metrics,
                ),
                host,
                ports.ops,
            ),
        )

    async def start(self) -> None:
        """Listen on all ports."""
        for server in (self._ops, self._admin, self._caller):
            await server.start()

    def announce_close(self) -> None:
        """Tell callers with each further response that their connection ends."""
        self._caller.announce_close()

    async def close(self, *, timeout_s: float = 0.0) -> None:
        """Wait for responses of the caller and admin APIs, then close all servers.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.
        """
        async with create_task_group() as tasks:
            for server in (self._caller, self._admin):
                tasks.start_soon(partial(server.close, timeout_s=timeout_s))
        await self._ops.close()


def _caller_application(settings: RouterSettings, services: Services) -> Application:
    return caller_app(
        submitter=services.submitter,
        service_policies=services.service_policies,
        resources=services.resources,
        prefix_hashes=prefix_hashes,
        limits=CallerLimits.from_config(settings.caller),
        tracing=services.tracing,
        is_ready=services.readiness.has_settings,
    )


def _caller_http_limits(settings: RouterSettings) -> HttpLimits:
    caller = settings.caller
    return HttpLimits(
        header_timeout_s=caller.header_timeout_s,
        body_timeout_s=caller.body_timeout_s + BODY_TIMEOUT_MARGIN_S,
        max_connections=caller.max_connections,
    )
