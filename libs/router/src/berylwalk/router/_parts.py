"""Construction and wiring of the components of a router."""

from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Self

from berylwalk.platform import VmListClient
from berylwalk.process import NodeConnections
from berylwalk.router._control import ControlChannel
from berylwalk.router._fleet_state import FleetState
from berylwalk.router._grant_tasks import Spawn
from berylwalk.router._grants_http import GrantSender
from berylwalk.router._listeners import Listeners
from berylwalk.router._member_polling import MemberPoller
from berylwalk.router._message_batches import MessageBatches
from berylwalk.router._peer_sync import PeerQueries, PeerQueryHandler
from berylwalk.router._readiness import Readiness
from berylwalk.router._request_parts import RequestParts
from berylwalk.router._services import build_services
from berylwalk.router._settings_sync import SettingsSync
from berylwalk.router._shell import RouterShell
from berylwalk.settings import RouterSettings
from berylwalk.transport import SyncServer


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterParts:
    """The connected components of one router, before they are started.

    Parameters
    ----------
    connections : NodeConnections
        Connections to the key-value service, to agents and between nodes.
    vms : VmListClient
        The platform's VM list.
    fleet : FleetState
        State of the other processes.
    requests : RequestParts
        Components that handle requests.
    sync_server : SyncServer
        Replies to queries of peers.
    control : ControlChannel
        Sends and receives control datagrams.
    messages : MessageBatches
        Batches messages to agents.
    settings_sync : SettingsSync
        Synchronizes the settings.
    poller : MemberPoller
        Updates the members.
    readiness : Readiness
        Whether the router is ready.
    listeners : Listeners
        HTTP servers.
    """

    connections: NodeConnections
    vms: VmListClient
    fleet: FleetState
    requests: RequestParts
    sync_server: SyncServer
    control: ControlChannel
    messages: MessageBatches
    settings_sync: SettingsSync
    poller: MemberPoller
    readiness: Readiness
    listeners: Listeners

    @classmethod
    def from_config(
        cls, settings: RouterSettings, *, incarnation: int, spawn: Spawn
    ) -> Self:
        """Build and connect the components.

        Parameters
        ----------
        settings : RouterSettings
            Settings of the node.
        incarnation : int
            Wall-clock milliseconds at the start of the process.
        spawn : callable
            Starts a task whose errors do not end the process.

        Raises
        ------
        OSError
            If the span file cannot be opened.
        """
        connections = NodeConnections.from_config(settings)
        vms = VmListClient.from_config(
            settings.platform.vm_list_url, timeout_s=settings.platform.timeout_s
        )
        fleet = FleetState.from_config(settings)
        requests = RequestParts.from_config(
            settings, incarnation=incarnation, store=connections.store
        )
        shell = requests.shell
        control = _control(settings, incarnation, connections, fleet, shell)
        messages = MessageBatches(control.send)
        grants = _grant_sender(connections, fleet, shell)
        shell.connect(grants=grants, messages=messages, spawn=spawn)
        queries = PeerQueries(
            connections.sync_client,
            port=settings.ports.sync,
            address_of=fleet.members.address_of,
        )
        sync = _settings_sync(settings, connections, fleet, queries, control)
        control.set_settings_sync(sync)
        query_handler = PeerQueryHandler(sync, fleet.members)
        readiness = Readiness(sync, fleet.members)
        services = build_services(
            settings, connections, fleet, requests, sync, readiness
        )
        return cls(
            connections=connections,
            vms=vms,
            fleet=fleet,
            requests=requests,
            sync_server=connections.sync_server(settings, query_handler.handle),
            control=control,
            messages=messages,
            settings_sync=sync,
            poller=_poller(settings, vms, fleet, queries, sync, shell),
            readiness=readiness,
            listeners=Listeners.from_config(settings, services),
        )


def _control(
    settings: RouterSettings,
    incarnation: int,
    connections: NodeConnections,
    fleet: FleetState,
    shell: RouterShell,
) -> ControlChannel:
    return ControlChannel(
        connections.endpoint,
        port=settings.ports.control,
        router=settings.node.id,
        incarnation=incarnation,
        members=fleet.members,
        peers=fleet.peers,
        seeds=fleet.directory.seed_addresses,
        handle=shell.handle,
    )


def _grant_sender(
    connections: NodeConnections, fleet: FleetState, shell: RouterShell
) -> GrantSender:
    return GrantSender(
        connections.http,
        connections.key,
        url_of=fleet.directory.dispatch_url,
        report=shell.report,
    )


def _settings_sync(
    settings: RouterSettings,
    connections: NodeConnections,
    fleet: FleetState,
    queries: PeerQueries,
    control: ControlChannel,
) -> SettingsSync:
    return SettingsSync(
        fleet.replica,
        connections.store,
        pull=queries.fetch_settings,
        announce=control.announce,
        is_watcher=fleet.directory.is_watcher,
        poll_s=settings.platform.poll_s,
        pull_jitter_s=fleet.directory.pull_jitter_s,
    )


def _poller(
    settings: RouterSettings,
    vms: VmListClient,
    fleet: FleetState,
    queries: PeerQueries,
    sync: SettingsSync,
    shell: RouterShell,
) -> MemberPoller:
    return MemberPoller(
        fleet.members,
        vms,
        query_peer=queries.fetch_members,
        peer_addresses=fleet.directory.peer_addresses,
        on_change=_membership_change(fleet, sync, shell),
        poll_s=settings.platform.poll_s,
    )


def _membership_change(
    fleet: FleetState, sync: SettingsSync, shell: RouterShell
) -> Callable[[], None]:
    members = fleet.members

    def change() -> None:
        for router in fleet.peers.retain(members.router_ids, monotonic()):
            sync.forget_router(router)
        shell.handle(members.agents_listed())

    return change
