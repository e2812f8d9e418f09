"""What routers ask each other about the store, and what they tell.

Fields may be added at the end of a message: an earlier version passes them over, a
later one takes their defaults. A version that does not know these messages does not
answer, and who asked reads the store itself.
"""

from typing import Annotated

from msgspec import Meta, Struct

Age = Annotated[float, Meta(ge=0)]
"""A time that has passed, in seconds."""


class DeltaItem(Struct, array_like=True):
    """One changed item.

    Parameters
    ----------
    key : bytes
        Its key.
    revision : int
        Revision of the store at which it changed.
    value : bytes or None
        What it holds; None if it was removed.
    """

    key: bytes
    revision: int
    value: bytes | None


class PrefixDelta(Struct, array_like=True):
    """What a router knows of the items under one prefix.

    Parameters
    ----------
    name : str
        Which items.
    revision : int
        All changes up to this revision of the store are known.
    age_s : float
        Time since the store was known to be at that revision, in seconds: from the
        moment at which it was asked, whoever asked, to that of the telling.
    changed_at : int
        Revision of the newest change known.
    after : int
        All changes after this revision are among the items.
    items : list of WordItem
        The changes, oldest first.
    digest : int
        Tells whether the asker has the same items once it has the changes; 0 if that
        is not told.
    """

    name: str
    revision: int
    age_s: Age
    last_change_revision: int
    base_revision: int
    items: list[DeltaItem]
    digest: int = 0


class StoreSyncRequest(Struct, array_like=True, tag=3):
    """Asks a router what it knows of the store.

    Parameters
    ----------
    sender, host, port : str, str, int
        Who asks, and where it takes messages.
    number : int
        Repeated in the answer.
    revisions : dict
        Up to which revision the sender knows all changes, by name of the items.
    """

    sender: str
    host: str
    port: int
    number: int
    revisions: dict[str, int]


class StoreSyncReply(Struct, array_like=True, tag=4):
    """Answers with what is known here.

    Parameters
    ----------
    sender : str
        Who tells.
    number : int
        That of the question.
    words : list of Word
        One for each name that the question had and that is known here.
    """

    sender: str
    number: int
    deltas: list[PrefixDelta]
