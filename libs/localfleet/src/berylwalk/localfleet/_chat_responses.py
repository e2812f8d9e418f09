"""Parsing of chat responses in JSON and as streams of events."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE = b"[DONE]"


class _Message(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    message: _Message = msgspec.field(default_factory=_Message)
    delta: _Message = msgspec.field(default_factory=_Message)


class _Error(msgspec.Struct):
    code: str = ""


class _Document(msgspec.Struct):
    choices: list[_Choice] = []
    error: _Error | None = None


_decode = msgspec.json.Decoder(_Document).decode


@dataclass(frozen=True, slots=True)
class ChatText:
    """Content of a chat response.

    Parameters
    ----------
    text : str
        Text that was received.
    done : bool
        Whether the response was received up to its end marker.
    error_code : str
        ``error.code`` of an error event, or empty.
    """

    text: str = ""
    done: bool = False
    error_code: str = ""


def error_code(body: bytes) -> str:
    """Return ``error.code`` of an error response, or an empty string."""
    try:
        error = _decode(body).error
    except msgspec.MsgspecError:
        return ""
    return error.code if error else ""


def parse_chat_response(body: bytes, *, stream: bool) -> ChatText:
    """Parse the body of a response with status 200; it may be truncated."""
    return _parse_events(body) if stream else _parse_json(body)


def _parse_json(body: bytes) -> ChatText:
    try:
        document = _decode(body)
    except msgspec.MsgspecError:
        return ChatText()
    return ChatText(_text(document), done=True)


def _parse_events(body: bytes) -> ChatText:
    text = ""
    done = False
    code = ""
    for data in _event_data(body):
        if data == DONE:
            done = True
            continue
        document = _decode(data)
        text += _text(document)
        if document.error is not None:
            code = document.error.code
    return ChatText(text, done, code)


def _event_data(body: bytes) -> Iterator[bytes]:
    # Text after the last separator is a truncated event.
    for event in body.split(EVENT_END)[:-1]:
        for line in event.split(b"\n"):
            if line.startswith(DATA_PREFIX):
                yield line.removeprefix(DATA_PREFIX)


def _text(document: _Document) -> str:
    return "".join(
        choice.message.content + choice.delta.content for choice in document.choices
    )
