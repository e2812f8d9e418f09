"""Shows whether a target has outlived the end of a connection.

Load that it answers: target processes that end in the midst of their responses. Their
connections are closed like at the end of a response, and one without a length has no
other end.
"""

from enum import StrEnum

from anyio import Event, move_on_after, sleep

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import Target
from berylwalk.forwarding import (
    ConnectFailure,
    Headers,
    ResponseEnd,
    TargetConnection,
)
from berylwalk.platform import is_from_target, state_request

STATE_TIMEOUT_S = 0.3
"""How long to wait for the state of a target, which may not tell one."""
ENDING_S = 0.1
"""Time for a process that ends to close all its sockets, with a margin."""
MAX_STATE_BYTES = 64 * 1024
"""Bytes of a state that are read."""


class EndProof(StrEnum):
    """Whether a target has outlived the end of a connection."""

    OUTLIVED = "outlived"
    """It responded to a request that was sent afterwards, or still accepts
    connections after a process that ends would have closed its sockets."""

    ENDED = "ended"
    """It refuses connections, or another process responds at its address."""

    UNKNOWN = "unknown"
    """The time did not suffice, or the target could not be reached."""


PROOF_BY_FAILURE = {
    ConnectFailure.REFUSED: EndProof.ENDED,
    ConnectFailure.UNREACHABLE: EndProof.UNKNOWN,
}
"""What it shows of a target if no connection to it is opened."""


class _StateCollector:
    """Collects the response of a target."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.body = b""
        self.done = Event()

    def on_head(self, status: int, headers: Headers) -> None:
        """Store the status and headers."""
        self.status, self.headers = status, headers

    def on_data(self, data: bytes) -> None:
        """Store a part of the body, up to the bound."""
        self.body = (self.body + data)[:MAX_STATE_BYTES]

    def on_end(self, end: ResponseEnd, detail: str) -> None:
        """Finish; the head alone shows that the target responded."""
        self.done.set()


async def prove_end(
    context: RouterContext, target: Target, timeout_s: float
) -> EndProof:
    """Ask a target for its state after it closed a connection.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    target : Target
        The target.
    timeout_s : float
        Longest time to wait, in seconds.

    Returns
    -------
    EndProof
        A process that ends closes all its sockets and responds to nothing that is sent
        afterwards.
    """
    context.note_suspension()
    clock, entry = context.clock, target.entry
    ended_by = clock() + ENDING_S
    with move_on_after(timeout_s):
        idle = context.pool.take_idle(entry.incarnation_id)
        if idle is not None:
            response = await _ask(context, target, idle)
            if response.status:
                return _judge(target, response)
        # An idle connection may seem open although its other end is gone.
        while True:
            opened_at = clock()
            connection = await context.pool.connect(entry)
            if isinstance(connection, ConnectFailure):
                return PROOF_BY_FAILURE[connection]
            response = await _ask(context, target, connection)
            if response.status:
                return _judge(target, response)
            if not response.done.is_set():
                return EndProof.OUTLIVED
            if opened_at >= ended_by:
                return await _prove_by_connection(context, target)
            await sleep(ended_by - clock())
    return EndProof.UNKNOWN


async def _prove_by_connection(context: RouterContext, target: Target) -> EndProof:
    """Return whether a target that closes connections accepts another one.

    The end of its process may have closed the last one.
    """
    connection = await context.pool.connect(target.entry)
    if isinstance(connection, ConnectFailure):
        return PROOF_BY_FAILURE[connection]
    connection.close()
    return EndProof.OUTLIVED


async def _ask(
    context: RouterContext, target: Target, connection: TargetConnection
) -> _StateCollector:
    """Return the response on a connection, as far as it came in time.

    Its status is 0 if there is none; it is not done if the connection stayed open.
    """
    entry, response = target.entry, _StateCollector()
    try:
        request = state_request(entry.host, entry.port, entry.target_id)
        connection.send(request, b"", response)
        with move_on_after(STATE_TIMEOUT_S):
            await response.done.wait()
    finally:
        if response.done.is_set():
            context.pool.release(entry.incarnation_id, connection)
        else:
            connection.close()
    return response


def _judge(target: Target, response: _StateCollector) -> EndProof:
    entry = target.entry
    is_same = is_from_target(
        entry.target_id,
        entry.started_ms,
        response.status,
        response.headers,
        response.body,
    )
    return EndProof.OUTLIVED if is_same else EndProof.ENDED
