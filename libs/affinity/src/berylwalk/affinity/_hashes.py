"""Hashes of prompt prefixes that callers describe as a list of parts."""

from collections.abc import Iterable

from xxhash import xxh32_intdigest


def parts_hash(ids: Iterable[bytes]) -> int:
    """Return a 32-bit hash of the ids of a prompt's leading parts.

    It is the same in all processes, and short since routers exchange it. A collision
    only sends a request to a target without its prefix in the cache.
    """
    return xxh32_intdigest(b",".join(ids))
