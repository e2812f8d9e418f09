"""One request of a caller and its answer, while they are in progress."""

from dataclasses import dataclass

from berylwalk.caller._errors import ErrorAnswer, error_document, error_headers
from berylwalk.caller._headers import TRACEPARENT, ValuesByName, values_by_name
from berylwalk.caller._limits import HeldShare
from berylwalk.model import RequestId
from berylwalk.telemetry import TraceSpan, Tracing
from berylwalk.transport import Receive, Scope, Send, send_json

HOP_NAME = "caller"


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request of a caller.

    Parameters
    ----------
    receive, send : callable
        The ASGI callables.
    request_id : RequestId
        Name of the request.
    values : mapping
        Values of the headers by name.
    method : str
        HTTP method.
    arrived_at : float
        Monotonic time, in seconds.
    share : HeldShare
        Bytes that the request holds of the common budget.
    span : TraceSpan
        Span of the request.
    """

    receive: Receive
    send: Send
    request_id: RequestId
    values: ValuesByName
    method: str
    arrived_at: float
    share: HeldShare
    span: TraceSpan


def open_exchange(
    scope: Scope,
    receive: Receive,
    send: Send,
    *,
    request_id: RequestId,
    share: HeldShare,
    tracing: Tracing,
    arrived_at: float,
) -> Exchange:
    """Read the headers of a request and start its span.

    Parameters
    ----------
    scope, receive, send
        As of an ASGI application.
    request_id : RequestId
        Name of the request.
    share : HeldShare
        Empty share of the common budget.
    tracing : Tracing
        Starts the span.
    arrived_at : float
        Monotonic time, in seconds.
    """
    values = values_by_name(scope["headers"])
    span = tracing.start_span(
        values.get(TRACEPARENT, [""])[0],
        HOP_NAME,
        {"request_id": str(request_id), "method": scope["method"]},
    )
    return Exchange(
        receive=receive,
        send=send,
        request_id=request_id,
        values=values,
        method=scope["method"],
        arrived_at=arrived_at,
        share=share,
        span=span,
    )


async def send_error(exchange: Exchange, answer: ErrorAnswer) -> None:
    """Send an error as the whole answer."""
    request_id = str(exchange.request_id)
    document = error_document(answer, request_id)
    headers = error_headers(answer, request_id)
    exchange.span.set_attributes({"status": answer.status, "code": answer.code})
    await send_json(exchange.send, answer.status, document, headers)
