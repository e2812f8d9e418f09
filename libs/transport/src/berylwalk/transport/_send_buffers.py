"""Bytes of a connection that its peer has not received yet."""

import struct
from asyncio import Transport
from fcntl import ioctl
from termios import TIOCOUTQ

SIZE = struct.Struct("i")


def unacknowledged_bytes(transport: Transport) -> int:
    """Return the bytes that were written and not acknowledged by the peer.

    Parameters
    ----------
    transport : asyncio.Transport
        TCP connection that is not closed.

    Returns
    -------
    int
        Bytes in the write buffer of the process and in the send queue of the kernel.
        Where the kernel does not tell the latter, as on systems other than Linux, only
        the former.
    """
    buffered = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    try:
        (queued,) = SIZE.unpack(ioctl(connection.fileno(), TIOCOUTQ, bytes(SIZE.size)))
    except OSError:
        return buffered
    return buffered + queued
