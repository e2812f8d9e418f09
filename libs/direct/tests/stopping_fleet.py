"""Routers that get SIGTERM while callers go on using their connections.

The callers keep a connection until a response or its end says that it is closed, and
new ones go to the routers that respond to health checks, as a load balancer sends them.
"""

from asyncio import CancelledError, IncompleteReadError, open_connection
from dataclasses import dataclass, field
from json import loads
from random import Random
from signal import SIGTERM
from subprocess import Popen
from sys import executable
from time import monotonic

from anyio import move_on_after, sleep
from anyio.to_thread import run_sync

from direct_fleet import CHUNKED, EVENTS, chunk, event, get, head, read_reply
from direct_processes import Routers

GRACE_S = 8.0
"""Time from SIGTERM until the platform kills a process."""
LATE_PART_S = GRACE_S / 6
"""A request whose target is at work in so much of the end of the grace may be cut."""
ACCEPTED_S = 3.0
"""Time after SIGTERM in which callers may still reach a router."""
LOSS_SLACK_S = 0.2
"""Time within which the end of a connection may cross a request."""
EVENT_S = 0.1
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 1.0
MISSES = 2
"""Failed health checks after which a router gets no new connections."""
RESTART_AFTER_S = 0.5
MEAN_EVENTS = 15.0
MAX_EVENTS = 90
EAGER_SHARE = 0.7
"""Part of the requests that follow the response before at once."""
LONGEST_PAUSE_S = 0.3


@dataclass(slots=True)
class Call:
    """One request of a caller, in seconds of the test's clock."""

    number: str
    path: str
    router: int
    incarnation: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    is_complete: bool = False
    is_first: bool = True
    """Whether it is the first one of its connection."""
    arrived_at: float | None = None
    """When a target got it; None if none did."""
    worked_until: float = float("inf")
    is_cancelled: bool = False
    """Whether the test ended first."""

    @property
    def is_answered(self) -> bool:
        """Whether its caller has a whole response."""
        return self.status is not None and self.is_complete

    def is_lost(self, stopped_at: float) -> bool:
        """Return whether the end of its router cost it its response.

        Parameters
        ----------
        stopped_at : float
            When its router got SIGTERM.
        """
        if self.is_answered or self.ended_at < stopped_at:
            return False
        if self.is_cancelled and self.ended_at <= stopped_at + GRACE_S:
            return False
        if self.arrived_at is None:
            return self.ended_at - self.sent_at > LOSS_SLACK_S
        is_late = self.sent_at > stopped_at + ACCEPTED_S
        return is_late or self.worked_until < stopped_at + GRACE_S - LATE_PART_S


class LoggedRouters(Routers):
    """Processes whose logs are kept, with the times of their signals."""

    def __init__(self, settings_files):
        self.stopped_at = {}
        self.killed = []
        self.incarnations = [0] * len(settings_files)
        super().__init__(settings_files)

    def _start(self, path):
        command = [executable, "-m", "berylwalk.direct", "--settings", path]
        with open(f"{path}.log", "ab") as log:
            return Popen(command, stdout=log)

    def log_lines(self):
        """Return what all processes have logged."""
        lines = []
        for path in self._files:
            with open(f"{path}.log") as log:
                lines += [loads(line) for line in log]
        return lines

    def signal(self, number, signal):
        """Send a signal to a process."""
        self.processes[number].send_signal(signal)

    async def stop(self, number):
        """Send SIGTERM, wait for the end of the process and start it again.

        A process that outlives its grace is killed, as the platform does.
        """
        process = self.processes[number]
        self.stopped_at[number, self.incarnations[number]] = monotonic()
        process.send_signal(SIGTERM)
        with move_on_after(GRACE_S):
            await run_sync(process.wait, abandon_on_cancel=True)
        if process.poll() is None:
            self.killed.append(number)
            process.kill()
            await run_sync(process.wait)
        await sleep(RESTART_AFTER_S)
        self.incarnations[number] += 1
        self.processes[number] = self._start(self._files[number])


@dataclass
class StoppingFleet:
    """Callers, targets and a load balancer of routers that are stopped.

    Parameters
    ----------
    fleet : Fleet
        Its configuration and requests.
    routers : LoggedRouters
        The processes.
    settings : list of RouterSettings
        Of each router.
    random : Random
        Chooses requests, pauses and routers.
    """

    fleet: object
    routers: LoggedRouters
    settings: list
    random: Random
    calls: dict = field(default_factory=dict)
    in_rotation: list = field(default_factory=list)

    async def respond(self, request, writer):
        """Respond as a target: a stream of as many events as the path says."""
        call = self.calls.get(request.headers["attempt-id"])
        if call is None:
            writer.write(head(request, length=0))
            return
        call.arrived_at = call.arrived_at or monotonic()
        try:
            await self._respond(request, writer)
        finally:
            call.worked_until = monotonic()

    async def _respond(self, request, writer):
        if "/streaming/" not in request.path:
            await sleep(EVENT_S)
            writer.write(head(request, length=2) + b"ok")
            return
        writer.write(head(request, kind=EVENTS, more=CHUNKED))
        last = int(request.path.rsplit("/", 1)[1])
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, last + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    async def check_health(self):
        """Keep the list of routers in rotation."""
        misses = [MISSES] * len(self.settings)
        while True:
            for number, settings in enumerate(self.settings):
                is_ready = await self._is_ready(settings.readiness_address)
                misses[number] = 0 if is_ready else misses[number] + 1
            self.in_rotation = [n for n, count in enumerate(misses) if count < MISSES]
            await sleep(CHECK_INTERVAL_S)

    async def _is_ready(self, address):
        with move_on_after(CHECK_TIMEOUT_S):
            try:
                reply = await get(address.host, address.port, "/readyz")
            except (OSError, EOFError):
                return False
            return reply.status == 200
        return False

    async def call_until_cancelled(self, caller):
        """Send one request after the other, on one connection while it is kept."""
        number = 0
        while True:
            while not self.in_rotation:
                await sleep(EVENT_S)
            router = self.random.choice(self.in_rotation)
            address = self.settings[router].caller_address
            try:
                reader, writer = await open_connection(address.host, address.port)
            except OSError:
                await sleep(EVENT_S)
                continue
            number = await self._use(caller, number, router, reader, writer)

    async def _use(self, caller, number, router, reader, writer):
        """Use a connection until it is closed; returns the number of the next call."""
        is_kept, is_first = True, True
        try:
            while is_kept and not reader.at_eof():
                number += 1
                call = self._next_call(f"{caller}-{number}", router, is_first=is_first)
                is_first = False
                is_kept = await self._call(call, reader, writer)
                if self.random.random() > EAGER_SHARE:
                    await sleep(self.random.uniform(0.0, LONGEST_PAUSE_S))
        finally:
            writer.close()
        return number

    def _next_call(self, number, router, *, is_first):
        events = 1 + int(self.random.expovariate(1 / MEAN_EVENTS))
        kind = self.random.choice(("streaming", "streaming", "idempotent", "once"))
        path = f"/{kind}/{min(events, MAX_EVENTS)}"
        incarnation = self.routers.incarnations[router]
        call = Call(number, path, router, incarnation, monotonic(), is_first=is_first)
        self.calls[number] = call
        return call

    async def _call(self, call, reader, writer):
        """Make one call; returns whether the connection is kept."""
        writer.write(self.fleet.encoded(call.path, request_id=call.number))
        try:
            reply = await read_reply(reader)
        except (OSError, IncompleteReadError, CancelledError) as error:
            call.ended_at = monotonic()
            if isinstance(error, CancelledError):
                call.is_cancelled = True
                raise
            return False
        call.ended_at = monotonic()
        call.status, call.is_complete = reply.status, reply.is_complete
        return reply.is_complete and reply.headers.get("connection") != "close"

    def lost(self):
        """Return the calls that were lost by the end of their routers."""
        stopped_at = self.routers.stopped_at
        return [
            call
            for call in self.calls.values()
            if (call.router, call.incarnation) in stopped_at
            and call.is_lost(stopped_at[call.router, call.incarnation])
        ]
