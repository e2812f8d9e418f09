"""Hashes of the leading blocks of a prompt."""

from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

BLOCK_BYTES = 1024
"""Size of a block; a partial block at the end is not hashed."""

MAX_BLOCKS = 64
"""Largest number of hashed blocks."""

BYTES_PER_TOKEN = 4
"""Typical size of a token; converts blocks to tokens."""

TOKENS_PER_BLOCK = BLOCK_BYTES // BYTES_PER_TOKEN


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return the hash of each leading run of whole blocks.

    Parameters
    ----------
    prompt : bytes
        The prompt as the engine receives it.

    Returns
    -------
    tuple of int
        At most `MAX_BLOCKS` unsigned 64-bit hashes, longest prefix last. Each
        covers its block and all earlier ones. Empty for a prompt shorter than a
        block.
    """
    return tuple(_chained_hashes(prompt))


def _chained_hashes(prompt: bytes) -> Iterator[int]:
    block_count = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    blocks = memoryview(prompt)
    previous = 0
    for index in range(block_count):
        start = index * BLOCK_BYTES
        previous = xxh3_64_intdigest(blocks[start : start + BLOCK_BYTES], previous)
        yield previous
