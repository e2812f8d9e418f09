"""State of one request of a caller while it is in progress."""

from dataclasses import dataclass

from berylwalk.caller._errors import ErrorResponse, error_document, error_headers
from berylwalk.caller._headers import TRACEPARENT, ValuesByName, values_by_name
from berylwalk.caller._limits import ByteReservation
from berylwalk.model import RequestId
from berylwalk.telemetry import TraceSpan, Tracing
from berylwalk.transport import Receive, Scope, Send, send_json

HOP_NAME = "caller"


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request in progress, with what is needed to respond to it.

    Parameters
    ----------
    receive, send : callable
        The ASGI callables.
    request_id : RequestId
        Identifier of the request.
    values : mapping
        Values of the headers by name.
    method : str
        HTTP method.
    arrived_at : float
        Monotonic time, in seconds.
    reservation : ByteReservation
        Bytes that the request reserves of the common budget.
    span : TraceSpan
        Span of the request.
    """

    receive: Receive
    send: Send
    request_id: RequestId
    values: ValuesByName
    method: str
    arrived_at: float
    reservation: ByteReservation
    span: TraceSpan


def open_exchange(
    scope: Scope,
    receive: Receive,
    send: Send,
    *,
    request_id: RequestId,
    reservation: ByteReservation,
    tracing: Tracing,
    arrived_at: float,
) -> Exchange:
    """Read the headers of a request and start its span.

    Parameters
    ----------
    scope, receive, send
        Arguments of an ASGI application.
    request_id : RequestId
        Identifier of the request.
    reservation : ByteReservation
        Empty reservation of the common budget.
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
        reservation=reservation,
        span=span,
    )


async def send_error(exchange: Exchange, response: ErrorResponse) -> None:
    """Send an error as the response."""
    request_id = str(exchange.request_id)
    document = error_document(response, request_id)
    headers = error_headers(response, request_id)
    exchange.span.set_attributes({"status": response.status, "code": response.code})
    await send_json(exchange.send, response.status, document, headers)
