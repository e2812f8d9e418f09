"""State that the shell keeps for each request until it ends."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from time import monotonic

from anyio import CancelScope, Event

from berylwalk.model import FinalResponse, Outcome, Request, ResponseSink
from berylwalk.router._stored_responses import ResponseCopy, StoredResponse
from berylwalk.telemetry import TraceSpan
from berylwalk.wire import Grant


@dataclass(slots=True, eq=False)
class ActiveGrant:
    """A grant whose connection is open.

    Parameters
    ----------
    grant : Grant
        As the state machine issued it.
    scope : CancelScope
        Cancelling it closes the connection.
    closed : Event
        Set once this grant makes no further calls to the sink.
    """

    grant: Grant
    scope: CancelScope = field(default_factory=CancelScope)
    closed: Event = field(default_factory=Event)


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request between its arrival and its end; also the sink of its response.

    Parameters
    ----------
    request : Request
        The request.
    sink : ResponseSink
        Receives the response.
    span : TraceSpan or None
        Span of the request.
    response_copy : ResponseCopy or None
        Copy of the response for the idempotency record.
    clock : callable
        Monotonic clock, in seconds.
    ended : Event
        Set together with ``response``.
    response : FinalResponse or None
        Final response by the state machine.
    grant : ActiveGrant or None
        The last grant.
    agent : str
        Agent that dispatched the request, or empty.
    status : int
        The target's status once it was passed to the sink, or 0.
    replay : StoredResponse or None
        Response to the earlier request that holds the idempotency key.
    started_at, first_chunk_at : float or None
        Times at which the status and the first chunk of the body arrived.
    """

    request: Request
    sink: ResponseSink
    span: TraceSpan | None = None
    response_copy: ResponseCopy | None = None
    clock: Callable[[], float] = monotonic
    ended: Event = field(default_factory=Event)
    response: FinalResponse | None = None
    grant: ActiveGrant | None = None
    agent: str = ""
    status: int = 0
    replay: StoredResponse | None = None
    started_at: float | None = None
    first_chunk_at: float | None = None

    @property
    def started(self) -> bool:
        """Whether the target's status was passed to the sink."""
        return self.started_at is not None

    async def start(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...], agent: str
    ) -> None:
        """Pass the status and headers on to the sink."""
        self.agent = agent
        self.status = status
        # Set before the call: a sink that fails may already have sent the status.
        self.started_at = self.clock()
        if self.response_copy is not None:
            self.response_copy.start(status, headers)
        await self.sink.start(status, headers, agent)

    async def chunk(self, body: bytes) -> None:
        """Pass a chunk of the body on to the sink."""
        self._record_chunk(body)
        await self.sink.chunk(body)

    def try_chunk(self, body: bytes) -> bool:
        """Pass a chunk on if the sink accepts it without waiting, else return False."""
        if not self.sink.try_chunk(body):
            return False
        self._record_chunk(body)
        return True

    def end(self, response: FinalResponse) -> None:
        """Record the end, and close the connection of an open grant."""
        self.response = response
        self.close_grant()
        self.ended.set()

    def close_grant(self) -> None:
        """Close the connection that carries the grant, if it is open."""
        if self.grant is not None and not self.grant.closed.is_set():
            self.grant.scope.cancel()

    async def final_response(self) -> FinalResponse:
        """Wait until the request ended and the sink receives no further calls."""
        await self.ended.wait()
        if self.grant is not None:
            await self.grant.closed.wait()
        if self.replay is not None and self.response.outcome is Outcome.NOT_RUN:
            return await self._replay(self.replay)
        agent = self.response.agent or self.agent
        return replace(self.response, started=self.started, agent=agent)

    def _record_chunk(self, body: bytes) -> None:
        if self.first_chunk_at is None:
            self.first_chunk_at = self.clock()
        if self.response_copy is not None:
            self.response_copy.chunk(body)

    async def _replay(self, stored: StoredResponse) -> FinalResponse:
        # The record already holds this response.
        self.response_copy = None
        await self.start(stored.status, stored.replay_headers(), stored.agent)
        if stored.body:
            await self.sink.chunk(stored.body)
        return FinalResponse(Outcome.COMPLETE, started=True, agent=stored.agent)
