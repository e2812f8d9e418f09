"""What closing a connection sends to its peer."""

from asyncio import Transport
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

RESET = pack("ii", 1, 0)
"""Value of ``SO_LINGER`` by which closing resets the connection, also at the exit of
the process."""
END = pack("ii", 0, 0)
"""Value of ``SO_LINGER`` by which closing sends what is buffered, and then the end."""


def reset_on_close(transport: Transport) -> None:
    """Have closing reset the connection, so that its peer sees no end."""
    _set_linger(transport, RESET)


def end_on_close(transport: Transport) -> None:
    """Have closing send what is buffered and the end of the connection."""
    _set_linger(transport, END)


def reset(transport: Transport) -> None:
    """Close a connection so that its peer sees a reset instead of an end."""
    reset_on_close(transport)
    transport.abort()


def _set_linger(transport: Transport, value: bytes) -> None:
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(SOL_SOCKET, SO_LINGER, value)
