"""Parsing of the bodies of model calls, validated as far as routing needs."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)

from berylwalk.caller._errors import BAD_REQUEST, Problem
from berylwalk.caller._json import parse_json
from berylwalk.caller._number_lists import NumberList
from berylwalk.caller._prompts import (
    Content,
    Prompt,
    content_bytes,
    encoded,
    prompt_bytes,
    tokens_of_bytes,
)
from berylwalk.model import Finding

MAX_MODEL_NAME = 256
MAX_MESSAGES = 10_000

ModelName = Annotated[
    str,
    StringConstraints(
        min_length=1, max_length=MAX_MODEL_NAME, pattern=r"^[^\x00-\x20\x7f]+$"
    ),
]
BodyT = TypeVar("BodyT", bound="_Body")
PositiveInt = Annotated[int, Field(ge=1)]

_UNION_MEMBERS = frozenset(
    {"str", "list[str]", "list[int]", "list[list[int]]", "list[dict[str,any]]"}
)
_PLACEHOLDER = [0]
_PROMPT = "prompt"


class _Body(BaseModel):
    """Fields common to both model calls; other fields are forwarded unvalidated."""

    model_config = ConfigDict(strict=True, extra="ignore")

    model: ModelName
    stream: bool | None = None
    max_tokens: PositiveInt | None = None
    n: PositiveInt | None = None


class _Message(BaseModel):
    model_config = ConfigDict(strict=True, extra="ignore")

    role: Annotated[str, StringConstraints(min_length=1)]
    content: Content = None


class ChatBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    messages: Annotated[list[_Message], Field(min_length=1, max_length=MAX_MESSAGES)]
    max_completion_tokens: PositiveInt | None = None


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``."""

    prompt: Prompt
    best_of: PositiveInt | None = None


@dataclass(frozen=True, slots=True)
class ModelCall:
    """Properties of a model call that routing needs.

    Parameters
    ----------
    model : str
        Name of the model.
    stream : bool
        Whether the response is to be streamed.
    max_tokens : int or None
        Maximum output of one choice, in tokens.
    max_tokens_place : str
        JSON pointer of the field that holds `max_tokens`.
    choices : int
        Number of outputs that the target computes.
    prompt : bytes
        The prompt as bytes, for prefix hashes.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    """

    model: str
    stream: bool
    max_tokens: int | None
    max_tokens_place: str
    choices: int
    prompt: bytes
    prompt_tokens: int


def read_chat(body: bytes) -> ModelCall | list[Problem]:
    """Validate the body of a chat call; return all problems if it is invalid."""
    document = _document(ChatBody, body)
    if isinstance(document, list):
        return document
    _extract_number_lists(document)
    chat = _validate(ChatBody, document)
    if isinstance(chat, list):
        return chat
    prompt = b"".join(_message_bytes(message) for message in chat.messages)
    place, max_tokens = "/max_tokens", chat.max_tokens
    if chat.max_completion_tokens is not None:
        place, max_tokens = "/max_completion_tokens", chat.max_completion_tokens
    return ModelCall(
        model=chat.model,
        stream=bool(chat.stream),
        max_tokens=max_tokens,
        max_tokens_place=place,
        choices=chat.n or 1,
        prompt=prompt,
        prompt_tokens=tokens_of_bytes(len(prompt)),
    )


def read_completion(body: bytes) -> ModelCall | list[Problem]:
    """Validate the body of a completion call; return all problems if it is invalid."""
    document = _document(CompletionBody, body)
    if isinstance(document, list):
        return document
    numbers = _extract_number_lists(document)
    completion = _validate(CompletionBody, document)
    if isinstance(completion, list):
        return completion
    if numbers is not None and not numbers.has_only_integers:
        return [_problem(f"/{_PROMPT}", "holds numbers that are no token ids")]
    prompt, prompt_tokens, prompts = prompt_bytes(numbers or completion.prompt)
    return ModelCall(
        model=completion.model,
        stream=bool(completion.stream),
        max_tokens=completion.max_tokens,
        max_tokens_place="/max_tokens",
        choices=max(completion.n or 1, completion.best_of or 1) * prompts,
        prompt=prompt,
        prompt_tokens=prompt_tokens,
    )


def _document(kind: type[_Body], body: bytes) -> dict[str, Any] | list[Problem]:
    document = parse_json(body, kind.model_fields)
    if isinstance(document, Problem):
        return [document]
    if not isinstance(document, dict):
        return [_problem("body", "must be a JSON object")]
    return document


def _extract_number_lists(document: dict[str, Any]) -> NumberList | None:
    """Replace long number lists by a placeholder; return that of the prompt."""
    numbers_by_name = {
        name: value for name, value in document.items() if isinstance(value, NumberList)
    }
    document.update(dict.fromkeys(numbers_by_name, _PLACEHOLDER))
    return numbers_by_name.get(_PROMPT)


def _validate(kind: type[BodyT], document: dict[str, Any]) -> BodyT | list[Problem]:
    try:
        return kind.model_validate(document)
    except ValidationError as error:
        return _problems_of(error)


def _problems_of(error: ValidationError) -> list[Problem]:
    details = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    texts_by_place: dict[str, list[str]] = {}
    for detail in details:
        texts_by_place.setdefault(_pointer(detail["loc"]), []).append(detail["msg"])
    return [
        _problem(place, " or: ".join(dict.fromkeys(texts)))
        for place, texts in texts_by_place.items()
    ]


def _pointer(location: Iterable[str | int]) -> str:
    # pydantic adds the names of union members, which are not part of the body.
    parts = [part for part in location if part not in _UNION_MEMBERS]
    return "/" + "/".join(str(part) for part in parts)


def _problem(place: str, text: str) -> Problem:
    return Problem(BAD_REQUEST, Finding(place, text))


def _message_bytes(message: _Message) -> bytes:
    return encoded(message.role) + b"\n" + content_bytes(message.content) + b"\n"
