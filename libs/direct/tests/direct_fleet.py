"""Scripted targets, callers and the platform of a direct router."""

from asyncio import IncompleteReadError, open_connection, start_server
from dataclasses import dataclass, field
from json import dumps
from os import getpid

from anyio import fail_after, sleep

from berylwalk.standins.platform import PlatformStandin

RUN = f"{1 + getpid() // 250 % 250}.{1 + getpid() % 250}"
HOST = f"127.78.{RUN}"
"""Addresses derived from the process id, so that parallel runs don't collide."""
STORE = (f"127.79.{RUN}", 2379)
TEST_TIMEOUT_S = 20.0
KEY = "k1"
EVENTS = "text/event-stream"
CHUNKED = "Transfer-Encoding: chunked\r\n"
STATE_PATH = "/report"


@dataclass
class Received:
    """A request received by a target."""

    method: str
    path: str
    headers: dict
    body: bytes
    sender_left: object


@dataclass
class ScriptedTarget:
    """A target that handles each request by a script.

    A script is a coroutine function of the request and the writer, as is the one that
    handles requests for the target's state.
    """

    target_id: str
    port: int
    script: object
    service: str = "s"
    state_script: object = None
    received: list = field(default_factory=list)
    open_requests: int = 0
    writers: set = field(default_factory=set)

    async def start(self):
        self.server = await start_server(self._serve, HOST, self.port)

    async def close(self):
        self.server.close()

    async def crash(self):
        """Close the listener and abort all responses."""
        await self.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, **changes):
        """Return its entry in the store."""
        value = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "fd-a",
            "slots": 4,
            "state": "ready",
        }
        return dumps({**value, **changes}).encode()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                method, path, _ = first.split(" ")
                headers = dict(line.lower().split(": ", 1) for line in lines)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = Received(method, path, headers, body, reader.at_eof)
                if path == STATE_PATH:
                    await (self.state_script or tells_state)(request, writer)
                    continue
                self.received.append(request)
                self.open_requests += 1
                try:
                    await self.script(request, writer)
                    await writer.drain()
                finally:
                    self.open_requests -= 1
        except (IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def tells_state(request, writer):
    """Respond with the state of a target."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


def head(request, *, status="200 OK", length=None, kind="application/json", more=""):
    """Return the head of a target's response."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Attempt-Id: {request.headers['attempt-id']}",
        "Server-Seal: sealed",
        f"Content-Type: {kind}",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode()


def answers(text, **options):
    """Return a script that sends a complete response."""

    async def script(request, writer):
        writer.write(head(request, length=len(text), **options) + text.encode())

    return script


def event(number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {number}\n\n".encode()


def chunk(data):
    """Return one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def streams(first, last, *, until=None, rest=b""):
    """Return a script that streams events.

    With ``until`` the connection is aborted after that event and the remaining bytes.
    """

    async def script(request, writer):
        writer.write(
            head(
                request, kind="text/event-stream", more="Transfer-Encoding: chunked\r\n"
            )
        )
        start = int(request.headers.get("last-event-id", first - 1)) + 1
        for number in range(start, (until or last) + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await sleep(0.001)
        if until is None:
            writer.write(b"0\r\n\r\n")
            return
        if rest:
            writer.write(chunk(rest))
        await writer.drain()
        raise ConnectionResetError

    return script


@dataclass
class Reply:
    """A response received by a caller."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool


async def read_reply(reader):
    """Read one response, which may be truncated."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = raw.strip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    status = int(first.split(" ")[1])
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return Reply(status, headers, body, True)
    body = b""
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
    except (IncompleteReadError, ConnectionError):
        return Reply(status, headers, body, False)
    await reader.readexactly(2)
    return Reply(status, headers, body, True)


async def readiness(fleet):
    """Return the status of a readiness check."""
    address = fleet.settings.readiness_address
    return (await get(address.host, address.port, "/readyz")).status


async def get(host, port, path):
    """Return the response to a request of an operator."""
    reader, writer = await open_connection(host, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
    try:
        return await read_reply(reader)
    finally:
        writer.close()


class Fleet:
    """A running router with its platform and targets."""

    def __init__(self, settings):
        self.settings = settings
        self.platform = PlatformStandin()
        self.targets = []
        self.routes = []
        self.services = [{"name": "s"}, {"name": "other"}]
        self.tenants = [{"name": "t", "api-keys": [KEY]}]
        self.limits = {}
        self.version = 0
        self.requests = 0

    def put_configuration(self):
        """Write a new version of the configuration."""
        self.version += 1
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "tenants": self.tenants,
            "limits": self.limits,
        }
        self.platform.store.put(b"op/config", dumps(value).encode())

    def put_target(self, target, **changes):
        """Write the entry of a target."""
        key = b"servers/" + target.target_id.encode()
        self.platform.store.put(key, target.entry(**changes))

    def route(self, kind, **changes):
        """Add a route of a kind, with the kind as its path prefix."""
        self.routes.append(
            {
                "name": kind,
                "hostname": "h",
                "path-prefix": f"/{kind}/",
                "route-kind": kind,
                "timeout-ms": 10_000,
                "goal-ms": 400,
                "priority": 0,
                "service": "s",
                "max-attempts": 2,
                **changes,
            }
        )

    async def connect(self):
        """Open a caller's connection."""
        address = self.settings.caller_address
        return await open_connection(address.host, address.port)

    def encoded(self, path, *, request_id=None, body=b"", **headers):
        """Return an encoded request."""
        self.requests += 1
        fields = {
            "Host": "h",
            "Attempt-Id": request_id or f"a{self.requests}",
            "X-Api-Key": KEY,
            "Content-Length": str(len(body)),
        }
        for name, value in headers.items():
            fields[name.replace("_", "-")] = value
        lines = [f"{name}: {value}" for name, value in fields.items()]
        return "\r\n".join([f"POST {path} HTTP/1.1", *lines, "", ""]).encode() + body

    async def call(self, path, **options):
        """Make one call on a new connection."""
        with fail_after(TEST_TIMEOUT_S):
            reader, writer = await self.connect()
            writer.write(self.encoded(path, **options))
            try:
                return await read_reply(reader)
            finally:
                writer.close()

    async def until(self, holds):
        """Wait until a condition holds."""
        with fail_after(TEST_TIMEOUT_S):
            while not holds():
                await sleep(0.01)

    async def until_ready(self):
        """Wait until the router has the configuration and all targets."""
        with fail_after(TEST_TIMEOUT_S):
            while not self.is_up_to_date():
                await sleep(0.01)

    def is_up_to_date(self):
        """Return whether the router has the latest configuration and all targets."""
        context = self.router._context
        current = context.configuration.current
        known = context.targets.by_id
        return (
            current is not None
            and current.version == self.version
            and all(target.target_id in known for target in self.targets)
        )
