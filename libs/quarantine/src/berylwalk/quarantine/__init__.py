"""Requests that end the targets that run them: evidence, judgement, bounds."""

from berylwalk.quarantine._identity import (
    BodyHash,
    Identity,
    account_part,
    request_identity,
)
from berylwalk.quarantine._judgement import ENDS_TO_BLAME, Judgement, judge
from berylwalk.quarantine._messages import QuarantineNews, SuspectNews
from berylwalk.quarantine._outbox import Outbox
from berylwalk.quarantine._quarantine import (
    TRIAL_AFTER_S,
    Blame,
    Change,
    ChangeKind,
    Quarantine,
    Standing,
)
from berylwalk.quarantine._records import (
    RECORDS_PREFIX,
    Record,
    identity_of_key,
    record_key,
)

__all__ = [
    "ENDS_TO_BLAME",
    "RECORDS_PREFIX",
    "TRIAL_AFTER_S",
    "Blame",
    "BodyHash",
    "Change",
    "ChangeKind",
    "Identity",
    "Judgement",
    "Outbox",
    "Quarantine",
    "QuarantineNews",
    "Record",
    "Standing",
    "SuspectNews",
    "account_part",
    "identity_of_key",
    "judge",
    "record_key",
    "request_identity",
]
