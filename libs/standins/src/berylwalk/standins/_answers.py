"""Sending an answer while its sequence grows."""

from collections.abc import Callable

from anyio import Event

from berylwalk.standins._batching import Sequence
from berylwalk.standins._completions import (
    DONE,
    AnswerFormat,
    CompletionKind,
    CompletionRequest,
    Usage,
    answer_digest,
    answer_tokens,
)
from berylwalk.standins._serving import Exchange

WHOLE_INTERVAL = 8


class Answer:
    """One answer, whole or as a stream of events.

    Parameters
    ----------
    kind : CompletionKind
        Which call was made.
    exchange : Exchange
        Where to send it.
    request : CompletionRequest
        Body of the call.
    stream_interval : int
        Tokens that a stream gathers for one event.
    break_after : callable
        Returns the number of tokens to drop the connection after; 0 for none.

    Attributes
    ----------
    sequence : Sequence
        What the engine is to run.
    """

    def __init__(
        self,
        kind: CompletionKind,
        exchange: Exchange,
        request: CompletionRequest,
        *,
        stream_interval: int,
        break_after: Callable[[], int],
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._stream_interval = stream_interval
        self._break_after = break_after
        self._digest = answer_digest(request)
        self._format = AnswerFormat(kind, request)
        self._progress = Event()
        self._wake_at = 1
        self.sequence = Sequence(
            request.prompt_text(),
            request.output_tokens(),
            on_progress=self._on_progress,
            is_gone=exchange.is_disconnected,
        )

    async def send(self) -> None:
        """Send the answer; returns early when the client has left."""
        if self._request.stream:
            await self._send_stream()
        else:
            await self._send_whole()

    async def _send_stream(self) -> None:
        exchange = self._exchange
        sent = 0
        while not self.sequence.finished:
            await self._wait_for_tokens(sent + self._stream_interval)
            if await self._broken_off():
                return
            if sent == 0:
                await exchange.start(200, "text/event-stream")
            done = self.sequence.tokens_done
            text = "".join(answer_tokens(self._digest, sent, done))
            await exchange.write(
                self._format.event(text, last=done == self.sequence.max_tokens)
            )
            sent = done
        options = self._request.stream_options
        if options is not None and options.include_usage:
            await exchange.write(self._format.usage_event(self._usage()))
        await exchange.write(DONE, more=False)

    async def _send_whole(self) -> None:
        while not self.sequence.finished:
            await self._wait_for_tokens(self.sequence.tokens_done + WHOLE_INTERVAL)
            if await self._broken_off():
                return
        tokens = answer_tokens(self._digest, 0, self.sequence.max_tokens)
        answer = self._format.whole("".join(tokens), self._usage())
        await self._exchange.respond_json(200, answer)

    async def _wait_for_tokens(self, count: int) -> None:
        sequence = self.sequence
        self._wake_at = min(count, sequence.max_tokens)
        while sequence.tokens_done < self._wake_at and not sequence.cancelled:
            self._progress = Event()
            await self._progress.wait()

    async def _broken_off(self) -> bool:
        limit = self._break_after()
        if limit and self.sequence.tokens_done >= limit:
            await self._exchange.abort()
        return self.sequence.cancelled or self._exchange.is_disconnected()

    def _on_progress(self) -> None:
        if self.sequence.tokens_done >= self._wake_at or self.sequence.cancelled:
            self._progress.set()

    def _usage(self) -> Usage:
        sequence = self.sequence
        return Usage(
            sequence.prompt_tokens, sequence.tokens_done, sequence.cached_tokens
        )
