"""What a target states of itself in an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSignals:
    """What the head of one answer states of the target that gave it.

    Parameters
    ----------
    limit_per_s : float or None
        Requests a second that it takes of all routers together; None without a limit.
    is_leaving : bool
        Whether it leaves and wants no new requests.
    rest_s : float or None
        Time for which it wants no request of this router, in seconds.
    problem : str
        What of it can't be read, and why; empty if all can.
    limit_is_readable : bool
        Whether ``limit_per_s`` is what the target meant.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    problem: str = ""
    limit_is_readable: bool = True

    @property
    def is_empty(self) -> bool:
        """Whether it states nothing."""
        return self == NO_SIGNALS


NO_SIGNALS = TargetSignals()
"""Most answers."""
