"""How an answer travels from the router's core to the caller API."""

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
    """How a request ended.

    Parameters
    ----------
    outcome : Outcome
        What became of this request.
    refusal : Refusal or None
        Why and when to return; set unless the outcome is ``complete``.
    started : bool
        Whether the target's status and headers already went to the sink.
    agent : str
        Node identifier of the agent that dispatched, or empty.
    """

    outcome: Outcome
    refusal: Refusal | None = None
    started: bool = False
    agent: str = ""

    @property
    def reported_outcome(self) -> Outcome:
        """What the caller is told.

        A request whose idempotency key belongs to another one did not run
        itself, but its caller means the same work by both.
        """
        if self.outcome is not Outcome.NOT_RUN or self.refusal is None:
            return self.outcome
        return _OUTCOME_BY_KEY_REASON.get(self.refusal.reason, self.outcome)


class ResponseSink(Protocol):
    """Where the target's answer goes, piece by piece.

    Either method may raise `CallerDisconnectedError` when the caller went away.
    """

    async def start(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...], agent: str
    ) -> None:
        """Pass on the target's status and headers; called at most once."""

    async def chunk(self, body: bytes) -> None:
        """Pass on a piece of the body, unchanged."""

    def try_chunk(self, body: bytes) -> bool:
        """Pass on a piece of the body if that needs no waiting.

        Returns
        -------
        bool
            False, without effect, when `chunk` has to take it.
        """


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was whole."""


class Submitter(Protocol):
    """The router's core as the caller API sees it."""

    def new_request_id(self) -> RequestId:
        """Return the next request identifier."""

    async def submit(self, request: Request, sink: ResponseSink) -> FinalResponse:
        """Place a request, stream its answer into the sink, and return its end.

        Cancelling the call withdraws the request.
        """
