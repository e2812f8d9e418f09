"""Tasks that send grants, one per issued grant."""

from collections.abc import Callable

import msgspec
from absl import logging

from berylwalk.model import RequestId
from berylwalk.router._active_requests import ActiveGrant, ActiveRequest
from berylwalk.router._events import (
    AbandonGrant,
    GrantNotSent,
    IssueGrant,
    RouterEvent,
)
from berylwalk.router._grants_http import GrantSender
from berylwalk.telemetry import SpanStatus, TraceSpan, Tracing
from berylwalk.wire import Grant

Spawn = Callable[..., None]
"""Starts a task; as `anyio.abc.TaskGroup.start_soon`."""


class GrantTasks:
    """Starts and cancels the tasks that send grants.

    Parameters
    ----------
    sender : GrantSender
        Sends a grant and relays its response.
    spawn : callable
        Starts a task.
    tracing : Tracing
        Starts spans.
    find_active : callable
        Returns the active request with an identifier, or None.
    handle : callable
        Receives `GrantNotSent`.
    """

    def __init__(
        self,
        sender: GrantSender,
        *,
        spawn: Spawn,
        tracing: Tracing,
        find_active: Callable[[RequestId], ActiveRequest | None],
        handle: Callable[[RouterEvent], None],
    ) -> None:
        self._sender = sender
        self._spawn = spawn
        self._tracing = tracing
        self._find_active = find_active
        self._handle = handle

    def issue(self, action: IssueGrant) -> None:
        """Start a task that sends the grant."""
        active = self._find_active(action.grant.request_id)
        if active is None:
            logging.error("grant issued for a request that ended: %s", action.grant)
            self._spawn(self._report_not_sent, action.grant)
            return
        active.grant = ActiveGrant(action.grant)
        self._spawn(self._send, active, active.grant)

    def abandon(self, action: AbandonGrant) -> None:
        """Cancel the sending of a grant, unless the request has a later one."""
        active = self._find_active(action.request_id)
        if active is None or active.grant is None:
            return
        if active.grant.grant.attempt == action.attempt:
            active.close_grant()

    async def _report_not_sent(self, grant: Grant) -> None:
        self._handle(GrantNotSent(grant.request_id, grant.attempt))

    async def _send(self, active: ActiveRequest, granted: ActiveGrant) -> None:
        span = self._start_span(active, granted.grant)
        granted.grant = msgspec.structs.replace(
            granted.grant, traceparent=span.traceparent
        )
        try:
            await self._sender.send(active, granted)
        finally:
            was_cancelled = granted.scope.cancelled_caught
            span.end(SpanStatus.ERROR if was_cancelled else SpanStatus.OK)

    def _start_span(self, active: ActiveRequest, grant: Grant) -> TraceSpan:
        return self._tracing.start_span(
            active.span.traceparent,
            "router.grant",
            {
                "berylwalk.request_id": str(grant.request_id),
                "berylwalk.attempt": grant.attempt,
                "berylwalk.agent": grant.agent,
            },
        )
