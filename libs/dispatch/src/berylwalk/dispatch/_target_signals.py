"""Flow control signals in the response head of a target."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSignals:
    """Flow control signals of one response.

    Parameters
    ----------
    limit_per_s : float or None
        Rate limit over all routers, in requests per second; None without a limit.
    is_leaving : bool
        Whether the target shuts down and wants no new requests.
    retry_after_s : float or None
        Backoff requested of this router, in seconds.
    problem : str
        Description of unreadable signals; empty if all are readable.
    limit_is_readable : bool
        Whether ``limit_per_s`` could be parsed.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    problem: str = ""
    limit_is_readable: bool = True

    @property
    def is_empty(self) -> bool:
        """Whether there are no signals."""
        return self == NO_SIGNALS


NO_SIGNALS = TargetSignals()
"""Signals of a response without flow control headers."""
