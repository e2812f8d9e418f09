"""How long a router that was asked to stop goes on.

Load that it answers: callers that use their connections until the process is gone.
"""

from dataclasses import dataclass
from typing import Self

KILL_MARGIN_S = 0.35
"""How long before the platform's kill the process exits by itself, in seconds."""


@dataclass(frozen=True, slots=True)
class GracefulStop:
    """A stop under way, in seconds of the router's clock.

    Parameters
    ----------
    requested_at : float
        When the stop was requested.
    exit_at : float
        When requests that are not answered are ended.
    """

    requested_at: float
    exit_at: float

    @classmethod
    def from_grace(cls, requested_at: float, grace_s: float) -> Self:
        """Return the stop of a process that is killed after a grace, in seconds."""
        return cls(requested_at, requested_at + grace_s - KILL_MARGIN_S)

    def elapsed_s(self, now: float) -> float:
        """Return the seconds since the stop was requested."""
        return now - self.requested_at
