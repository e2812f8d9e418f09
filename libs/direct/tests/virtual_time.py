"""A loop whose time jumps to the next timer, with connections that are simulated.

What runs on it takes no real time and ends the same way each time.
"""

from asyncio import SelectorEventLoop
from selectors import DefaultSelector


class JumpingSelector(DefaultSelector):
    """Lets time pass instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return what is ready; if nothing is, let the time-out pass at once."""
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing is left that could happen"
            self.now += timeout
        return ready


class VirtualLoop(SelectorEventLoop):
    """Event loop in virtual time.

    Parameters
    ----------
    server : object
        Its ``accept(transport)`` gets each connection that is opened.
    """

    def __init__(self, server):
        self._jumping = JumpingSelector()
        self._server = server
        super().__init__(self._jumping)

    def time(self):
        """Return the virtual time, in seconds."""
        return self._jumping.now

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        """Open a simulated connection, whatever the address."""
        protocol = protocol_factory()
        transport = SimulatedTransport(self, protocol, self._server, host)
        await self._server.accept(transport)
        protocol.connection_made(transport)
        return transport, protocol


class SimulatedTransport:
    """The client's end of a simulated connection.

    ``host`` is the address that the client named, by which a test tells clients apart.
    """

    def __init__(self, loop, protocol, server, host=None):
        self.host = host
        self._loop = loop
        self._protocol = protocol
        self._server = server
        self._closing = False

    def write(self, data):
        """Send to the server."""
        self._server.receive(self, data)

    def deliver(self, data):
        """Hand data to the client, unless it has closed."""
        if not self._closing:
            self._protocol.data_received(data)

    def abort(self):
        """Close at once."""
        if not self._closing:
            self._closing = True
            self._loop.call_soon(self._protocol.connection_lost, None)

    close = abort

    def is_closing(self):
        """Return whether it is closed."""
        return self._closing

    def get_write_buffer_size(self):
        """Return 0: what is written has arrived."""
        return 0

    def pause_reading(self):
        """Do nothing: answers are small."""

    def resume_reading(self):
        """Do nothing: answers are small."""
