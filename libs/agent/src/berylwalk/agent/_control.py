"""Control datagrams between the agent and the routers."""

from collections.abc import Callable

from berylwalk.agent._events import AgentEvent, DatagramArrived
from berylwalk.agent._settings_puller import SettingsPuller
from berylwalk.transport import Datagram as Received
from berylwalk.transport import DatagramEndpoint
from berylwalk.wire import (
    ControlMessage,
    Datagram,
    decode_datagram,
    encode_datagram,
)


class ControlChannel:
    """Sends and receives control datagrams.

    Datagrams to a router go to the source address of its last datagram.

    Parameters
    ----------
    endpoint : DatagramEndpoint
        Socket of the datagrams.
    agent_id : str
        Node identifier.
    incarnation : int
        Incarnation of the agent.
    settings : SettingsPuller
        Records the routers' settings versions.
    handle : callable
        Called with an event for each datagram.
    """

    def __init__(
        self,
        endpoint: DatagramEndpoint,
        *,
        agent_id: str,
        incarnation: int,
        settings: SettingsPuller,
        handle: Callable[[AgentEvent], None],
    ) -> None:
        self._endpoint = endpoint
        self._agent_id = agent_id
        self._incarnation = incarnation
        self._settings = settings
        self._handle = handle
        self._address_by_router: dict[str, tuple[str, int]] = {}

    def send(self, router: str, messages: tuple[ControlMessage, ...]) -> None:
        """Send one datagram; drop it if the address of the router is unknown."""
        address = self._address_by_router.get(router)
        if address is None:
            return
        datagram = Datagram(
            self._agent_id, self._incarnation, self._settings.version, messages
        )
        self._endpoint.send(encode_datagram(datagram), address)

    async def run_receiver(self) -> None:
        """Receive datagrams until the endpoint is closed."""
        async for received in self._endpoint:
            self.receive(received)

    def receive(self, received: Received) -> None:
        """Decode and handle one datagram; ignore an invalid one."""
        datagram = decode_datagram(received.payload)
        if datagram is None:
            return
        router = datagram.sender
        self._address_by_router[router] = received.address
        # First, so that no request is admitted with settings known to be outdated.
        self._settings.record_announcement(
            router, received.address[0], datagram.settings_version
        )
        self._handle(DatagramArrived(datagram))
