"""Persists the learned speeds of targets so that they survive a restart of all routers.

Without them, the first requests after a restart would be spread evenly over targets
whose speeds differ several times.
"""

from math import isfinite

from anyio import sleep
from msgspec import DecodeError, Struct, json

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import TargetSpeed
from berylwalk.platform import KeyValue, KeyValueClient, Swapped, Unavailable

SNAPSHOT_KEY = b"berylwalk/speeds"
WRITE_INTERVAL_S = 4.0
"""Interval between two snapshots."""
KEEP_UNLISTED_S = 60.0
"""Time after the start for which speeds of targets that are not listed are kept, in
seconds."""
DECIMALS = 5
"""Decimal places of stored times, in seconds."""


class Speeds(Struct):
    """Content of a snapshot.

    Parameters
    ----------
    targets : dict
        Speeds by incarnation id of the target.
    start_models : dict
        Coefficients of the first event models by service.
    """

    targets: dict[str, TargetSpeed]
    start_models: dict[str, tuple[float, float, float]]


class SpeedStore:
    """Loads the snapshot at the start, then writes it periodically.

    Only the leader writes.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, store_health: StoreHealth
    ) -> None:
        self._context = context
        self._store = store
        self._store_health = store_health
        self._last_written: Speeds | None = None
        self._restored_speeds: dict[str, TargetSpeed] = {}
        self._started_at = context.clock()
        store.on_restored.add(self._on_restored)

    def _on_restored(self) -> None:
        """Write the next snapshot although it is like the last one."""
        self._last_written = None

    async def run(self) -> None:
        """Load the snapshot, then write it forever."""
        failures = 0
        while isinstance(snapshot := await self._read(), Unavailable):
            failures += 1
            await self._store_health.back_off(failures)
        if snapshot is not None:
            self._restore(snapshot)
        while True:
            await sleep(WRITE_INTERVAL_S)
            if self._context.peers.is_leader(self._context.clock()):
                await self._write()

    async def _read(self) -> KeyValue | Unavailable | None:
        return await self._store_health.track(
            "read-speeds", self._store.get(SNAPSHOT_KEY)
        )

    def _restore(self, snapshot: KeyValue) -> None:
        context = self._context
        try:
            speeds = json.decode(snapshot.value, type=Speeds)
        except (DecodeError, ValueError, RecursionError) as error:
            context.log.process("speeds-invalid", detail=repr(error))
            return
        possible = {
            incarnation_id: speed
            for incarnation_id, speed in speeds.targets.items()
            if speed.is_possible
        }
        start_models = {
            service: coefficients
            for service, coefficients in speeds.start_models.items()
            if all(map(isfinite, coefficients))
        }
        self._restored_speeds = possible
        context.targets.adopt(possible, start_models)
        context.log.process(
            "speeds-learned",
            targets=len(possible),
            impossible=len(speeds.targets) - len(possible),
        )

    async def _write(self) -> None:
        targets = self._context.targets
        speeds_by_id = self._unlisted_speeds() | {
            target_id: _rounded(speed)
            for target_id, speed in targets.speeds_by_id().items()
            if speed.slot_s is not None
        }
        speeds = Speeds(speeds_by_id, targets.first_event_models_by_service())
        if speeds_by_id and speeds != self._last_written:
            era = self._store.era
            written = await self._store_health.track(
                "note-speeds", self._store.put(SNAPSHOT_KEY, json.encode(speeds))
            )
            if isinstance(written, Swapped) and self._store.era == era:
                self._last_written = speeds

    def _unlisted_speeds(self) -> dict[str, TargetSpeed]:
        """Return the restored speeds of targets that may still be listed."""
        context = self._context
        if context.clock() - self._started_at >= KEEP_UNLISTED_S:
            self._restored_speeds = {}
        return {
            incarnation_id: speed
            for incarnation_id, speed in self._restored_speeds.items()
            if incarnation_id not in context.targets.by_incarnation_id
        }


def _rounded(speed: TargetSpeed) -> TargetSpeed:
    return TargetSpeed(
        fixed_s=_rounded_s(speed.fixed_s),
        slot_s=_rounded_s(speed.slot_s),
        output_token_s=_rounded_s(speed.output_token_s),
        event_s=_rounded_s(speed.event_s),
        paused_share=round(speed.paused_share, DECIMALS),
    )


def _rounded_s(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, DECIMALS)
