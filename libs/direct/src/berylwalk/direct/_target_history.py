"""What is known of targets that an older copy of the store does not show.

After the store was restored from a copy, its entries may show a target as ready that
has announced that it is draining, or a target that was removed. Both are final for an
incarnation, whatever a copy says.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from berylwalk.dispatch import TargetEntry, TargetState
from berylwalk.platform import KeyValue, era_of, to_store_revision

MAX_KNOWN_WRITES = 16
"""Recent writes of one entry that are recognized in a copy."""
MAX_COPY_AGE_S = 60.0
"""Time after which a removed target is forgotten; copies are some seconds old."""

Write = tuple[int, bytes]
"""Revision of the store within its era, and the value that was written."""


@dataclass(slots=True)
class _Record:
    """What is known of one incarnation of a target.

    Parameters
    ----------
    started_ms : int or None
        Start time of the incarnation.
    writes : deque of Write
        Recent writes of its entry.
    seen_era : int
        Era of the last write.
    drained_era : int or None
        Era in which it was last seen draining.
    removed_era : int or None
        Era in which its entry was removed, if it is removed.
    removed_at : float
        When that was learned, in seconds.
    """

    started_ms: int | None
    writes: deque[Write] = field(default_factory=lambda: deque(maxlen=MAX_KNOWN_WRITES))
    seen_era: int = 0
    drained_era: int | None = None
    removed_era: int | None = None
    removed_at: float = 0.0


class TargetHistory:
    """Recognizes entries of an older copy of the store that are out of date.

    Within one era, the entries of the store are taken as they are.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Record] = {}

    def resolve(self, entry: TargetEntry, item: KeyValue) -> TargetEntry | None:
        """Return the entry as it is to be used.

        A ready target that has drained before stays draining.

        Parameters
        ----------
        entry : TargetEntry
            The decoded entry.
        item : KeyValue
            The item of the store with its revision.

        Returns
        -------
        TargetEntry or None
            None if it is the same write that was known before the target was removed,
            which tells nothing newer than the removal.
        """
        era = era_of(item.mod_revision)
        write = (to_store_revision(item.mod_revision), item.value)
        record = self._record_of(entry)
        if record is None:
            # An earlier incarnation than the known one.
            return entry
        if record.removed_era is not None:
            if era > record.removed_era and write in record.writes:
                return None
            if record.started_ms is None:
                # The id of a target without a start time may be used again.
                record.drained_era = None
            record.removed_era = None
        if write not in record.writes:
            record.writes.append(write)
        record.seen_era = era
        if entry.state is TargetState.DRAINING:
            record.drained_era = era
        elif record.drained_era is not None and era > record.drained_era:
            return replace(entry, state=TargetState.DRAINING)
        else:
            record.drained_era = None
        return entry

    def note_removed(self, target_id: str, revision: int, now: float) -> None:
        """Record that an entry was removed.

        Parameters
        ----------
        target_id : str
            The target.
        revision : int
            Revision of the removal.
        now : float
            Time in seconds.
        """
        record = self._by_id.get(target_id)
        if record is not None:
            record.removed_era = era_of(revision)
            record.removed_at = now
        self._forget_old(now)

    def note_missing(self, target_id: str, revision: int, now: float) -> None:
        """Record that a list lacks an entry.

        One that was last seen in an earlier era was not removed: the copy lacks it.
        The parameters are those of `note_removed`.
        """
        record = self._by_id.get(target_id)
        if record is not None and record.seen_era >= era_of(revision):
            self.note_removed(target_id, revision, now)

    def _record_of(self, entry: TargetEntry) -> _Record | None:
        """Return the record of an incarnation; None if a later one is known."""
        known = self._by_id.get(entry.target_id)
        if known is not None:
            if known.started_ms == entry.started_ms:
                return known
            if known.started_ms is None:
                # The start time of an incarnation may be added to its entry later.
                known.started_ms = entry.started_ms
                return known
            if entry.started_ms is None or entry.started_ms < known.started_ms:
                return None
        record = self._by_id[entry.target_id] = _Record(entry.started_ms)
        return record

    def _forget_old(self, now: float) -> None:
        for target_id, record in list(self._by_id.items()):
            is_removed = record.removed_era is not None
            if is_removed and now - record.removed_at > MAX_COPY_AGE_S:
                del self._by_id[target_id]
