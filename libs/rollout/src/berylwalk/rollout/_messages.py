"""What routers tell each other of roll-outs."""

from typing import Annotated

from msgspec import Meta, Struct, field

from berylwalk.rollout._evidence import (
    NewVersionKey,
    OldVersionKey,
    RouterTallies,
    Tally,
)

TOLD_WHOLE = 40
"""Sums up to which all are told in each message."""
RECENT_S = 1.0
"""Time after a change for which a sum is told in each message: in some of three."""
TURNS = 8
TURN_S = 0.5
"""Turns in which all sums are told again, and the length of each, in seconds."""
MOST_ENDS_TOLD = 8
"""Ended lives in one message at most: a few of them decide."""
Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(max_length=200)]
NewTallyRow = tuple[Count, Name, Name, Count, Count, Count]
OldTallyRow = tuple[Count, Name, Count, Count, Count]


class RolloutUpdate(Struct, array_like=True):
    """What one router knows of one order.

    Parameters
    ----------
    service : str
        Of the order.
    order_revision : int
        The store's revision of the order.
    age_s : float
        For how long the order has been known, in seconds.
    number : int
        Number of the phase; -1 if no record is known.
    phase : str
        The phase; empty if no record is known.
    is_stopped : bool
        Whether it has judged the version bad.
    has_left : bool
        Whether it sends nothing to the old version and has nothing there.
    new : list of tuples
        What it saw of the new version: a `NewVersionKey` and its `Tally`.
    old : list of tuples
        What it saw of the others: an `OldVersionKey` and its `Tally`.
    told_number : int
        Number of the last phase of which operators were told; -1 for none.
    ended_new : list of str
        Lives of new targets that ended under requests.
    ended_old : int
        Number of lives of others that did.
    """

    service: Name
    order_revision: Count
    age_s: Annotated[float, Meta(ge=0)]
    number: int = -1
    phase: Name = ""
    is_rejected: bool = False
    has_drained: bool = False
    new: list[NewTallyRow] = field(default_factory=list)
    old: list[OldTallyRow] = field(default_factory=list)
    reported_number: int = -1
    crashed_new: Annotated[list[Name], Meta(max_length=64)] = field(
        default_factory=list
    )
    crashed_old: Count = 0

    def new_tallies(self) -> dict[NewVersionKey, Tally]:
        """Return what it saw of the new version."""
        return {NewVersionKey(*row[:3]): Tally(*row[3:]) for row in self.new}

    def old_tallies(self) -> dict[OldVersionKey, Tally]:
        """Return what it saw of the others."""
        return {OldVersionKey(*row[:2]): Tally(*row[2:]) for row in self.old}


def rows_of(
    sums: RouterTallies, now: float
) -> tuple[list[NewTallyRow], list[OldTallyRow]]:
    """Return sums as they are told: all, or of many those that changed lately.

    The others are told again in turn, for messages are lost and routers start.
    """
    turn = int(now / TURN_S) % TURNS
    are_few = len(sums.new) + len(sums.old) <= TOLD_WHOLE

    def is_due(number: int, row: NewVersionKey | OldVersionKey) -> bool:
        is_recent = now - sums.changed_at[row] <= RECENT_S
        return are_few or is_recent or number % TURNS == turn

    new = [
        (*row, *tally)
        for number, (row, tally) in enumerate(sums.new.items())
        if is_due(number, row)
    ]
    old = [
        (*row, *tally)
        for number, (row, tally) in enumerate(sums.old.items())
        if is_due(number, row)
    ]
    return new, old
