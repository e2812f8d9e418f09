"""Rate-limited log of invalid items in the store."""

from berylwalk.direct._context import RouterContext

MAX_BURST_LINES = 50
"""Largest number of lines logged in a burst."""
LINES_PER_S = 1.0
"""Lines per second after the burst."""
MAX_LOGGED_CHARS = 200
"""Longest part of a key, or of what is wrong with its item, in a line."""


class InvalidItemLog:
    """Logs each invalid item once and counts every occurrence.

    An item is logged again only after it was valid or deleted in between. The rate is
    limited because a client may keep writing invalid items.

    Parameters
    ----------
    context : RouterContext
        Provides the log and the metrics.
    event : str
        Event name of the log line.
    """

    def __init__(self, context: RouterContext, event: str) -> None:
        self._context = context
        self._event = event
        self._reported: set[str] = set()
        self._lines_left = float(MAX_BURST_LINES)
        self._refilled_at = context.clock()

    def report(self, key: str, problem: str, detail: str) -> None:
        """Report an invalid item.

        Parameters
        ----------
        key : str
            Key of the item.
        problem : str
            Kind of the problem, a label of the metric.
        detail : str
            Location and value of the invalid part.
        """
        self._context.metrics.unusable_items.labels(self._event, problem).inc()
        if key not in self._reported and self._take_line():
            self._reported.add(key)
            self._context.log.process(
                self._event,
                key=key[:MAX_LOGGED_CHARS],
                problem=problem,
                detail=detail[:MAX_LOGGED_CHARS],
            )

    def _take_line(self) -> bool:
        now = self._context.clock()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._lines_left = min(MAX_BURST_LINES, self._lines_left + earned)
        self._refilled_at = now
        if self._lines_left < 1:
            return False
        self._lines_left -= 1
        return True

    def clear(self, key: str) -> None:
        """Mark an item as valid or deleted."""
        self._reported.discard(key)

    def keep_only(self, keys: set[str]) -> None:
        """Mark all other items as deleted."""
        self._reported &= keys
