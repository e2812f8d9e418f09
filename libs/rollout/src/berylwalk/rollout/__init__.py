"""How much a new version of a service gets until it has shown that it is good."""

from berylwalk.rollout._budget import CanaryBudget, ExposureRules
from berylwalk.rollout._evidence import AnswerKind, Ends, Evidence, OldRow, Row, Tally
from berylwalk.rollout._judgement import Verdict, judge
from berylwalk.rollout._messages import RolloutNews
from berylwalk.rollout._orders import Order, OrderProblem, UnusableOrder
from berylwalk.rollout._phases import Situation, next_phase, shift_at_s
from berylwalk.rollout._progress import Progress
from berylwalk.rollout._records import (
    RECORDS_PREFIX,
    Phase,
    Record,
    record_key,
    service_of_record_key,
)
from berylwalk.rollout._rollouts import Judged, Rollouts
from berylwalk.rollout._versions import VersionBook

__all__ = [
    "RECORDS_PREFIX",
    "AnswerKind",
    "CanaryBudget",
    "Ends",
    "Evidence",
    "ExposureRules",
    "Judged",
    "OldRow",
    "Order",
    "OrderProblem",
    "Phase",
    "Progress",
    "Record",
    "RolloutNews",
    "Rollouts",
    "Row",
    "Situation",
    "Tally",
    "UnusableOrder",
    "Verdict",
    "VersionBook",
    "judge",
    "next_phase",
    "record_key",
    "service_of_record_key",
    "shift_at_s",
]
