"""Runs the state machine: feeds it events and carries out its actions."""

from collections.abc import Callable
from itertools import count
from time import monotonic
from typing import Any, Protocol

from absl import logging
from anyio import Event, get_cancelled_exc_class, sleep

from berylwalk.dispatch import GracefulStop
from berylwalk.model import (
    FinalResponse,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    RequestId,
    ResponseSink,
)
from berylwalk.process import NEVER, TickLoop
from berylwalk.router._active_requests import ActiveRequest
from berylwalk.router._config import DEFAULT_RETRY_AFTER_MS, IDLE_TICK_S, TICK_S
from berylwalk.router._events import (
    AbandonGrant,
    CallerDisconnected,
    ClaimKey,
    DrainFinished,
    DrainRequested,
    EndRequest,
    IssueGrant,
    ReleaseKey,
    RequestArrived,
    RouterAction,
    RouterEvent,
    SendToAgent,
    Tick,
)
from berylwalk.router._grant_tasks import GrantTasks, Spawn
from berylwalk.router._grants_http import GrantSender
from berylwalk.router._idempotency import IdempotencyRecords
from berylwalk.router._key_claims import KeyClaims
from berylwalk.router._message_batches import MessageBatches
from berylwalk.router._observing import RequestObserver
from berylwalk.router._stored_responses import ResponseCopy
from berylwalk.telemetry import Tracing


class Machine(Protocol):
    """Interface of the router's state machine."""

    def handle(self, event: RouterEvent, now: float) -> list[RouterAction]:
        """Process one event and return the actions to carry out."""
        ...


class RouterShell:
    """Runs the state machine and carries out its actions.

    Implements `berylwalk.model.Submitter`. All methods must be called from one
    event loop.

    Parameters
    ----------
    machine : Machine
        The state machine.
    router : str
        Node identifier.
    incarnation : int
        Incarnation of the router.
    records : IdempotencyRecords
        Claims idempotency keys.
    observer : RequestObserver
        Records the ends of requests in metrics, logs and spans.
    tracing : Tracing
        Starts spans.
    next_due : callable
        Returns when the machine's next `Tick` is due.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        machine: Machine,
        *,
        router: str,
        incarnation: int,
        records: IdempotencyRecords,
        observer: RequestObserver,
        tracing: Tracing,
        next_due: Callable[[], float] = lambda: NEVER,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._machine = machine
        self._router = router
        self._incarnation = incarnation
        self._observer = observer
        self._tracing = tracing
        self._clock = clock
        self._serials = count(1)
        self._active_by_id: dict[RequestId, ActiveRequest] = {}
        self._handler_by_type: dict[type, Callable[[Any], None]] = {}
        self._keys = KeyClaims(
            records, find_active=self._active_by_id.get, handle=self.handle
        )
        self._ticks = TickLoop(
            lambda: self.handle(Tick()),
            next_due=next_due,
            min_interval_s=TICK_S,
            max_interval_s=IDLE_TICK_S,
            clock=clock,
        )
        self.drained = Event()

    @property
    def active_requests(self) -> tuple[ActiveRequest, ...]:
        """Requests that have not ended."""
        return tuple(self._active_by_id.values())

    def connect(
        self, *, grants: GrantSender, messages: MessageBatches, spawn: Spawn
    ) -> None:
        """Set the components that carry out actions, before the first event.

        Parameters
        ----------
        grants : GrantSender
            Sends grants; its events go to `report`.
        messages : MessageBatches
            Sends messages to agents.
        spawn : callable
            Starts a task; as `anyio.abc.TaskGroup.start_soon`.
        """
        tasks = GrantTasks(
            grants,
            spawn=spawn,
            tracing=self._tracing,
            find_active=self._active_by_id.get,
            handle=self.handle,
        )
        self._handler_by_type = {
            SendToAgent: lambda action: messages.add(action.agent, action.messages),
            IssueGrant: tasks.issue,
            AbandonGrant: tasks.abandon,
            ClaimKey: lambda action: spawn(self._keys.claim, action.request),
            ReleaseKey: lambda action: self._keys.release(action.request),
            EndRequest: self._end_request,
            DrainFinished: self._finish_drain,
        }

    def new_request_id(self) -> RequestId:
        """Return a new request identifier."""
        return RequestId(self._router, self._incarnation, next(self._serials))

    async def submit(self, request: Request, sink: ResponseSink) -> FinalResponse:
        """Place a request, stream its response into the sink, and return its outcome.

        Cancelling the call withdraws the request.
        """
        active = self._activate(request, sink)
        final: FinalResponse | None = None
        try:
            self.handle(RequestArrived(active.request))
            final = await active.final_response()
            return final
        except get_cancelled_exc_class():
            self.handle(CallerDisconnected(request.request_id))
            raise
        finally:
            self._deactivate(active, final)

    def handle(self, event: RouterEvent) -> None:
        """Feed one event into the state machine and carry out the actions."""
        try:
            for action in self._machine.handle(event, self._clock()):
                self._handler_by_type[type(action)](action)
        except Exception:
            # An error must neither leave a caller waiting nor end the process.
            logging.exception("handling %s failed", type(event).__name__)
            self._end_unknown(event, "an internal error occurred")
        self._ticks.reschedule()

    def report(self, event: RouterEvent) -> None:
        """Handle an event of a grant."""
        self.handle(event)
        if isinstance(event, CallerDisconnected):
            # The state machine drops a request whose caller disconnected.
            self._end_unknown(event, "the caller disconnected")

    async def run_ticks(self) -> None:
        """Send `Tick` events to the state machine until cancelled."""
        await self._ticks.run()

    async def drain(self, stop: GracefulStop | None = None) -> None:
        """Refuse new requests and wait until the accepted ones have ended.

        Parameters
        ----------
        stop : GracefulStop, optional
            When the process ends, in seconds of the clock; see `DrainRequested`.
        """
        self.handle(DrainRequested(stop))
        await self.drained.wait()
        # Later requests are refused; waiting for those would not end while callers
        # send more of them.
        accepted = set(self._active_by_id)
        while accepted & self._active_by_id.keys():
            await sleep(0.02)

    def _activate(self, request: Request, sink: ResponseSink) -> ActiveRequest:
        span = self._tracing.start_span(
            request.traceparent,
            "router.request",
            {"berylwalk.request_id": str(request.request_id)},
        )
        response_copy = ResponseCopy() if request.idempotency_key else None
        active = ActiveRequest(request, sink, span, response_copy, self._clock)
        self._active_by_id[request.request_id] = active
        return active

    def _deactivate(self, active: ActiveRequest, final: FinalResponse | None) -> None:
        request_id = active.request.request_id
        self._active_by_id.pop(request_id, None)
        active.close_grant()
        if active.request.idempotency_key:
            self._keys.close(active, final)
        self._observer.record_finished(active, final)

    def _end_unknown(self, event: RouterEvent, detail: str) -> None:
        if isinstance(event, RequestArrived):
            request_id = event.request.request_id
        else:
            request_id = getattr(event, "request_id", None)
        active = self._active_by_id.get(request_id)
        if active is None or active.response is not None:
            return
        refusal = Refusal(RefusalReason.LOST, DEFAULT_RETRY_AFTER_MS, detail)
        active.end(FinalResponse(Outcome.UNKNOWN, refusal))

    def _end_request(self, action: EndRequest) -> None:
        active = self._active_by_id.get(action.request_id)
        if active is not None:
            active.end(action.response)

    def _finish_drain(self, action: DrainFinished) -> None:
        self.drained.set()
