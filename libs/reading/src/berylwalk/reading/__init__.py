"""One reading of the store for many routers: what is known, asked and told."""

from berylwalk.reading._messages import (
    DeltaItem,
    PrefixDelta,
    StoreSyncReply,
    StoreSyncRequest,
)
from berylwalk.reading._pending import PendingSyncs
from berylwalk.reading._prefix_state import PrefixState

__all__ = [
    "DeltaItem",
    "PendingSyncs",
    "PrefixDelta",
    "PrefixState",
    "StoreSyncReply",
    "StoreSyncRequest",
]
