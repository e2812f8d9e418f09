"""Canary roll-outs: how many requests a new version gets, and when it is rejected."""

from berylwalk.rollout._budget import CanaryBudget, ExposureRules
from berylwalk.rollout._evidence import (
    AnswerKind,
    CrashCounts,
    Evidence,
    NewVersionKey,
    OldVersionKey,
    Tally,
)
from berylwalk.rollout._messages import RolloutUpdate
from berylwalk.rollout._orders import Order, OrderProblem, UnusableOrder
from berylwalk.rollout._phases import PhaseInputs, next_phase, ramp_start_s
from berylwalk.rollout._progress import Progress
from berylwalk.rollout._records import (
    RECORDS_PREFIX,
    Phase,
    Record,
    record_key,
    service_from_record_key,
)
from berylwalk.rollout._rollouts import Rollouts, VersionRejection
from berylwalk.rollout._verdict import Verdict, judge
from berylwalk.rollout._versions import VersionRegistry

__all__ = [
    "RECORDS_PREFIX",
    "AnswerKind",
    "CanaryBudget",
    "CrashCounts",
    "Evidence",
    "ExposureRules",
    "NewVersionKey",
    "OldVersionKey",
    "Order",
    "OrderProblem",
    "Phase",
    "PhaseInputs",
    "Progress",
    "Record",
    "RolloutUpdate",
    "Rollouts",
    "Tally",
    "UnusableOrder",
    "Verdict",
    "VersionRegistry",
    "VersionRejection",
    "judge",
    "next_phase",
    "ramp_start_s",
    "record_key",
    "service_from_record_key",
]
