"""Simulated model engine with continuous batching.

Each step prefills a chunk of the pending prompts and decodes one token of each running
sequence, so that long prompts delay the other streams. Requests beyond the slots are
queued in order of arrival. Prefixes are not cached.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from berylwalk.dispatch import TargetReport
from berylwalk.replay._scenario import EngineKind
from berylwalk.replay._virtual_time import VirtualTime


@dataclass(slots=True, eq=False)
class Sequence:
    """A prompt and its output.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Number of tokens of the prompt and of the output.
    on_events : callable
        Called with the number of new stream events.
    on_end : callable
        Called with True when the output is complete, and with False when the engine
        crashes.
    """

    prompt_tokens: int
    output_tokens: int
    on_events: Callable[[int], None]
    on_end: Callable[[bool], None]
    prefilled_tokens: int = 0
    decoded_tokens: int = 0
    dropped_tokens: int = 0
    cancelled: bool = False

    @property
    def is_prefilled(self) -> bool:
        """Whether all tokens to prefill are prefilled."""
        return self.prefilled_tokens >= self.read_tokens

    @property
    def read_tokens(self) -> int:
        """Tokens to prefill: the prompt, and decoded ones that were dropped."""
        return self.prompt_tokens + self.dropped_tokens

    @property
    def held_tokens(self) -> int:
        """Tokens in the KV cache."""
        return self.prefilled_tokens + self.decoded_tokens - self.dropped_tokens

    def preempt(self) -> None:
        """Drop all tokens from the KV cache; they are prefilled again."""
        self.prefilled_tokens, self.dropped_tokens = 0, self.decoded_tokens


class Engine:
    """A simulated engine.

    Parameters
    ----------
    kind : EngineKind
        Capacity and step times.
    slowness : float
        Factor by which the step times are multiplied.
    time : VirtualTime
        Clock and scheduler of the simulation.

    Attributes
    ----------
    is_up : bool
        Whether it accepts sequences.
    overflows : int
        Times that the capacity of the KV cache was exceeded.
    """

    def __init__(self, kind: EngineKind, slowness: float, time: VirtualTime) -> None:
        self._kind = kind
        self._slowness = slowness
        self._time = time
        self._waiting: deque[Sequence] = deque()
        self._running: list[Sequence] = []
        self._is_stepping = False
        self.is_up = True
        self.overflows = 0

    def report(self) -> TargetReport | None:
        """Return what a monitor reports now; None while the engine is down."""
        if not self.is_up:
            return None
        unread = (
            max(0, each.read_tokens - each.prefilled_tokens)
            for each in (*self._running, *self._waiting)
            if not each.cancelled
        )
        return TargetReport(
            observed_at=self._time.now,
            running=len(self._running),
            waiting=len(self._waiting),
            unread_tokens=sum(unread),
        )

    def submit(self, sequence: Sequence) -> bool:
        """Queue a sequence; return False if the engine is down or its queue is full."""
        if not self.is_up or len(self._waiting) >= self._kind.queue:
            return False
        self._waiting.append(sequence)
        if not self._is_stepping:
            self._step()
        return True

    def cancel(self, sequence: Sequence) -> None:
        """Remove a sequence at the next step."""
        sequence.cancelled = True

    def crash(self) -> None:
        """Stop, and end all running and queued sequences as failed."""
        self.is_up = False
        interrupted = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for sequence in interrupted:
            if not sequence.cancelled:
                sequence.on_end(False)

    def recover(self) -> None:
        """Accept sequences again after a crash."""
        self.is_up = True

    def _step(self) -> None:
        self._running = [each for each in self._running if not each.cancelled]
        while self._waiting and len(self._running) < self._kind.slots:
            if not self._has_room_for(self._waiting[0]):
                break
            sequence = self._waiting.popleft()
            if not sequence.cancelled:
                self._running.append(sequence)
        self._free_memory()
        self._is_stepping = bool(self._running)
        if not self._is_stepping:
            return
        decoding = [each for each in self._running if each.is_prefilled]
        prefill_s = self._prefill_chunk()
        step_s = self._slowness * (self._kind.step_s + prefill_s)
        self._time.call_later(step_s, lambda: self._end_step(decoding))

    def _has_room_for(self, sequence: Sequence) -> bool:
        """Return whether the prompt fits; an engine that crashes does not check it."""
        capacity = self._kind.memory_tokens
        if not capacity or self._kind.crash_s or not self._running:
            return True
        held = sum(max(each.held_tokens, each.read_tokens) for each in self._running)
        return held + sequence.read_tokens <= capacity

    def _free_memory(self) -> None:
        """Preempt the newest requests, or crash, if the KV cache is exceeded."""
        capacity = self._kind.memory_tokens
        while capacity and sum(each.held_tokens for each in self._running) > capacity:
            self.overflows += 1
            if self._kind.crash_s:
                self.crash()
                self._time.call_later(self._kind.crash_s, self.recover)
                return
            if len(self._running) == 1:
                return
            newest = self._running.pop()
            newest.preempt()
            self._waiting.appendleft(newest)

    def _prefill_chunk(self) -> float:
        """Prefill one chunk, in order of arrival; return its duration in seconds."""
        remaining_tokens = self._kind.chunk_tokens
        prefill_s = 0.0
        for sequence in self._running:
            if remaining_tokens <= 0:
                break
            tokens = min(
                remaining_tokens, sequence.read_tokens - sequence.prefilled_tokens
            )
            if tokens <= 0:
                continue
            before = sequence.prefilled_tokens
            pairs = tokens * (2 * before + tokens)
            prefill_s += tokens * self._kind.token_s + pairs * self._kind.pair_s
            sequence.prefilled_tokens += tokens
            remaining_tokens -= tokens
        return prefill_s

    def _end_step(self, decoding: list[Sequence]) -> None:
        for sequence in decoding:
            if sequence in self._running and not sequence.cancelled:
                self._decode_token(sequence)
        self._step()

    def _decode_token(self, sequence: Sequence) -> None:
        event_tokens = self._kind.event_tokens
        sequence.decoded_tokens += 1
        is_complete = sequence.decoded_tokens >= sequence.output_tokens
        if (
            sequence.decoded_tokens % event_tokens == 1
            or is_complete
            or event_tokens == 1
        ):
            sequence.on_events(1)
        if is_complete:
            self._running.remove(sequence)
            sequence.on_end(True)
