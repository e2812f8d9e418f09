"""Stores quarantine records and acquires permits for trials.

The records survive a restart of all routers. A trial permit is a compare-and-swap on
the record, so at most one router acquires it, and none without access to the store.
Operators release a request by deleting its record.

When the store is restored from an older copy, the records that it lacks are written
again. Only a record of the present era of the store that is missing was deleted.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from time import time

from anyio import Event, move_on_after
from msgspec import DecodeError, json, structs

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_health import StoreHealth
from berylwalk.platform import (
    Conflict,
    KeyValue,
    KeyValueClient,
    OutcomeUnknown,
    Swapped,
    Unavailable,
    era_of,
)
from berylwalk.quarantine import (
    CRASHES_TO_BLAME,
    RECORDS_PREFIX,
    Identity,
    QuarantineStatus,
    Record,
    identity_from_key,
    max_trials,
    record_key,
)

SCAN_INTERVAL_S = 15.0
"""Interval between scans for records that operators have deleted."""
SYNC_INTERVAL_S = 0.5
"""Interval between checks for records to be written."""
FALLBACK_WRITE_DELAY_S = 2.0
"""How long a write may be due before a router that is not the leader makes it."""
RECORD_TTL_S = 86_400.0
"""Age by the time of day at which a record is deleted, in seconds."""
TRIAL_PAUSE_S = 5.0
"""Time without trials after a restore of the store, or after the start in a store that
was restored: other routers write the trials again that the copy lacks."""


@dataclass(frozen=True, slots=True)
class _StoredRecord:
    """A record as it should be in the store.

    Parameters
    ----------
    record : Record
        The record.
    revision : int
        Its revision in the store; 0 if it has not been written.
    is_due : bool
        Whether the store lacks it, or trials of it, since a restore.
    """

    record: Record
    revision: int
    is_due: bool = False


class QuarantineStore:
    """Synchronizes the quarantine with its records in the store.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    wall_clock : callable
        Time of day, in seconds since the epoch.
    """

    def __init__(
        self,
        context: RouterContext,
        store: KeyValueClient,
        store_health: StoreHealth,
        *,
        wall_clock: Callable[[], float] = time,
    ) -> None:
        self._context = context
        self._store = store
        self._store_health = store_health
        self._wall_clock = wall_clock
        self._stored: dict[Identity, _StoredRecord] = {}
        self._due_since: dict[Identity, float] = {}
        self._scanned_at = context.clock()
        self._was_leader = True
        self._wake_event = Event()
        self._is_reread_due = False
        self._trials_unknown_since = context.clock()
        store.on_restored.add(self._on_restored)

    def wake(self) -> None:
        """Check for records to be written immediately."""
        self._wake_event.set()

    async def run(self) -> None:
        """Load all records, then write and scan forever."""
        failures = 0
        while not await self._read_all("read-quarantine"):
            failures += 1
            await self._store_health.back_off(failures)
        if self._stored:
            self._context.log.process("quarantine-read", records=len(self._stored))
        while True:
            with move_on_after(SYNC_INTERVAL_S):
                await self._wake_event.wait()
            self._wake_event = Event()
            await self._sync()

    async def acquire_trial_permits(self, identities: Iterable[Identity]) -> bool:
        """Acquire the permits to send a quarantined request once.

        Parameters
        ----------
        identities : iterable of bytes
            Identities that the request is a trial of: its own, or parts of its prompt.

        Returns
        -------
        bool
            Whether the request may be sent.
        """
        acquired: list[Identity] = []
        for identity in identities:
            if not await self._acquire_trial_permit(identity):
                await self.return_trial_permits(acquired)
                return False
            acquired.append(identity)
        return True

    async def return_trial_permits(self, identities: Iterable[Identity]) -> None:
        """Return the permits of a request that was not sent to any target."""
        for identity in identities:
            known = self._stored.get(identity)
            if known is None or not known.record.trials:
                continue
            record = structs.replace(known.record, trials=known.record.trials - 1)
            if await self._write(identity, record, known.revision):
                context = self._context
                context.quarantine.record_trial(identity, record, context.clock())
                context.log.process("trial-returned", identity=identity.hex())

    async def _acquire_trial_permit(self, identity: Identity) -> bool:
        context = self._context
        item = await self._store_health.track(
            "read-trial", self._store.get(record_key(identity))
        )
        if isinstance(item, Unavailable):
            return False
        if self._may_lack_trials():
            return False
        if item is None:
            if self._is_lost(identity):
                return False
            if context.quarantine.stored_crashes.get(identity):
                self._release(identity)
                return True
            known = _StoredRecord(self._record_of(identity), 0)
        else:
            known = self._load_record(identity, item)
            if known is None:
                return False
        if (
            context.quarantine.status(identity, context.clock())
            is not QuarantineStatus.TRIAL
        ):
            return False
        record = self._record_of(identity)
        record = structs.replace(
            record,
            trials=known.record.trials + 1,
            crashes_at_trial=len(record.ended),
        )
        if not await self._write(identity, record, known.revision):
            return False
        context.quarantine.record_trial(identity, record, context.clock())
        context.log.process(
            "trial-permitted", identity=identity.hex(), trials=record.trials
        )
        return True

    def _on_restored(self) -> None:
        """Compare all records with those of the copy."""
        self._context.quarantine.note_store_era(self._store.era)
        self._trials_unknown_since = self._context.clock()
        self._is_reread_due = True
        self.wake()

    def _may_lack_trials(self) -> bool:
        """Return whether the store may lack trials that other routers know of."""
        passed_s = self._context.clock() - self._trials_unknown_since
        return self._store.era > 0 and passed_s < TRIAL_PAUSE_S

    async def _reread(self) -> bool:
        """Read all records after a restore; return whether that succeeded.

        Records that were deleted come back with the copy. Routers that started
        meanwhile don't know that, so they are told.
        """
        self._is_reread_due = False
        if not await self._read_all("read-quarantine"):
            self._is_reread_due = True
            return False
        for identity in self._stored:
            self._context.quarantine.repeat_clearing(identity)
        await self._delete_cleared()
        lost = sum(known.is_due for known in self._stored.values())
        if lost:
            self._context.log.process("quarantine-records-lost", records=lost)
        return True

    async def _sync(self) -> None:
        if self._is_reread_due and not await self._reread():
            return
        now = self._context.clock()
        is_leader = self._context.peers.is_leader(now)
        for identity in self._due(now, is_leader=is_leader):
            if not await self._write_evidence(identity):
                return
        if is_leader:
            await self._delete_cleared()
        # The previous leader may have written records that are to be deleted by now.
        is_new_leader = is_leader and not self._was_leader
        has_records = bool(self._stored or self._context.quarantine.blames)
        is_due = now - self._scanned_at >= SCAN_INTERVAL_S
        if is_leader and (has_records or is_new_leader) and is_due:
            await self._scan()
        self._was_leader = is_leader

    def _due(self, now: float, *, is_leader: bool) -> list[Identity]:
        """Return the identities with evidence that is missing in the store.

        A router that knows of trials that the store lacks writes them at once.
        """
        quarantine = self._context.quarantine
        missing = [
            identity
            for identity in sorted(quarantine.to_store(now))
            if quarantine.stored_crashes.get(identity, 0)
            < min(CRASHES_TO_BLAME, len(quarantine.crashed_incarnations(identity)))
        ]
        lost = [
            identity
            for identity, known in self._stored.items()
            if known.is_due and quarantine.crashed_incarnations(identity)
        ]
        missing = sorted({*missing, *lost})
        self._due_since = {
            identity: self._due_since.get(identity, now) for identity in missing
        }
        return [
            identity
            for identity, since in self._due_since.items()
            if is_leader
            or now - since >= FALLBACK_WRITE_DELAY_S
            or self._has_lost_trials(identity)
        ]

    def _has_lost_trials(self, identity: Identity) -> bool:
        known = self._stored.get(identity)
        return known is not None and known.is_due and known.record.trials > 0

    def _is_current(self, known: _StoredRecord) -> bool:
        """Return whether the store had a record in its present era."""
        return known.revision != 0 and era_of(known.revision) >= self._store.era

    def _is_lost(self, identity: Identity) -> bool:
        """Return whether a missing record was lost in a restore, and note it."""
        known = self._stored.get(identity)
        if known is None or self._is_current(known):
            return False
        self._stored[identity] = replace(known, revision=0, is_due=True)
        return True

    async def _write_evidence(self, identity: Identity) -> bool:
        """Write the evidence against a request; return whether that succeeded."""
        known = self._stored.get(identity)
        revision = 0 if known is None else known.revision
        return await self._write(identity, self._record_of(identity), revision)

    def _record_of(self, identity: Identity) -> Record:
        known = self._stored.get(identity)
        ended = set(self._context.quarantine.crashed_incarnations(identity))
        if known is None:
            return Record(sorted(ended), noted_s=round(self._wall_clock()))
        return structs.replace(known.record, ended=sorted(ended))

    async def _write(self, identity: Identity, record: Record, revision: int) -> bool:
        """Compare-and-swap a record; return whether it was written."""
        value = json.encode(record)
        result = await self._store_health.track(
            "note-quarantine",
            self._store.compare_and_swap(record_key(identity), value, revision),
        )
        match result:
            case Swapped():
                self._stored[identity] = _StoredRecord(record, result.mod_revision)
                self._context.quarantine.record_stored(identity, len(record.ended))
                return True
            case Conflict(current=None):
                # Deleted since it was read.
                if not self._is_lost(identity):
                    self._release(identity)
            case Conflict():
                self._load_record(identity, result.current)
            case OutcomeUnknown() | Unavailable():
                await self._store_health.back_off(1)
        return False

    async def _read_all(self, purpose: str) -> bool:
        items = await self._store_health.track(
            purpose, self._store.get_prefix(RECORDS_PREFIX)
        )
        if isinstance(items, Unavailable):
            return False
        self._context.quarantine.note_store_era(self._store.era)
        listed = {
            identity: item
            for item in items
            if (identity := self._identity_of(item)) is not None
        }
        for identity in list(self._stored):
            if identity not in listed and not self._is_lost(identity):
                self._release(identity)
        for identity, item in listed.items():
            self._load_record(identity, item)
        return True

    async def _scan(self) -> None:
        """Release requests whose records were deleted, and delete expired records."""
        self._scanned_at = self._context.clock()
        if not await self._read_all("look-quarantine"):
            return
        now_s = self._wall_clock()
        expired = [
            identity
            for identity, known in self._stored.items()
            if now_s - known.record.noted_s > RECORD_TTL_S
        ]
        for identity in expired:
            if await self._delete(identity):
                self._release(identity)

    async def _delete_cleared(self) -> None:
        """Delete the records of requests that were cleared.

        Records of requests that are only explained by others for now are kept, because
        deleting a record releases the request on all routers.
        """
        for identity in list(self._stored):
            if not self._context.quarantine.crashed_incarnations(identity):
                await self._delete(identity)

    async def _delete(self, identity: Identity) -> bool:
        known = self._stored.get(identity)
        if known is None:
            # A trial found that the record was deleted.
            return True
        result = await self._store_health.track(
            "end-quarantine",
            self._store.delete_if(record_key(identity), known.revision),
        )
        if isinstance(result, Unavailable | OutcomeUnknown):
            return False
        if isinstance(result, Conflict) and result.current is not None:
            self._stored[identity] = replace(
                known, revision=result.current.mod_revision
            )
            return False
        if self._stored.get(identity) is known:
            del self._stored[identity]
        return True

    def _load_record(self, identity: Identity, item: KeyValue) -> _StoredRecord | None:
        """Load a record from the store; return None if it is unreadable.

        An unreadable record is overwritten, or deleted if there is no evidence. Since
        its number of trials is unknown, no more are permitted.
        """
        try:
            record = json.decode(item.value, type=Record)
        except (DecodeError, ValueError, RecursionError) as error:
            self._context.log.process(
                "quarantine-record-invalid",
                key=item.key.decode("latin-1"),
                detail=repr(error),
            )
            exhausted = Record([], trials=max_trials(identity))
            self._stored[identity] = _StoredRecord(exhausted, item.mod_revision)
            return None
        known = self._stored[identity] = self._joined(identity, record, item)
        quarantine = self._context.quarantine
        quarantine.merge_stored(identity, known.record, self._context.clock())
        quarantine.record_stored(identity, len(record.ended))
        return known

    def _joined(
        self, identity: Identity, record: Record, item: KeyValue
    ) -> _StoredRecord:
        """Return a stored record with the trials that it lacks since a restore."""
        known = self._stored.get(identity)
        if known is None or (self._is_current(known) and not known.is_due):
            return _StoredRecord(record, item.mod_revision)
        if known.record.trials <= record.trials:
            return _StoredRecord(record, item.mod_revision)
        joined = structs.replace(
            record,
            trials=known.record.trials,
            crashes_at_trial=known.record.crashes_at_trial,
        )
        return _StoredRecord(joined, item.mod_revision, is_due=True)

    def _release(self, identity: Identity) -> None:
        """Release a request whose record was deleted."""
        self._stored.pop(identity, None)
        context = self._context
        if context.quarantine.record_success(identity, context.clock()):
            context.log.process("request-released", identity=identity.hex())

    def _identity_of(self, item: KeyValue) -> Identity | None:
        try:
            return identity_from_key(item.key)
        except ValueError as error:
            self._context.log.process(
                "quarantine-record-invalid",
                key=item.key.decode("latin-1"),
                detail=repr(error),
            )
            return None
