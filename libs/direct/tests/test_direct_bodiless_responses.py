"""Responses that have no body by their kind, and requests of unusual kinds.

Each row is sent over one kept connection, followed by a usual request: what is left
over of one response would be read as the beginning of the next one.
"""

from dataclasses import dataclass, field

import pytest
from anyio import fail_after, sleep

from direct_fleet import KEY, answers, chunk, head

pytestmark = pytest.mark.anyio
BODY = b"these are 26 bytes of body"
IN_TIME_S = 5.0
"""Half of the time limit of the route: a response that is waited for until then was not
seen to be complete."""
EVENTS = "Content-Type: text/event-stream\r\n"


def states(rest, status="200 OK"):
    """Return a script that sends a head with some lines, and nothing after it."""

    async def script(request, writer):
        if request.path.endswith("/odd"):
            writer.write(head(request, status=status, more=rest))
        else:
            await answers("usual")(request, writer)

    return script


def states_and_sends(rest, body, *, status="200 OK", after_s=0.0):
    """Return a script that sends a body after such a head."""

    async def script(request, writer):
        await states(rest, status)(request, writer)
        if request.path.endswith("/odd"):
            await writer.drain()
            await sleep(after_s)
            writer.write(body)

    return script


@dataclass(frozen=True)
class Row:
    """What a target sends, and what the caller has to get.

    Parameters
    ----------
    name : str
        Names the row.
    script : callable
        Script of the target.
    status : int
        Status of the caller's response.
    stated : dict
        Headers of the caller's response that state its length; others must be absent.
    method : str
        Method of the request.
    route : str
        Kind of the route.
    version : str
        Version of the protocol that the caller speaks.
    headers : list of str
        More header lines of the request.
    """

    name: str
    script: object
    status: int = 200
    stated: dict = field(default_factory=dict)
    method: str = "HEAD"
    route: str = "non_idempotent"
    version: str = "1.1"
    headers: tuple = ()


LENGTH = "Content-Length: 26\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
TOLD = {"content-length": "26"}
SECOND = b"HTTP/1.1 200 OK\r\nServer-Seal: other\r\nContent-Length: 5\r\n\r\nwrong"
ROWS = [
    Row("head-with-length", states(LENGTH), stated=TOLD),
    Row("head-with-no-length", states("")),
    Row("head-empty", states("Content-Length: 0\r\n"), stated={"content-length": "0"}),
    Row("head-chunked", states(CHUNKED)),
    Row("head-of-a-stream", states(EVENTS + CHUNKED), route="streaming"),
    Row("head-not-found", states(LENGTH, "404 Not Found"), 404, TOLD),
    Row("head-failed", states(LENGTH, "500 Internal Server Error"), 500, TOLD),
    Row("head-of-an-old-caller", states(LENGTH), stated=TOLD, version="1.0"),
    Row("head-with-a-body", states_and_sends(LENGTH, BODY), stated=TOLD),
    Row(
        "head-with-a-late-body",
        states_and_sends(LENGTH, BODY, after_s=0.05),
        stated=TOLD,
    ),
    Row(
        "head-with-a-second-response",
        states_and_sends(LENGTH, SECOND),
        stated=TOLD,
    ),
    Row(
        "head-with-a-chunked-body",
        states_and_sends(CHUNKED, chunk(BODY) + b"0\r\n\r\n"),
    ),
    Row("no-content", states("", "204 No Content"), 204, method="POST"),
    Row("no-content-with-length", states(LENGTH, "204 No Content"), 204, method="POST"),
    Row(
        "no-content-with-a-body",
        states_and_sends(LENGTH, BODY, status="204 No Content"),
        204,
        method="POST",
    ),
    Row("not-modified", states("", "304 Not Modified"), 304, method="GET"),
    Row(
        "not-modified-with-length",
        states(LENGTH, "304 Not Modified"),
        304,
        TOLD,
        method="GET",
    ),
    Row(
        "not-modified-with-a-body",
        states_and_sends(LENGTH, BODY, status="304 Not Modified"),
        304,
        TOLD,
        method="GET",
    ),
]


class Caller:
    """A caller with one connection that it keeps."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def of(cls, fleet):
        """Connect to the router of a fleet."""
        return cls(*await fleet.connect())

    def send(self, method, path, *more, version="1.1", body=b""):
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/{version}",
            "Host: h",
            f"Attempt-Id: {path}",
            f"X-Api-Key: {KEY}",
            *more,
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def read_head(self):
        """Read the head of a response; returns its status and headers."""
        raw = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = raw.strip().split("\r\n")
        assert first.startswith("HTTP/1.1 "), first
        headers = dict(line.lower().split(": ", 1) for line in lines)
        return int(first.split(" ")[1]), headers

    async def read_body(self, headers):
        """Read the body of a response that states its length."""
        return await self.reader.readexactly(int(headers["content-length"]))

    async def check_usual(self, route):
        """Send a usual request, and check that its response is read as it was sent."""
        self.send("POST", f"/{route}/usual", "Content-Length: 0")
        status, headers = await self.read_head()
        assert status == 200
        assert await self.read_body(headers) == b"usual"


class TestResponsesWithoutABody:
    """Responses that end with their head."""

    @pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
    async def test_body_is_waited_for_or_read_as_the_next_response(self, running, row):
        """The caller gets the response at once, and no byte that belongs to none."""
        async with running(row.script, routes=(row.route,)) as fleet:
            with fail_after(IN_TIME_S):
                caller = await Caller.of(fleet)
                keep = ("Connection: keep-alive",) if row.version == "1.0" else ()
                path = f"/{row.route}/odd"
                caller.send(row.method, path, *keep, version=row.version)
                status, headers = await caller.read_head()
                await sleep(0.1)
                await caller.check_usual(row.route)
        stated = {
            name: headers[name]
            for name in ("content-length", "transfer-encoding")
            if name in headers
        }
        assert (status, stated) == (row.status, row.stated)

    @pytest.mark.parametrize("status", [100, 102, 103, 104, 199])
    async def test_interim_response_with_a_length_swallows_the_final_one(
        self, running, status
    ):
        """Such a response is no body of the final one, and takes none of its bytes."""

        async def script(request, writer):
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n" % status)
            await answers("usual")(request, writer)

        async with running(script, routes=("non_idempotent",)) as fleet:
            with fail_after(IN_TIME_S):
                reply = await fleet.call("/non_idempotent/")
        is_parsed = status in (100, 102, 103)
        assert (reply.status, reply.body) == (
            (200, b"usual") if is_parsed else (502, b"")
        )

    @pytest.mark.parametrize("path", ["/metrics", "/readyz"])
    async def test_own_response_to_head_has_a_body(self, running, path):
        """The other listeners answer by the same rules."""
        async with running(answers("ok")) as fleet:
            settings = fleet.settings
            address = settings.readiness_address
            if path == "/metrics":
                address = type(address)(
                    settings.caller_address.host, settings.metrics_port
                )
            fleet.settings = type("Settings", (), {"caller_address": address})
            with fail_after(IN_TIME_S):
                caller = await Caller.of(fleet)
                for _ in range(2):
                    caller.send("HEAD", path)
                    status, headers = await caller.read_head()
                    assert (status, "content-length" in headers) == (200, True)


class TestExpectations:
    """Callers that wait for an interim response before they send a body."""

    async def test_expectation_that_is_sent_ahead_gets_no_interim_response(
        self, running
    ):
        """It follows the response before it, and the body is waited for anew."""
        async with running(answers("usual")) as fleet:
            with fail_after(IN_TIME_S):
                caller = await Caller.of(fleet)
                expects = ("Content-Length: 4", "Expect: 100-continue")
                caller.send("POST", "/idempotent/a", "Content-Length: 0")
                caller.send("POST", "/idempotent/b", *expects)
                status, headers = await caller.read_head()
                assert (status, await caller.read_body(headers)) == (200, b"usual")
                assert (await caller.read_head())[0] == 100
                caller.writer.write(b"body")
                status, headers = await caller.read_head()
                assert (status, await caller.read_body(headers)) == (200, b"usual")
        assert [each.body for each in fleet.targets[0].received] == [b"", b"body"]

    @pytest.mark.parametrize(
        ("expected", "version", "statuses"),
        [
            ("100-continue", "1.1", [100, 200]),
            ("100-Continue", "1.1", [100, 200]),
            ("100-continue", "1.0", [200]),
            ("something-else", "1.1", [200]),
        ],
    )
    async def test_interim_response_is_sent_to_who_does_not_read_it(
        self, running, expected, version, statuses
    ):
        """A caller of HTTP/1.0 knows no interim responses."""
        async with running(answers("usual")) as fleet:
            with fail_after(IN_TIME_S):
                caller = await Caller.of(fleet)
                lines = ("Content-Length: 4", f"Expect: {expected}")
                caller.send("POST", "/idempotent/a", *lines, version=version)
                await sleep(0.1)
                caller.writer.write(b"body")
                got = []
                while not got or got[-1] == 100:
                    got.append((await caller.read_head())[0])
        assert got == statuses

    async def test_interim_response_is_sent_after_the_body(self, running):
        """Who has sent the body, or has none, does not wait."""
        async with running(answers("usual")) as fleet:
            with fail_after(IN_TIME_S):
                caller = await Caller.of(fleet)
                expects = "Expect: 100-continue"
                caller.send("GET", "/idempotent/a", expects)
                status, headers = await caller.read_head()
                assert (status, await caller.read_body(headers)) == (200, b"usual")
                caller.send(
                    "POST", "/idempotent/b", expects, "Content-Length: 4", body=b"body"
                )
                assert (await caller.read_head())[0] == 200


class TestOtherKinds:
    """Requests that open tunnels, and callers of HTTP/1.0."""

    @pytest.mark.parametrize("path", ["h:80", "/idempotent/"])
    async def test_tunnel_is_opened_to_a_target(self, running, path):
        """What follows the request is not passed on, and not taken for a request."""
        async with running(answers("usual")) as fleet:
            with fail_after(IN_TIME_S):
                caller = await Caller.of(fleet)
                caller.send("CONNECT", path, body=b"POST /idempotent/ HTTP/1.1\r\n\r\n")
                status, headers = await caller.read_head()
                assert (status, headers["connection"]) == (400, "close")
                assert await caller.reader.read() == b""
        assert fleet.targets[0].received == []

    @pytest.mark.parametrize("is_kept", [True, False])
    async def test_old_caller_is_not_told_whether_to_keep_its_connection(
        self, running, is_kept
    ):
        """A caller of HTTP/1.0 keeps it only if the response says so."""
        async with running(answers("usual")) as fleet:
            with fail_after(IN_TIME_S):
                caller = await Caller.of(fleet)
                keep = ("Connection: keep-alive",) if is_kept else ()
                caller.send("GET", "/idempotent/", *keep, version="1.0")
                _, headers = await caller.read_head()
                assert await caller.read_body(headers) == b"usual"
                if is_kept:
                    await caller.check_usual("idempotent")
                else:
                    assert await caller.reader.read() == b""
        assert headers["connection"] == ("keep-alive" if is_kept else "close")

    async def test_chunked_request_of_an_old_caller_keeps_its_connection(self, running):
        """HTTP/1.0 has no such framing: what follows can't be told from the body."""
        async with running(answers("usual")) as fleet:
            with fail_after(IN_TIME_S):
                caller = await Caller.of(fleet)
                lines = ("Connection: keep-alive", "Transfer-Encoding: chunked")
                body = chunk(b"body") + b"0\r\n\r\n"
                caller.send("POST", "/idempotent/", *lines, version="1.0", body=body)
                _, headers = await caller.read_head()
                await caller.read_body(headers)
                assert await caller.reader.read() == b""
        assert headers["connection"] == "close"
