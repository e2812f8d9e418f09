"""Daemon of a target monitor: reads the state of its target and reports it."""

import json
import sys
from asyncio import (
    DatagramProtocol,
    DatagramTransport,
    get_running_loop,
)
from collections.abc import AsyncIterator, Callable
from time import time
from uuid import uuid4

from anyio import create_task_group, sleep, sleep_until

from berylwalk.monitor._messages import (
    MESSAGE_ERRORS,
    Reading,
    decode_subscription,
    encode,
)
from berylwalk.monitor._subscribers import Address, Subscribers
from berylwalk.platform import (
    EngineState,
    EngineStateClient,
    MonitorSettings,
    NoEngineState,
)

READ_INTERVAL_S = 0.025
"""Interval between two readings of the target, in seconds; each goes to a part of the
subscribers."""
READ_TIMEOUT_S = 0.1
"""Time within which the target has to answer, in seconds."""
STATUS_INTERVAL_S = 10.0
"""Interval between two log lines about the work done, in seconds."""

LogEvent = Callable[..., None]


class TargetMonitor:
    """Reports the state of the target on its VM to the routers that subscribed.

    It decides nothing about requests, and goes on while the target is down. On a VM
    without a target it only waits for the stop.

    Parameters
    ----------
    settings : MonitorSettings
        Settings of the VM.
    log : callable
        Takes the name of an event and its fields.
    """

    def __init__(self, settings: MonitorSettings, log: LogEvent | None = None) -> None:
        self._settings = settings
        self._log = log or json_log(settings.name)
        self._clock = get_running_loop().time
        self._engine = EngineStateClient(
            settings.target_address, timeout_s=READ_TIMEOUT_S
        )
        self._subscribers = Subscribers(settings.target_address, life=uuid4().hex[:8])
        self._transport: DatagramTransport | None = None
        self._is_answering: bool | None = None
        self._is_listening = False
        self._readings = self._failures = self._reports = 0
        self._invalid = self._refused = 0

    async def run(self, stops: AsyncIterator[object]) -> None:
        """Read and report until a stop is requested.

        Parameters
        ----------
        stops : async iterator
            Yields when the process is asked to stop.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        if not self._settings.target_address:
            self._log("no-target")
            await anext(stops)
            return
        address = self._settings.address
        self._transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: _Socket(self._receive), local_addr=(address.host, address.port)
        )
        try:
            await self._engine.start()
            self._log(
                "started",
                address=f"{address.host}:{address.port}",
                target=self._settings.target_address,
            )
            async with create_task_group() as tasks:
                tasks.start_soon(self._read_loop)
                tasks.start_soon(self._status_loop)
                await anext(stops)
                tasks.cancel_scope.cancel()
            self._log("stopped", **self._totals())
        finally:
            self._transport.close()
            await self._engine.close()

    async def _read_loop(self) -> None:
        while True:
            started_at = self._clock()
            for name in self._subscribers.expire(started_at):
                self._log("subscription-expired", router=name)
            if len(self._subscribers):
                await self._read_and_report()
            await sleep_until(started_at + READ_INTERVAL_S)

    async def _read_and_report(self) -> None:
        # The state may be from any moment of the call, so it counts from its start.
        observed_at = self._clock()
        state = await self._engine.read()
        self._readings += 1
        self._note_answering(state)
        reading = _reading_of(state)
        now = self._clock()
        for address, message in self._subscribers.take_due(reading, observed_at, now):
            self._reports += 1
            self._transport.sendto(encode(message), address)

    def _note_answering(self, state: EngineState | NoEngineState) -> None:
        is_answering = isinstance(state, EngineState)
        is_listening = is_answering or state.is_listening
        if self._is_listening and not is_listening:
            self._subscribers.target_ends += 1
        self._is_listening = is_listening
        self._failures += not is_answering
        if is_answering is self._is_answering:
            return
        self._is_answering = is_answering
        if isinstance(state, NoEngineState):
            self._log("target-silent", detail=state.detail)
        else:
            self._log("target-answers", running=state.running, waiting=state.waiting)

    def _receive(self, data: bytes, sender: Address) -> None:
        try:
            subscription = decode_subscription(data)
        except MESSAGE_ERRORS as error:
            self._invalid += 1
            if self._invalid == 1:
                self._log("subscription-invalid", sender=sender, detail=repr(error))
            return
        known = len(self._subscribers)
        accepted = self._subscribers.subscribe(sender, subscription, self._clock())
        if not accepted:
            self._refused += 1
            if self._refused == 1:
                self._log("subscription-refused", router=subscription.name, known=known)
        elif len(self._subscribers) > known:
            self._log("subscribed", router=subscription.name)

    async def _status_loop(self) -> None:
        while True:
            await sleep(STATUS_INTERVAL_S)
            self._log("status", **self._totals())

    def _totals(self) -> dict[str, int]:
        return {
            "subscribers": len(self._subscribers),
            "readings": self._readings,
            "failed_readings": self._failures,
            "reports": self._reports,
            "invalid_subscriptions": self._invalid,
            "refused_subscriptions": self._refused,
        }


class _Socket(DatagramProtocol):
    """Receives subscriptions."""

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._on_datagram(data, addr)


def _reading_of(state: EngineState | NoEngineState) -> Reading | None:
    if isinstance(state, NoEngineState):
        return None
    return Reading(
        state.running,
        state.waiting,
        state.unread_tokens,
        state.cache_used,
        state.cache_total,
    )


def json_log(node: str) -> LogEvent:
    """Return a function that writes events as JSON lines to standard output."""

    def log(event: str, **fields: object) -> None:
        line = {"time": round(time(), 4), "node": node, "event": event, **fields}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    return log
