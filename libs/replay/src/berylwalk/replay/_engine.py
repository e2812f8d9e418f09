"""An engine that batches continuously, in virtual time.

Each step reads a chunk of the prompts that wait and writes one token of each answer,
so that long prompts hold up the streams beside them. Requests beyond the slots wait in
order of arrival. The memory for prompts has no bound, and nothing is cached.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from berylwalk.replay._scenario import EngineKind
from berylwalk.replay._virtual_time import VirtualTime


@dataclass(slots=True, eq=False)
class Sequence:
    """One prompt and its answer.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Sizes.
    on_events : callable
        Called with a number of new events.
    on_end : callable
        Called at the end; with False if the engine crashed.
    """

    prompt_tokens: int
    output_tokens: int
    on_events: Callable[[int], None]
    on_end: Callable[[bool], None]
    read_tokens: int = 0
    written_tokens: int = 0
    cancelled: bool = False

    @property
    def is_read(self) -> bool:
        """Whether the prompt is read."""
        return self.read_tokens >= self.prompt_tokens


class Engine:
    """One engine.

    Parameters
    ----------
    kind : EngineKind
        Its make.
    slowness : float
        Its steps take so many times those of its make.
    time : VirtualTime
        When things happen.
    """

    def __init__(self, kind: EngineKind, slowness: float, time: VirtualTime) -> None:
        self._kind = kind
        self._slowness = slowness
        self._time = time
        self._waiting: deque[Sequence] = deque()
        self._running: list[Sequence] = []
        self._is_stepping = False
        self.is_up = True

    def submit(self, sequence: Sequence) -> bool:
        """Take a sequence; False if the engine is down or its queue is full."""
        if not self.is_up or len(self._waiting) >= self._kind.queue:
            return False
        self._waiting.append(sequence)
        if not self._is_stepping:
            self._step()
        return True

    def cancel(self, sequence: Sequence) -> None:
        """Give a sequence up at the next step."""
        sequence.cancelled = True

    def crash(self) -> None:
        """Break off all that runs or waits."""
        self.is_up = False
        broken = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for sequence in broken:
            if not sequence.cancelled:
                sequence.on_end(False)

    def recover(self) -> None:
        """Take sequences again."""
        self.is_up = True

    def _step(self) -> None:
        self._running = [each for each in self._running if not each.cancelled]
        while self._waiting and len(self._running) < self._kind.slots:
            sequence = self._waiting.popleft()
            if not sequence.cancelled:
                self._running.append(sequence)
        self._is_stepping = bool(self._running)
        if not self._is_stepping:
            return
        writing = [each for each in self._running if each.is_read]
        reading_s = self._read_chunk()
        step_s = self._slowness * (self._kind.step_s + reading_s)
        self._time.call_later(step_s, lambda: self._end_step(writing))

    def _read_chunk(self) -> float:
        """Read a chunk of the prompts in order; returns the time for it."""
        left = self._kind.chunk_tokens
        taken_s = 0.0
        for sequence in self._running:
            if left <= 0:
                break
            tokens = min(left, sequence.prompt_tokens - sequence.read_tokens)
            if tokens <= 0:
                continue
            before = sequence.read_tokens
            pairs = tokens * (2 * before + tokens)
            taken_s += tokens * self._kind.token_s + pairs * self._kind.pair_s
            sequence.read_tokens += tokens
            left -= tokens
        return taken_s

    def _end_step(self, writing: list[Sequence]) -> None:
        for sequence in writing:
            if sequence in self._running and not sequence.cancelled:
                self._write(sequence)
        self._step()

    def _write(self, sequence: Sequence) -> None:
        stride = self._kind.event_tokens
        sequence.written_tokens += 1
        is_complete = sequence.written_tokens >= sequence.output_tokens
        if sequence.written_tokens % stride == 1 or is_complete or stride == 1:
            sequence.on_events(1)
        if is_complete:
            self._running.remove(sequence)
            sequence.on_end(True)
