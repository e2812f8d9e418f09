"""Outcomes of calls."""

from enum import StrEnum

import msgspec


class CallOutcome(StrEnum):
    """Outcome of a call as its caller sees it."""

    COMPLETE = "whole"
    """The complete and correct response arrived."""

    WRONG = "wrong"
    """A response ended normally but is truncated or belongs to another call."""

    NOT_RUN = "not-run"
    """The response states that the call was not executed."""

    UNKNOWN = "unknown"
    """The response states an unknown outcome, or the stream broke off."""

    GIVEN_UP = "given-up"
    """The caller disconnected after its deadline."""

    NO_ROUTER = "no-router"
    """No router accepted a connection."""


class Result(msgspec.Struct, array_like=True):
    """Result of one call.

    Parameters
    ----------
    number : int
        Number of the call.
    outcome : CallOutcome
        Outcome of the call.
    first_token_s, total_s : float
        Time from sending to the first token and to the end, in seconds.
    send_lag_s : float
        Delay between planned and actual sending, in seconds.
    reason : str
        Code of the refusal, or name of the error.
    uncached_tokens : int
        Prompt tokens that the engine computed; 0 when unknown.
    """

    number: int
    outcome: CallOutcome
    first_token_s: float
    total_s: float
    send_lag_s: float
    reason: str = ""
    uncached_tokens: int = 0
