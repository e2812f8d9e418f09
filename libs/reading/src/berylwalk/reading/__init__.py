"""Replicas of store prefixes, and the messages by which routers share them."""

from berylwalk.reading._messages import (
    DeltaItem,
    Port,
    PrefixDelta,
    StoreSyncReply,
    StoreSyncRequest,
    UnchangedItem,
)
from berylwalk.reading._pending import PendingSyncs
from berylwalk.reading._prefix_state import PrefixState

__all__ = [
    "DeltaItem",
    "PendingSyncs",
    "Port",
    "PrefixDelta",
    "PrefixState",
    "StoreSyncReply",
    "StoreSyncRequest",
    "UnchangedItem",
]
