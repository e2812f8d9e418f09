"""Idle timeout of callers' connections, also while a lower one comes into force.

Load that it answers: callers that keep connections and reuse one for as long as the
version of the configuration that they know allows. It may be the former version.
"""

from dataclasses import dataclass

from berylwalk.dispatch._configuration import CallerLimits


@dataclass(frozen=True, slots=True)
class _Superseded:
    """A former timeout, and until when callers may still go by it, in seconds."""

    timeout_s: float
    until: float


class IdleTimeout:
    """Idle timeout in force.

    Parameters
    ----------
    propagation_s : float
        Time that a new version takes to be in force everywhere, in seconds.
    """

    def __init__(self, *, propagation_s: float = 0.0) -> None:
        self._timeout_s = CallerLimits().idle_timeout_s
        self._propagation_s = propagation_s
        self._superseded: list[_Superseded] = []

    def set(self, timeout_s: float, now: float) -> None:
        """Apply the timeout of a new version of the configuration."""
        if timeout_s < self._timeout_s:
            until = now + self._propagation_s
            self._superseded.append(_Superseded(self._timeout_s, until))
        self._timeout_s = timeout_s

    def in_force_s(self, now: float) -> float:
        """Return the longest timeout that a caller may go by, in seconds."""
        if not self._superseded:
            return self._timeout_s
        self._superseded = [each for each in self._superseded if now < each.until]
        former_s = [each.timeout_s for each in self._superseded]
        return max([self._timeout_s, *former_s])
