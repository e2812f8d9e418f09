"""Datagrams between this router and the other processes."""

from collections.abc import Callable, Iterable
from time import monotonic

from anyio import sleep

from berylwalk.router._events import DatagramArrived, RouterEvent
from berylwalk.router._membership import MemberTable
from berylwalk.router._peers import PeerRouters
from berylwalk.router._settings_sync import SettingsSync
from berylwalk.transport import Datagram as ReceivedDatagram
from berylwalk.transport import DatagramEndpoint
from berylwalk.wire import (
    ControlMessage,
    Datagram,
    Hello,
    decode_datagram,
    encode_datagram,
)

HELLO_INTERVAL_S = 1.0
"""Time between two rounds of heartbeats to the other routers."""


class ControlChannel:
    """Sends and receives control datagrams.

    `set_settings_sync` must be called before the first datagram.

    Parameters
    ----------
    endpoint : DatagramEndpoint
        The socket.
    port : int
        Control port of all nodes.
    router : str
        Node identifier of this router.
    incarnation : int
        Incarnation of this router.
    members : MemberTable
        Source of addresses.
    peers : PeerRouters
        Records datagrams of other routers.
    seeds : iterable of str
        Addresses of routers that receive heartbeats before they are listed.
    handle : callable
        Receives the datagrams of agents, as events.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        endpoint: DatagramEndpoint,
        *,
        port: int,
        router: str,
        incarnation: int,
        members: MemberTable,
        peers: PeerRouters,
        seeds: Iterable[str] = (),
        handle: Callable[[RouterEvent], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._endpoint = endpoint
        self._port = port
        self._router = router
        self._incarnation = incarnation
        self._members = members
        self._peers = peers
        self._seeds = tuple(seeds)
        self._handle = handle
        self._clock = clock
        self._sync: SettingsSync | None = None
        self.leaving = False

    def set_settings_sync(self, sync: SettingsSync) -> None:
        """Set the settings synchronization, which tracks reported versions."""
        self._sync = sync

    def send(self, node_id: str, messages: tuple[ControlMessage, ...]) -> None:
        """Send one datagram to a member; dropped if its address is unknown."""
        address = self._members.address_of(node_id)
        if address is not None:
            self._send_to(address, messages)

    def announce(self) -> None:
        """Announce the settings version in force to all known nodes."""
        for router in self._members.router_ids:
            self.send(router, self._hello())
        for agent in self._members.agent_ids:
            self.send(agent, ())

    async def run_hellos(self) -> None:
        """Send heartbeats to the other routers."""
        while True:
            for router in self._peers.next_heartbeat_recipients(
                self._members.router_ids
            ):
                self.send(router, self._hello())
            self._send_hellos_to_seeds()
            await sleep(HELLO_INTERVAL_S)

    async def run_receiver(self) -> None:
        """Handle datagrams until the endpoint is closed."""
        async for received in self._endpoint:
            self.handle_datagram(received)

    def handle_datagram(self, received: ReceivedDatagram) -> None:
        """Handle one received datagram."""
        datagram = decode_datagram(received.payload)
        if datagram is None or datagram.sender == self._router:
            return
        now = self._clock()
        self._members.record_datagram(datagram.sender, now)
        if self._is_from_router(datagram):
            self._handle_router_datagram(datagram, received.address[0], now)
            return
        address = received.address[0]
        self._sync.record_agent_version(
            datagram.sender, address, datagram.settings_version
        )
        self._handle(DatagramArrived(datagram))

    def _handle_router_datagram(
        self, datagram: Datagram, address: str, now: float
    ) -> None:
        router = datagram.sender
        self._members.add_router(router, address, now)
        self._peers.record_datagram(router, datagram.settings_version, now)
        self._sync.record_router_version(router, datagram.settings_version)

    def _is_from_router(self, datagram: Datagram) -> bool:
        if self._members.is_router(datagram.sender):
            return True
        # Only routers send Hello, so this is a router that is not listed yet.
        return any(isinstance(message, Hello) for message in datagram.messages)

    def _send_hellos_to_seeds(self) -> None:
        known = {member.address for member in self._members.members}
        for address in self._seeds:
            if address not in known:
                self._send_to(address, self._hello())

    def _hello(self) -> tuple[ControlMessage, ...]:
        return (Hello(leaving=self.leaving),)

    def _send_to(self, address: str, messages: tuple[ControlMessage, ...]) -> None:
        datagram = Datagram(
            self._router, self._incarnation, self._sync.version, messages
        )
        self._endpoint.send(encode_datagram(datagram), (address, self._port))
