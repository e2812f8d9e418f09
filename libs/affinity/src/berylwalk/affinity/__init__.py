"""Prefix cache affinity: which targets have processed which prompt prefixes."""

from berylwalk.affinity._hashes import parts_hash
from berylwalk.affinity._history import PlacementHistory

__all__ = ["PlacementHistory", "parts_hash"]
