"""What the shell keeps of each request until its end."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from time import monotonic

from anyio import CancelScope, Event

from berylwalk.model import FinalResponse, Outcome, Request, ResponseSink
from berylwalk.router._stored_answers import AnswerCopy, StoredAnswer
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
        Set when the sink will not be called any more.
    """

    grant: Grant
    scope: CancelScope = field(default_factory=CancelScope)
    closed: Event = field(default_factory=Event)


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request between its arrival and its end; also the sink of its answer.

    Parameters
    ----------
    request : Request
        The request.
    sink : ResponseSink
        Where its answer goes.
    span : TraceSpan or None
        Span of the request.
    copy : AnswerCopy or None
        Copy of the answer for the idempotency record.
    clock : callable
        Monotonic clock, in seconds.
    ended : Event
        Set together with ``answer``.
    answer : FinalResponse or None
        As the state machine ended it.
    grant : ActiveGrant or None
        The last grant.
    agent : str
        Agent that dispatched, or empty.
    status : int
        The target's status once the sink was given it, or 0.
    replay : StoredAnswer or None
        Answer of the earlier request that holds the idempotency key.
    started_at, first_chunk_at : float or None
        When the status and the first piece of the body arrived.
    """

    request: Request
    sink: ResponseSink
    span: TraceSpan | None = None
    copy: AnswerCopy | None = None
    clock: Callable[[], float] = monotonic
    ended: Event = field(default_factory=Event)
    answer: FinalResponse | None = None
    grant: ActiveGrant | None = None
    agent: str = ""
    status: int = 0
    replay: StoredAnswer | None = None
    started_at: float | None = None
    first_chunk_at: float | None = None

    @property
    def started(self) -> bool:
        """Whether the sink was given the target's status."""
        return self.started_at is not None

    async def start(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...], agent: str
    ) -> None:
        """Pass the status and headers on to the sink."""
        self.agent = agent
        self.status = status
        # Set first: a sink that fails half-way may have sent the status.
        self.started_at = self.clock()
        if self.copy is not None:
            self.copy.start(status, headers)
        await self.sink.start(status, headers, agent)

    async def chunk(self, body: bytes) -> None:
        """Pass a piece of the body on to the sink."""
        self._note_chunk(body)
        await self.sink.chunk(body)

    def try_chunk(self, body: bytes) -> bool:
        """Pass a piece on if the sink can take it at once, else return False."""
        if not self.sink.try_chunk(body):
            return False
        self._note_chunk(body)
        return True

    def end(self, answer: FinalResponse) -> None:
        """Note the end; a grant that is still open is closed."""
        self.answer = answer
        self.close_grant()
        self.ended.set()

    def close_grant(self) -> None:
        """Close the connection that carries the grant, if it is open."""
        if self.grant is not None and not self.grant.closed.is_set():
            self.grant.scope.cancel()

    async def final_answer(self) -> FinalResponse:
        """Wait for the end, and until nobody calls the sink any more."""
        await self.ended.wait()
        if self.grant is not None:
            await self.grant.closed.wait()
        if self.replay is not None and self.answer.outcome is Outcome.NOT_RUN:
            return await self._replay(self.replay)
        agent = self.answer.agent or self.agent
        return replace(self.answer, started=self.started, agent=agent)

    def _note_chunk(self, body: bytes) -> None:
        if self.first_chunk_at is None:
            self.first_chunk_at = self.clock()
        if self.copy is not None:
            self.copy.chunk(body)

    async def _replay(self, stored: StoredAnswer) -> FinalResponse:
        # The record holds this answer already.
        self.copy = None
        await self.start(stored.status, stored.replay_headers(), stored.agent)
        if stored.body:
            await self.sink.chunk(stored.body)
        return FinalResponse(Outcome.COMPLETE, started=True, agent=stored.agent)
