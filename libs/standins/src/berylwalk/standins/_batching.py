"""Continuous batching of a model engine.

Does no I/O: the caller runs the steps and sleeps for their durations.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from berylwalk.standins._prefix_cache import (
    BLOCK_TOKENS,
    CHARACTERS_PER_TOKEN,
    CacheUse,
    PrefixCache,
)

MAX_PREFILL_RECORDS = 4_000


@dataclass(frozen=True, slots=True)
class Speed:
    """Speed of an engine.

    Parameters
    ----------
    step_s : float
        Duration of a step with an empty batch, in seconds.
    batch_slope : float
        Increase of the step duration per running sequence, as a ratio.
    prefill_tokens_per_s : float
        Prefill rate.
    """

    step_s: float = 0.005
    batch_slope: float = 0.02
    prefill_tokens_per_s: float = 20_000.0


@dataclass(slots=True)
class PrefillRecord:
    """Changes of the prefix cache by one prefill.

    Parameters
    ----------
    at : float
        Monotonic time, in seconds; comparable between processes of a machine.
    added, evicted : list of str
        Hexadecimal hashes of the blocks that were added and evicted.
    given_up : bool
        Whether the sequence was cancelled later.
    """

    at: float
    added: list[str]
    evicted: list[str]
    given_up: bool = False


@dataclass(slots=True, eq=False)
class Sequence:
    """A prompt and its output in progress.

    Parameters
    ----------
    prompt : str
        The prompt.
    max_tokens : int
        Length of the output, in tokens.
    on_progress : callable
        Called when ``tokens_done`` increases, and when the sequence is cancelled.
    is_disconnected : callable
        Returns whether the client has disconnected.
    """

    prompt: str
    max_tokens: int
    on_progress: Callable[[], None] = lambda: None
    is_disconnected: Callable[[], bool] = lambda: False
    tokens_done: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0
    cancelled: bool = False
    record: PrefillRecord | None = None

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt, in tokens, at least 1."""
        return max(1, len(self.prompt) // CHARACTERS_PER_TOKEN)

    @property
    def finished(self) -> bool:
        """Whether the output is complete."""
        return self.tokens_done >= self.max_tokens


@dataclass(slots=True)
class EngineTotals:
    """Totals of an engine since its start.

    Parameters
    ----------
    prefill_tokens, wasted_prefill_tokens, cached_prefill_tokens : int
        Prompt tokens that were computed, computed for sequences that were cancelled,
        and found in the prefix cache.
    output_tokens : int
        Tokens that were decoded.
    finished, cancelled : int
        Number of sequences.
    max_running : int
        Maximum number of concurrently running sequences.
    steps : int
        Number of steps.
    busy_slot_s : float
        Sum over the steps of running sequences times step duration, in seconds.
    """

    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0
    cached_prefill_tokens: int = 0
    output_tokens: int = 0
    finished: int = 0
    cancelled: int = 0
    max_running: int = 0
    steps: int = 0
    busy_slot_s: float = 0.0


class BatchingEngine:
    """Engine that decodes one token per step and running sequence, in FIFO order.

    Parameters
    ----------
    speed : Speed
        Speed of the engine.
    max_batch : int
        Maximum number of concurrently running sequences.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    """

    def __init__(self, speed: Speed, *, max_batch: int, cache_blocks: int) -> None:
        self.speed = speed
        self.totals = EngineTotals()
        self.waiting: deque[Sequence] = deque()
        self.running: list[Sequence] = []
        self.cache = PrefixCache(cache_blocks)
        self.prefills: deque[PrefillRecord] = deque(maxlen=MAX_PREFILL_RECORDS)
        self._max_batch = max_batch
        self._cache_blocks = cache_blocks

    @property
    def idle(self) -> bool:
        """Whether no sequence is running or waiting."""
        return not self.running and not self.waiting

    @property
    def cache_usage(self) -> float:
        """Share of the prefix cache in use, from 0 to 1."""
        return len(self.cache) / max(1, self._cache_blocks)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self.waiting.append(sequence)

    def begin_step(self) -> float:
        """Admit waiting sequences; return the duration of the step in seconds."""
        self._cancel_disconnected()
        prefill_tokens = 0
        while self.waiting and len(self.running) < self._max_batch:
            sequence = self.waiting.popleft()
            self._prefill(sequence)
            prefill_tokens += sequence.prefill_tokens
            self.running.append(sequence)
        running = len(self.running)
        self.totals.max_running = max(self.totals.max_running, running)
        decode_s = self.speed.step_s * (1 + self.speed.batch_slope * running)
        step_s = decode_s + prefill_tokens / self.speed.prefill_tokens_per_s
        self.totals.busy_slot_s += running * step_s
        return step_s

    def end_step(self) -> None:
        """Decode one token of each running sequence."""
        self.totals.steps += 1
        self.totals.output_tokens += len(self.running)
        for sequence in self.running:
            sequence.tokens_done += 1
            sequence.on_progress()
        finished = sum(sequence.finished for sequence in self.running)
        if finished:
            self.totals.finished += finished
            self.running = [each for each in self.running if not each.finished]

    def cancel(self, sequence: Sequence) -> None:
        """Cancel a sequence; do nothing if it has finished."""
        if sequence in self.running:
            self.running.remove(sequence)
            self._count_cancelled(sequence)
        elif sequence in self.waiting:
            self.waiting.remove(sequence)
            self._count_cancelled(sequence)

    def _prefill(self, sequence: Sequence) -> None:
        use = self.cache.use(sequence.prompt)
        self._record_prefill(sequence, use)
        cached = use.hits * BLOCK_TOKENS
        sequence.cached_tokens = min(cached, sequence.prompt_tokens - 1)
        sequence.prefill_tokens = sequence.prompt_tokens - sequence.cached_tokens
        self.totals.prefill_tokens += sequence.prefill_tokens
        self.totals.cached_prefill_tokens += sequence.cached_tokens

    def _record_prefill(self, sequence: Sequence, use: CacheUse) -> None:
        if not use.added and not use.evicted:
            return
        added = [each.hex() for each in use.added]
        evicted = [each.hex() for each in use.evicted]
        sequence.record = PrefillRecord(monotonic(), added, evicted)
        self.prefills.append(sequence.record)

    def _cancel_disconnected(self) -> None:
        disconnected = [
            each for each in (*self.running, *self.waiting) if each.is_disconnected()
        ]
        for sequence in disconnected:
            self.cancel(sequence)

    def _count_cancelled(self, sequence: Sequence) -> None:
        sequence.cancelled = True
        sequence.on_progress()
        self.totals.cancelled += 1
        self.totals.wasted_prefill_tokens += sequence.prefill_tokens
        if sequence.record is not None:
            sequence.record.given_up = True
