"""A request of a caller: from its connection to its response."""

from anyio import CancelScope

from berylwalk.direct._admission import Admitted, Refusal, admit
from berylwalk.direct._context import RouterContext
from berylwalk.direct._end_reasons import CALLER_LEFT, NO_STATUS, ROUTER_STOPPED
from berylwalk.direct._exchange_log import ExchangeLog
from berylwalk.direct._quota_wait import wait_for_quota
from berylwalk.direct._request_lifecycle import RequestLifecycle, TrialPermits
from berylwalk.forwarding import CallerConnection, CallerRequest, header_value
from berylwalk.platform import REQUEST_ID_HEADER, refusal_headers

STATUS_OUTCOME_UNKNOWN = 502
"""Status of a failed request that may have been executed."""


class Exchange:
    """Handles one request of a caller.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    connection : CallerConnection
        Connection that the response is written to.
    request : CallerRequest
        The complete request.
    trial_permits : TrialPermits
        Permits for trials of quarantined requests.
    """

    def __init__(
        self,
        context: RouterContext,
        connection: CallerConnection,
        request: CallerRequest,
        *,
        trial_permits: TrialPermits,
    ) -> None:
        self._context = context
        self._connection = connection
        self._request = request
        self._trial_permits = trial_permits
        self._scope = CancelScope()
        self._quota_scope = CancelScope()
        self._log = ExchangeLog(context, request.arrived_at, request.served_before)
        self._cancel_reason = CALLER_LEFT
        self._lifecycle: RequestLifecycle | None = None

    def cancel(self, reason: str = CALLER_LEFT) -> None:
        """Cancel the request; nothing can be written to its caller any more.

        Its target learns of it at once, before the task of the request has its turn.
        """
        self._cancel_reason = reason
        self._scope.cancel()
        self._quota_scope.cancel()
        if self._lifecycle is not None:
            self._lifecycle.close_target_connection()

    def note_disconnect(self, delay_s: float) -> None:
        """Record how late its caller's disconnect was noticed at most, in seconds."""
        self._log.record_disconnect(delay_s)

    def end_at_stop(self) -> None:
        """End the request because the router stops, with a status if none was sent."""
        self.cancel(ROUTER_STOPPED)

    def fail(self) -> None:
        """Respond after an unexpected error; the request may have been executed."""
        request_id = header_value(self._request.headers, REQUEST_ID_HEADER) or b""
        headers = refusal_headers(request_id, None)
        self._connection.fail_response(self._request, STATUS_OUTCOME_UNKNOWN, headers)

    async def run(self) -> None:
        """Admit the request and respond to it."""
        self._context.open_requests += 1
        try:
            await self._run()
        finally:
            self._context.open_requests -= 1

    async def _run(self) -> None:
        self._context.note_suspension()
        self._log.record_read(self._request.read_delay_s)
        admitted = admit(self._context, self._request)
        if isinstance(admitted, Refusal) and admitted.awaiting is not None:
            awaiting = admitted.awaiting
            admitted = await self._wait_for_quota(admitted, awaiting)
            if self._is_cancelled and self._cancel_reason != ROUTER_STOPPED:
                self._log.log_ended(awaiting, NO_STATUS, self._cancel_reason)
                return
        if isinstance(admitted, Refusal):
            self._log.log_refused(admitted)
            headers = refusal_headers(admitted.request_id, admitted.retry_after_s)
            self._connection.respond(admitted.status, headers, b"")
            return
        lifecycle = RequestLifecycle(
            self._context,
            self._connection,
            admitted,
            self._log,
            trial_permits=self._trial_permits,
        )
        self._lifecycle = lifecycle
        try:
            with self._scope:
                await lifecycle.run()
        finally:
            if self._cancel_reason != ROUTER_STOPPED:
                lifecycle.discard_held()
        if not self._scope.cancelled_caught or lifecycle.is_finished:
            return
        if self._cancel_reason == ROUTER_STOPPED:
            lifecycle.end_at_stop()
        else:
            self._log.log_ended(admitted, NO_STATUS, self._cancel_reason)

    @property
    def _is_cancelled(self) -> bool:
        return self._scope.cancel_called

    async def _wait_for_quota(
        self, refusal: Refusal, awaiting: Admitted
    ) -> Admitted | Refusal:
        """Return what a stream gets after its wait; the refusal if it is cancelled."""
        began_at = self._context.clock()
        result: Admitted | Refusal = refusal
        with self._quota_scope:
            result = await wait_for_quota(self._context, refusal, awaiting)
        self._log.record_quota_wait(self._context.clock() - began_at)
        return result
