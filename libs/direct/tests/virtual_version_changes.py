"""Simulation of versions that replace each other while all routers are killed.

The lists of targets and the records of streams go through the real clients to a store
that is slow, refuses calls, is away or comes back from an older copy.
"""

from asyncio import get_running_loop
from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from anyio import create_task_group, sleep
from msgspec.json import decode

from berylwalk.direct._mirrored_prefix import ReadRole
from berylwalk.direct._stream_store import STREAMS_PREFIX, StreamStore
from berylwalk.direct._target_feed import TargetFeed
from berylwalk.direct._version_history_store import (
    HISTORIES_PREFIX,
    HistoryRecord,
    VersionHistoryStore,
)
from berylwalk.dispatch import stream_key
from berylwalk.standins._revisions import prefix_range
from stating_targets import SERVICE
from virtual_retries import ReachedStore, RetryRouter
from virtual_store import ANSWER_S, target_value
from virtual_streams import Stream, StreamingTarget, StreamSimulation

TARGETS_OF_A_VERSION = 4
READY_TARGETS = 2
"""Targets of a version with which its streams have to go on."""
COMEBACK_S = 0.25
ORDER_S = 1e-5
"""Least time between two callers that come back."""
WRITE_AGAIN_S = 0.3
"""Time after which targets write again what a restored store lacks."""
SETTLE_S = 1.0
"""Time after a disruption of the store in which streams are not counted yet."""
SLOW_S = (0.2, 2.0)
TROUBLES = ("slow", "refusing", "read-only", "lists-only", "away", "restored")
RECORDED_AFTER_S = 0.8
"""Time after which the record of a stream has to be in the store."""
PERIOD_S = 2.0
"""Period in which streams that are taken up are compared with new ones."""
PATIENCE_S = 2.0
"""Time within which a stream has to begin or to go on."""
LISTS = ("/kv-range", "/kv-watch")
WRITES = ("/kv-txn", "/kv-lease")


class ChangingStore(ReachedStore):
    """A store in one of several states.

    Attributes
    ----------
    state : str
        ``well``; ``slow``; ``refusing``, which answers that a call was not executed;
        ``read-only``, which answers so to writes; ``lists-only``, which answers so to
        all calls but lists and watches; ``away``, which executes half of the calls and
        answers none.
    latency_s : float
        Latency of a call while it is well, in seconds.
    refused_share : float
        Share of the writes that it refuses while it is well.
    """

    def __post_init__(self):
        super().__post_init__()
        self.state = "well"
        self.latency_s = ANSWER_S
        self.refused_share = 0.0
        self.random = Random("store")
        self.fate = self._latency

    def _latency(self, call):
        if self.state == "away":
            return None
        return self.random.uniform(*SLOW_S) if self.state == "slow" else self.latency_s

    async def _answer(self, call):
        is_refused = self.state == "refusing"
        if self.state == "lists-only":
            is_refused = call.path not in LISTS
        if call.path in WRITES:
            is_refused |= self.state == "read-only"
            is_refused |= self.random.random() < self.refused_share
        if self.state == "away" and self.random.random() < 0.5:
            self._lose(call)
        elif is_refused and not self.is_down:
            await sleep(self.latency_s)
            status = self.random.choice((429, 503))
            head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
            call.transport.deliver(head.encode())
        else:
            await super()._answer(call)


class VersionedTarget(StreamingTarget):
    """A target of one version that lists itself, leaves and ends."""

    event_s = 0.15

    def value(self):
        """Return the value of its entry in the store."""
        return target_value(
            address=f"{self.host}:1",
            zone=self.domain,
            slots=self.slots,
            version=self.version,
            state="draining" if self.is_leaving else "ready",
        )

    @property
    def is_ready(self):
        """Whether it serves new requests."""
        return not self.is_leaving and not self.is_gone


class VersionedRouter(RetryRouter):
    """One process of a router, with its list of targets and its records of streams."""

    def __init__(self, simulation, name, domain, incarnation):
        super().__init__(simulation, name, domain, incarnation)
        self.context.settings = replace(
            self.context.settings, is_first_start=self.started_at == 0.0
        )
        parts = (self.context, self.store, self.store_health)
        self.target_feed = TargetFeed(*parts, ReadRole())
        self.stream_store = StreamStore(*parts)
        self.version_history_store = VersionHistoryStore(*parts)
        context = self.context
        context.find_stored_stream = self.stream_store.find
        context.when_stream_stored = self.stream_store.when_stored
        context.confirm_versions = self.version_history_store.confirm
        # The peering tells and hears the health that the clients of the store see.
        self.peering._store_health = self.store_health
        self.peering.agreed_versions._store_health = self.store_health
        context.find_agreed_version = self.peering.agreed_versions.find

    async def run(self):
        """Serve forever."""
        await self.store.start()
        async with create_task_group() as tasks:
            for each in (
                self.peering._membership.run,
                self.peering._send_loop,
                self.peering._relay_loop,
                self._sweep,
                self.target_feed.run,
                self.stream_store.run,
                self.version_history_store.run,
            ):
                tasks.start_soon(each)


@dataclass
class Wait:
    """A caller's tries until its stream begins, or goes on after a cut."""

    since: float
    is_taken_up: bool
    is_counted: bool = True


class VersionChanges(StreamSimulation):
    """A fleet that is killed as a whole while the versions of its targets change.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    troubles : collection of str
        States of the store, one of which begins at a random time of each change.
    kept_share : float
        Share of the changes after which two targets of the former version stay.
    latency_s, refused_share : float
        As of `ChangingStore`.
    kills : int
        How often all routers are killed during each change.
    options : dict
        As of `StreamSimulation`.
    """

    max_tries = 40
    router_class = VersionedRouter

    def __init__(
        self,
        seed,
        *,
        troubles=TROUBLES,
        kept_share=0.4,
        latency_s=ANSWER_S,
        refused_share=0.0,
        kills=1,
        **options,
    ):
        options = {
            "duration_s": 16.0,
            "requests_per_s": 30.0,
            "slots": 30,
            "targets": TARGETS_OF_A_VERSION,
            "script": VersionChanges.change_versions,
            **options,
        }
        super().__init__(seed, **options)
        self.troubles = troubles
        self.kept_share = kept_share
        self.kills = kills
        self.store = ChangingStore()
        self.store.latency_s, self.store.refused_share = latency_s, refused_share
        self.store.random = Random(f"store {seed}")
        self.versions_started = 1
        self.unwell_until = float("-inf")
        self.first_events = self.recorded = 0
        self.running = self.running_recorded = 0
        self.killed_at = float("-inf")
        self.asked_at, self.begun_at = Counter(), Counter()
        self.taken_up_at, self.gone_on_at = Counter(), Counter()
        for target in self.targets:
            target.version, target.cut_share = "v1", 0.0

    def make_target(self, number, *, run_s, slots):
        """Return a target."""
        return VersionedTarget(self, number, run_s=run_s, slots=slots)

    async def _main(self):
        self.list_targets()
        return await super()._main()

    # Targets

    def list_targets(self):
        """Write what the store lacks of the targets' entries, and remove others."""
        store = self.store.store
        values = {
            b"servers/" + each.target_id.encode(): each.value()
            for each in self.targets
            if not each.is_gone
        }
        listed = {each.key: each.value for each in store.range(*prefix_range(b"serv"))}
        for key in listed.keys() - values.keys():
            store.delete(key)
        for key, value in values.items():
            if listed.get(key) != value:
                store.put(key, value)

    def ready(self, version):
        """Return how many targets of a version serve new requests."""
        return sum(each.is_ready and each.version == version for each in self.targets)

    def start_version(self):
        """Start targets of a new version."""
        self.versions_started += 1
        for _ in range(TARGETS_OF_A_VERSION):
            target = self.make_target(len(self.targets), run_s=0.15, slots=30)
            target.version = f"v{self.versions_started}"
            self.targets.append(target)
            self.targets_by_host[target.host] = target
        self.list_targets()

    async def change_versions(self):
        """Replace the version again and again."""
        while True:
            await self.change_version()

    async def change_version(self):
        """Start a version, and let the targets of earlier ones leave and end."""
        draw = self.fault_random.uniform
        leaving = [each for each in self.targets if each.is_ready]
        if self.fault_random.random() < self.kept_share:
            leaving = leaving[:-READY_TARGETS]
        for _ in range(self.kills):
            self.tasks.start_soon(self._kill_all_after, draw(0.0, 5.0))
        if self.troubles:
            trouble = self.fault_random.choice(self.troubles)
            self.tasks.start_soon(self.disturb_store, trouble, draw(0.0, 4.0))
        await sleep(draw(0.2, 1.0))
        self.start_version()
        await sleep(draw(0.2, 2.0))
        for target in leaving:
            target.is_leaving = True
        self.list_targets()
        await sleep(draw(0.3, 2.0))
        for target in leaving:
            target.is_gone = True
        self.list_targets()
        await sleep(draw(0.2, 1.5))

    # Faults

    async def _kill_all_after(self, seconds):
        await sleep(seconds)
        self.killed_at = self.clock()
        self.kill_all()

    async def disturb_store(self, trouble, after_s):
        """Let the store be in another state for a while."""
        await sleep(after_s)
        self.unwell_until = float("inf")
        if trouble == "restored":
            await self.restore_store()
            await sleep(WRITE_AGAIN_S)
            self.list_targets()
        else:
            self.store.state = trouble
            await sleep(self.fault_random.uniform(0.3, 3.0))
            self.store.state = "well"
        self.unwell_until = self.clock() + SETTLE_S

    # Callers and judgement

    def make_stream(self):
        """Return a stream of a caller."""
        return Stream(on_begun=self._check_recorded)

    def _check_recorded(self, stream):
        """Count a first event, and whether the store has the record of its stream.

        No record is needed while the stored history has one version.
        """
        store = self.store.store
        history = store.get(HISTORIES_PREFIX + SERVICE.encode())
        if history is None or self.unwell_until > self.clock():
            return
        if len(decode(history.value, type=HistoryRecord).versions) > 1:
            self.first_events += 1
            self.recorded += self._is_recorded(stream)
            get_running_loop().call_later(
                RECORDED_AFTER_S, self._check_still_recorded, stream, self.killed_at
            )

    def _check_still_recorded(self, stream, killed_at):
        if self.killed_at == killed_at and self.unwell_until <= self.clock():
            self.running += 1
            self.running_recorded += self._is_recorded(stream)

    def _is_recorded(self, stream):
        key = STREAMS_PREFIX + b"%016x" % stream_key(None, stream.first_id)
        return self.store.store.get(key) is not None

    def judge_try(self, router, stream):
        """Return what counts a try: the first ones for a stream, and after each cut.

        The stream has to begin or go on within some seconds, unless the store has not
        been well since it began, or too few targets of its version serve.
        """
        if stream.wait is None:
            stream.wait = Wait(self.clock(), is_taken_up=stream.last_event_id > 0)
        wait = stream.wait
        self._check_counted(wait, stream)

        def on_ended(caller):
            self._check_counted(wait, stream)
            goes_on = caller.had_events or stream.is_complete
            if goes_on or self.clock() - wait.since > PATIENCE_S:
                self._count(wait, goes_on)
            if goes_on:
                stream.wait = None

        return on_ended

    def _check_counted(self, wait, stream):
        since = wait.since
        if wait.is_taken_up:
            since = stream.began_at
            version = min(stream.versions).decode()
            wait.is_counted &= self.ready(version) >= READY_TARGETS
        wait.is_counted &= self.unwell_until <= since

    def _count(self, wait, goes_on):
        if wait.is_counted:
            period = int(wait.since // PERIOD_S)
            asked = self.taken_up_at if wait.is_taken_up else self.asked_at
            served = self.gone_on_at if wait.is_taken_up else self.begun_at
            asked[period] += 1
            served[period] += goes_on
        wait.is_counted = False

    async def _come_back(self, stream, tries_left):
        # Tasks end in any order when a router is killed; callers come back in one.
        await sleep(COMEBACK_S + ORDER_S * self.streams.index(stream))
        while not self.routers_by_name:
            await sleep(COMEBACK_S)
        router = self.random.choice(list(self.routers_by_name.values()))
        self._try(router, stream, tries_left)

    def went_on(self):
        """Return how many streams went on that can be compared with new ones."""
        return sum(
            gone_on
            for period, gone_on in self.gone_on_at.items()
            if self.asked_at[period]
        )

    def expected_to_go_on(self):
        """Return how many go on if they fare as new streams of the same period."""
        return sum(
            taken_up * self.begun_at[period] / self.asked_at[period]
            for period, taken_up in self.taken_up_at.items()
            if self.asked_at[period]
        )
