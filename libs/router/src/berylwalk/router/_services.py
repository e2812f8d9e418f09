"""Assembly of the services behind a router's HTTP servers."""

from collections.abc import Callable

from berylwalk.orders import OrderSender
from berylwalk.process import DatagramCounter, NodeConnections
from berylwalk.router._admin_views import RouterFleetView, RouterSettingsService
from berylwalk.router._fleet_state import FleetState
from berylwalk.router._listeners import Services
from berylwalk.router._orders import OrderTransmitter
from berylwalk.router._readiness import Readiness
from berylwalk.router._request_parts import RequestParts
from berylwalk.router._resources import ResourceCache
from berylwalk.router._service_policies import DocumentServicePolicies
from berylwalk.router._settings_sync import SettingsSync
from berylwalk.settings import RouterSettings


def build_services(
    settings: RouterSettings,
    connections: NodeConnections,
    fleet: FleetState,
    requests: RequestParts,
    sync: SettingsSync,
    readiness: Readiness,
) -> Services:
    """Build the dependencies of the HTTP servers.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the node.
    connections : NodeConnections
        Connections to the key-value service and to agents.
    fleet : FleetState
        State of the other processes.
    requests : RequestParts
        Components that handle requests.
    sync : SettingsSync
        Synchronizes the settings.
    readiness : Readiness
        Whether the router is ready.
    """
    store = connections.store
    replica = fleet.replica
    transmitter = OrderTransmitter(
        connections.http, connections.key, url_of=fleet.directory.orders_url
    )
    return Services(
        submitter=requests.shell,
        service_policies=DocumentServicePolicies(lambda: replica.document),
        resources=ResourceCache(requests.machine, fleet.members),
        settings_service=RouterSettingsService(replica, sync, store),
        fleet=_fleet_view(settings, fleet, requests),
        orders=OrderSender(settings.node.id, store, transmitter.transmit),
        metrics=requests.metrics,
        tracing=requests.tracing,
        readiness=readiness,
        before_metrics=_gauge_update(connections, fleet, requests),
    )


def _fleet_view(
    settings: RouterSettings, fleet: FleetState, requests: RequestParts
) -> RouterFleetView:
    node = settings.node
    return RouterFleetView(
        router=node.id,
        address=node.address,
        failure_domain=node.failure_domain,
        machine=requests.machine,
        members=fleet.members,
        peers=fleet.peers,
        replica=fleet.replica,
    )


def _gauge_update(
    connections: NodeConnections, fleet: FleetState, requests: RequestParts
) -> Callable[[], None]:
    metrics = requests.metrics
    datagrams = DatagramCounter(metrics, connections.endpoint)

    def update() -> None:
        requests.observer.count_active(requests.shell.active_requests)
        datagrams.update()
        metrics.settings_version.set(fleet.replica.version)

    return update
