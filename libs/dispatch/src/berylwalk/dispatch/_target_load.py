"""Load of a target now: what its monitor reported, and what has changed since.

Many routers send to few targets, and each learns from messages, tens to hundreds of
milliseconds late, what the others have sent and which of their requests have ended. A
target then looks full while it has places, or has places while it is full. Reports of
the target itself are a few milliseconds old, but lack the requests that are on their
way to it. So the load now is that of the last report, with what the router and its
peers have sent since.
"""

from collections import deque
from dataclasses import dataclass, field

from berylwalk.dispatch._target_report import TargetReport

MAX_REPORT_AGE_S = 0.25
"""Age up to which a report is used, in seconds: one at the longest interval between two
reports may be lost."""
MAX_AGE_ON_ARRIVAL_S = 0.05
"""Age up to which a report is accepted, in seconds: later ones show little that is not
known by messages."""
MAX_SENDING_S = 0.01
"""How long a request may be on its way to the target, in seconds; it may first need a
connection."""
MAX_RECENT_SENDS = 1024
"""Bound of the sends that may be missing in a report."""
LONG_AGO = float("-inf")
"""Time of sends that are in every report by now."""


@dataclass(frozen=True, slots=True)
class SentTotals:
    """What was sent to a target since this router knows it.

    Parameters
    ----------
    requests, prompt_tokens : int
        Requests of this router and of the others, as far as told, and their tokens.
    """

    requests: int = 0
    prompt_tokens: int = 0

    def plus(self, requests: int, prompt_tokens: int) -> "SentTotals":
        """Return the totals with more requests."""
        return SentTotals(self.requests + requests, self.prompt_tokens + prompt_tokens)


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of a target by a report.

    Requests that end later only count when the next report lacks them: the router hears
    of an end after the target has left it out, and must not count it twice.

    Parameters
    ----------
    requests, unread_tokens : int
        Requests of the report, and their prompt tokens that have not been prefilled.
    sent_before : SentTotals
        What was sent early enough to be in the report.
    """

    requests: int
    unread_tokens: int
    sent_before: SentTotals

    def requests_with(self, sent: SentTotals) -> int:
        """Return the requests at the target, with those sent since."""
        return self.requests + sent.requests - self.sent_before.requests

    def unread_tokens_with(self, sent: SentTotals) -> int:
        """Return the prompt tokens to prefill, with those sent since."""
        since = sent.prompt_tokens - self.sent_before.prompt_tokens
        return self.unread_tokens + since


@dataclass(slots=True)
class RecentSends:
    """Requests that were sent to one target, or told by peers, in the last moments.

    Each has a time in seconds, the number of requests and their prompt tokens.
    """

    _sends: deque[tuple[float, int, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_SENDS)
    )

    def note_sent(self, requests: int, prompt_tokens: int, now: float) -> None:
        """Record requests."""
        oldest = now - MAX_AGE_ON_ARRIVAL_S - MAX_SENDING_S
        while self._sends and self._sends[0][0] < oldest:
            self._sends.popleft()
        self._sends.append((now, requests, prompt_tokens))

    def missing_in(self, report: TargetReport) -> tuple[int, int]:
        """Return what was sent too late for a report: requests and prompt tokens."""
        included_until = report.observed_at - MAX_SENDING_S
        missing = [send for send in self._sends if send[0] > included_until]
        return (
            sum(requests for _, requests, _ in missing),
            sum(tokens for *_, tokens in missing),
        )


def is_acceptable(
    report: TargetReport, previous: TargetReport | None, now: float
) -> bool:
    """Return whether a report may be used on its arrival.

    It may not if it is older than the previous one, or late, or from the future: then
    it refers to the clock of an earlier process.
    """
    if not 0.0 <= now - report.observed_at <= MAX_AGE_ON_ARRIVAL_S:
        return False
    return previous is None or report.observed_at > previous.observed_at


def is_usable(report: TargetReport, now: float) -> bool:
    """Return whether an accepted report is still young enough."""
    return now - report.observed_at <= MAX_REPORT_AGE_S
