"""Prefix cache of a model engine."""

from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
BLOCK_HASH_BYTES = 16


@dataclass(frozen=True, slots=True)
class CacheUse:
    """Result of a lookup of a prompt.

    Parameters
    ----------
    hits : int
        Number of leading blocks that were cached.
    added, evicted : list of bytes
        Hashes of the blocks that were added and evicted.
    """

    hits: int
    added: list[bytes] = field(default_factory=list)
    evicted: list[bytes] = field(default_factory=list)


class PrefixCache:
    """LRU cache of the hashes of prompt blocks.

    Parameters
    ----------
    blocks : int
        Capacity, in blocks.
    """

    def __init__(self, blocks: int) -> None:
        self._blocks = blocks
        self._hashes: OrderedDict[bytes, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of cached blocks."""
        return len(self._hashes)

    def use(self, prompt: str) -> CacheUse:
        """Look up a prompt and add all its blocks."""
        hashes = block_hashes(prompt)
        hits = 0
        for each in hashes:
            if each not in self._hashes:
                break
            hits += 1
        # In reverse, so that a block is evicted after those that follow it.
        for each in reversed(hashes):
            self._hashes[each] = None
            self._hashes.move_to_end(each)
        evicted = []
        while len(self._hashes) > self._blocks:
            evicted.append(self._hashes.popitem(last=False)[0])
        return CacheUse(hits, hashes[hits:], evicted)


def block_hashes(prompt: str) -> list[bytes]:
    """Return the chained hashes of the full blocks of a prompt."""
    hashes = []
    previous = b""
    aligned_length = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, aligned_length, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        previous = blake2b(previous + block, digest_size=BLOCK_HASH_BYTES).digest()
        hashes.append(previous)
    return hashes
