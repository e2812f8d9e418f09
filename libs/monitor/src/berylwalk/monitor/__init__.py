"""Target monitors, and the messages that routers exchange with them."""

from berylwalk.monitor._messages import (
    MESSAGE_ERRORS,
    Reading,
    ReportMessage,
    Subscription,
    decode_report,
    decode_subscription,
    encode,
)

__all__ = [
    "MESSAGE_ERRORS",
    "Reading",
    "ReportMessage",
    "Subscription",
    "decode_report",
    "decode_subscription",
    "encode",
]
