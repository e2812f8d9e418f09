"""Fenced commands to targets: load models and adapters, change the role."""

from berylwalk.orders._gate import FencingGate, ForwardOrder, lock_key
from berylwalk.orders._messages import (
    Order,
    OrderKind,
    OrderOutcome,
    OrderResult,
    decode_result,
    encode_result,
    open_order,
    seal_order,
)
from berylwalk.orders._sender import MIN_REMAINING_S, OrderSender, Transmit

__all__ = [
    "MIN_REMAINING_S",
    "FencingGate",
    "ForwardOrder",
    "Order",
    "OrderKind",
    "OrderOutcome",
    "OrderResult",
    "OrderSender",
    "Transmit",
    "decode_result",
    "encode_result",
    "lock_key",
    "open_order",
    "seal_order",
]
