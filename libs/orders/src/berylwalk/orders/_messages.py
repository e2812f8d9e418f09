"""Orders, their results and the encoding of both."""

from enum import StrEnum

import msgspec

from berylwalk.wire import FleetKey


class OrderKind(StrEnum):
    """Kind of operation that a target is to perform."""

    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"
    LOAD_MODEL = "load-model"
    CHANGE_ROLE = "change-role"


class Order(msgspec.Struct, frozen=True):
    """Order to a target.

    Parameters
    ----------
    target : str
        Node identifier of the target's agent.
    kind : OrderKind
        Requested operation.
    name : str
        Name of the adapter, model or role.
    source : str
        Location that an adapter or model is loaded from; empty if not applicable.
    fencing : int
        Fencing token of the lease under which the order is sent.
    """

    target: str
    kind: OrderKind
    name: str
    source: str = ""
    fencing: int = 0


class OrderOutcome(StrEnum):
    """Outcome of an order."""

    DONE = "done"
    """The target executed the order."""

    REFUSED = "refused"
    """The order was not forwarded to the target, or the target refused it."""

    UNKNOWN = "unknown"
    """The order was forwarded, and no response was received."""


class OrderResult(msgspec.Struct, frozen=True):
    """Outcome of an order, with an explanation for the operator."""

    outcome: OrderOutcome
    detail: str = ""


_encoder = msgspec.msgpack.Encoder()
_order_decoder = msgspec.msgpack.Decoder(Order)
_result_decoder = msgspec.msgpack.Decoder(OrderResult)


def seal_order(order: Order, key: FleetKey) -> bytes:
    """Encode an order as a sealed request body."""
    return key.seal(_encoder.encode(order))


def open_order(body: bytes, key: FleetKey) -> Order | None:
    """Decode an order; None if it is malformed or not sealed with the key."""
    payload = key.open(body)
    if payload is None:
        return None
    try:
        return _order_decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def encode_result(result: OrderResult) -> bytes:
    """Encode a result as a response body."""
    return _encoder.encode(result)


def decode_result(body: bytes) -> OrderResult:
    """Decode a result; a malformed body yields the outcome ``unknown``."""
    try:
        return _result_decoder.decode(body)
    except msgspec.MsgspecError:
        return OrderResult(
            OrderOutcome.UNKNOWN, "the response of the agent is malformed"
        )
