"""Quarantine of requests and prompt parts that crash the targets processing them."""

from berylwalk.quarantine._attribution import (
    CRASHES_TO_BLAME,
    Attribution,
    attribute_crashes,
)
from berylwalk.quarantine._identity import (
    BodyHash,
    Identity,
    account_prefix,
    is_part,
    part_identity,
    request_identity,
)
from berylwalk.quarantine._messages import QuarantineUpdate, SuspectUpdate
from berylwalk.quarantine._outbox import Outbox
from berylwalk.quarantine._quarantine import Quarantine
from berylwalk.quarantine._records import (
    RECORDS_PREFIX,
    Record,
    identity_from_key,
    record_key,
)
from berylwalk.quarantine._trials import TRIAL_DELAYS_S, Blame, max_trials
from berylwalk.quarantine._verdicts import (
    FREE,
    ChangeKind,
    QuarantineChange,
    QuarantineStatus,
    Verdict,
)

__all__ = [
    "CRASHES_TO_BLAME",
    "FREE",
    "RECORDS_PREFIX",
    "TRIAL_DELAYS_S",
    "Attribution",
    "Blame",
    "BodyHash",
    "ChangeKind",
    "Identity",
    "Outbox",
    "Quarantine",
    "QuarantineChange",
    "QuarantineStatus",
    "QuarantineUpdate",
    "Record",
    "SuspectUpdate",
    "Verdict",
    "account_prefix",
    "attribute_crashes",
    "identity_from_key",
    "is_part",
    "max_trials",
    "part_identity",
    "record_key",
    "request_identity",
]
