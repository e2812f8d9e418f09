"""What became of each call."""

from enum import StrEnum

import msgspec


class CallOutcome(StrEnum):
    """How a call ended, as its caller sees it."""

    COMPLETE = "whole"
    """The whole, right answer arrived."""

    WRONG = "wrong"
    """An answer arrived that is not the call's own or not whole, yet looks so."""

    NOT_RUN = "not-run"
    """The caller was told that the call did not run."""

    UNKNOWN = "unknown"
    """The caller was told that the end is unknown, or the stream broke."""

    GIVEN_UP = "given-up"
    """The caller left after its deadline."""

    NO_ROUTER = "no-router"
    """No router accepted a connection."""


class Result(msgspec.Struct, array_like=True):
    """One call's end.

    Parameters
    ----------
    number : int
        Number of the call.
    end : End
        How it ended.
    first_s, whole_s : float
        Time from sending to the first token and to the end, in seconds.
    lag_s : float
        How much later than planned the call was sent, in seconds.
    reason : str
        Code of the refusal or error.
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
