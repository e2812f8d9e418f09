"""A note of large spending that a restart of all routers does not lose."""

from anyio import sleep
from msgspec import DecodeError, ValidationError, json

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import Knowledge
from berylwalk.platform import KeyValue, KeyValueClient, Swapped, Unavailable

NOTE_KEY = b"berylwalk/spending"
NOTE_LEASE_S = 14.0
"""Time for which a note is kept: longer than the window that allowances are judged
by and than a restart takes."""
NOTE_GAP_S = 0.5
"""Least time between two notes; only accounts that spend much cause any."""
NOTE_GROWTH = 0.05
"""Growth of the noted spending, as a share, that makes a new note worth a call."""
RETRY_S = 0.3


class SpendingNote:
    """Reads the note of an earlier life once, then writes it as needed.

    Only one router writes, and only while some account has spent much: usual
    spending causes no call of the store.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    """

    def __init__(self, context: RouterContext, store: KeyValueClient) -> None:
        self._context = context
        self._store = store

    async def run(self) -> None:
        """Read the note of an earlier life once, then write it as needed."""
        while isinstance(note := await self._store.get(NOTE_KEY), Unavailable):
            await sleep(RETRY_S)
        self._learn_from(note)
        noted, noted_at = 0.0, float("-inf")
        while True:
            await sleep(NOTE_GAP_S)
            now = self._context.clock()
            spent = self._context.allowances.spent_much(now)
            total = sum(map(sum, spent.values()))
            is_due = note_is_due(total, noted, now - noted_at)
            if is_due and self._is_writer() and await self._write(spent):
                noted, noted_at = total, now

    def _learn_from(self, note: KeyValue | None) -> None:
        spent: dict[str, list[float]] = {}
        if note is not None:
            try:
                spent = json.decode(note.value, type=dict[str, list[float]])
            except (DecodeError, ValidationError) as error:
                self._context.log.process("spending-invalid", detail=repr(error))
                return
        context = self._context
        context.allowances.learn(spent, Knowledge.NOTE, context.clock())
        context.log.process("spending-learned", accounts=sorted(spent))

    def _is_writer(self) -> bool:
        """Return whether it is for this router to write: the first that is heard."""
        context = self._context
        now = context.clock()
        heard = [
            peer.name for peer in context.peers.by_name.values() if peer.is_heard(now)
        ]
        return context.settings.name <= min(heard, default=context.settings.name)

    async def _write(self, spent: dict[str, list[float]]) -> bool:
        """Write the note; returns whether it is surely there."""
        lease = await self._store.grant_lease(NOTE_LEASE_S)
        if isinstance(lease, Unavailable):
            return False
        value = json.encode(
            {name: [round(units) for units in bins] for name, bins in spent.items()}
        )
        written = await self._store.put(NOTE_KEY, value, lease_id=lease.lease_id)
        return isinstance(written, Swapped)


def note_is_due(total: float, noted: float, age_s: float) -> bool:
    """Return whether a new note is worth a call of the store.

    Parameters
    ----------
    total : float
        What accounts that spend much have spent in the window.
    noted : float
        The same as last noted.
    age_s : float
        Age of that note, in seconds. It ends with its lease, and an account may
        spend much for longer.
    """
    if total <= 0:
        return False
    return total > noted * (1 + NOTE_GROWTH) or age_s > NOTE_LEASE_S / 3
