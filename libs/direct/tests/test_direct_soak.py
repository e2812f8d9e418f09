"""Random faults against real processes of the direct router.

Each request is numbered; targets note which ones they ran, and every answer is held
against that. ``BERYLWALK_SOAK`` sets the seeds, such as ``1,2,3``.
"""

import os
import sys
from collections import Counter, defaultdict
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from json import dumps
from random import Random
from signal import SIGKILL, SIGTERM
from subprocess import DEVNULL, Popen
from time import monotonic

import pytest
from anyio import create_task_group, sleep

from berylwalk.standins import serving
from direct_fleet import (
    EVENTS,
    HOST,
    STORE,
    Fleet,
    ScriptedTarget,
    chunk,
    event,
    head,
)

pytestmark = pytest.mark.anyio
SEEDS = [int(seed) for seed in os.environ.get("BERYLWALK_SOAK", "1,3").split(",")]
GUILTY_SEEDS = SEEDS if "BERYLWALK_SOAK" in os.environ else SEEDS[:1]
STEPS = 24
CALLS_OF_A_STEP = 8
EVENTS_OF_A_STREAM = 6
RUN_S = 0.04
"""Time that a target takes for a request: faults come in the middle of it."""
KINDS = ("idempotent", "non_idempotent", "streaming")
NOT_RUN = frozenset({408, 421, 429, 503})
GUILTY = b"ends who runs it"
CONTACT_S = 3.0
"""Time after a fault of a router or the store in which its sends don't count."""
ENDS_ALLOWED = 3
SENDS_ALLOWED = 3
"""Sends of a guilty request, by routers in touch, once it has ended three targets."""


@dataclass
class Ledger:
    """What targets ran, and what callers were told."""

    runs: Counter = field(default_factory=Counter)
    answers: list = field(default_factory=list)

    async def run(self, request, writer, *, states=""):
        """Run a request as a target does; the answer tells its number.

        ``states`` are header lines by which the target says what it takes.
        """
        number = request.headers["attempt-id"]
        self.runs[number] += 1
        if "/streaming/" not in request.path:
            await sleep(RUN_S)
            body = f"answer of {number}".encode()
            writer.write(head(request, length=len(body), more=states) + body)
            return
        more = f"Transfer-Encoding: chunked\r\n{states}"
        writer.write(head(request, kind=EVENTS, more=more))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for each in range(first, EVENTS_OF_A_STREAM + 1):
            writer.write(chunk(event(each)))
            await writer.drain()
            await sleep(RUN_S / EVENTS_OF_A_STREAM)
        writer.write(b"0\r\n\r\n")

    def check(self):
        """Hold every answer against what ran."""
        for number, kind, reply in self.answers:
            runs = self.runs[number]
            if kind == "non_idempotent":
                assert runs <= 1, f"{number} ran {runs} times"
                if reply is not None and reply.status in NOT_RUN:
                    assert runs == 0, f"{number} was said not to have run"
            if reply is None or reply.status != 200 or not reply.whole:
                continue
            expected = f"answer of {number}".encode()
            if kind == "streaming":
                expected = b"".join(map(event, range(1, EVENTS_OF_A_STREAM + 1)))
            assert reply.body == expected, f"{number} got another answer"


@dataclass
class GuiltyRequest:
    """A request that ends the targets which run it, and comes again and again."""

    router_by_id: dict = field(default_factory=dict)
    disturbed_at_by_router: Counter = field(default_factory=Counter)
    store_disturbed_at: float = 0.0
    ended: int = 0
    third_at: float = float("inf")
    sent_in_touch: int = 0

    def note_sent(self, request_id, store_is_down):
        """Count a send; each ends a target."""
        now = monotonic()
        router = self.router_by_id[request_id]
        disturbed_at = max(
            self.disturbed_at_by_router[router],
            now if store_is_down else self.store_disturbed_at,
        )
        is_in_touch = now > disturbed_at + CONTACT_S
        if now > self.third_at + CONTACT_S and is_in_touch:
            self.sent_in_touch += 1
        self.ended += 1
        if self.ended == ENDS_ALLOWED:
            self.third_at = now

    def check(self):
        """Hold its sends against the bound."""
        assert self.sent_in_touch <= SENDS_ALLOWED


@dataclass
class FlowControl:
    """What targets say that they take, and who passed on that one leaves.

    A call that begins after a router has passed such an answer on must not reach that
    target from the same process.
    """

    signal_by_target: dict = field(default_factory=dict)
    told_by_router: dict = field(default_factory=lambda: defaultdict(set))
    barred_by_id: dict = field(default_factory=dict)
    reached_after: list = field(default_factory=list)

    def headers(self, target):
        """Return what a target states in its answers."""
        lines = [f"X-Target: {target.target_id}"]
        match self.signal_by_target.get(target.target_id):
            case "limit":
                lines.append("Server-Limit: 2.5")
            case "leaving":
                lines.append("Server-Leaving: 1")
        return "".join(f"{line}\r\n" for line in lines)

    def note_begun(self, number, router):
        """Note what the router of a call has passed on before."""
        self.barred_by_id[number] = frozenset(self.told_by_router[router])

    def note_reached(self, request, target):
        """Note that a call reached a target."""
        number = request.headers["attempt-id"]
        if target.target_id in self.barred_by_id.get(number, ()):
            self.reached_after.append((number, target.target_id))

    def note_answered(self, router, reply):
        """Note what a router passed on."""
        if reply is not None and "server-leaving" in reply.headers:
            self.told_by_router[router].add(reply.headers["x-target"])


class Routers:
    """Processes of the direct router."""

    def __init__(self, settings_files):
        self._files = settings_files
        self.processes = [self._start(path) for path in settings_files]

    def _start(self, path):
        command = [sys.executable, "-m", "berylwalk.direct", "--settings", path]
        return Popen(command, stdout=DEVNULL)

    def restart(self, number, signal):
        """End a process by a signal and start it again."""
        self.check()
        process = self.processes[number]
        process.send_signal(signal)
        process.wait()
        self.processes[number] = self._start(self._files[number])

    def check(self):
        """Fail if a router has ended by itself: it would be waited for in vain."""
        ended = [process.poll() for process in self.processes]
        assert ended == [None] * len(ended), "a router ended by itself"

    def close(self):
        """End all."""
        for process in self.processes:
            process.kill()
            process.wait()


class Soak:
    """One run: faults by a seed, and callers all the while."""

    def __init__(self, fleet, routers, ledger, random):
        self.fleet = fleet
        self.routers = routers
        self.ledger = ledger
        self.random = random
        # Calls overlap in any order: drawn from one source, they would make each run
        # of a seed another sequence of faults.
        self.calls_random = Random(random.random())
        self.guilty_random = Random("guilty")
        self.guilty = GuiltyRequest()
        self.needs = FlowControl()
        self.needs_random = Random("needs")
        self.addresses = []
        self.settings = []
        self.lives_by_name = Counter()
        self.targets_made = []

    async def add_target(self):
        """Start a target and list it."""
        number = len(self.targets_made)
        target = ScriptedTarget(f"i-{number}", 22_200 + number, None)
        target.script = self._script_of(target)
        # Before it waits: another one may be added meanwhile.
        self.targets_made.append(target)
        await target.start()
        self.fleet.targets.append(target)
        self.fleet.put_target(target)

    def _script_of(self, target):
        async def script(request, writer):
            if request.body != GUILTY:
                await self._run(target, request, writer)
                return
            is_down = self.fleet.platform.faults.down
            self.guilty.note_sent(request.headers["attempt-id"], is_down)
            await target.crash()
            if target in self.fleet.targets:
                self.fleet.targets.remove(target)
            await self.add_target()
            self.fleet.platform.store.delete(f"servers/{target.target_id}".encode())

        return script

    async def _run(self, target, request, writer):
        self.needs.note_reached(request, target)
        if self.needs.signal_by_target.get(target.target_id) == "rest":
            asks = "Not-Executed: 1\r\nRetry-After: 0.4\r\n"
            writer.write(head(request, status="503 Rest", length=0, more=asks))
            return
        states = self.needs.headers(target)
        await self.ledger.run(request, writer, states=states)

    def change_needs(self):
        """Let a target state something else; one always takes all."""
        target = self.needs_random.choice(self.fleet.targets[1:])
        stated = self.needs_random.choice(("limit", "rest", "leaving", None))
        if self.needs.signal_by_target.get(target.target_id) != "leaving":
            self.needs.signal_by_target[target.target_id] = stated

    async def call_guilty(self, number):
        """Send the guilty request once more, to some router."""
        router = self.guilty_random.randrange(len(self.addresses))
        self.guilty.router_by_id[number] = router
        self.fleet.settings = self.addresses[router]
        try:
            reply = await self.fleet.call(
                "/idempotent/", request_id=number, body=GUILTY, Deadline_Ms="2000"
            )
        except (ConnectionError, EOFError):
            return
        assert reply.status != 200

    def restart(self, router, signal):
        """End a router by a signal and start it again."""
        self.routers.restart(router, signal)
        self.guilty.disturbed_at_by_router[router] = monotonic()
        self.lives_by_name[self.settings[router].name] += 1

    async def step(self):
        """Do one thing that may go wrong in production."""
        faults = self.fleet.platform.faults
        match self.random.choice(
            ("kill", "stop", "outage", "lost", "compact", "crash", "drain", "version")
        ):
            case "kill":
                self.restart(self.random.randrange(3), SIGKILL)
            case "stop":
                self.restart(self.random.randrange(3), SIGTERM)
            case "outage":
                faults.down = not faults.down
                self.guilty.store_disturbed_at = monotonic()
            case "lost":
                faults.lose_answers = 3
                self.guilty.store_disturbed_at = monotonic()
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

    async def call(self, number):
        """Make one call at some router and note what came back."""
        kind = self.calls_random.choice(KINDS)
        self.fleet.settings = self.calls_random.choice(self.addresses)
        name = self.fleet.settings.name
        life = (name, self.lives_by_name[name])
        self.needs.note_begun(number, life)
        try:
            reply = await self.fleet.call(
                f"/{kind}/", request_id=number, Deadline_Ms="2000"
            )
        except (ConnectionError, EOFError):
            reply = None
        self.needs.note_answered(life, reply)
        self.ledger.answers.append((number, kind, reply))
        return reply

    async def until_served(self):
        """Heal the store, and wait until each router serves."""
        self.fleet.platform.faults.down = False
        every = self.addresses
        for address in every:
            self.addresses = [address]
            reply = None
            while reply is None or reply.status != 200:
                self.routers.check()
                reply = await self.call(f"healed-{len(self.ledger.answers)}")
                await sleep(0.05)
        self.addresses = every


@pytest.fixture
def soaking(make_settings, free_port, tmp_path):
    """Return a context manager that runs three routers and two targets."""

    @asynccontextmanager
    async def run(seed, targets=2):
        settings = [make_settings(name=f"edge-{number}") for number in range(3)]
        # Routers find each other by the store; the metrics port follows the peers'.
        files = []
        for number, each in enumerate(settings):
            ports = [22_000 + 10 * number, 22_001 + 10 * number]
            path = tmp_path / f"{each.name}.json"
            path.write_text(dumps(settings_document(each, ports)))
            files.append(str(path))
        fleet = Fleet(settings[0])
        for kind in KINDS:
            fleet.route(kind, resumable=kind == "streaming")
        ledger = Ledger()
        async with serving(fleet.platform.handle, *STORE, fleet.platform.run):
            fleet.put_configuration()
            routers = Routers(files)
            soak = Soak(fleet, routers, ledger, Random(seed))
            soak.addresses = soak.settings = settings
            try:
                for _ in range(targets):
                    await soak.add_target()
                await soak.until_served()
                yield soak
            finally:
                routers.close()
                for target in soak.targets_made:
                    await target.close()

    return run


def settings_document(settings, ports):
    """Return the settings file that a platform would place."""
    caller, readiness = settings.caller_address, settings.readiness_address
    return {
        "node-name": settings.name,
        "ip": HOST,
        "zone": settings.failure_domain,
        "listen": {
            "front": f"{caller.host}:{caller.port}",
            "readiness": f"{readiness.host}:{readiness.port}",
        },
        "port-range": ports,
        "platform": {"address": f"{STORE[0]}:{STORE[1]}"},
        "bounds": {"grace-s": 4, "quota-window-s": 1},
    }


async def run_steps(soak, *, with_guilty=False, with_needs=False):
    """Make calls and faults side by side, then heal and hold all against the rules."""
    for step in range(STEPS):
        async with create_task_group() as calls:
            for number in range(CALLS_OF_A_STEP):
                calls.start_soon(soak.call, f"s{step}-{number}")
            if with_guilty:
                calls.start_soon(soak.call_guilty, f"g{step}")
            await sleep(RUN_S / 2)
            if with_needs:
                soak.change_needs()
            await soak.step()
    await soak.until_served()
    assert all(process.poll() is None for process in soak.routers.processes)
    soak.ledger.check()
    soak.guilty.check()
    assert soak.needs.reached_after == []
    statuses = Counter(
        None if reply is None else reply.status for _, _, reply in soak.ledger.answers
    )
    assert statuses[200] > STEPS


class TestSoak:
    """Whatever happens, answers are whole and true."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_answers_are_true_under_random_faults(self, soaking, seed):
        """And all routers serve again once the faults are over."""
        async with soaking(seed) as soak:
            await run_steps(soak)

    @pytest.mark.parametrize("seed", GUILTY_SEEDS)
    async def test_targets_in_need_among_random_faults(self, soaking, seed):
        """They name limits, ask for rest and leave, and what else holds goes on to."""
        async with soaking(seed, targets=4) as soak:
            await run_steps(soak, with_needs=True)
            assert any(soak.needs.told_by_router.values())

    @pytest.mark.parametrize("seed", GUILTY_SEEDS)
    async def test_guilty_request_among_random_faults(self, soaking, seed):
        """It ends a few targets, and what else holds goes on to hold.

        There are more targets than it may end while the store is away: routers don't
        hear of those that replace them.
        """
        async with soaking(seed, targets=2 + ENDS_ALLOWED + SENDS_ALLOWED) as soak:
            await run_steps(soak, with_guilty=True)
            assert soak.guilty.ended
