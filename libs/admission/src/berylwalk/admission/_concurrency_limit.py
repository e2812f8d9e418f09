"""Limit of concurrent calls to a target, adapted to its observed speed."""

from dataclasses import dataclass

from berylwalk.admission._limit_rules import LimitRule, LoadSample

WINDOW_S = 0.25
MIN_GAP_TOKENS = 4
# A first token later than this many times its unloaded prefill time, plus so
# many token gaps and a constant, has waited inside the target.
PREFILL_FACTOR = 4.0
GAPS_TO_FIRST_TOKEN = 10.0
QUEUE_ALLOWANCE_S = 0.05


@dataclass(frozen=True, slots=True)
class LatencyTargets:
    """Wanted speed of the target, in seconds."""

    token_gap_s: float = 0.1
    first_token_s: float = 2.0


class ConcurrencyLimit:
    """The limit and the window of observations that will adapt it.

    Parameters
    ----------
    rule : LimitRule
        How the limit follows the samples.
    initial, minimum, maximum : int
        Limit at start and its bounds.
    targets : SlotTargets
        Wanted speed.
    window_s : float
        Time between two changes, in seconds.
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
        """When `update` may change the limit next, in seconds."""
        return self._window_started_at + self._window_s

    def value(self, *, slowdown: float = 1.0) -> int:
        """Return the limit in force.

        Parameters
        ----------
        slowness : float
            How many times slower than its baseline the target is; divides the
            limit.
        """
        lowered = int(self._limit / max(slowdown, 1.0))
        return max(lowered, self._minimum)

    def observe_gap(self, elapsed_s: float, tokens: int) -> None:
        """Record the time that a number of tokens of one answer took."""
        self._gap_total_s += elapsed_s
        self._gap_tokens += tokens

    def observe_first_token(
        self, elapsed_s: float, unloaded_s: float, gap_s: float
    ) -> None:
        """Record the time to a first token.

        Work that waits inside the target is out of reach of the tiers, so that
        the limit follows the least of the common target and the time that
        shows such a wait.

        Parameters
        ----------
        elapsed_s : float
            Time since the dispatch, in seconds.
        unloaded_s : float
            Expected prefill time of a target with little load, in seconds.
        gap_s : float
            Present token gap, in seconds.
        """
        prefill_s = PREFILL_FACTOR * unloaded_s
        waited_s = prefill_s + GAPS_TO_FIRST_TOKEN * gap_s + QUEUE_ALLOWANCE_S
        wanted_s = min(max(self._latency_targets.first_token_s, prefill_s), waited_s)
        self._add_first_ratio(elapsed_s / wanted_s)

    def observe_response(self, elapsed_s: float) -> None:
        """Record the time to the answer of a plain service."""
        self._add_first_ratio(elapsed_s / self._latency_targets.first_token_s)

    def update(self, now: float, in_use: int) -> None:
        """Adapt the limit at the end of a window.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        in_use : int
            Slots in use or held at this time.
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
        wanted = self._rule(self._limit, sample)
        # What runs beyond the limit must end before a lower limit can show.
        if wanted < self._limit and in_use > int(self._limit) + 1:
            return
        self._limit = min(max(wanted, self._minimum), self._maximum)

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
