"""Messages for synchronizing settings and VM lists between nodes."""

import msgspec


class SyncMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of the peer sync messages."""


class SettingsQuery(SyncMessage, frozen=True):
    """Query for the settings document if the peer has a newer version."""

    known_version: int


class SettingsReply(SyncMessage, frozen=True):
    """Settings document; empty if it is not newer than the known version.

    Parameters
    ----------
    version : int
        Settings version of the sender.
    document : bytes
        The encoded document.
    is_settled : bool
        Whether the sender has confirmed that it has the latest version; False for a
        node that started while the store was unavailable.
    """

    version: int
    document: bytes = b""
    is_settled: bool = True


class MembersQuery(SyncMessage, frozen=True):
    """Query for the peer's most recent VM list."""


class Member(msgspec.Struct, frozen=True):
    """One VM of the platform's VM list."""

    vm_id: str
    address: str
    failure_domain: str
    role: str
    leaving: bool


class MembersReply(SyncMessage, frozen=True):
    """Most recent VM list of the peer."""

    members: tuple[Member, ...] = ()


SyncQuery = SettingsQuery | MembersQuery
SyncReply = SettingsReply | MembersReply
