"""Operations endpoint: liveness, readiness and metrics."""

from collections.abc import Awaitable, Callable, Mapping, MutableMapping, Sequence
from typing import Any

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry

from berylwalk.model import Finding
from berylwalk.telemetry._metrics import render

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Application = Callable[[MutableMapping[str, Any], Receive, Send], Awaitable[None]]

JSON_CONTENT_TYPE = "application/json"


class _Readiness(msgspec.Struct):
    ready: bool
    findings: Sequence[Finding]


class _Response(msgspec.Struct):
    status: int
    content_type: str
    body: bytes


def ops_application(
    registry: CollectorRegistry,
    readiness: Callable[[], Sequence[Finding]],
    *,
    before_metrics: Callable[[], None] | None = None,
) -> Application:
    """Return the ASGI application for the operations port.

    ``/healthz`` always returns status 200 while the event loop runs. ``/readyz``
    returns status 200 if the daemon is ready for requests, else 503; its body lists
    the findings. ``/metrics`` returns the metrics.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry of the daemon.
    readiness : callable
        Returns the reasons why the daemon is not ready; empty if it is ready.
    before_metrics : callable, optional
        Called before the metrics are rendered, to update gauges.

    Returns
    -------
    callable
        ASGI application.
    """

    def health() -> _Response:
        return _Response(200, JSON_CONTENT_TYPE, b'{"alive":true}')

    def ready() -> _Response:
        findings = readiness()
        body = msgspec.json.encode(_Readiness(not findings, findings))
        return _Response(503 if findings else 200, JSON_CONTENT_TYPE, body)

    def metrics() -> _Response:
        if before_metrics is not None:
            before_metrics()
        return _Response(200, CONTENT_TYPE_LATEST, render(registry))

    handlers_by_path = {"/healthz": health, "/readyz": ready, "/metrics": metrics}

    async def application(
        scope: MutableMapping[str, Any], receive: Receive, send: Send
    ) -> None:
        await _send(send, _response_for(scope, handlers_by_path))

    return application


def _response_for(
    scope: Mapping[str, Any], handlers_by_path: Mapping[str, Callable[[], _Response]]
) -> _Response:
    handler = handlers_by_path.get(scope["path"])
    if handler is None:
        return _Response(404, JSON_CONTENT_TYPE, b'{"error":"not found"}')
    if scope["method"] != "GET":
        return _Response(405, JSON_CONTENT_TYPE, b'{"error":"only GET is allowed"}')
    return handler()


async def _send(send: Send, response: _Response) -> None:
    headers = [
        (b"content-type", response.content_type.encode()),
        (b"content-length", str(len(response.body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": response.body})
