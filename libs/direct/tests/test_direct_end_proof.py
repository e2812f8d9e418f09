"""A response without a length counts as whole if its target is shown to go on."""

import pytest
from anyio import Event, create_task_group, sleep

from direct_fleet import EVENTS, TEST_TIMEOUT_S, event, head

pytestmark = pytest.mark.anyio

BODY = b"ends with its connection"
WHOLE = b"".join(map(event, range(1, 4)))
STARTED_MS = 1_700_000_000_000
STREAM = ("streaming",)
PROOF_LIMITS = (
    "berylwalk.direct._end_proof.STATE_TIMEOUT_S",
    "berylwalk.forwarding._target_pool.CONNECT_TIMEOUT_S",
)
"""Times after which a target counts as one that does not show that it goes on."""


def state(body=b"{}", *, status="200 OK", more=""):
    """Return a response to the request for the state."""
    lines = f"HTTP/1.1 {status}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    return lines.encode() + body


def closes(*, is_stream):
    """Return a script that ends responses with their connection."""

    async def script(request, writer):
        kind, body = (EVENTS, WHOLE) if is_stream else ("text/plain", BODY)
        writer.write(head(request, kind=kind) + body)
        await writer.drain()
        raise ConnectionResetError

    return script


def tells(state_script):
    """Return what prepares a fleet whose target tells its state by a script."""

    def prepare(fleet):
        target = fleet.targets[0]
        target.state_script = state_script
        fleet.put_target(target, born=STARTED_MS)

    return prepare


def responds(*states):
    """Return a script that sends these states in turn; None closes the connection."""
    left = list(states)

    async def respond(request, writer):
        told = left.pop(0) if len(left) > 1 else left[0]
        if told is None:
            raise ConnectionResetError
        writer.write(told)

    return respond


async def says_nothing(request, writer):
    """Leave the request for the state without a response."""
    await sleep(60)


async def goes_on_without_end(request, writer):
    """Send a state whose body does not end."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        writer.write(b"x" * 1024)
        await writer.drain()
        await sleep(0.001)


class TestShown:
    """Targets that respond after the end of the connection."""

    @pytest.mark.parametrize(
        "respond_to_state",
        [
            responds(state()),
            responds(state(status="404 Not Found")),
            responds(state(status="503 Full", more="Not-Executed: 1\r\n")),
            responds(state(more="Instance-Id: i-0\r\n")),
            responds(state(b'{"born": %d}' % STARTED_MS)),
            responds(None, state()),
            responds(None),
            says_nothing,
            goes_on_without_end,
        ],
        ids=[
            "state",
            "404",
            "503",
            "named",
            "start",
            "closes-first",
            "closes",
            "silent",
            "endless",
        ],
    )
    @pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "streaming"])
    async def test_whole_response_is_cut(self, running, kind, respond_to_state):
        """Any response of that process will do, or that it accepts connections."""
        is_stream = kind == "streaming"
        script, prepare = closes(is_stream=is_stream), tells(respond_to_state)
        async with running(script, routes=(kind,), prepare=prepare) as fleet:
            reply = await fleet.call(f"/{kind}/")
            assert (reply.status, reply.is_complete) == (200, True)
            assert reply.body == (WHOLE if is_stream else BODY)


class TestManyAtOnce:
    """Each response asks for itself."""

    CALLS = 60

    async def test_whole_responses_that_end_together_are_cut(
        self, running, monkeypatch
    ):
        """Their target accepts as many connections at the same time."""
        # Callers, router and target share a process that may be busy for a while.
        for limit in PROOF_LIMITS:
            monkeypatch.setattr(limit, TEST_TIMEOUT_S)
        ending = Event()

        async def ends_with_all(request, writer):
            writer.write(head(request, kind=EVENTS) + WHOLE)
            await writer.drain()
            if fleet.targets[0].open_requests == self.CALLS:
                ending.set()
            await ending.wait()
            raise ConnectionResetError

        replies = []

        async def call():
            replies.append(await fleet.call("/streaming/"))

        def prepare(fleet):
            fleet.put_target(fleet.targets[0], slots=2 * self.CALLS)

        async with (
            running(ends_with_all, routes=STREAM, prepare=prepare) as fleet,
            create_task_group() as tasks,
        ):
            for _ in range(self.CALLS):
                tasks.start_soon(call)
        assert {(each.is_complete, each.body) for each in replies} == {(True, WHOLE)}


class TestNotShown:
    """Targets of which nothing shows that they went on."""

    @pytest.mark.parametrize(
        "respond_to_state",
        [
            responds(state(status="421 Misdirected Request")),
            responds(state(more="Instance-Id: i-other\r\n")),
            responds(state(b'{"born": %d}' % (STARTED_MS + 1))),
        ],
        ids=["421", "other-id", "other-start"],
    )
    @pytest.mark.parametrize("kind", ["non_idempotent", "streaming"])
    async def test_response_that_may_be_cut_looks_whole(
        self, running, kind, respond_to_state
    ):
        """The caller sees that it may be incomplete."""
        is_stream = kind == "streaming"
        script, prepare = closes(is_stream=is_stream), tells(respond_to_state)
        async with running(script, routes=(kind,), prepare=prepare) as fleet:
            reply = await fleet.call(f"/{kind}/")
            if is_stream:
                assert (reply.status, reply.is_complete) == (200, False)
                assert reply.body == WHOLE
            else:
                assert (reply.status, reply.body) == (502, b"")

    async def test_unproven_response_looks_whole_at_the_deadline(self, running):
        """The proof takes longer than its caller waits."""
        script, prepare = closes(is_stream=True), tells(says_nothing)
        async with running(script, routes=STREAM, prepare=prepare) as fleet:
            reply = await fleet.call("/streaming/", Deadline_Ms="200")
            assert (reply.status, reply.is_complete) == (200, False)
            assert reply.body == WHOLE
