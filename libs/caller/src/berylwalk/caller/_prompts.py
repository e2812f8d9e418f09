"""Conversion of prompts to bytes, for prefix hashes, and their length in tokens."""

import json
from typing import Annotated, Any

from pydantic import Field

from berylwalk.caller._number_lists import NumberList

BYTES_PER_TOKEN = 4

Tokens = Annotated[list[int], Field(fail_fast=True)]
Texts = Annotated[list[str], Field(fail_fast=True)]
TokenLists = Annotated[list[Tokens], Field(fail_fast=True)]
Parts = Annotated[list[dict[str, Any]], Field(fail_fast=True)]
Content = str | Parts | None
Prompt = str | Texts | Tokens | TokenLists


def content_bytes(content: Content) -> bytes:
    """Return the content of a chat message as bytes."""
    if content is None:
        return b""
    if isinstance(content, str):
        return encoded(content)
    return b"".join(_part_bytes(part) for part in content)


def _part_bytes(part: dict[str, Any]) -> bytes:
    text = part.get("text")
    if isinstance(text, str):
        return encoded(text)
    return json.dumps(part, sort_keys=True).encode()


def prompt_bytes(prompt: Prompt | NumberList) -> tuple[bytes, int, int]:
    """Return the bytes and the number of tokens of all prompts, and their number."""
    if isinstance(prompt, NumberList):
        return prompt.numbers_text, prompt.number_count, prompt.list_count or 1
    if isinstance(prompt, str):
        text = encoded(prompt)
        return text, tokens_of_bytes(len(text)), 1
    if not prompt:
        return b"", 0, 1
    if isinstance(prompt[0], int):
        return _token_bytes(prompt), len(prompt), 1
    if isinstance(prompt[0], str):
        text = b"".join(encoded(each) for each in prompt)
        return text, tokens_of_bytes(len(text)), len(prompt)
    text = b"".join(_token_bytes(each) for each in prompt)
    return text, sum(len(each) for each in prompt), len(prompt)


def _token_bytes(tokens: Tokens) -> bytes:
    return ",".join(map(str, tokens)).encode()


def encoded(text: str) -> bytes:
    """Return a text of a JSON document as bytes."""
    # JSON escapes can encode lone surrogates, which strict UTF-8 rejects.
    return text.encode(errors="surrogatepass")


def tokens_of_bytes(size: int) -> int:
    """Return the estimated number of tokens of a text of `size` bytes."""
    return -(-size // BYTES_PER_TOKEN)
