"""UDP endpoint with non-blocking sends."""

import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import NamedTuple, Self

import anyio

from berylwalk.transport._sealing import Open, Seal, identity

MAX_DATAGRAM_BYTES = 65507
MAX_BATCH_DATAGRAMS = 64
SOCKET_BUFFER_BYTES = 1 << 20

Address = tuple[str, int]


class Datagram(NamedTuple):
    """Received datagram that was opened successfully.

    Parameters
    ----------
    payload : bytes
        The message after opening.
    address : tuple of (str, int)
        IP address and port of the sender.
    """

    payload: bytes
    address: Address


@dataclass(slots=True)
class DatagramCounts:
    """Numbers of datagrams since the endpoint was created.

    Parameters
    ----------
    sent, received : int
        Datagrams passed to the kernel, and datagrams received and opened.
    dropped : int
        Sends that failed: full socket buffer, oversize datagram, network error
        or closed endpoint.
    rejected : int
        Received datagrams that could not be opened.
    """

    sent: int = 0
    received: int = 0
    dropped: int = 0
    rejected: int = 0


class DatagramEndpoint:
    """UDP socket that can send from synchronous code.

    Iterate over it asynchronously, in a single task, to receive each `Datagram`.

    Parameters
    ----------
    host : str
        Local IP address.
    port : int
        Local port; 0 selects a free port.
    seal, open_ : callable, optional
        Applied to each payload that is sent or received.

    Attributes
    ----------
    counts : DatagramCounts
        Totals, exported as metrics.
    """

    def __init__(
        self, host: str, port: int, *, seal: Seal = identity, open_: Open = identity
    ) -> None:
        self._bind_address = (host, port)
        self._seal = seal
        self._open = open_
        self._socket: socket.socket | None = None
        self.counts = DatagramCounts()

    @classmethod
    def from_config(
        cls, host: str, port: int, *, seal: Seal = identity, open_: Open = identity
    ) -> Self:
        """Construct from settings; see the class for parameters."""
        return cls(host, port, seal=seal, open_=open_)

    @property
    def address(self) -> Address:
        """Bound local address, available after `start`."""
        return self._started_socket().getsockname()

    async def start(self) -> None:
        """Bind the socket.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp_socket.setblocking(False)
            _enlarge_buffers(udp_socket)
            udp_socket.bind(self._bind_address)
        except OSError:
            udp_socket.close()
            raise
        self._socket = udp_socket

    async def close(self) -> None:
        """Close the socket and end the iteration."""
        udp_socket = self._socket
        self._socket = None
        if udp_socket is None:
            return
        anyio.notify_closing(udp_socket)
        udp_socket.close()

    def send(self, payload: bytes, address: Address) -> bool:
        """Send one datagram without blocking.

        Parameters
        ----------
        payload : bytes
            The message before sealing.
        address : tuple of (str, int)
            IP address and port of the receiver.

        Returns
        -------
        bool
            False if the datagram was dropped.
        """
        if self._socket is None:
            self.counts.dropped += 1
            return False
        try:
            self._socket.sendto(self._seal(payload), address)
        except OSError:
            self.counts.dropped += 1
            return False
        self.counts.sent += 1
        return True

    async def __aiter__(self) -> AsyncIterator[Datagram]:
        """Yield each datagram that can be opened, until the endpoint is closed."""
        while self._socket is not None:
            try:
                await anyio.wait_readable(self._socket)
            except (anyio.ClosedResourceError, ValueError):
                return
            for datagram in self._receive_batch():
                yield datagram

    def _receive_batch(self) -> list[Datagram]:
        # The batch is bounded, so that a flood of datagrams cannot starve other
        # tasks.
        batch: list[Datagram] = []
        for _ in range(MAX_BATCH_DATAGRAMS):
            if self._socket is None:
                break
            try:
                sealed, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # An ICMP error for an earlier send; no datagram was received.
                continue
            payload = self._open(sealed)
            if payload is None:
                self.counts.rejected += 1
                continue
            self.counts.received += 1
            batch.append(Datagram(payload, address))
        return batch

    def _started_socket(self) -> socket.socket:
        if self._socket is None:
            raise RuntimeError("endpoint is not started")
        return self._socket


def _enlarge_buffers(udp_socket: socket.socket) -> None:
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        udp_socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
