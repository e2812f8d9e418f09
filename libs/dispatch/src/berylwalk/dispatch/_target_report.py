"""What a target monitor has observed of its target."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetReport:
    """State of a target as observed by the monitor on its VM.

    Parameters
    ----------
    observed_at : float
        Time of the observation on the clock of this router, in seconds.
    running, waiting : int
        Requests that run at the target, and that wait for a slot there.
    unread_tokens : int
        Estimate of the prompt tokens of both that have not been prefilled.
    cache_used, cache_total : int
        Tokens in the KV cache that can't be evicted, and its capacity.
    output_token_s : float or None
        Time per output token in the last moments, in seconds; None without output.
    """

    observed_at: float
    running: int
    waiting: int
    unread_tokens: int = 0
    cache_used: int = 0
    cache_total: int = 0
    output_token_s: float | None = None

    @property
    def in_flight(self) -> int:
        """Requests at the target."""
        return self.running + self.waiting
