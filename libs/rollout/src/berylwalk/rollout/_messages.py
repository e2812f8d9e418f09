"""What routers tell each other of roll-outs."""

from typing import Annotated

from msgspec import Meta, Struct, field

from berylwalk.rollout._evidence import OldRow, RouterSums, Row, Tally

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
RowNews = tuple[Count, Name, Name, Count, Count, Count]
OldRowNews = tuple[Count, Name, Count, Count, Count]


class RolloutNews(Struct, array_like=True):
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
        What it saw of the new version: a `Row` and its `Tally`.
    old : list of tuples
        What it saw of the others: an `OldRow` and its `Tally`.
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
    is_stopped: bool = False
    has_left: bool = False
    new: list[RowNews] = field(default_factory=list)
    old: list[OldRowNews] = field(default_factory=list)
    told_number: int = -1
    ended_new: Annotated[list[Name], Meta(max_length=64)] = field(default_factory=list)
    ended_old: Count = 0

    def new_sums(self) -> dict[Row, Tally]:
        """Return what it saw of the new version."""
        return {Row(*row[:3]): Tally(*row[3:]) for row in self.new}

    def old_sums(self) -> dict[OldRow, Tally]:
        """Return what it saw of the others."""
        return {OldRow(*row[:2]): Tally(*row[2:]) for row in self.old}


def rows_of(sums: RouterSums, now: float) -> tuple[list[RowNews], list[OldRowNews]]:
    """Return sums as they are told: all, or of many those that changed lately.

    The others are told again in turn, for messages are lost and routers start.
    """
    turn = int(now / TURN_S) % TURNS
    are_few = len(sums.new) + len(sums.old) <= TOLD_WHOLE

    def is_due(number: int, row: Row | OldRow) -> bool:
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
