"""Estimates of service and queueing times from observed speed."""

from collections import OrderedDict
from dataclasses import dataclass

SMOOTHING = 0.2
MIN_PROMPT_TOKENS = 16
MIN_ELAPSED_S = 1e-4
INITIAL_LENGTH_RATIO = 0.5
MAX_LENGTH_RATIOS = 512


@dataclass(frozen=True, slots=True)
class Work:
    """Amount of work of one or many requests, in tokens."""

    prompt_tokens: float = 0.0
    output_tokens: float = 0.0


class SpeedModel:
    """Prefill rate, token gap by batch size, and mean response time.

    Parameters
    ----------
    prefill_tokens_per_s, token_gap_s : float
        Values used before the first observation.
    """

    def __init__(self, *, prefill_tokens_per_s: float, token_gap_s: float) -> None:
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._unloaded_tokens_per_s = prefill_tokens_per_s
        self._nominal_gap_s = token_gap_s
        # Moving averages; buckets are powers of two of the batch size.
        self._gap_s_by_bucket: dict[int, float] = {}
        self._mean_response_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Observed prefill rate, in tokens per second."""
        return self._prefill_tokens_per_s

    def observe_first_token(
        self, prompt_tokens: int, elapsed_s: float, *, unloaded: bool = False
    ) -> None:
        """Record the time from dispatch to the first token.

        Parameters
        ----------
        prompt_tokens : int
            Tokens of the prompt.
        elapsed_s : float
            The time, in seconds.
        unloaded : bool
            Whether the target was lightly loaded.
        """
        if prompt_tokens < MIN_PROMPT_TOKENS:
            return
        rate = prompt_tokens / max(elapsed_s, MIN_ELAPSED_S)
        self._prefill_tokens_per_s = _blend(self._prefill_tokens_per_s, rate)
        if unloaded:
            self._unloaded_tokens_per_s = _blend(self._unloaded_tokens_per_s, rate)

    def observe_gap(self, batch: int, gap_s: float) -> None:
        """Record the time between two tokens of one response at a batch size."""
        bucket = batch.bit_length()
        known = self._gap_s_by_bucket.get(bucket)
        self._gap_s_by_bucket[bucket] = gap_s if known is None else _blend(known, gap_s)

    def observe_response(self, elapsed_s: float) -> None:
        """Record the time for which a complete response held its slot."""
        known = self._mean_response_s
        self._mean_response_s = _blend(known, elapsed_s) if known else elapsed_s

    def token_gap_s(self, batch: int) -> float:
        """Return the expected time between two tokens of one response, in seconds."""
        bucket = batch.bit_length()
        known = self._gap_s_by_bucket
        if bucket in known:
            return known[bucket]
        if not known:
            return self._nominal_gap_s
        nearest = min(known, key=lambda other: (abs(other - bucket), -other))
        return known[nearest]

    def prefill_s(self, prompt_tokens: float) -> float:
        """Return the expected time to the first token, in seconds."""
        return prompt_tokens / self._prefill_tokens_per_s

    def unloaded_prefill_s(self, prompt_tokens: float) -> float:
        """Return the expected prefill time of a lightly loaded target, in seconds."""
        return prompt_tokens / self._unloaded_tokens_per_s

    def service_s(self, work: Work, batch: int) -> float:
        """Return the expected time for which work holds a slot, in seconds."""
        decode_s = work.output_tokens * self.token_gap_s(batch)
        return self.prefill_s(work.prompt_tokens) + decode_s

    def wait_s(self, ahead: Work, limit: int) -> float:
        """Return the expected wait for a slot when all are taken, in seconds.

        Parameters
        ----------
        ahead : Work
            Work that takes a slot earlier.
        limit : int
            Concurrency limit of the target.
        """
        ahead_s = self.service_s(ahead, limit)
        return (ahead_s + self._mean_response_s) / max(limit, 1)


class OutputLengthModel:
    """Ratio of generated to requested output tokens.

    Callers request upper bounds; estimates from those would refuse requests that
    can meet their deadline.

    Parameters
    ----------
    initial : float
        Ratio assumed before the first observation.
    """

    def __init__(self, *, initial: float = INITIAL_LENGTH_RATIO) -> None:
        self._initial = initial
        self._ratio_by_account: OrderedDict[tuple[str, int], float] = OrderedDict()

    def expected_tokens(
        self, client_account: str, rank: int, requested_tokens: int
    ) -> float:
        """Return the expected output tokens of a request, at least 1."""
        ratio = self._ratio_by_account.get((client_account, rank), self._initial)
        return max(requested_tokens * ratio, 1.0)

    def observe(
        self, client_account: str, rank: int, requested_tokens: int, tokens: int
    ) -> None:
        """Record the length of a complete response."""
        key = (client_account, rank)
        ratio = min(tokens / max(requested_tokens, 1), 1.0)
        known = self._ratio_by_account.pop(key, None)
        self._ratio_by_account[key] = ratio if known is None else _blend(known, ratio)
        if len(self._ratio_by_account) > MAX_LENGTH_RATIOS:
            self._ratio_by_account.popitem(last=False)


def _blend(known: float, observed: float) -> float:
    return known + SMOOTHING * (observed - known)
