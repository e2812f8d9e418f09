"""Fuzz test of idempotency records: lost responses, outages, a restored store."""

import os
from collections import Counter
from dataclasses import dataclass, field

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from step_counts import STEPS_BY_TEST

from berylwalk.model import (
    Request,
    RequestId,
    ServicePolicy,
    TargetCall,
    TierPolicy,
    WorkEstimate,
)
from berylwalk.platform import OutcomeUnknown
from berylwalk.router._idempotency import Claimed, ClaimRefused, IdempotencyRecords
from berylwalk.router._known_records import KEEP_S
from berylwalk.router._record_leases import RecordLeases
from berylwalk.standins.memory import InMemoryKeyValue

LONG = os.environ.get("BERYLWALK_FUZZ") == "long"
ROUTERS = ("r1", "r2")
LATE_ROUTER = "r3"
"""Starts just after a restore, beside those that know of lost records."""
KEYS = ("k1", "k2")
EVENT_LOOP_TURNS = 40
REWRITE_TURNS = 200
"""Turns of the event loop that stand for the time in which records are rewritten."""
PICK = st.integers(0, 20)
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("claim"), st.sampled_from(ROUTERS), st.sampled_from(KEYS)),
        st.tuples(st.just("claim"), st.sampled_from(ROUTERS), st.sampled_from(KEYS)),
        st.tuples(st.just("run"), PICK, st.sampled_from(("complete", "unknown"))),
        st.tuples(st.just("not_run"), PICK, st.none()),
        st.tuples(st.just("outage"), st.booleans(), st.none()),
        st.tuples(st.just("lose_answers"), st.integers(0, 4), st.none()),
        st.tuples(st.just("delay_writes"), st.integers(0, 4), st.none()),
        st.tuples(st.just("land_late"), st.none(), st.none()),
        st.tuples(st.just("restart"), st.sampled_from(ROUTERS), st.none()),
        st.tuples(st.just("copy"), st.none(), st.none()),
        st.tuples(st.just("restore"), st.sampled_from((None, *KEYS)), st.none()),
        st.tuples(st.just("wait"), st.sampled_from((0.5, 3.0)), st.none()),
    ),
    min_size=12,
    max_size=30,
)


class DelayedWriteStore(InMemoryKeyValue):
    """Store that can delay writes and report their outcome as unknown."""

    def __init__(self, clock) -> None:
        super().__init__(clock=clock)
        self.delay_writes = 0
        self.late_writes = []

    async def compare_and_swap(self, *args, **kwargs):
        if self.delay_writes and not self.down:
            self.delay_writes -= 1
            self.late_writes.append((args, kwargs))
            return OutcomeUnknown("the write is delayed")
        return await super().compare_and_swap(*args, **kwargs)

    async def apply_late_writes(self) -> None:
        """Apply all delayed writes."""
        writes, self.late_writes = self.late_writes, []
        for args, kwargs in writes:
            await super().compare_and_swap(*args, **kwargs)


@dataclass(slots=True)
class Router:
    """A router's records, and its requests that hold their keys."""

    records: IdempotencyRecords
    claimed: list[Request] = field(default_factory=list)


class KeyWorld:
    """Routers that claim keys, and run or release the requests."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.now = 1000.0
        self.tasks = tasks
        self.serial = 0
        self.store = DelayedWriteStore(lambda: self.now)
        self.copy = self.store.take_copy()
        self.copied_at = self.now
        self.runs_by_key: Counter[str] = Counter()
        self.routers_by_id: dict[str, Router] = {}
        for router in ROUTERS:
            self.start(router)

    def start(self, router: str) -> None:
        """Start a router without its earlier claims."""
        leases = RecordLeases(self.store, lifetime_s=3600.0, clock=lambda: self.now)
        records = IdempotencyRecords(
            self.store, leases, clock=lambda: self.now, pause=_no_pause
        )
        self.routers_by_id[router] = Router(records)
        self.tasks.start_soon(records.run_writer)

    async def claim(self, name: str, key: str) -> None:
        """Claim a key; a request whose result is `Claimed` may run."""
        router = self.routers_by_id[name]
        request = self.new_request(name, key)
        result = await router.records.claim(request)
        if isinstance(result, Claimed):
            router.claimed.append(request)
            return
        assert isinstance(result, ClaimRefused)
        if result.is_outcome_unknown:
            await router.records.delete_late_record(request)

    def run(self, pick: int, end: str) -> None:
        """Run a request that holds its key."""
        router, request = self.take(pick)
        if request is None:
            return
        self.runs_by_key[request.idempotency_key] += 1
        ran = self.runs_by_key[request.idempotency_key]
        assert ran == 1, "an idempotency key ran twice"
        if end == "complete":
            router.records.complete(request, 200, None)
        else:
            router.records.forget(request.request_id)

    def not_run(self, pick: int) -> None:
        """Release the key of a request that did not run."""
        router, request = self.take(pick)
        if request is not None:
            router.records.release(request)

    def take(self, pick: int) -> tuple[Router | None, Request | None]:
        """Remove and return a request that may run, and its router."""
        found = [(r, q) for r in self.routers_by_id.values() for q in r.claimed]
        if not found:
            return None, None
        router, request = found[pick % len(found)]
        router.claimed.remove(request)
        return router, request

    def new_request(self, router: str, key: str) -> Request:
        """Return a request with a key."""
        self.serial += 1
        return Request(
            request_id=RequestId(router, 1, self.serial),
            service_policy=ServicePolicy("/box", "", TierPolicy("counter", 0)),
            call=TargetCall("POST", "/pull", "service:boxes", body=b"{}"),
            estimate=WorkEstimate(),
            arrived_at=self.now,
            deadline_at=self.now + 60.0,
            idempotent=False,
            idempotency_key=key,
        )

    async def act(self, kind: str, value, other) -> None:
        """Carry out one operation."""
        if kind == "claim":
            self.tasks.start_soon(self.claim, value, other)
        elif kind == "run":
            self.run(value, other)
        elif kind == "not_run":
            self.not_run(value)
        elif kind == "outage":
            self.store.down = value
        elif kind == "lose_answers":
            self.store.lose_answers = value
        elif kind == "delay_writes":
            self.store.delay_writes = value
        elif kind == "land_late":
            await self.store.apply_late_writes()
        elif kind == "restart":
            self.start(value)
        elif kind == "copy":
            self.copy, self.copied_at = self.store.take_copy(), self.now
        elif kind == "restore":
            await self.restore(value)
        elif kind == "wait":
            self.now += value

    async def restore(self, late_key: str | None) -> None:
        """Restore the store, which answers then until records are written again.

        If a key is given, a router starts at once and claims it.
        """
        if self.now - self.copied_at >= KEEP_S:
            return
        self.store.down = False
        self.store.lose_answers = self.store.delay_writes = 0
        self.store.restore(self.copy)
        await self.store.get(b"any")
        if late_key is not None:
            self.start(LATE_ROUTER)
            self.tasks.start_soon(self.claim, LATE_ROUTER, late_key)
        for _ in range(REWRITE_TURNS):
            await anyio.sleep(0)


async def _no_pause(_: float) -> None:
    await anyio.sleep(0)


@settings(
    max_examples=3000 if LONG else 300,
    derandomize=True,
    deadline=None,
    database=None,
)
@given(OPERATIONS, st.integers(1, EVENT_LOOP_TURNS))
def test_key_runs_at_most_once(operations, turns):
    """At most one of the requests with a key runs, despite lost responses."""

    async def scenario():
        async with anyio.create_task_group() as tasks:
            world = KeyWorld(tasks)
            for operation in operations:
                await world.act(*operation)
                for _ in range(turns):
                    await anyio.sleep(0)
                STEPS_BY_TEST["idempotency"] += 1
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
