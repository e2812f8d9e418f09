"""Which targets have read the parts that a prompt shares with others.

Load pattern: prompts begin with parts that other requests have too. A target that has
read them keeps them in its memory for some time, and answers in a fraction of the time.
With many routers each sees a small part of the requests, so that they tell each other
what was sent where.
"""

from collections import deque
from collections.abc import Iterable

from berylwalk.affinity import PlacementHistory
from berylwalk.dispatch._target_entries import Work

REMEMBERED = 4_096
"""Prefixes that are remembered; the least recently sent go first. Targets keep some
tens to hundreds each."""
LEAST_SHARED_TOKENS = 512
"""Shared tokens from which a target that has read them is preferred: what is shorter
is read in a few milliseconds."""
MOST_NEWS = 256
"""Bound of what is told at once; more is forgotten, the oldest first."""

PrefixPlacement = tuple[int, str]
"""Hash of a prefix, and the life of the target that it was sent to."""


class PrefixCacheIndex:
    """What was sent where, by this router and as others tell."""

    def __init__(self) -> None:
        self._history = PlacementHistory(REMEMBERED)
        self._news: deque[PrefixPlacement] = deque(maxlen=MOST_NEWS)

    def note_sent(self, work: Work, incarnation_id: str) -> None:
        """Note that a target reads the prompt of a request."""
        prefix = work.shared_prefix
        if prefix is not None and prefix.tokens >= LEAST_SHARED_TOKENS:
            self._history.record((prefix.key,), incarnation_id)
            self._news.append((prefix.key, incarnation_id))

    def merge(self, reads: Iterable[PrefixPlacement]) -> None:
        """Take what other routers sent."""
        for key, incarnation_id in reads:
            self._history.record((key,), incarnation_id)

    def take_updates(self) -> list[PrefixPlacement]:
        """Return what was sent since the last call, for peers."""
        news = list(self._news)
        self._news.clear()
        return news

    def cached_tokens(self, work: Work) -> dict[str, int]:
        """Return the tokens of a prompt that targets have read, by their lives."""
        prefix = work.shared_prefix
        if prefix is None or prefix.tokens < LEAST_SHARED_TOKENS:
            return {}
        tokens = min(prefix.tokens, work.prompt_tokens)
        return dict.fromkeys(self._history.covered_blocks((prefix.key,)), tokens)
