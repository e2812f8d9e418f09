"""Connections that routers and agents have in common."""

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
"""Turns an encoded question of another node into the encoded answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeConnections:
    """Clients and sockets of one node, and the key that seals what they send.

    Parameters
    ----------
    key : FleetKey
        Key that all processes of the installation share.
    store : KeyValueClient
        The platform's key-value service.
    http : HttpClient
        Calls of agents or of the target.
    endpoint : DatagramEndpoint
        Control datagrams.
    sync_client : SyncClient
        Questions to other nodes.
    """

    key: FleetKey
    store: KeyValueClient
    http: HttpClient
    endpoint: DatagramEndpoint
    sync_client: SyncClient

    @classmethod
    def from_config(cls, settings: NodeSettings) -> Self:
        """Build all of them from the settings of the node; none is started."""
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
        """Return a server for the questions of other nodes; it is not started.

        Parameters
        ----------
        settings : NodeSettings
            Settings of the node.
        answer : callable
            Answers one question.
        """
        return SyncServer.from_config(
            settings.node.address,
            settings.ports.sync,
            answer,
            seal=self.key.seal,
            open_=self.key.open,
        )

    async def start(self) -> None:
        """Open the control socket and the pools of the clients.

        Raises
        ------
        OSError
            If the control address cannot be bound.
        """
        for client in (self.store, self.http, self.endpoint):
            await client.start()

    async def close(self) -> None:
        """Close all of them at once."""
        for client in (self.endpoint, self.http, self.store):
            await client.close()
