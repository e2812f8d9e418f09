"""Random faults against real processes of the direct router.

Requests are numbered, targets record which ones they ran, and every response is checked
against these records. ``BERYLWALK_SOAK`` sets the seeds, such as ``1,2,3``.
"""

import os
import re
from collections import Counter, defaultdict, deque
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from signal import SIGKILL, SIGTERM
from time import monotonic

import pytest
from anyio import create_task_group, fail_after, sleep

from berylwalk.standins import serving
from berylwalk.standins._revisions import prefix_range
from direct_fleet import (
    EVENTS,
    STORE,
    Fleet,
    ScriptedTarget,
    chunk,
    event,
    head,
)
from direct_processes import Routers

pytestmark = pytest.mark.anyio
SEEDS = [int(seed) for seed in os.environ.get("BERYLWALK_SOAK", "1,3").split(",")]
EXTENDED_SEEDS = SEEDS if "BERYLWALK_SOAK" in os.environ else SEEDS[:1]
STEPS = 24
CALLS_OF_A_STEP = 8
EVENTS_OF_A_STREAM = 6
RUN_S = 0.04
"""Run time of a request at a target, long enough for faults to interrupt it."""
KINDS = ("idempotent", "non_idempotent", "streaming")
NOT_RUN = frozenset({408, 421, 429, 503})
FAULTY_BODY = b"ends who runs it"
FAULTY_PART = "b4d"
FIRST_PART = "1f"
"""Part that all prompts share."""
COPIES_KEPT = 4
"""Copies of the store, one of each step; it is restored from the oldest."""
AWAY_S = 0.1
"""Time for which the store is away when it is restored."""
WRITE_AGAIN_S = 0.3
"""Time after which operators and targets write again what is lost."""
GRACE_S = 3.0
"""Grace period after a fault of a router or the store."""
VERSIONED_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
EVENTS_OF_A_VERSIONED_STREAM = 10
VERSIONED_EVENT_S = 0.1
VERSION_CHANGES = 3
LONGEST_CHANGE_S = 3.5
"""Time from the start of a version within which all routers are killed."""
RESTORED_SHARE = 0.5
"""Share of the changes in which the store comes back from an older copy."""
SETTLED_S = 1.5
"""Time after the last change within which its faults are over."""
MIN_EVENTS_SEEN, MAX_EVENTS_SEEN = 3, 7
"""Events of a stream whose record is stored and whose end is not near."""
GOES_ON_WITHIN_S = 10.0
"""Time within which routers start again and streams in progress reach their ends."""
IN_PROGRESS_WITHIN_S = 15.0
"""Time within which callers leave streams that can't go on, and begin new ones."""
MAX_TAKE_UPS = 30
TAKE_UP_AFTER_S = 0.2
MAX_CRASHES = 3
MAX_CRASHES_BY_PART = 5
MAX_LATE_ATTEMPTS = 3
"""Attempts of a faulty request by connected routers after it terminated three
targets."""


@dataclass
class RunLog:
    """Requests run by targets and responses received by callers."""

    runs: Counter = field(default_factory=Counter)
    answers: list = field(default_factory=list)

    async def run(self, request, writer, *, signal_headers=""):
        """Run a request; its response contains its number.

        ``states`` are additional header lines with flow control signals.
        """
        number = request.headers["attempt-id"]
        self.runs[number] += 1
        if "/streaming/" not in request.path:
            await sleep(RUN_S)
            body = f"answer of {number}".encode()
            writer.write(head(request, length=len(body), more=signal_headers) + body)
            return
        more = f"Transfer-Encoding: chunked\r\n{signal_headers}"
        writer.write(head(request, kind=EVENTS, more=more))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for each in range(first, EVENTS_OF_A_STREAM + 1):
            writer.write(chunk(event(each)))
            await writer.drain()
            await sleep(RUN_S / EVENTS_OF_A_STREAM)
        writer.write(b"0\r\n\r\n")

    def check(self):
        """Check every response against the recorded runs."""
        for number, kind, reply in self.answers:
            runs = self.runs[number]
            if kind == "non_idempotent":
                assert runs <= 1, f"{number} ran {runs} times"
                if reply is not None and reply.status in NOT_RUN:
                    assert runs == 0, f"{number} was said not to have run"
            if reply is None or reply.status != 200 or not reply.is_complete:
                continue
            expected = f"answer of {number}".encode()
            if kind == "streaming":
                expected = b"".join(map(event, range(1, EVENTS_OF_A_STREAM + 1)))
            assert reply.body == expected, f"{number} got another answer"


@dataclass
class FaultyRequest:
    """A request that terminates every target and is repeated.

    Attributes
    ----------
    has_part : bool
        Whether it is a new request each time, with the same part in its prompt.
    """

    has_part: bool = False
    router_by_id: dict = field(default_factory=dict)
    last_fault_by_router: Counter = field(default_factory=Counter)
    store_last_fault_at: float = 0.0
    crashes: int = 0
    found_at: float = float("inf")
    sent_while_connected: int = 0

    def count_attempt(self, request_id, store_is_down):
        """Count an attempt, each of which terminates a target."""
        now = monotonic()
        router = self.router_by_id[request_id]
        last_fault_at = max(
            self.last_fault_by_router[router],
            now if store_is_down else self.store_last_fault_at,
        )
        is_connected = now > last_fault_at + GRACE_S
        if now > self.found_at + GRACE_S and is_connected:
            self.sent_while_connected += 1
        self.crashes += 1
        if self.crashes == (MAX_CRASHES_BY_PART if self.has_part else MAX_CRASHES):
            self.found_at = now

    def check(self):
        """Check the number of attempts."""
        assert self.sent_while_connected <= MAX_LATE_ATTEMPTS


@dataclass
class SignalLog:
    """Flow control signals of targets, and the routers that forwarded a leaving signal.

    A request that starts after a router has forwarded such a signal must not reach that
    target through the same process.
    """

    signal_by_target: dict = field(default_factory=dict)
    leaving_by_router: dict = field(default_factory=lambda: defaultdict(set))
    excluded_by_id: dict = field(default_factory=dict)
    late_arrivals: list = field(default_factory=list)

    def headers(self, target):
        """Return the header lines with a target's signals."""
        lines = [f"X-Target: {target.target_id}"]
        match self.signal_by_target.get(target.target_id):
            case "limit":
                lines.append("Server-Limit: 2.5")
            case "leaving":
                lines.append("Server-Leaving: 1")
        return "".join(f"{line}\r\n" for line in lines)

    def record_start(self, number, router):
        """Record the targets known to be leaving when a call starts."""
        self.excluded_by_id[number] = frozenset(self.leaving_by_router[router])

    def record_arrival(self, request, target):
        """Record that a call reached a target."""
        number = request.headers["attempt-id"]
        if target.target_id in self.excluded_by_id.get(number, ()):
            self.late_arrivals.append((number, target.target_id))

    def record_response(self, router, reply):
        """Record a leaving signal that a router forwarded."""
        if reply is not None and "server-leaving" in reply.headers:
            self.leaving_by_router[router].add(reply.headers["x-target"])


def prompt(*parts):
    """Return a value of the header with the parts of a prompt."""
    return ",".join(f"{part}:60" for part in parts)


def is_faulty(request):
    """Return whether a request terminates its target."""
    parts = request.headers.get("prompt-prefix", "").split(",")[:-1]
    return request.body == FAULTY_BODY or f"{FAULTY_PART}:60" in parts


class Soak:
    """One run with faults of a seed and concurrent callers."""

    def __init__(self, fleet, routers, run_log, random):
        self.fleet = fleet
        self.routers = routers
        self.run_log = run_log
        self.random = random
        # Calls overlap in any order. A shared random source would change the sequence
        # of faults of a seed.
        self.calls_random = Random(random.random())
        self.faulty_random = Random("guilty")
        self.faulty = FaultyRequest()
        self.signal_log = SignalLog()
        self.signal_random = Random("needs")
        self.addresses = []
        self.settings = []
        self.restarts_by_name = Counter()
        self.targets_made = []
        self.copies = deque(maxlen=COPIES_KEPT)

    async def add_target(self, **entry):
        """Start a target and list it, with these fields of its entry."""
        number = len(self.targets_made)
        target = ScriptedTarget(f"i-{number}", 22_200 + number, None)
        target.script = self._script_of(target)
        # Registered before the await because another target may be added concurrently.
        self.targets_made.append(target)
        await target.start()
        self.fleet.targets.append(target)
        self.fleet.put_target(target, **entry)
        return target

    def _script_of(self, target):
        async def script(request, writer):
            if not is_faulty(request):
                await self._run(target, request, writer)
                return
            is_down = self.fleet.platform.faults.down
            self.faulty.count_attempt(request.headers["attempt-id"], is_down)
            await target.crash()
            if target in self.fleet.targets:
                self.fleet.targets.remove(target)
            await self.add_target()
            self.fleet.platform.store.delete(f"servers/{target.target_id}".encode())

        return script

    async def _run(self, target, request, writer):
        self.signal_log.record_arrival(request, target)
        if self.signal_log.signal_by_target.get(target.target_id) == "rest":
            asks = "Not-Executed: 1\r\nRetry-After: 0.4\r\n"
            writer.write(head(request, status="503 Rest", length=0, more=asks))
            return
        signal_headers = self.signal_log.headers(target)
        await self.run_log.run(request, writer, signal_headers=signal_headers)

    def change_signal(self):
        """Change the signal of a random target; the first one never signals."""
        target = self.signal_random.choice(self.fleet.targets[1:])
        signal = self.signal_random.choice(("limit", "rest", "leaving", None))
        if self.signal_log.signal_by_target.get(target.target_id) != "leaving":
            self.signal_log.signal_by_target[target.target_id] = signal

    async def call_faulty(self, number):
        """Send the faulty request again to a random router."""
        router = self.faulty_random.randrange(len(self.addresses))
        self.faulty.router_by_id[number] = router
        self.fleet.settings = self.addresses[router]
        content = {"body": FAULTY_BODY}
        if self.faulty.has_part:
            content = {
                "body": number.encode(),
                "Prompt_Prefix": prompt(FIRST_PART, FAULTY_PART, f"a{number}"),
            }
        try:
            reply = await self.fleet.call(
                "/idempotent/", request_id=number, Deadline_Ms="2000", **content
            )
        except (ConnectionError, EOFError):
            return
        assert reply.status != 200

    def restart(self, router, signal):
        """Terminate a router by a signal and start it again."""
        self.routers.restart(router, signal)
        self.faulty.last_fault_by_router[router] = monotonic()
        self.restarts_by_name[self.settings[router].name] += 1

    async def step(self):
        """Inject one fault or change."""
        faults = self.fleet.platform.faults
        match self.random.choice(
            (
                "kill",
                "stop",
                "outage",
                "lost",
                "compact",
                "crash",
                "drain",
                "version",
                "restore",
            )
        ):
            case "kill":
                self.restart(self.random.randrange(3), SIGKILL)
            case "stop":
                self.restart(self.random.randrange(3), SIGTERM)
            case "outage":
                faults.down = not faults.down
                self.faulty.store_last_fault_at = monotonic()
            case "lost":
                faults.lose_answers = 3
                self.faulty.store_last_fault_at = monotonic()
            case "compact":
                self.fleet.platform.store.compact()
            case "crash":
                target = self.fleet.targets.pop(0)
                await target.crash()
                await self.add_target()
                self.fleet.platform.store.delete(f"servers/{target.target_id}".encode())
            case "drain":
                target = self.fleet.targets.pop(0)
                self.fleet.put_target(target, state="draining")
                await self.add_target()
            case "version":
                self.fleet.put_configuration()
            case "restore":
                await self.restore_store()
                self.faulty.store_last_fault_at = monotonic()
        self.copies.append(self.fleet.platform.store.take_copy())

    async def restore_store(self):
        """Let the store come back from a copy, and let writers write again."""
        platform = self.fleet.platform
        platform.faults.key_value_down = True
        await sleep(AWAY_S)
        written = self._written()
        platform.store.restore(self.copies[0], monotonic())
        copied = self._written()
        platform.faults.key_value_down = False
        await sleep(WRITE_AGAIN_S)
        present = self._written()
        for key in written.keys() | copied.keys():
            is_lost = written.get(key) != copied.get(key)
            if not is_lost or present.get(key) != copied.get(key):
                continue
            if key in written:
                if not self._has_ended(key):
                    platform.store.put(key, written[key])
            else:
                platform.store.delete(key)

    def _has_ended(self, key):
        """Return whether a key is the entry of a target that has ended meanwhile."""
        return any(
            key == f"servers/{target.target_id}".encode()
            for target in self.targets_made
            if not target.server.is_serving()
        )

    def _written(self):
        """Return the values that operators and targets have written, by key."""
        prefixes = (b"op/", b"servers/")
        entries = [self.fleet.platform.store.range(*prefix_range(p)) for p in prefixes]
        return {each.key: each.value for some in entries for each in some}

    async def call(self, number):
        """Make one call at a random router and record the response."""
        kind = self.calls_random.choice(KINDS)
        self.fleet.settings = self.calls_random.choice(self.addresses)
        name = self.fleet.settings.name
        incarnation = (name, self.restarts_by_name[name])
        self.signal_log.record_start(number, incarnation)
        try:
            reply = await self.fleet.call(
                f"/{kind}/",
                request_id=number,
                Deadline_Ms="2000",
                Prompt_Prefix=prompt(FIRST_PART, "50", f"a{number}"),
            )
        except (ConnectionError, EOFError):
            reply = None
        self.signal_log.record_response(incarnation, reply)
        self.run_log.answers.append((number, kind, reply))
        return reply

    async def wait_until_served(self):
        """Restore the store and wait until each router serves requests."""
        self.fleet.platform.faults.down = False
        every = self.addresses
        for address in every:
            self.addresses = [address]
            reply = None
            while reply is None or reply.status != 200:
                self.routers.check()
                reply = await self.call(f"healed-{len(self.run_log.answers)}")
                await sleep(0.05)
        self.addresses = every


@dataclass
class TakenUpStream:
    """A stream over all requests of its caller.

    Attributes
    ----------
    first_id : str
        Id of the request that brought its first event; empty before.
    versions : set of bytes
        Versions of the targets whose events the caller got.
    went_on : bool
        Whether events followed when it was taken up.
    """

    first_id: str = ""
    last_event_id: int = 0
    went_on: bool = False
    versions: set = field(default_factory=set)
    is_complete: bool = False

    def receive(self, number, reply):
        """Receive a response, whose events follow those before."""
        for event_id, version in VERSIONED_EVENT.findall(reply.body):
            assert int(event_id) == self.last_event_id + 1
            self.first_id = self.first_id or number
            self.went_on = self.went_on or self.first_id != number
            self.last_event_id += 1
            self.versions.add(version)
        self.is_complete = reply.status == 200 and reply.is_complete


class VersionSoak(Soak):
    """Versions of targets change while all routers are killed at once."""

    def __init__(self, *args):
        super().__init__(*args)
        self.version = 1
        self.version_by_id = {}
        self.streams = []
        self.running = {}

    def _script_of(self, target):
        self.version_by_id[target.target_id] = f"v{self.version}"
        return super()._script_of(target)

    async def add_target(self):
        """Start a target of the newest version and list it."""
        return await super().add_target(version=f"v{self.version}")

    async def _run(self, target, request, writer):
        if "/streaming/" not in request.path:
            await super()._run(target, request, writer)
            return
        more = f"Transfer-Encoding: chunked\r\n{self.signal_log.headers(target)}"
        writer.write(head(request, kind=EVENTS, more=more))
        first = int(request.headers.get("last-event-id", 0)) + 1
        version = self.version_by_id[target.target_id].encode()
        first_id = request.body.decode()
        try:
            for number in range(first, EVENTS_OF_A_VERSIONED_STREAM + 1):
                writer.write(chunk(b"id: %d\ndata: %s\n\n" % (number, version)))
                await writer.drain()
                self.running[first_id] = number
                await sleep(VERSIONED_EVENT_S)
        finally:
            self.running.pop(first_id, None)
        writer.write(b"0\r\n\r\n")

    async def change_versions(self):
        """Change the version again and again; callers keep their streams meanwhile."""
        async with create_task_group() as tasks:
            for caller in range(CALLS_OF_A_STEP):
                tasks.start_soon(self._keep_streaming, f"c{caller}")
            for _ in range(VERSION_CHANGES):
                await self._change_version(tasks)
            await sleep(SETTLED_S)
            await self._kill_all_amid_streams()
            await self._until_complete(STEPS)
            tasks.cancel_scope.cancel()

    async def _kill_all_amid_streams(self):
        """Kill all routers once more; each stream in progress reaches its end."""
        with fail_after(IN_PROGRESS_WITHIN_S):
            while len(in_progress := self._in_progress()) < CALLS_OF_A_STEP // 2:
                await sleep(VERSIONED_EVENT_S / 2)
        self.routers.restart_all(SIGKILL)
        with fail_after(GOES_ON_WITHIN_S):
            while not in_progress <= self._gone_on():
                await sleep(VERSIONED_EVENT_S)

    async def _until_complete(self, number):
        """Wait until callers have got so many more complete streams."""
        before = sum(each.is_complete for each in self.streams)
        with fail_after(GOES_ON_WITHIN_S):
            while sum(each.is_complete for each in self.streams) <= before + number:
                await sleep(VERSIONED_EVENT_S)

    def _in_progress(self):
        """Return the first ids of the streams that targets are sending."""
        return {
            first_id
            for first_id, events in self.running.items()
            if MIN_EVENTS_SEEN <= events <= MAX_EVENTS_SEEN
        }

    def _gone_on(self):
        """Return the first ids of the streams that were taken up up to their ends."""
        return {
            each.first_id for each in self.streams if each.went_on and each.is_complete
        }

    async def _change_version(self, tasks):
        """Replace all targets, some entries while no router runs."""
        draw = self.random.uniform
        leaving = list(self.fleet.targets)
        tasks.start_soon(self._kill_all_after, draw(0.0, LONGEST_CHANGE_S))
        if self.random.random() < RESTORED_SHARE:
            tasks.start_soon(self._restore_after, draw(0.0, LONGEST_CHANGE_S))
        self.copies.append(self.fleet.platform.store.take_copy())
        self.version += 1
        for _ in leaving:
            await self.add_target()
        await sleep(draw(0.2, 1.5))
        for target in leaving:
            self.signal_log.signal_by_target[target.target_id] = "leaving"
            self.fleet.put_target(
                target,
                version=self.version_by_id[target.target_id],
                state="draining",
            )
        await sleep(draw(0.2, 1.5))
        for target in leaving:
            self.fleet.targets.remove(target)
            self.fleet.platform.store.delete(f"servers/{target.target_id}".encode())
            await target.crash()
        await sleep(LONGEST_CHANGE_S - 1.0)

    async def _kill_all_after(self, seconds):
        await sleep(seconds)
        self.routers.restart_all(SIGKILL)

    async def _restore_after(self, seconds):
        await sleep(seconds)
        await self.restore_store()

    async def _keep_streaming(self, caller):
        while True:
            stream = TakenUpStream()
            self.streams.append(stream)
            for number in range(MAX_TAKE_UPS):
                await self._take_up(stream, f"{caller}-{len(self.streams)}-{number}")
                if stream.is_complete:
                    break
                await sleep(TAKE_UP_AFTER_S)

    async def _take_up(self, stream, number):
        self.fleet.settings = self.calls_random.choice(self.addresses)
        headers = {}
        if stream.first_id:
            headers["Resumes"] = stream.first_id
            headers["Last_Event_Id"] = str(stream.last_event_id)
        body = (stream.first_id or number).encode()
        try:
            reply = await self.fleet.call(
                "/streaming/", request_id=number, body=body, **headers
            )
        except (ConnectionError, EOFError):
            return
        stream.receive(number, reply)


@pytest.fixture
def soaking(make_settings, free_port, tmp_path):
    """Return a context manager that runs three routers and the targets."""

    @asynccontextmanager
    async def run(seed, targets=2, soak_class=Soak):
        settings = [make_settings(name=f"edge-{number}") for number in range(3)]
        fleet = Fleet(settings[0])
        for kind in KINDS:
            fleet.route(kind, resumable=kind == "streaming")
        run_log = RunLog()
        async with serving(fleet.platform.handle, *STORE, fleet.platform.run):
            fleet.put_configuration()
            routers = Routers.from_settings(settings, tmp_path)
            soak = soak_class(fleet, routers, run_log, Random(seed))
            soak.addresses = soak.settings = settings
            try:
                for _ in range(targets):
                    await soak.add_target()
                soak.copies.append(fleet.platform.store.take_copy())
                await soak.wait_until_served()
                yield soak
            finally:
                routers.close()
                for target in soak.targets_made:
                    await target.close()

    return run


async def run_steps(soak, *, with_faulty=False, with_signals=False):
    """Run calls and faults concurrently, then check the records."""
    for step in range(STEPS):
        async with create_task_group() as calls:
            for number in range(CALLS_OF_A_STEP):
                calls.start_soon(soak.call, f"s{step}-{number}")
            if with_faulty:
                calls.start_soon(soak.call_faulty, f"g{step}")
            await sleep(RUN_S / 2)
            if with_signals:
                soak.change_signal()
            await soak.step()
    if with_signals:
        # All other targets may be leaving or resting for good by now.
        await soak.add_target()
    await soak.wait_until_served()
    assert all(process.poll() is None for process in soak.routers.processes)
    soak.run_log.check()
    soak.faulty.check()
    assert soak.signal_log.late_arrivals == []
    statuses = Counter(
        None if reply is None else reply.status for _, _, reply in soak.run_log.answers
    )
    assert statuses[200] > STEPS


class TestSoak:
    """Random faults do not corrupt responses."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_responses_are_correct_under_random_faults(self, soaking, seed):
        """All routers serve requests again after the faults."""
        async with soaking(seed) as soak:
            await run_steps(soak)

    @pytest.mark.parametrize("seed", EXTENDED_SEEDS)
    async def test_signals_under_random_faults(self, soaking, seed):
        """Targets advertise limits, request backoffs and leave meanwhile."""
        async with soaking(seed, targets=4) as soak:
            await run_steps(soak, with_signals=True)
            assert any(soak.signal_log.leaving_by_router.values())

    @pytest.mark.parametrize("seed", EXTENDED_SEEDS)
    async def test_faulty_request_under_random_faults(self, soaking, seed):
        """The request terminates only a few targets, and responses stay correct.

        There are more targets than it may terminate during an outage of the store,
        because routers don't learn of replacements then.
        """
        async with soaking(seed, targets=2 + MAX_CRASHES + MAX_LATE_ATTEMPTS) as soak:
            await run_steps(soak, with_faulty=True)
            assert soak.faulty.crashes

    @pytest.mark.parametrize("seed", EXTENDED_SEEDS)
    async def test_faulty_prompt_part_under_random_faults(self, soaking, seed):
        """The same for a part of new prompts, whose first part all requests share."""
        targets = 2 + MAX_CRASHES_BY_PART + MAX_LATE_ATTEMPTS
        async with soaking(seed, targets=targets) as soak:
            soak.faulty.has_part = True
            await run_steps(soak, with_faulty=True)
            assert soak.faulty.crashes

    @pytest.mark.parametrize("seed", EXTENDED_SEEDS)
    async def test_versions_change_while_all_routers_are_killed(self, soaking, seed):
        """No stream joins versions, or lacks or repeats an event."""
        async with soaking(seed, targets=3, soak_class=VersionSoak) as soak:
            await soak.change_versions()
            joined = [each for each in soak.streams if len(each.versions) > 1]
            assert joined == []
            assert sum(each.is_complete for each in soak.streams) > STEPS
            assert any(each.went_on and each.is_complete for each in soak.streams)
