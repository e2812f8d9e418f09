"""State of one order as a router knows it."""

from dataclasses import dataclass, field

from berylwalk.rollout._budget import CanaryBudget
from berylwalk.rollout._evidence import Evidence
from berylwalk.rollout._messages import RolloutUpdate
from berylwalk.rollout._orders import Order
from berylwalk.rollout._records import Phase, Record
from berylwalk.rollout._verdict import Verdict, judge

EPOCHS_PER_PERIOD = 6
MIN_EPOCH_S = 2.0
"""Number of epochs in a period, and minimum length of one in seconds. Each epoch sends
the canary requests to other targets of the new version."""
RAMP_EPOCH = 1000
SHIFT_EPOCH = 2000
SHIFT_EPOCH_S = 1.0
"""First epoch numbers of the ramp and the shift, and length of their epochs."""


@dataclass(slots=True)
class Progress:
    """State of one order as a router knows it.

    Attributes
    ----------
    order : Order
        The order.
    since : float
        When it was first known to any router, in seconds.
    known_since : float
        When it was first known to this router, in seconds.
    budget : CanaryBudget
        Own budget of sends to the new version.
    evidence : Evidence
        Answers and crashes that all routers saw.
    record : Record or None
        The stored record, once it is known.
    phase_since : float
        When its phase became known here, in seconds.
    is_rejected : bool
        Whether a router has rejected the version.
    longest_answer_s : float
        Longest duration of an answer of the old version seen here, in seconds.
    canaries_by_route : dict
        Number of own canary requests, by route.
    reported_number : int
        Number of the last record that was reported to operators.
    resumed_at : float
        When the order was last found written again after a restore of the store.
    updates_by_router : dict
        Last update of each other router, by its incarnation.
    """

    order: Order
    since: float
    known_since: float
    budget: CanaryBudget
    evidence: Evidence = field(default_factory=Evidence)
    record: Record | None = None
    phase_since: float = float("inf")
    is_rejected: bool = False
    longest_answer_s: float = 0.0
    canaries_by_route: dict[str, int] = field(default_factory=dict)
    reported_number: int = -1
    resumed_at: float = float("-inf")
    updates_by_router: dict[str, RolloutUpdate] = field(default_factory=dict)

    @property
    def phase(self) -> Phase | None:
        """Phase of the record; None until that is known."""
        return None if self.record is None else self.record.phase

    @property
    def is_active(self) -> bool:
        """Whether the roll-out is neither completed nor reverted."""
        return self.record is None or not self.record.phase.is_final

    def age_s(self, now: float) -> float:
        """Return the time since the order, in seconds."""
        return max(0.0, now - self.since)

    def epoch(self, now: float) -> int:
        """Return the number of the current epoch."""
        if self.phase is Phase.RAMP:
            return RAMP_EPOCH + int((now - self.phase_since) / SHIFT_EPOCH_S)
        if self.phase is Phase.SHIFTING:
            return SHIFT_EPOCH + int((now - self.phase_since) / SHIFT_EPOCH_S)
        length_s = max(MIN_EPOCH_S, self.order.period_s / EPOCHS_PER_PERIOD)
        return int(self.age_s(now) / length_s)

    def verdict(self) -> Verdict:
        """Return the result of the test of the new version."""
        evidence = self.evidence
        return judge(evidence.new(), evidence.old(), evidence.crash_counts())
