"""Bytes of request bodies that are held for all callers.

Load that it answers: many callers that send large bodies slowly. Each body is bounded,
but not their sum.
"""

from typing import Self

MEMORY_SHARE = 0.25
"""Part of the VM's memory that request bodies may take."""


class RequestBodies:
    """Counts the bytes of request bodies until their requests have been answered.

    Parameters
    ----------
    max_bytes : int or None
        Bound for all bodies together; None for no bound.

    Attributes
    ----------
    max_bytes : int or None
        The bound.
    held_bytes : int
        Bytes held now.
    refused : int
        Requests refused for the bound.
    """

    def __init__(self, max_bytes: int | None = None) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.refused = 0

    @classmethod
    def from_memory_limit(cls, memory_bytes: int | None) -> Self:
        """Build it for a VM with a memory limit in bytes, or without one."""
        return cls(None if memory_bytes is None else int(memory_bytes * MEMORY_SHARE))

    def take(self, size: int) -> bool:
        """Count a part of a body; returns False if the bound does not allow it."""
        if self.max_bytes is not None and self.held_bytes + size > self.max_bytes:
            self.refused += 1
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Stop counting bytes."""
        self.held_bytes -= size
