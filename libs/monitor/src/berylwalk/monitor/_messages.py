"""Messages between target monitors and routers.

Fields are only added at the end: versions run side by side.
"""

from msgspec import DecodeError, Struct, ValidationError, msgpack

MESSAGE_ERRORS = (DecodeError, ValidationError, RecursionError)
"""Raised for a datagram that is not a valid message."""


class Subscription(Struct, array_like=True, tag=1):
    """Request of a router for the reports of a monitor.

    Parameters
    ----------
    name : str
        Name of the router.
    sent_at : float
        Time at which it was sent on the clock of the router, in seconds; echoed.
    ttl_s : float
        Time for which reports are wanted, in seconds.
    interval_s : float
        Shortest interval between two reports, in seconds.
    """

    name: str
    sent_at: float
    ttl_s: float
    interval_s: float


class Reading(Struct, array_like=True):
    """State of a target.

    Parameters
    ----------
    running, waiting : int
        Requests that run, and that wait for a slot.
    unread_tokens : int
        Estimate of the prompt tokens of both that have not been prefilled.
    cache_used, cache_total : int
        Tokens in the KV cache that can't be evicted, and its capacity.
    """

    running: int
    waiting: int
    unread_tokens: int
    cache_used: int
    cache_total: int


class ReportMessage(Struct, array_like=True, tag=2):
    """Report of a monitor to one router.

    Parameters
    ----------
    target : str
        Address of the target, as ``host:port``.
    subscribed_at : float
        Time of the subscription on the clock of the router, in seconds.
    subscribed_s : float
        Time from the arrival of the subscription to the reading, in seconds; negative
        if the reading is older.
    reading : Reading or None
        State of the target; None if the target doesn't tell it.
    life : str
        Identifies the process of the monitor.
    target_ends : int
        How often that process has found the target gone.
    """

    target: str
    subscribed_at: float
    subscribed_s: float
    reading: Reading | None
    life: str = ""
    target_ends: int = 0

    @property
    def observed_at(self) -> float:
        """Time of the reading on the clock of the router, in seconds.

        It is too early by the time that the subscription was on its way, and never too
        late, however long the report was on its way or either side was suspended.
        """
        return self.subscribed_at + self.subscribed_s


encode = msgpack.Encoder().encode
decode_subscription = msgpack.Decoder(Subscription).decode
decode_report = msgpack.Decoder(ReportMessage).decode
