"""Requests that end the targets that run them: evidence, judgement, bounds."""

from berylwalk.quarantine._identity import (
    BodyHash,
    Identity,
    account_part,
    request_identity,
)

__all__ = ["BodyHash", "Identity", "account_part", "request_identity"]
