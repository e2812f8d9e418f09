"""Peer sync channel: sealed requests and replies over TCP."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from typing import Self, TypeVar

import anyio
import anyio.lowlevel
import pynng
from anyio.abc import TaskGroup

from berylwalk.transport._sealing import Open, Seal, identity

DEFAULT_CONTEXT_COUNT = 8
MAX_MESSAGE_BYTES = 4 << 20
ASYNC_BACKEND = "asyncio"

Result = TypeVar("Result")
Handler = Callable[[bytes], Awaitable[bytes]]


class SyncFailure(StrEnum):
    """Reason why a sync request failed.

    ``REJECTED``: the server could not process the request, or its reply was not
    sealed with the same key.
    """

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class SyncFailed:
    """Failure of a sync request.

    Parameters
    ----------
    failure : SyncFailure
        Kind of failure.
    reason : str
        Description of the error, for the logs.
    """

    failure: SyncFailure
    reason: str


class SyncServer:
    """Server that handles sync requests concurrently.

    The reply to a request that cannot be opened, or whose handler fails, is empty;
    clients reject it.

    Parameters
    ----------
    host : str
        Local IP address.
    port : int
        Local port.
    handler : callable
        Coroutine function that takes the bytes of a request and returns those of
        the reply.
    seal, open_ : callable, optional
        Applied to each reply and each request.
    contexts : int, optional
        Maximum number of requests handled concurrently.

    Attributes
    ----------
    rejected : int
        Number of requests that could not be opened.
    failed : int
        Number of requests whose handler raised an error or whose connection
        failed.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        *,
        seal: Seal = identity,
        open_: Open = identity,
        contexts: int = DEFAULT_CONTEXT_COUNT,
    ) -> None:
        self._url = f"tcp://{host}:{port}"
        self._handler = handler
        self._seal = seal
        self._open = open_
        self._context_count = contexts
        self._socket: pynng.Rep0 | None = None
        self.rejected = 0
        self.failed = 0

    @classmethod
    def from_config(
        cls,
        host: str,
        port: int,
        handler: Handler,
        *,
        seal: Seal = identity,
        open_: Open = identity,
    ) -> Self:
        """Construct from settings; see the class for parameters."""
        return cls(host, port, handler, seal=seal, open_=open_)

    async def start(self, task_group: TaskGroup) -> None:
        """Listen, and serve in the task group until `close` is called.

        Parameters
        ----------
        task_group : anyio.abc.TaskGroup
            Runs one task for each context.

        Raises
        ------
        pynng.NNGException
            If the address cannot be bound.
        """
        self._socket = pynng.Rep0(
            recv_max_size=MAX_MESSAGE_BYTES, async_backend=ASYNC_BACKEND
        )
        try:
            self._socket.listen(self._url)
        except pynng.NNGException:
            await self.close()
            raise
        for _ in range(self._context_count):
            task_group.start_soon(self._serve_context, self._socket.new_context())

    async def close(self) -> None:
        """Close the socket, which ends the serving tasks."""
        socket = self._socket
        self._socket = None
        if socket is not None:
            socket.close()

    async def _serve_context(self, context: pynng.Context) -> None:
        try:
            while True:
                await self._serve_one(context)
        except pynng.Closed:
            return
        finally:
            with suppress(pynng.Closed):
                context.close()

    async def _serve_one(self, context: pynng.Context) -> None:
        try:
            sealed = await _cancellable(context.arecv())
            reply = await self._reply(sealed)
            await _cancellable(context.asend(reply))
        except pynng.Closed:
            raise
        except pynng.NNGException:
            # The connection failed; the context can serve the next request.
            self.failed += 1

    async def _reply(self, sealed: bytes) -> bytes:
        request = self._open(sealed)
        if request is None:
            self.rejected += 1
            return b""
        try:
            reply = await self._handler(request)
        except Exception:
            # A failing request must not stop the server.
            self.failed += 1
            return b""
        return self._seal(reply)


class SyncClient:
    """Client that sends each sync request on a new connection.

    Parameters
    ----------
    timeout_s : float
        Timeout for sending, and for receiving, in seconds.
    seal, open_ : callable, optional
        Applied to each request and each reply.
    """

    def __init__(
        self, *, timeout_s: float = 2.0, seal: Seal = identity, open_: Open = identity
    ) -> None:
        self._timeout_ms = int(timeout_s * 1000)
        self._seal = seal
        self._open = open_

    @classmethod
    def from_config(
        cls, *, timeout_s: float = 2.0, seal: Seal = identity, open_: Open = identity
    ) -> Self:
        """Construct from settings; see the class for parameters."""
        return cls(timeout_s=timeout_s, seal=seal, open_=open_)

    async def request(self, host: str, port: int, request: bytes) -> bytes | SyncFailed:
        """Send one request on a new connection.

        Parameters
        ----------
        host : str
            IP address of the peer.
        port : int
            Port of the peer.
        request : bytes
            The message before sealing.

        Returns
        -------
        bytes or SyncFailed
            The opened reply, or the failure.
        """
        try:
            sealed = await self._exchange(f"tcp://{host}:{port}", request)
        except pynng.Timeout as error:
            return SyncFailed(SyncFailure.TIMED_OUT, _format_error(error))
        except pynng.NNGException as error:
            return SyncFailed(SyncFailure.UNREACHABLE, _format_error(error))
        reply = self._open(sealed)
        if reply is None or not sealed:
            return SyncFailed(SyncFailure.REJECTED, "the reply could not be opened")
        return reply

    async def _exchange(self, url: str, request: bytes) -> bytes:
        with pynng.Req0(
            send_timeout=self._timeout_ms,
            recv_timeout=self._timeout_ms,
            recv_max_size=MAX_MESSAGE_BYTES,
            async_backend=ASYNC_BACKEND,
        ) as socket:
            socket.dial(url, block=False)
            await _cancellable(socket.asend(self._seal(request)))
            return await _cancellable(socket.arecv())


async def _cancellable(operation: Awaitable[Result]) -> Result:
    try:
        return await operation
    except anyio.get_cancelled_exc_class():
        # pynng raises its own cancellation error; a cancel scope recognises only
        # the one that it delivered.
        await anyio.lowlevel.checkpoint_if_cancelled()
        raise


def _format_error(error: pynng.NNGException) -> str:
    return f"{type(error).__name__}: {error}"
