"""Which targets have read which prompt prefixes, and hashes of those."""

from berylwalk.affinity._hashes import parts_hash
from berylwalk.affinity._history import PlacementHistory

__all__ = ["PlacementHistory", "parts_hash"]
