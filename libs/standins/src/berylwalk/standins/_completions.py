"""OpenAI-compatible requests and responses of the engine stand-in."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from hashlib import md5
from typing import Any
from uuid import uuid4

from msgspec import Struct, convert
from msgspec.json import encode

DEFAULT_MAX_TOKENS = 16
DIGEST_PREFIX_LENGTH = 6
CREATED_AT = 0
TEXT_PLACEHOLDER = "@text-of-the-event@"
DONE = b"data: [DONE]\n\n"


class CompletionKind(StrEnum):
    """API of a completion request."""

    CHAT = "chat.completion"
    TEXT = "text_completion"


class ChatMessage(Struct):
    """A message of a chat."""

    role: str = "user"
    content: str | list[dict[str, Any]] | None = None

    def text(self) -> str:
        """Return the concatenated text of the message."""
        if isinstance(self.content, list):
            return "".join(str(part.get("text", "")) for part in self.content)
        return self.content or ""


class StreamOptions(Struct):
    """Options of a stream."""

    include_usage: bool = False


class CompletionRequest(Struct):
    """Body of a chat or text completion request."""

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | list[str] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    user: str | None = None
    metadata: dict[str, Any] | None = None

    def prompt_text(self) -> str:
        """Return the whole prompt."""
        if self.messages is not None:
            lines = (f"{each.role}: {each.text()}\n" for each in self.messages)
            return "".join(lines)
        if isinstance(self.prompt, list):
            return "".join(self.prompt)
        return self.prompt or ""

    def output_tokens(self) -> int:
        """Return the number of output tokens, at least 1."""
        limit = self.max_completion_tokens or self.max_tokens
        return max(1, limit or DEFAULT_MAX_TOKENS)


def parse_completion(body: Any) -> CompletionRequest:
    """Validate the body of a request."""
    return convert(body, CompletionRequest)


def response_digest(request: CompletionRequest) -> str:
    """Return the MD5 digest of prompt, user and metadata."""
    identity = [request.prompt_text(), request.user, request.metadata]
    return md5(encode(identity, order="sorted"), usedforsecurity=False).hexdigest()


def response_tokens(digest: str, start: int, stop: int) -> Iterator[str]:
    """Yield the tokens of a response from ``start`` up to ``stop``.

    The first token is the digest. Each later token has its index and a prefix of the
    digest, so that missing, duplicate and foreign tokens are detected.
    """
    for number in range(start, stop):
        yield f" w{number}-{digest[:DIGEST_PREFIX_LENGTH]}" if number else digest


def expected_text(body: dict[str, Any]) -> str:
    """Return the text with which the engine responds to the body of a request."""
    request = parse_completion(body)
    tokens = response_tokens(response_digest(request), 0, request.output_tokens())
    return "".join(tokens)


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a response."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int

    def to_json(self) -> dict[str, Any]:
        """Return the counts in the format of the API."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


class ResponseFormat:
    """Encoder of the response to one request.

    Parameters
    ----------
    kind : CompletionKind
        API of the request.
    request : CompletionRequest
        Body of the request.
    """

    def __init__(self, kind: CompletionKind, request: CompletionRequest) -> None:
        self._kind = kind
        self._model = request.model
        self._response_id = f"cmpl-{uuid4().hex}"
        # Events differ only in their text, which needs no JSON escapes. Encoding
        # them once saves most of the CPU time.
        event = self._encode_event(TEXT_PLACEHOLDER, finish_reason=None)
        self._before_text, self._after_text = event.split(TEXT_PLACEHOLDER.encode())

    def complete(self, text: str, usage: Usage) -> dict[str, Any]:
        """Return the response for a request without streaming."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self._kind is CompletionKind.CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {**self._envelope(), "choices": [choice], "usage": usage.to_json()}

    def event(self, text: str, *, last: bool) -> bytes:
        """Encode a stream event with a part of the text."""
        if last:
            return self._encode_event(text, finish_reason="length")
        return self._before_text + text.encode() + self._after_text

    def usage_event(self, usage: Usage) -> bytes:
        """Encode a stream event with the token counts."""
        envelope = self._envelope(stream=True)
        return _event({**envelope, "choices": [], "usage": usage.to_json()})

    def _encode_event(self, text: str, *, finish_reason: str | None) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._kind is CompletionKind.CHAT:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return _event({**self._envelope(stream=True), "choices": [choice]})

    def _envelope(self, *, stream: bool = False) -> dict[str, Any]:
        name = str(self._kind)
        if stream and self._kind is CompletionKind.CHAT:
            name += ".chunk"
        return {
            "id": self._response_id,
            "object": name,
            "created": CREATED_AT,
            "model": self._model,
        }


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + encode(value) + b"\n\n"
