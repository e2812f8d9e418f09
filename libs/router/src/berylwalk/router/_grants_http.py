"""Sending grants to agents over HTTP and relaying their responses."""

from collections.abc import Callable
from time import monotonic

import msgspec
from absl import logging
from anyio import CancelScope

from berylwalk.model import CallerDisconnectedError, Refusal, RefusalReason
from berylwalk.router._active_requests import ActiveGrant, ActiveRequest
from berylwalk.router._events import (
    CallerDisconnected,
    GrantLost,
    GrantNotSent,
    GrantRefused,
    ResponseComplete,
    ResponseProgress,
    ResponseStarted,
    RouterEvent,
)
from berylwalk.transport import (
    HttpClient,
    HttpStream,
    RequestFailed,
    SendState,
    StreamBrokenError,
)
from berylwalk.wire import FleetKey, Grant, grant_to_header

GRANT_HEADER = b"berylwalk-grant"
REFUSED_HEADER = "berylwalk-refused"
DISPATCHED_HEADER = "berylwalk-dispatched"
REFUSED_STATUS = 409
MAX_REFUSAL_BYTES = 64 * 1024

PROGRESS_INTERVAL_S = 0.25
"""Minimum time between two progress events of a request."""

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Connection-specific headers, which are not relayed."""

OWN_HEADER_PREFIX = "berylwalk-"

UrlOf = Callable[[str], str | None]
Report = Callable[[RouterEvent], None]


class _RefusalBody(msgspec.Struct):
    retry_after_ms: int = 0
    detail: str = ""


class GrantSender:
    """Posts grants and relays the responses.

    Parameters
    ----------
    client : HttpClient
        Connections to agents.
    key : FleetKey
        Seals the grants.
    url_of : callable
        Returns the dispatch URL of an agent, or None if its address is not known.
    report : callable
        Receives the events of each grant.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        client: HttpClient,
        key: FleetKey,
        *,
        url_of: UrlOf,
        report: Report,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._client = client
        self._key = key
        self._url_of = url_of
        self._report = report
        self._clock = clock

    async def send(self, active: ActiveRequest, granted: ActiveGrant) -> None:
        """Send a grant, relay its response and report the result.

        Nothing is reported if ``granted.scope`` was cancelled meanwhile.
        """
        event: RouterEvent | None = None
        try:
            with granted.scope:
                event = await self._relay(active, granted.grant)
        finally:
            granted.closed.set()
        if event is not None:
            self._report(event)

    async def _relay(self, active: ActiveRequest, grant: Grant) -> RouterEvent:
        # After a suspension of the process, the idempotency record of the grant may
        # have expired.
        if self._clock() >= active.request.deadline_at:
            return GrantNotSent(grant.request_id, grant.attempt)
        url = self._url_of(grant.agent)
        if url is None:
            return GrantNotSent(grant.request_id, grant.attempt)
        try:
            return await self._post(active, grant, url)
        except CallerDisconnectedError:
            return CallerDisconnected(grant.request_id)
        except Exception:
            # After any failure, the agent may have dispatched the request.
            logging.exception("relaying request %s failed", grant.request_id)
            return GrantLost(grant.request_id, grant.attempt, started=active.started)

    async def _post(self, active: ActiveRequest, grant: Grant, url: str) -> RouterEvent:
        body = active.request.call.body
        sealed = msgspec.structs.replace(grant, body_digest=self._key.digest(body))
        headers = ((GRANT_HEADER, grant_to_header(sealed, self._key).encode("ascii")),)
        stream = await self._client.open_stream("POST", url, headers=headers, body=body)
        if isinstance(stream, RequestFailed):
            return _failure_event(grant, stream)
        try:
            return await self._read(active, grant, stream)
        finally:
            with CancelScope(shield=True):
                await stream.close()

    async def _read(
        self, active: ActiveRequest, grant: Grant, stream: HttpStream
    ) -> RouterEvent:
        lost = GrantLost(grant.request_id, grant.attempt, started=False)
        if DISPATCHED_HEADER in stream.headers:
            return await self._pass_on(active, grant, stream)
        if stream.status != REFUSED_STATUS:
            logging.warning(
                "agent %s responded with unexpected status %d",
                grant.agent,
                stream.status,
            )
            return lost
        refusal = await _read_refusal(stream)
        if refusal is None:
            return lost
        return GrantRefused(grant.request_id, grant.attempt, refusal)

    async def _pass_on(
        self, active: ActiveRequest, grant: Grant, stream: HttpStream
    ) -> RouterEvent:
        self._report(ResponseStarted(grant.request_id, grant.attempt))
        try:
            headers = passed_on_headers(stream.headers)
            await active.start(stream.status, headers, grant.agent)
            await self._pass_on_body(active, grant, stream)
        except StreamBrokenError as error:
            logging.warning("response to %s was truncated: %s", grant.request_id, error)
            return GrantLost(grant.request_id, grant.attempt, started=True)
        return ResponseComplete(grant.request_id, grant.attempt)

    async def _pass_on_body(
        self, active: ActiveRequest, grant: Grant, stream: HttpStream
    ) -> None:
        report_progress = self._progress_reporter(grant)

        def try_chunk(chunk: bytes) -> bool:
            if not active.try_chunk(chunk):
                return False
            report_progress()
            return True

        async def take_chunk(chunk: bytes) -> None:
            await active.chunk(chunk)
            report_progress()

        await stream.forward(try_chunk, take_chunk)

    def _progress_reporter(self, grant: Grant) -> Callable[[], None]:
        """Return a rate-limited reporter of progress, to be called for each chunk."""
        event = ResponseProgress(grant.request_id, grant.attempt)
        next_progress_at = self._clock() + PROGRESS_INTERVAL_S

        def report_progress() -> None:
            nonlocal next_progress_at
            now = self._clock()
            if now >= next_progress_at:
                next_progress_at = now + PROGRESS_INTERVAL_S
                self._report(event)

        return report_progress


def passed_on_headers(headers: dict[str, str]) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a target's response that are relayed to the caller.

    Parameters
    ----------
    headers : dict of str to str
        Values by lower-case name, as sent by the agent.

    Returns
    -------
    tuple of (bytes, bytes)
        Without connection-specific headers and ``berylwalk-`` headers.
    """
    return tuple(
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
        if name not in CONNECTION_HEADERS and not name.startswith(OWN_HEADER_PREFIX)
    )


def _failure_event(grant: Grant, failed: RequestFailed) -> RouterEvent:
    if failed.state is SendState.NOT_SENT:
        return GrantNotSent(grant.request_id, grant.attempt)
    return GrantLost(grant.request_id, grant.attempt, started=False)


async def _read_refusal(stream: HttpStream) -> Refusal | None:
    """Return the refusal, or None if the response states no known reason."""
    try:
        reason = RefusalReason(stream.headers.get(REFUSED_HEADER, ""))
    except ValueError:
        return None
    details = await _refusal_body(stream)
    return Refusal(reason, details.retry_after_ms, details.detail)


async def _refusal_body(stream: HttpStream) -> _RefusalBody:
    # The header alone is a valid refusal; the body only adds details.
    body = bytearray()
    try:
        async for chunk in stream:
            body += chunk
            if len(body) > MAX_REFUSAL_BYTES:
                return _RefusalBody()
        return msgspec.json.decode(body, type=_RefusalBody)
    except (StreamBrokenError, msgspec.MsgspecError):
        return _RefusalBody()
