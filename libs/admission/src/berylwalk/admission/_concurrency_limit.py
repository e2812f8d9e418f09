"""Limit of concurrent requests to a target, adapted to its latency."""

from dataclasses import dataclass

from berylwalk.admission._limit_rules import LimitRule, LoadSample

WINDOW_S = 0.25
MIN_GAP_TOKENS = 4
# A time to first token above this many prefill times and token gaps, plus the
# allowance, means that the request was queued inside the target.
PREFILL_FACTOR = 4.0
GAPS_TO_FIRST_TOKEN = 10.0
QUEUE_ALLOWANCE_S = 0.05


@dataclass(frozen=True, slots=True)
class LatencyTargets:
    """Desired latency of the target: token gap and time to first token, in seconds."""

    token_gap_s: float = 0.1
    first_token_s: float = 2.0


class ConcurrencyLimit:
    """Concurrency limit, adapted once per window of observations.

    Parameters
    ----------
    rule : LimitRule
        Computes the next limit.
    initial, minimum, maximum : int
        Initial limit and its bounds.
    latency_targets : LatencyTargets, optional
        Desired latency.
    window_s : float
        Length of a window, in seconds.
    """

    def __init__(
        self,
        rule: LimitRule,
        *,
        initial: int,
        minimum: int = 1,
        maximum: int = 256,
        latency_targets: LatencyTargets | None = None,
        window_s: float = WINDOW_S,
    ) -> None:
        self._rule = rule
        self._minimum = minimum
        self._maximum = maximum
        self._latency_targets = latency_targets or LatencyTargets()
        self._window_s = window_s
        self._limit = float(initial)
        self._window_started_at = float("-inf")
        self._clear_window()

    @property
    def due_at(self) -> float:
        """End of the current window, in seconds; `update` may then change the limit."""
        return self._window_started_at + self._window_s

    def value(self, *, slowdown: float = 1.0) -> int:
        """Return the limit in force, at least the minimum.

        Parameters
        ----------
        slowdown : float
            Factor by which the target is slower than its baseline; divides the
            limit.
        """
        lowered = int(self._limit / max(slowdown, 1.0))
        return max(lowered, self._minimum)

    def observe_gap(self, elapsed_s: float, tokens: int) -> None:
        """Record the time between successive tokens of one response."""
        self._gap_total_s += elapsed_s
        self._gap_tokens += tokens

    def observe_first_token(
        self, elapsed_s: float, unloaded_s: float, gap_s: float
    ) -> None:
        """Record a time to first token.

        The desired time is capped by the least time that indicates queueing inside
        the target, where tiers have no effect.

        Parameters
        ----------
        elapsed_s : float
            Time since dispatch, in seconds.
        unloaded_s : float
            Expected prefill time of a lightly loaded target, in seconds.
        gap_s : float
            Current token gap, in seconds.
        """
        prefill_s = PREFILL_FACTOR * unloaded_s
        queueing_s = prefill_s + GAPS_TO_FIRST_TOKEN * gap_s + QUEUE_ALLOWANCE_S
        desired_s = min(max(self._latency_targets.first_token_s, prefill_s), queueing_s)
        self._add_first_ratio(elapsed_s / desired_s)

    def observe_response(self, elapsed_s: float) -> None:
        """Record the response time of a service that generates no tokens."""
        self._add_first_ratio(elapsed_s / self._latency_targets.first_token_s)

    def update(self, now: float, in_use: int) -> None:
        """Adapt the limit at the end of a window.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        in_use : int
            Slots in use or held.
        """
        self._saturated = self._saturated or in_use >= int(self._limit)
        if now - self._window_started_at < self._window_s:
            return
        latency_ratio = self._latency_ratio()
        if latency_ratio is not None:
            self._adapt(LoadSample(latency_ratio, self._saturated), in_use)
        self._window_started_at = now
        self._clear_window()

    def _adapt(self, sample: LoadSample, in_use: int) -> None:
        proposed = self._rule(self._limit, sample)
        # An earlier decrease has no effect until requests beyond the limit end.
        if proposed < self._limit and in_use > int(self._limit) + 1:
            return
        self._limit = min(max(proposed, self._minimum), self._maximum)

    def _add_first_ratio(self, ratio: float) -> None:
        self._first_ratios += ratio
        self._first_count += 1

    def _latency_ratio(self) -> float | None:
        ratios = []
        if self._gap_tokens >= MIN_GAP_TOKENS:
            mean_gap_s = self._gap_total_s / self._gap_tokens
            ratios.append(mean_gap_s / self._latency_targets.token_gap_s)
        if self._first_count:
            ratios.append(self._first_ratios / self._first_count)
        return max(ratios, default=None)

    def _clear_window(self) -> None:
        self._gap_total_s = 0.0
        self._gap_tokens = 0
        self._first_ratios = 0.0
        self._first_count = 0
        self._saturated = False
