"""Shared types: requests, service policies, outcomes and findings."""

from berylwalk.model._findings import Finding, FindingsError
from berylwalk.model._outcomes import Outcome, Refusal, RefusalReason
from berylwalk.model._requests import (
    Request,
    RequestId,
    ServicePolicy,
    TargetCall,
    TierPolicy,
    WorkEstimate,
)
from berylwalk.model._responses import (
    CallerDisconnectedError,
    FinalResponse,
    ResponseSink,
    Submitter,
)

__all__ = [
    "CallerDisconnectedError",
    "FinalResponse",
    "Finding",
    "FindingsError",
    "Outcome",
    "Refusal",
    "RefusalReason",
    "Request",
    "RequestId",
    "ResponseSink",
    "ServicePolicy",
    "Submitter",
    "TargetCall",
    "TierPolicy",
    "WorkEstimate",
]
