"""Findings about items of the store that can't be used, told once each."""

from berylwalk.direct._context import RouterContext

MAX_BURST_LINES = 50
"""Findings that are told at once: those of a list with many such items."""
LINES_PER_S = 1.0
"""Findings told in a second after that: a writer may put and delete items for ever."""


class InvalidItemLog:
    """Logs an item that can't be used once, and counts each time that it is met.

    Anyone may write to the store, again and again: an item is told anew only after
    it was usable or gone in between, and so many lines in a time at most.

    Parameters
    ----------
    context : RouterContext
        Where findings are logged and counted.
    event : str
        Name of the log line.
    """

    def __init__(self, context: RouterContext, event: str) -> None:
        self._context = context
        self._event = event
        self._reported: set[str] = set()
        self._lines_left = float(MAX_BURST_LINES)
        self._refilled_at = context.clock()

    def report(self, key: str, problem: str, detail: str) -> None:
        """Note an item that can't be used.

        Parameters
        ----------
        key : str
            Key of the item.
        problem : str
            One of a few words for why, which metrics count.
        detail : str
            The place in the item, and what was found there.
        """
        self._context.metrics.unusable_items.labels(self._event, problem).inc()
        if key not in self._reported and self._take_line():
            self._reported.add(key)
            self._context.log.process(
                self._event, key=key, problem=problem, detail=detail
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
        """Note that an item is usable, or gone."""
        self._reported.discard(key)

    def keep_only(self, keys: set[str]) -> None:
        """Note that all other items are gone."""
        self._reported &= keys
