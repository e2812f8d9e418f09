"""Detection of a target that is slower than its own baseline."""

from dataclasses import dataclass

RECENT_WEIGHT = 0.1
BASELINE_WEIGHT = 0.02
# Low, so that the baseline does not adapt to a persistent slowdown.
SLOW_BASELINE_WEIGHT = 0.0002
SLOW_RATIO = 2.0
RECOVERED_RATIO = 1.4
MIN_SAMPLES = 20


@dataclass(slots=True)
class _GapStats:
    recent_s: float
    baseline_s: float
    samples: int = 1

    @property
    def ratio(self) -> float:
        return self.recent_s / max(self.baseline_s, 1e-9)


class StragglerDetector:
    """Compare recent token gaps with their baseline at the same batch size.

    Parameters
    ----------
    slow_ratio, recovered_ratio : float
        Ratio of the recent gap to the baseline above which the target counts as
        slow, and below which it has recovered.
    """

    def __init__(
        self,
        *,
        slow_ratio: float = SLOW_RATIO,
        recovered_ratio: float = RECOVERED_RATIO,
    ) -> None:
        self._slow_ratio = slow_ratio
        self._recovered_ratio = recovered_ratio
        self._gaps_by_bucket: dict[int, _GapStats] = {}
        self._slow = False
        self._ratio = 1.0

    @property
    def slow(self) -> bool:
        """Whether the target is slower than its own baseline."""
        return self._slow

    @property
    def slowdown(self) -> float:
        """Factor by which the target is slower than its baseline; 1 unless slow."""
        return max(self._ratio, 1.0) if self._slow else 1.0

    def observe(self, batch: int, gap_s: float) -> None:
        """Record the time between two tokens of one response at a batch size."""
        bucket = batch.bit_length()
        gaps = self._gaps_by_bucket.get(bucket)
        if gaps is None:
            self._gaps_by_bucket[bucket] = _GapStats(gap_s, gap_s)
            return
        gaps.samples += 1
        gaps.recent_s += RECENT_WEIGHT * (gap_s - gaps.recent_s)
        gaps.baseline_s += self._baseline_weight(gaps) * (gap_s - gaps.baseline_s)
        self._update_state(gaps)

    def _baseline_weight(self, gaps: _GapStats) -> float:
        if gaps.samples <= MIN_SAMPLES:
            return 1.0 / gaps.samples
        if self._slow or gaps.ratio > self._recovered_ratio:
            return SLOW_BASELINE_WEIGHT
        return BASELINE_WEIGHT

    def _update_state(self, gaps: _GapStats) -> None:
        if gaps.samples <= MIN_SAMPLES:
            return
        self._ratio = gaps.ratio
        if gaps.ratio > self._slow_ratio:
            self._slow = True
        elif gaps.ratio < self._recovered_ratio:
            self._slow = False
