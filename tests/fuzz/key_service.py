"""Simulated key-value service: delayed, lossy and sometimes down."""

from dataclasses import dataclass, field
from enum import Enum, auto

from berylwalk.model import Refusal, RefusalReason, Request, RequestId
from berylwalk.router import KeyClaimed, KeyRefused

RETRY_MS = 1000


class ClaimOutcome(Enum):
    """Outcome of a claim."""

    SUCCEEDS = auto()
    DOWN = auto()
    RESPONSE_LOST = auto()
    """The claim takes effect, but is reported to the router as an outage."""


@dataclass(slots=True)
class KeyService:
    """Owners of keys, and claims and releases in transit."""

    owner_by_key: dict[str, RequestId] = field(default_factory=dict)
    claims: list[Request] = field(default_factory=list)
    releases: list[Request] = field(default_factory=list)

    def settle_claim(
        self, request: Request, outcome: ClaimOutcome
    ) -> KeyClaimed | KeyRefused:
        """Process a claim and return its result for the router."""
        self.claims.remove(request)
        request_id = request.request_id
        if outcome is ClaimOutcome.DOWN:
            return _refused(request_id, RefusalReason.PLATFORM_DOWN)
        owner = self.owner_by_key.setdefault(request.idempotency_key, request_id)
        if owner != request_id:
            return _refused(request_id, RefusalReason.KEY_IN_USE)
        if outcome is ClaimOutcome.RESPONSE_LOST:
            # The router deletes such a record once it can read it.
            self.releases.append(request)
            return _refused(request_id, RefusalReason.PLATFORM_DOWN)
        return KeyClaimed(request_id)

    def settle_release(self) -> None:
        """Process the oldest release; it deletes only a record of its own request."""
        if not self.releases:
            return
        request = self.releases.pop(0)
        if self.owner_by_key.get(request.idempotency_key) == request.request_id:
            del self.owner_by_key[request.idempotency_key]


def _refused(request_id: RequestId, reason: RefusalReason) -> KeyRefused:
    return KeyRefused(request_id, Refusal(reason, RETRY_MS))
