"""Index of shared prompt prefixes that targets have cached.

Targets keep the prefill state of recent prompts, so that later requests with the same
prefix start faster. Routers exchange which prefixes they sent to which target.
"""

from collections import deque
from collections.abc import Iterable

from berylwalk.affinity import PlacementHistory
from berylwalk.dispatch._target_entries import Work

MAX_PREFIXES = 4_096
"""Maximum number of prefixes; the least recently used are evicted. Targets keep some
tens to hundreds each."""
MIN_SHARED_TOKENS = 512
"""Minimum length of an indexed prefix, in tokens; prefill of shorter ones takes a few
milliseconds."""
MAX_PENDING_UPDATES = 256
"""Maximum number of updates kept for peers; the oldest are dropped."""

PrefixPlacement = tuple[int, str]
"""Hash of a prefix, and the incarnation id of the target that received it."""


class PrefixCacheIndex:
    """Prefixes sent by this router and its peers, by target incarnation."""

    def __init__(self) -> None:
        self._history = PlacementHistory(MAX_PREFIXES)
        self._updates: deque[PrefixPlacement] = deque(maxlen=MAX_PENDING_UPDATES)

    def note_sent(self, work: Work, incarnation_id: str) -> None:
        """Record that a request is sent to a target."""
        prefix = work.shared_prefix
        if prefix is not None and prefix.tokens >= MIN_SHARED_TOKENS:
            self._history.record((prefix.key,), incarnation_id)
            self._updates.append((prefix.key, incarnation_id))

    def merge(self, placements: Iterable[PrefixPlacement]) -> None:
        """Add placements reported by peers."""
        for key, incarnation_id in placements:
            self._history.record((key,), incarnation_id)

    def take_updates(self) -> list[PrefixPlacement]:
        """Return the own placements since the last call, for peers."""
        updates = list(self._updates)
        self._updates.clear()
        return updates

    def cached_tokens(self, work: Work) -> dict[str, int]:
        """Return the cached tokens of a prompt by incarnation id."""
        prefix = work.shared_prefix
        if prefix is None or prefix.tokens < MIN_SHARED_TOKENS:
            return {}
        tokens = min(prefix.tokens, work.prompt_tokens)
        return dict.fromkeys(self._history.covered_blocks((prefix.key,)), tokens)
