"""Waiting entries and what decides about their turns."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple


class EntryState(Enum):
    """Where an entry of the waiting list stands."""

    QUEUED = auto()
    """It waits for its turn."""

    TAKEN = auto()
    """It has its turn; its account is charged."""

    PARKED = auto()
    """It waits, but is passed over until it is put back."""


@dataclass(slots=True, eq=False)
class QueueEntry:
    """One waiting request.

    Parameters
    ----------
    key : hashable
        Name of the request.
    client_account : str
        Whose request it is.
    rank : int
        Rank of its tier; 0 is the highest.
    weight : float
        Share of the account.
    prompt_tokens, output_tokens : float
        Expected size.
    cost : float
        Expected service time at nominal speed, in seconds.
    deadline_at : float
        Monotonic time, in seconds.
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
    """What decides about an entry's turn.

    Parameters
    ----------
    rank : int
        Lower ranks go first.
    client_account : str
        Accounts of a rank share by deficit round robin.
    weight : float
        Share of the account.
    urgency : float
        The least goes first inside an account, ties in order of arrival.
    """

    rank: int
    client_account: str
    weight: float
    sort_key: float


SchedulingKeyFunction = Callable[[QueueEntry], SchedulingKey]


def tiered_scheduling_key(entry: QueueEntry) -> SchedulingKey:
    """Return the place by tier, account and deadline."""
    return SchedulingKey(
        entry.rank, entry.client_account, entry.weight, entry.deadline_at
    )


def fifo_scheduling_key(entry: QueueEntry) -> SchedulingKey:
    """Return the place of the first-in-first-out baseline."""
    return SchedulingKey(0, "", 1.0, 0.0)
