"""Admission control: fair queueing, concurrency limit, headroom and estimates."""

from berylwalk.admission._admission_queue import AdmissionQueue
from berylwalk.admission._concurrency_limit import ConcurrencyLimit, LatencyTargets
from berylwalk.admission._deadline_heap import DeadlineHeap
from berylwalk.admission._estimates import OutputLengthModel, SpeedModel, Work
from berylwalk.admission._headroom import tier_slot_limit
from berylwalk.admission._limit_rules import (
    LimitRule,
    LoadSample,
    aimd,
    fixed,
    gradient,
)
from berylwalk.admission._policies import Policy, fifo_policy, tiered_policy
from berylwalk.admission._queue_entries import (
    EntryState,
    QueueEntry,
    SchedulingKey,
    SchedulingKeyFunction,
    fifo_scheduling_key,
    tiered_scheduling_key,
)
from berylwalk.admission._straggler import StragglerDetector

__all__ = [
    "AdmissionQueue",
    "ConcurrencyLimit",
    "DeadlineHeap",
    "EntryState",
    "LatencyTargets",
    "LimitRule",
    "LoadSample",
    "OutputLengthModel",
    "Policy",
    "QueueEntry",
    "SchedulingKey",
    "SchedulingKeyFunction",
    "SpeedModel",
    "StragglerDetector",
    "Work",
    "aimd",
    "fifo_policy",
    "fifo_scheduling_key",
    "fixed",
    "gradient",
    "tier_slot_limit",
    "tiered_policy",
    "tiered_scheduling_key",
]
