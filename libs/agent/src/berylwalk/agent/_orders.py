"""Orders endpoint: passes fenced orders to the target."""

from dataclasses import dataclass

import msgspec

from berylwalk.orders import (
    FencingGate,
    Order,
    OrderKind,
    OrderOutcome,
    OrderResult,
    encode_result,
    open_order,
)
from berylwalk.transport import (
    BodyFailure,
    HttpClient,
    Receive,
    RequestFailed,
    Scope,
    Send,
    SendState,
    read_body,
    send_end,
    send_json,
    send_start,
)
from berylwalk.wire import FleetKey

ORDERS_PATH = "/v1/orders"
FENCING_HEADER = "Fencing-Token"
MAX_ORDER_BYTES = 16 << 10
BODY_TIMEOUT_S = 5.0
ORDER_TIMEOUT_S = 600.0
"""Long, because loading a large model takes minutes."""


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """HTTP request that carries an order to the target."""

    path: str
    body: dict[str, str]


def target_order(order: Order) -> TargetOrder:
    """Return the request for an order.

    Parameters
    ----------
    order : Order
        The order. Adapters use the API of the vLLM server.
    """
    match order.kind:
        case OrderKind.LOAD_ADAPTER:
            body = {"lora_name": order.name, "lora_path": order.source}
            return TargetOrder("/v1/load_lora_adapter", body)
        case OrderKind.UNLOAD_ADAPTER:
            return TargetOrder("/v1/unload_lora_adapter", {"lora_name": order.name})
        case OrderKind.LOAD_MODEL:
            body = {"model": order.name, "source": order.source}
            return TargetOrder("/admin/models", body)
        case OrderKind.CHANGE_ROLE:
            return TargetOrder("/admin/role", {"role": order.name})


class OrderCaller:
    """Sends orders to the target over HTTP.

    Parameters
    ----------
    client : HttpClient
        Connections to the target.
    target_url : str
        Base URL of the target.
    """

    def __init__(self, client: HttpClient, target_url: str) -> None:
        self._client = client
        self._target_url = target_url.rstrip("/")

    async def forward(self, order: Order) -> OrderResult:
        """Send an order and return its result."""
        target_request = target_order(order)
        response = await self._client.request(
            "POST",
            self._target_url + target_request.path,
            headers=(
                ("Content-Type", "application/json"),
                (FENCING_HEADER, str(order.fencing)),
            ),
            body=msgspec.json.encode(target_request.body),
            read_timeout_s=ORDER_TIMEOUT_S,
        )
        if isinstance(response, RequestFailed):
            return _failed(response)
        if response.status == 200:
            return OrderResult(OrderOutcome.DONE)
        text = response.body.decode(errors="replace")
        detail = f"the target responded with {response.status}: {text}"
        if response.status < 500:
            return OrderResult(OrderOutcome.REFUSED, detail)
        return OrderResult(OrderOutcome.UNKNOWN, detail)


class OrdersEndpoint:
    """ASGI application of the orders path.

    Parameters
    ----------
    gate : FencingGate
        Checks fencing tokens.
    key : FleetKey
        Authenticates orders.
    """

    def __init__(self, gate: FencingGate, key: FleetKey) -> None:
        self._gate = gate
        self._key = key

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        body = await read_body(receive, MAX_ORDER_BYTES, BODY_TIMEOUT_S)
        order = None if isinstance(body, BodyFailure) else open_order(body, self._key)
        if order is None:
            await send_json(send, 403, {"error": "order is missing or invalid"})
            return
        result = await self._gate.handle(order)
        await send_start(send, 200)
        await send_end(send, encode_result(result))


def _failed(failure: RequestFailed) -> OrderResult:
    if failure.state is SendState.NOT_SENT:
        return OrderResult(OrderOutcome.REFUSED, "the target refused the connection")
    return OrderResult(OrderOutcome.UNKNOWN, failure.reason)
