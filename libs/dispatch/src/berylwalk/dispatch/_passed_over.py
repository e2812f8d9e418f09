"""Decides whether a target passes over a request while it serves others.

Load that it answers: a target that works, but has lost a request, or the connection of
its response. It sends to others, so that it never counts as silent, and the caller of
that request would wait until the deadline.

Engines admit requests in order of arrival, and prefill the admitted prompts in turns.
So a target that has begun requests that were sent later, and has prefilled as many
tokens for them, one after the other, as the request needs, has passed it over.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from berylwalk.dispatch._target_entries import Work

OVERDUE_FACTOR = 2.0
"""Multiple of the expected time to the first event after which it is overdue."""
OVERDUE_OBJECTIVE_SHARE = 0.5
"""Share of the latency objective that is added: a request that is taken over then may
still be in time."""
DEFAULT_OBJECTIVE_S = 1.0
"""Objective assumed for a route without one, in seconds."""
STALLED_PAUSE_FACTOR = 4.0
"""Multiple of the longest allowed pause after which a stream is stalled."""
MIN_LATER_STARTS = 2
"""Requests sent later that must have begun: one may have been reordered on its way."""
MAX_TRANSIT_DIFFERENCE_S = 0.05
"""How much later a request may arrive than one that was sent after it, and its first
event than that of the other, in seconds: they use different connections."""
MAX_RECENT_STARTS = 64
"""First events that are remembered of one target."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SentRequest:
    """A request as it was sent to a target.

    Parameters
    ----------
    route : str
        Name of its route.
    work : Work
        Its size.
    uncached_tokens : int
        Prompt tokens that the target is expected to prefill.
    expected_s : float
        Expected time from sending it to its first event, in seconds.
    is_stream : bool
        Whether its response begins before it is complete. The first event of any other
        response is its end.
    sent_at : float
        When it was sent, in seconds.
    """

    route: str
    work: Work
    uncached_tokens: int
    expected_s: float
    is_stream: bool
    sent_at: float

    def prefilled_share(self, other: "SentRequest") -> float:
        """Return what was prefilled for this request, as a share of another's prompt.

        A prefix that both share is cached for both or for none. Any other prefix may be
        cached no more, and then the whole prompt is prefilled.
        """
        shares_prefix = self.work.shared_prefix == other.work.shared_prefix
        needed = other.uncached_tokens if shares_prefix else other.work.prompt_tokens
        return self.uncached_tokens / needed if needed > 0 else 1.0


@dataclass(frozen=True, slots=True)
class Start:
    """The first event of a request.

    Parameters
    ----------
    request : SentRequest
        The request.
    begun_at : float
        When the event arrived, in seconds.
    """

    request: SentRequest
    begun_at: float

    @property
    def taken_s(self) -> float:
        """Time from sending the request to the event, in seconds."""
        return self.begun_at - self.request.sent_at


@dataclass(slots=True)
class RecentStarts:
    """The last first events of one target, in their order."""

    _starts: deque[Start] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_STARTS)
    )

    def __iter__(self) -> Iterator[Start]:
        return iter(self._starts)

    def note(self, request: SentRequest, now: float) -> None:
        """Record that a request has begun."""
        self._starts.append(Start(request, now))


def is_passed_over(
    request: SentRequest,
    starts: Iterable[Start],
    *,
    waited_s: float,
    objective_s: float,
    now: float,
) -> bool:
    """Return whether the target has not begun a request that it should have.

    It is overdue by its own forecast, and the target has begun requests that were sent
    later and can't have overtaken it.

    Parameters
    ----------
    request : SentRequest
        A request without a first event.
    starts : iterable of Start
        The recent first events of its target, in their order.
    waited_s : float
        Time since it was sent, in seconds, without suspensions of this router.
    objective_s : float
        Latency objective of its route in seconds; 0 for none.
    now : float
        Current time in seconds.
    """
    margin_s = OVERDUE_OBJECTIVE_SHARE * (objective_s or DEFAULT_OBJECTIVE_S)
    if waited_s <= OVERDUE_FACTOR * request.expected_s + margin_s:
        return False
    recent = list(starts)
    if not request.is_stream:
        # Complete responses differ by what they do. Those of the route are comparable.
        recent = [each for each in recent if _is_comparable(each.request, request)]
        longest_s = max((each.taken_s for each in recent), default=0.0)
        if waited_s <= OVERDUE_FACTOR * longest_s + margin_s:
            return False
    later = [
        each
        for each in recent
        if each.request.sent_at - request.sent_at > MAX_TRANSIT_DIFFERENCE_S
        and now - each.begun_at > MAX_TRANSIT_DIFFERENCE_S
    ]
    if len(later) < MIN_LATER_STARTS:
        return False
    return _share_prefilled_in_turn(later, request) >= 1.0


def is_stalled(
    *, quiet_since: float, sending_since: float, heard_at: float, longest_pause_s: float
) -> bool:
    """Return whether a stream that has begun pauses while its target sends to others.

    Parameters
    ----------
    quiet_since : float
        Time of the last byte of the stream, in seconds.
    sending_since : float
        Time since which the target was never silent, in seconds.
    heard_at : float
        Time of the last byte of the target to any request, in seconds.
    longest_pause_s : float
        Longest allowed pause of the stream in seconds; 0 for no bound: then it is never
        stalled.
    """
    if longest_pause_s <= 0:
        return False
    passed_over_s = heard_at - max(quiet_since, sending_since)
    return passed_over_s > STALLED_PAUSE_FACTOR * longest_pause_s


def _is_comparable(other: SentRequest, request: SentRequest) -> bool:
    """Return whether a complete response should take as long as another."""
    is_as_long = other.work.output_tokens >= request.work.output_tokens
    return other.route == request.route and not other.is_stream and is_as_long


def _share_prefilled_in_turn(later: Iterable[Start], request: SentRequest) -> float:
    """Return how much was prefilled for later requests one after the other.

    In turns, the request gets as much time as each of them. Those that overlap get
    theirs at once, so that only one of these counts.

    Returns
    -------
    float
        Share of the prompt of the request.
    """
    total, until = 0.0, float("-inf")
    for start in later:
        share = start.request.prefilled_share(request)
        if start.request.sent_at >= until:
            total, until = total + share, start.begun_at
        elif share > total:
            total, until = share, start.begun_at
    return total
