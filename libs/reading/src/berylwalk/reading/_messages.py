"""Messages by which routers share the contents of the store.

Fields may be appended to a message: earlier versions ignore them, and later versions
use their defaults. A version without these messages does not reply, and the sender
reads the store itself.
"""

from typing import Annotated

from msgspec import Meta, Struct

Age = Annotated[float, Meta(ge=0)]
"""Elapsed time, in seconds."""
Port = Annotated[int, Meta(ge=1, le=65_535)]
"""Port of an address for messages."""


class DeltaItem(Struct, array_like=True):
    """One changed item.

    Parameters
    ----------
    key : bytes
        Its key.
    revision : int
        Store revision of the change.
    value : bytes or None
        Its value; None if it was deleted.
    """

    key: bytes
    revision: int
    value: bytes | None


class UnchangedItem(Struct, array_like=True):
    """One item whose value did not change when the store was restored.

    Parameters
    ----------
    key : bytes
        Its key.
    revision : int
        Revision since the restore.
    checksum : int
        CRC-32 of its value.
    """

    key: bytes
    revision: int
    checksum: int


class PrefixDelta(Struct, array_like=True):
    """Changes of the items under one prefix since a revision.

    Parameters
    ----------
    name : str
        Name of the prefix.
    revision : int
        Store revision up to which the sender knows all changes.
    age_s : float
        Time since the store was known to be at that revision, in seconds: from the
        request to the store, by whichever router, until the delta is sent.
    last_change_revision : int
        Revision of the last known change.
    base_revision : int
        The items contain all changes after this revision.
    items : list of DeltaItem
        The changes, oldest first.
    digest : int
        Digest of the items that result from the changes; 0 if not given.
    is_whole : bool
        Whether the items, with the unchanged ones, are all items under the prefix, for
        a router that knows only an earlier era of the store.
    unchanged : list of UnchangedItem
        Items that the other router knows with the same value.
    """

    name: str
    revision: int
    age_s: Age
    last_change_revision: int
    base_revision: int
    items: list[DeltaItem]
    digest: int = 0
    is_whole: bool = False
    unchanged: list[UnchangedItem] = []


class StoreSyncRequest(Struct, array_like=True, tag=3):
    """Request for the changes of some prefixes.

    Parameters
    ----------
    sender, host, port : str, str, int
        Name of the sender, and the address to which the reply is sent.
    number : int
        Repeated in the reply.
    revisions : dict
        Revision up to which the sender knows all changes, by the name of the prefix.
    """

    sender: str
    host: str
    port: Port
    number: int
    revisions: dict[str, int]


class StoreSyncReply(Struct, array_like=True, tag=4):
    """Reply to a `StoreSyncRequest`.

    Parameters
    ----------
    sender : str
        Name of the sender.
    number : int
        Number of the request.
    deltas : list of PrefixDelta
        One for each requested prefix that the sender knows.
    """

    sender: str
    number: int
    deltas: list[PrefixDelta]
