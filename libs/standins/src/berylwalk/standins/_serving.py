"""A small layer over ASGI and uvicorn that the stand-ins share."""

from asyncio import Transport
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

from anyio import create_task_group, get_cancelled_exc_class, run, sleep
from msgspec.json import decode, encode
from uvicorn import Config, Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

REQUEST_ID_HEADER = "berylwalk-request-id"
TRANSPORT_EXTENSION = "berylwalk.transport"
POLL_S = 0.005
BACKLOG = 1024

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]
Task = Callable[[], Awaitable[None]]


class TransportProtocol(HttpToolsProtocol):
    """HTTP protocol that shows an application its connection."""

    def on_message_begin(self) -> None:
        """Put the transport among the scope's extensions."""
        super().on_message_begin()
        self.scope["extensions"] = {TRANSPORT_EXTENSION: self.transport}


@dataclass(slots=True)
class Exchange:
    """One HTTP request and its answer."""

    scope: dict[str, Any]
    receive: Receive
    send: Send
    headers: dict[str, str] = field(default_factory=dict)
    drop_answer: bool = False
    stated_headers: Mapping[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Decode the headers."""
        for name, value in self.scope["headers"]:
            self.headers[name.decode("latin-1")] = value.decode("latin-1")

    @property
    def method(self) -> str:
        """Method, in upper case."""
        return self.scope["method"]

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.scope["path"]

    def query(self) -> dict[str, str]:
        """Return the query's parameters by name."""
        return dict(parse_qsl(self.scope["query_string"].decode("latin-1")))

    async def body(self) -> bytes:
        """Read the whole body."""
        parts = []
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                break
            parts.append(message.get("body", b""))
            if not message.get("more_body", False):
                break
        return b"".join(parts)

    async def json(self) -> Any:
        """Read the whole body as JSON; an empty body is an empty object."""
        return decode(await self.body() or b"{}")

    async def start(
        self, status: int, content_type: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send the status line and headers."""
        fields = {
            "content-type": content_type,
            **self.stated_headers,
            **(headers or {}),
        }
        encoded = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in fields.items()
        ]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Send a part of the body."""
        await self.send({"type": "http.response.body", "body": data, "more_body": more})

    async def respond(
        self,
        status: int,
        body: bytes,
        content_type: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a whole answer, or drop the connection where that is asked for."""
        if self.drop_answer:
            await self.abort()
            return
        length = {"content-length": str(len(body))}
        await self.start(status, content_type, {**length, **(headers or {})})
        await self.write(body, more=False)

    async def respond_json(
        self, status: int, value: object, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a whole answer in JSON."""
        await self.respond(status, encode(value), "application/json", headers)

    def is_disconnected(self) -> bool:
        """Return whether the connection is closed."""
        return self._transport().is_closing()

    async def abort(self) -> None:
        """Drop the connection without an answer, or in the middle of one."""
        self._transport().abort()
        while (await self.receive())["type"] != "http.disconnect":
            pass

    def _transport(self) -> Transport:
        return self.scope["extensions"][TRANSPORT_EXTENSION]


Handler = Callable[[Exchange], Awaitable[None]]


def application(handle: Handler) -> Application:
    """Return the ASGI application of a handler of exchanges."""

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        try:
            await handle(exchange)
        except get_cancelled_exc_class():
            # Cancelled by ``serving`` with its connection: nothing is left to
            # be told, and uvicorn would log it as an error.
            if not exchange.is_disconnected():
                raise

    return app


@asynccontextmanager
async def serving(
    handle: Handler, host: str, port: int, *tasks: Task
) -> AsyncIterator[Server]:
    """Serve a handler while the context is open.

    On leaving, open connections are aborted, as if the process had died.

    Parameters
    ----------
    handle : callable
        Handles one exchange.
    host, port : str, int
        Where to listen.
    *tasks : callable
        Background tasks to run besides.
    """
    server = _server(handle, host, port)
    async with create_task_group() as group:
        for task in tasks:
            group.start_soon(task)
        group.start_soon(server.serve)
        while not server.started:
            await sleep(POLL_S)
        try:
            yield server
        finally:
            await _stop(server)
            group.cancel_scope.cancel()


def serve_forever(handle: Handler, host: str, port: int, *tasks: Task) -> None:
    """Serve a handler until the process gets SIGINT or SIGTERM."""

    async def main() -> None:
        server = _server(handle, host, port)
        async with create_task_group() as group:
            for task in tasks:
                group.start_soon(task)
            await server.serve()
            group.cancel_scope.cancel()

    run(main, backend_options={"use_uvloop": True})


def _server(handle: Handler, host: str, port: int) -> Server:
    config = Config(
        application(handle),
        host=host,
        port=port,
        http=TransportProtocol,
        ws="none",
        lifespan="off",
        access_log=False,
        # Logging is the process's own: setting it up anew closes its handlers.
        log_config=None,
        log_level="warning",
        backlog=BACKLOG,
        timeout_graceful_shutdown=1,
    )
    return Server(config)


async def _stop(server: Server) -> None:
    server.should_exit = True
    server.force_exit = True
    # Listeners go first: a client that reconnects at once must not get in.
    for listener in server.servers:
        listener.close()
    await sleep(0)
    for connection in list(server.server_state.connections):
        connection.transport.abort()
    for task in list(server.server_state.tasks):
        task.cancel()
    while server.server_state.tasks:
        await sleep(POLL_S)
