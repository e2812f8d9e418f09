"""What a router that was asked to stop still begins, and how long it goes on.

Load that it answers: callers that use their connections until the process is gone. A
request that can't end before the process is cut at its end, with its target at work;
refused instead, its caller reaches another router while it has time.
"""

from dataclasses import dataclass
from typing import Self

ACCEPT_S = 3.0
"""How long new requests are accepted after a stop request, in seconds: the load
balancer takes two health checks, one second apart, to stop sending them."""
KILL_MARGIN_S = 0.5
"""How long before the platform's kill open requests are ended, in seconds."""
FLUSH_S = 0.2
"""How long what is unsent may then take to be sent, in seconds; the rest of the margin
is for the exit of the process."""


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

    @property
    def accept_until(self) -> float:
        """When new requests are no longer accepted without a bound on their time."""
        return min(self.requested_at + ACCEPT_S, self.exit_at)

    @property
    def flushed_by(self) -> float:
        """When the process exits whatever is unsent."""
        return self.exit_at + FLUSH_S

    def elapsed_s(self, now: float) -> float:
        """Return the seconds since the stop was requested."""
        return now - self.requested_at

    def may_begin(self, deadline: float, now: float, *, run_s: float = 0.0) -> bool:
        """Return whether a request that no target has may be sent to one.

        Parameters
        ----------
        deadline : float
            When its response has to be complete, in seconds.
        now : float
            Current time, in seconds.
        run_s : float
            Time that it is expected to take at a target without load, in seconds, with
            as many tokens as it may have.
        """
        if deadline <= self.exit_at:
            return True
        return now < self.accept_until and now + run_s <= self.exit_at
