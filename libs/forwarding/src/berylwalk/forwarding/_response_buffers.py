"""Bytes of responses that are held for callers, and whose response is ended for them.

Load that it answers: callers that read slowly, or not at all, while their targets
stream on. A target ends a response that remains unread, so it is read on into memory,
which is small on some VMs.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, Self, TypeVar

Reader = TypeVar("Reader", bound=Hashable)

DEFAULT_EACH_BYTES = 64 * 1024
"""Least bound for one caller."""
MEMORY_SHARE = 0.25
"""Part of the VM's memory that responses may take. The rest is for requests and for the
state of the router."""
EACH_SHARE = 1 / 64
"""Part of the bound for all callers that one of them may take."""
BEHIND_AFTER_S = 1.0
"""Age of unread bytes from which their reader no longer keeps up. Shorter delays are
those of a lost packet."""
RELIEF_SHARE = 0.9
"""Part of the bound for all to which the bytes are reduced once they exceed it."""


@dataclass(frozen=True, slots=True)
class BufferBounds:
    """Bounds on the bytes held for callers.

    Parameters
    ----------
    each_bytes : int
        For one caller; its target is not read beyond this.
    all_bytes : int or None
        For all callers together; None for no bound.
    """

    each_bytes: int = DEFAULT_EACH_BYTES
    all_bytes: int | None = None

    @classmethod
    def from_memory_limit(cls, memory_bytes: int | None) -> Self:
        """Return the bounds for a VM with a memory limit in bytes, or without one."""
        if memory_bytes is None:
            return cls()
        all_bytes = int(memory_bytes * MEMORY_SHARE)
        return cls(max(DEFAULT_EACH_BYTES, int(all_bytes * EACH_SHARE)), all_bytes)


@dataclass(slots=True)
class HeldResponse:
    """Unread bytes of one caller.

    Parameters
    ----------
    held_bytes : int
        Bytes that are held now.
    written_bytes : int
        Bytes written since the caller last had read everything.
    mark_bytes : int
        Position in these bytes that had been written at the time `mark_at`, and that
        the caller has not reached.
    mark_at : float
        Time in seconds.
    """

    held_bytes: int
    written_bytes: int
    mark_bytes: int
    mark_at: float

    def behind_s(self, now: float) -> float:
        """Return how old the unread bytes are at least, in seconds."""
        return now - self.mark_at


class ResponseBuffers(Generic[Reader]):
    """Counts the bytes held for each caller and for all of them.

    Parameters
    ----------
    bounds : BufferBounds
        Bounds on these bytes.

    Attributes
    ----------
    held_bytes : int
        Bytes held for all callers when each was last recorded.
    by_reader : dict
        Callers with unread bytes.
    """

    def __init__(self, bounds: BufferBounds = BufferBounds()) -> None:
        self.bounds = bounds
        self.held_bytes = 0
        self.by_reader: dict[Reader, HeldResponse] = {}

    @property
    def exceeds_bound(self) -> bool:
        """Whether more is held than the bound for all callers."""
        all_bytes = self.bounds.all_bytes
        return all_bytes is not None and self.held_bytes > all_bytes

    def record(
        self, reader: Reader, held_bytes: int, now: float, *, written_bytes: int = 0
    ) -> None:
        """Record what is held for a caller.

        Parameters
        ----------
        reader : hashable
            The caller's connection.
        held_bytes : int
            Bytes that it has not read.
        now : float
            Time in seconds.
        written_bytes : int
            Bytes written to it since the previous call.
        """
        if held_bytes == 0:
            self.forget(reader)
            return
        held = self.by_reader.get(reader)
        if held is None:
            self.held_bytes += held_bytes
            self.by_reader[reader] = HeldResponse(
                held_bytes, held_bytes, held_bytes, now
            )
            return
        self.held_bytes += held_bytes - held.held_bytes
        held.held_bytes = held_bytes
        held.written_bytes += written_bytes
        if held.written_bytes - held_bytes >= held.mark_bytes:
            held.mark_bytes, held.mark_at = held.written_bytes, now

    def forget(self, reader: Reader) -> None:
        """Forget a caller for which nothing is held."""
        held = self.by_reader.pop(reader, None)
        if held is not None:
            self.held_bytes -= held.held_bytes

    def note_suspended(self, suspended_s: float) -> None:
        """Keep a suspension of the VM from counting as slow reading."""
        for held in self.by_reader.values():
            held.mark_at += suspended_s

    def to_end(self, now: float) -> list[Reader]:
        """Return the callers whose responses are ended to keep the bound for all.

        These are the ones with the most bytes held for the longest time. A caller that
        keeps up is never among them, even if the bound is exceeded without it.
        """
        if not self.exceeds_bound:
            return []
        weight_by_reader = {
            reader: held.held_bytes * held.behind_s(now)
            for reader, held in self.by_reader.items()
            if held.behind_s(now) > BEHIND_AFTER_S
        }
        excess = self.held_bytes - int(self.bounds.all_bytes * RELIEF_SHARE)
        ended = []
        for reader in sorted(
            weight_by_reader, key=weight_by_reader.__getitem__, reverse=True
        ):
            if excess <= 0:
                break
            ended.append(reader)
            excess -= self.by_reader[reader].held_bytes
        return ended
