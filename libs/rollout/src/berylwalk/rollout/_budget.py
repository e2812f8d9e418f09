"""How many requests of one router may go to a version that is not proved."""

from dataclasses import dataclass

SPENT_SHARE = 0.8
"""Part of the share that is spent: requests may reach a target twice, or be counted
where they did not arrive."""
RAMP_SHARE = 0.85
"""The same once the shift begins, of all sends that are expected in the period."""
SPENT_SLACK = 0.25
"""Part of the fixed number that is spent in one life of the routers: each restart of
all may spend it again."""


@dataclass(frozen=True, slots=True)
class ExposureRules:
    """How much a bad version may get, of all routers together.

    Parameters
    ----------
    share : float
        Share of the service's sends.
    slack : float
        Sends besides.
    """

    share: float = 0.1
    slack: float = 50.0


class CanaryBudget:
    """Sends to a new version, as a part of a router's own sends to the service.

    The bound over all routers is linear in their sends. If each keeps to it by itself
    all do, whatever they hear of each other and however often they are restarted.

    Parameters
    ----------
    rules : ExposureRules
        The bound.
    routers : int
        Routers that are known, over which the fixed number is split.
    """

    def __init__(self, rules: ExposureRules, routers: int) -> None:
        self._rules = rules
        self._slack = SPENT_SLACK * rules.slack / max(1, routers)
        self._left = self._slack
        self._sent = 0
        self._taken = 0

    @property
    def left(self) -> float:
        """Sends that may be made now."""
        return self._left

    def count_send(self) -> None:
        """Count a send to the service, whatever version it goes to."""
        self._sent += 1
        self._left += SPENT_SHARE * self._rules.share

    def begin_ramp(self, since_s: float, left_s: float) -> None:
        """Allow at once what the rest of the period would allow at the present rate.

        Parameters
        ----------
        since_s : float
            Time for which sends have been counted, in seconds.
        left_s : float
            Time until the end of the period, in seconds.
        """
        expected = self._sent * (1 + max(0.0, left_s) / max(since_s, 1.0))
        allowed = RAMP_SHARE * self._rules.share * expected + 2 * self._slack
        self._left = max(self._left, allowed - self._taken)

    def take(self) -> bool:
        """Take a send to the new version, if there is one left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        self._taken += 1
        return True

    def refund(self) -> None:
        """Give one back that was not made."""
        self._left += 1.0
        self._taken -= 1
