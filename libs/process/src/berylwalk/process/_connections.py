"""Network clients and sockets shared by routers and agents."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Self

from berylwalk.platform import KeyValueClient
from berylwalk.settings import NodeSettings
from berylwalk.transport import (
    DatagramEndpoint,
    HttpClient,
    SyncClient,
    SyncServer,
)
from berylwalk.wire import FleetKey

SyncHandler = Callable[[bytes], Awaitable[bytes]]
"""Coroutine function that takes an encoded request and returns the encoded reply."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeConnections:
    """Clients and sockets of one node, and the key that seals their messages.

    Parameters
    ----------
    key : FleetKey
        Key shared by all processes of the installation.
    store : KeyValueClient
        Client of the platform's key-value service.
    http : HttpClient
        Client for requests to agents or to the target.
    endpoint : DatagramEndpoint
        Socket for control datagrams.
    sync_client : SyncClient
        Client for sync requests to other nodes.
    """

    key: FleetKey
    store: KeyValueClient
    http: HttpClient
    endpoint: DatagramEndpoint
    sync_client: SyncClient

    @classmethod
    def from_config(cls, settings: NodeSettings) -> Self:
        """Construct all connections from the settings of the node, not started."""
        node = settings.node
        platform = settings.platform
        key = FleetKey(settings.fleet.key.get_secret_value().encode())
        return cls(
            key=key,
            store=KeyValueClient.from_config(
                platform.endpoints, timeout_s=platform.timeout_s
            ),
            http=HttpClient.from_config(),
            endpoint=DatagramEndpoint.from_config(
                node.address, settings.ports.control, seal=key.seal, open_=key.open
            ),
            sync_client=SyncClient.from_config(
                timeout_s=platform.timeout_s, seal=key.seal, open_=key.open
            ),
        )

    def sync_server(self, settings: NodeSettings, answer: SyncHandler) -> SyncServer:
        """Return a server, not started, for the sync requests of other nodes.

        Parameters
        ----------
        settings : NodeSettings
            Settings of the node.
        answer : callable
            Handles one request.
        """
        return SyncServer.from_config(
            settings.node.address,
            settings.ports.sync,
            answer,
            seal=self.key.seal,
            open_=self.key.open,
        )

    async def start(self) -> None:
        """Open the control socket and the connection pools of the clients.

        Raises
        ------
        OSError
            If the control address cannot be bound.
        """
        for client in (self.store, self.http, self.endpoint):
            await client.start()

    async def close(self) -> None:
        """Close the control socket and the clients."""
        for client in (self.endpoint, self.http, self.store):
            await client.close()
