"""Queue entries and the keys by which they are scheduled."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple


class EntryState(Enum):
    """State of an entry of the admission queue."""

    QUEUED = auto()
    """Eligible to be taken."""

    TAKEN = auto()
    """Taken from the queue and charged to its account, but not yet removed."""

    PARKED = auto()
    """Skipped until it is unparked; not charged."""


@dataclass(slots=True, eq=False)
class QueueEntry:
    """Queued request.

    Parameters
    ----------
    key : hashable
        Identifier of the request.
    client_account : str
        Client account of the request.
    rank : int
        Rank of its tier; 0 is the highest.
    weight : float
        Weight of the account.
    prompt_tokens, output_tokens : float
        Expected size, in tokens.
    cost : float
        Expected service time at nominal speed, in seconds.
    deadline_at : float
        Monotonic time of the deadline, in seconds.
    sequence : int
        Order of arrival; set by the queue.
    state : EntryState
        Set by the queue.
    """

    key: Hashable
    client_account: str
    rank: int
    weight: float
    prompt_tokens: float
    output_tokens: float
    cost: float
    deadline_at: float
    sequence: int = 0
    state: EntryState = EntryState.QUEUED


class SchedulingKey(NamedTuple):
    """Position of an entry in the order of service.

    Parameters
    ----------
    rank : int
        Lower ranks are served first.
    client_account : str
        Accounts of a rank are served by deficit round robin.
    weight : float
        Weight of the account.
    sort_key : float
        Order within an account, least first; ties are served in order of arrival.
    """

    rank: int
    client_account: str
    weight: float
    sort_key: float


SchedulingKeyFunction = Callable[[QueueEntry], SchedulingKey]


def tiered_scheduling_key(entry: QueueEntry) -> SchedulingKey:
    """Order by tier, then fairly by account, then by deadline."""
    return SchedulingKey(
        entry.rank, entry.client_account, entry.weight, entry.deadline_at
    )


def fifo_scheduling_key(entry: QueueEntry) -> SchedulingKey:
    """Order by arrival (first in, first out)."""
    return SchedulingKey(0, "", 1.0, 0.0)
