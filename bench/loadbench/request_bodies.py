"""Request bodies of model calls, and the digests expected in responses."""

from functools import lru_cache
from hashlib import md5

import msgspec

from loadbench.fleets import MODEL
from loadbench.shapes import ModelCallKind

CHARACTERS_PER_TOKEN = 4
ROLE_PREFIX = "user: \n"


@lru_cache(maxsize=512)
def filler_text(name: str, tokens: int) -> str:
    """Return text of `tokens` tokens whose cache blocks are unique to `name`."""
    words = []
    length = 0
    number = 0
    while length < tokens * CHARACTERS_PER_TOKEN:
        word = f"{name}.{number} "
        words.append(word)
        length += len(word)
        number += 1
    return "".join(words)[: tokens * CHARACTERS_PER_TOKEN]


def prompt(kind: ModelCallKind, document: int, unique: str) -> str:
    """Return the prompt of a call."""
    own_tokens = kind.prompt_tokens - kind.shared_tokens
    # The prefix depends on the document only, so that services share its cache.
    shared = filler_text(f"document-{document}", kind.shared_tokens)
    own = filler_text("text", own_tokens)
    own = (unique + own)[: own_tokens * CHARACTERS_PER_TOKEN - len(ROLE_PREFIX)]
    return shared + own


def model_body(kind: ModelCallKind, document: int, unique: str) -> bytes:
    """Return the JSON body of a streaming call."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt(kind, document, unique)}],
        "max_tokens": kind.output_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    return msgspec.json.encode(body)


def response_digest(kind: ModelCallKind, document: int, unique: str) -> bytes:
    """Return the digest with which the stand-in engine starts its response."""
    text = f"user: {prompt(kind, document, unique)}\n"
    identity = msgspec.json.encode([text, None, None], order="sorted")
    return md5(identity, usedforsecurity=False).hexdigest().encode()
