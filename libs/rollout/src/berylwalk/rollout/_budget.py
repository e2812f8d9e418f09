"""Budget of the requests that one router may send to a version under canary."""

from dataclasses import dataclass

SPENT_SHARE = 0.8
"""Part of the share that is spent: a request may reach a target twice, or be counted
although it did not arrive."""
RAMP_SHARE = 0.85
"""Part of the share that is spent in the ramp, of all sends expected in the period."""
SPENT_SLACK = 0.25
"""Part of the slack that is spent between two restarts of the routers: a restart of all
of them may spend it again."""


@dataclass(frozen=True, slots=True)
class ExposureRules:
    """Bound of the requests that a bad version may receive from all routers together.

    Parameters
    ----------
    share : float
        Share of the service's sends.
    slack : float
        Number of sends on top of the share.
    """

    share: float = 0.1
    slack: float = 50.0


class CanaryBudget:
    """Budget of sends to a new version, in proportion to all sends to the service.

    The bound over all routers is linear in their sends, so that it holds if each router
    keeps to its own part, even without contact or after restarts.

    Parameters
    ----------
    rules : ExposureRules
        The bound.
    routers : int
        Number of known routers, among which the slack is divided.
    """

    def __init__(self, rules: ExposureRules, routers: int) -> None:
        self._rules = rules
        self._slack = SPENT_SLACK * rules.slack / max(1, routers)
        self._remaining = self._slack
        self._sent = 0
        self._taken = 0

    @property
    def remaining(self) -> float:
        """Sends that are allowed now."""
        return self._remaining

    def count_send(self) -> None:
        """Count a send to the service, to any version."""
        self._sent += 1
        self._remaining += SPENT_SHARE * self._rules.share

    def begin_ramp(self, since_s: float, left_s: float) -> None:
        """Allow at once what the current send rate would allow until the period ends.

        Parameters
        ----------
        since_s : float
            Time for which sends have been counted, in seconds.
        left_s : float
            Time until the end of the period, in seconds.
        """
        expected = self._sent * (1 + max(0.0, left_s) / max(since_s, 1.0))
        allowed = RAMP_SHARE * self._rules.share * expected + 2 * self._slack
        self._remaining = max(self._remaining, allowed - self._taken)

    def take(self) -> bool:
        """Take one send to the new version; False if none remains."""
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        self._taken += 1
        return True

    def refund(self) -> None:
        """Return a send that was taken but not made."""
        self._remaining += 1.0
        self._taken -= 1
