"""One order as a router knows it."""

from dataclasses import dataclass, field

from berylwalk.rollout._budget import CanaryBudget
from berylwalk.rollout._evidence import Evidence
from berylwalk.rollout._judgement import Verdict, judge
from berylwalk.rollout._messages import RolloutUpdate
from berylwalk.rollout._orders import Order
from berylwalk.rollout._records import Phase, Record

EPOCHS = 6
SHORTEST_EPOCH_S = 2.0
"""Parts of a period in which other targets of the new version are tried."""
RAMP_EPOCH = 1000
SHIFT_EPOCH = 2000
SHIFT_EPOCH_S = 1.0
"""First numbers, and length in seconds, of the parts of the ramp and the shift."""


@dataclass(slots=True)
class Progress:
    """One order as a router knows it.

    Attributes
    ----------
    order : Order
        The order.
    since : float
        When it was first known to any router, in seconds.
    known_since : float
        When it was first known to this router, in seconds.
    budget : CanaryBudget
        Own sends to the new version.
    evidence : Evidence
        What all routers saw.
    record : Record or None
        The record, once it is known.
    phase_since : float
        Since when its phase is known here.
    is_stopped : bool
        Whether it was judged bad.
    longest_answer_s : float
        Longest answer of the old version that was seen here, in seconds.
    canaries_by_route : dict
        Own canary requests.
    told_number : int
        Number of the last phase of which operators were told.
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
    news_by_router: dict[str, RolloutUpdate] = field(default_factory=dict)

    @property
    def phase(self) -> Phase | None:
        """The phase, once the record is known."""
        return None if self.record is None else self.record.phase

    @property
    def is_active(self) -> bool:
        """Whether it has not come to its end."""
        return self.record is None or not self.record.phase.is_final

    def age_s(self, now: float) -> float:
        """Return the time since the order, in seconds."""
        return max(0.0, now - self.since)

    def epoch(self, now: float) -> int:
        """Return the number of the present part of the period, or of the shift."""
        if self.phase is Phase.RAMP:
            return RAMP_EPOCH + int((now - self.phase_since) / SHIFT_EPOCH_S)
        if self.phase is Phase.SHIFTING:
            return SHIFT_EPOCH + int((now - self.phase_since) / SHIFT_EPOCH_S)
        length_s = max(SHORTEST_EPOCH_S, self.order.period_s / EPOCHS)
        return int(self.age_s(now) / length_s)

    def verdict(self) -> Verdict:
        """Return what is thought of the version."""
        evidence = self.evidence
        return judge(evidence.new(), evidence.old(), evidence.crash_counts())
