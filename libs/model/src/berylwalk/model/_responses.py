"""Interface between the caller API and the router's core."""

from dataclasses import dataclass
from typing import Protocol

from berylwalk.model._outcomes import Outcome, Refusal, RefusalReason
from berylwalk.model._requests import Request, RequestId

_OUTCOME_BY_KEY_REASON = {
    RefusalReason.KEY_IN_USE: Outcome.UNKNOWN,
    RefusalReason.KEY_REUSED: Outcome.INVALID,
    RefusalReason.KEY_SETTLED: Outcome.COMPLETE,
}


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """Final result of a request.

    Parameters
    ----------
    outcome : Outcome
        Outcome of this request.
    refusal : Refusal or None
        Reason and time to retry; set unless the outcome is ``complete``.
    started : bool
        Whether the target's status and headers were already passed to the sink.
    agent : str
        Node identifier of the agent that dispatched the request, or empty.
    """

    outcome: Outcome
    refusal: Refusal | None = None
    started: bool = False
    agent: str = ""

    @property
    def reported_outcome(self) -> Outcome:
        """Outcome that is reported to the caller.

        A request with the idempotency key of another request did not run itself,
        but both stand for the same work, so the outcome of that work is reported.
        """
        if self.outcome is not Outcome.NOT_RUN or self.refusal is None:
            return self.outcome
        return _OUTCOME_BY_KEY_REASON.get(self.refusal.reason, self.outcome)


class ResponseSink(Protocol):
    """Receiver of the target's response, chunk by chunk.

    All methods may raise `CallerDisconnectedError`.
    """

    async def start(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...], agent: str
    ) -> None:
        """Forward the target's status and headers; called at most once."""

    async def chunk(self, body: bytes) -> None:
        """Forward a chunk of the body unchanged."""

    def try_chunk(self, body: bytes) -> bool:
        """Forward a chunk of the body if that does not block.

        Returns
        -------
        bool
            False if nothing was done and `chunk` must be used instead.
        """


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the response was complete."""


class Submitter(Protocol):
    """Interface of the router's core that the caller API uses."""

    def new_request_id(self) -> RequestId:
        """Return a new request identifier."""

    async def submit(self, request: Request, sink: ResponseSink) -> FinalResponse:
        """Place a request, stream the response to the sink and return the result.

        Cancelling the call withdraws the request.
        """
