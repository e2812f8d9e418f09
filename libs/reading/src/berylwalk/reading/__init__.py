"""One reading of the store for many routers: what is known, asked and told."""

from berylwalk.reading._asking import PendingAsks
from berylwalk.reading._messages import ReadingAsk, ReadingTell, Word, WordItem
from berylwalk.reading._ordered_items import OrderedItems

__all__ = [
    "OrderedItems",
    "PendingAsks",
    "ReadingAsk",
    "ReadingTell",
    "Word",
    "WordItem",
]
