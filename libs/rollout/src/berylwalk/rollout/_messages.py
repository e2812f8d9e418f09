"""Messages by which routers share the state of roll-outs."""

from typing import Annotated

from msgspec import Meta, Struct, field

from berylwalk.rollout._evidence import (
    NewVersionKey,
    OldVersionKey,
    RouterTallies,
    Tally,
)

MAX_UNPAGED_TALLIES = 40
"""Number of tallies up to which each update contains all of them."""
RECENT_CHANGE_S = 1.0
"""Time for which a changed tally is part of each update, in seconds."""
REPEAT_GROUPS = 8
REPEAT_INTERVAL_S = 0.5
"""Number of groups in which unchanged tallies are repeated, one group at a time, and
the time for which a group is part of each update, in seconds."""
MAX_CRASHES_PER_UPDATE = 8
"""Crashed incarnations in one update."""
Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(max_length=200)]
NewTallyRow = tuple[Count, Name, Name, Count, Count, Count]
OldTallyRow = tuple[Count, Name, Count, Count, Count]


class RolloutUpdate(Struct, array_like=True):
    """State of one order as one router knows it.

    Parameters
    ----------
    service : str
        Of the order.
    order_revision : int
        Store revision of the order.
    age_s : float
        For how long the order has been known, in seconds; not rounded, as routers
        take the largest and roundings would add up.
    number : int
        Number of the record; -1 if none is known.
    phase : str
        Phase of the record; empty if none is known.
    is_rejected : bool
        Whether the router has rejected the version.
    has_drained : bool
        Whether it sends nothing to the old version and has no requests there.
    new : list of tuples
        Answers of the new version: a `NewVersionKey` and its `Tally` each.
    old : list of tuples
        Answers of the others: an `OldVersionKey` and its `Tally` each.
    reported_number : int
        Number of the last record that was reported to operators; -1 for none.
    crashed_new : list of str
        Incarnations of targets of the new version that crashed under requests.
    crashed_old : int
        Number of those of the others.
    version : str
        Of the order; empty if unknown.
    period_s : float
        Of the order, in seconds; 0 if unknown.
    barred : list of str
        Versions that get no requests by the record; only of a decided roll-out.
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
    version: Name = ""
    period_s: Annotated[float, Meta(ge=0)] = 0.0
    barred: Annotated[list[Name], Meta(max_length=64)] = field(default_factory=list)

    def new_tallies(self) -> dict[NewVersionKey, Tally]:
        """Return the tallies of the new version."""
        return {NewVersionKey(*row[:3]): Tally(*row[3:]) for row in self.new}

    def old_tallies(self) -> dict[OldVersionKey, Tally]:
        """Return the tallies of the others."""
        return {OldVersionKey(*row[:2]): Tally(*row[2:]) for row in self.old}


def tally_rows(
    tallies: RouterTallies, now: float
) -> tuple[list[NewTallyRow], list[OldTallyRow]]:
    """Return the tallies to send: all, or of many those that changed recently.

    The others are repeated in groups, as messages are lost and routers restart.
    """
    group = int(now / REPEAT_INTERVAL_S) % REPEAT_GROUPS
    are_few = len(tallies.new) + len(tallies.old) <= MAX_UNPAGED_TALLIES

    def is_due(number: int, key: NewVersionKey | OldVersionKey) -> bool:
        is_recent = now - tallies.changed_at[key] <= RECENT_CHANGE_S
        return are_few or is_recent or number % REPEAT_GROUPS == group

    new = [
        (*key, *tally)
        for number, (key, tally) in enumerate(tallies.new.items())
        if is_due(number, key)
    ]
    old = [
        (*key, *tally)
        for number, (key, tally) in enumerate(tallies.old.items())
        if is_due(number, key)
    ]
    return new, old
