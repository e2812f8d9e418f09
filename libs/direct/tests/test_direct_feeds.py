"""Staleness bounds of the target and configuration feeds under faults of the store.

Guards against a watch call that is silently sent a second time when its connection
closes, so that its timeout doubles and a leaving target keeps receiving requests.
"""

from collections import Counter
from dataclasses import dataclass
from json import dumps
from random import Random

import pytest
from anyio import create_task_group
from hypothesis import given, settings
from hypothesis import strategies as st

from berylwalk.direct._mirrored_prefix import SEND_LATENCY_S, watch_hold_s
from berylwalk.direct._store_health import CALL_TIMEOUT_S
from berylwalk.direct._target_feed import CHANGE_BATCH_S
from virtual_feeds import CONFIGURATION_S, DRAIN_S, simulate
from virtual_store import ANSWER_S, configuration_value, target_value, until
from written_truths import ValueHistory

SILENT_AT_S = 12.0
SILENT_FOR_S = 6.2
RECOVERY_S = 3.0
"""Time after a fault from which the bounds must hold again."""
DRAINS_AFTER_S = 3.1
"""Time from the recovery of the store until the target starts draining."""


class TestOutageBeforeDraining:
    """The store is unresponsive for some seconds; later a target drains."""

    def test_target_is_unavailable_after_the_bound(self):
        """The bound holds whenever the last call before the outage was made."""

        def is_available_too_long(called_before_s):
            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(SILENT_AT_S - called_before_s)
                store.put(b"servers/i-2", target_value(port=8407))
                await until(SILENT_AT_S)
                await feeds.store.go_down(SILENT_FOR_S)
                await until(feeds.clock() + DRAINS_AFTER_S)
                assert feeds.is_available("i-1")
                store.put(b"servers/i-1", target_value(state="draining"))
                await until(feeds.clock() + DRAIN_S)
                return feeds.is_available("i-1")

            return simulate(scenario)

        steps = [step / 4 for step in range(32)]
        assert [step for step in steps if is_available_too_long(step)] == []


class TestLostResponse:
    """A call whose response is lost."""

    def test_call_is_sent_once(self):
        """The timeout covers the whole call, also on a reused connection."""

        def lose_watches(call):
            return None if call.path == "/kv-watch" else ANSWER_S

        async def scenario(feeds):
            store = feeds.store.store
            store.put(b"op/config", configuration_value(1))
            store.put(b"servers/i-1", target_value())
            await until(30.0)
            sent = [call for call in feeds.store.calls if call.path == "/kv-watch"]
            failed = [
                fields["purpose"]
                for _, event, fields in feeds.lines
                if event == "store-call-failed"
            ]
            return len(sent), len(failed)

        sent, failed = simulate(scenario, fate=lose_watches)
        in_flight = 2
        assert 0 < failed <= sent <= failed + in_flight


class TestDelayedResponses:
    """Lists and watches that run concurrently after an outage."""

    def test_older_response_is_ignored(self):
        """A delayed response never overwrites newer data."""

        def violations(late_path, changed_after_s):
            def fate(call):
                is_late = call.path == late_path and call.received_at > SILENT_AT_S
                return 0.5 if is_late else ANSWER_S

            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(SILENT_AT_S)
                await feeds.store.go_down(SILENT_FOR_S, resets=True)
                await until(feeds.clock() + changed_after_s)
                store.put(b"servers/i-1", target_value(slots=7))
                await until(feeds.clock() + 0.3)
                store.put(b"servers/i-1", target_value(state="draining"))
                await until(feeds.clock() + DRAIN_S)
                return backward_steps(feeds.lines)

            return simulate(scenario, fate=fate)

        found = [
            (path, step / 10)
            for path in ("/kv-range", "/kv-watch")
            for step in range(40)
            if violations(path, step / 10)
        ]
        assert found == []


def backward_steps(lines):
    """Return the log lines with an older revision than a previous one."""
    newest_by_id = {}
    steps = []
    for line in lines:
        _, event, fields = line
        if event in ("target-listed", "target-gone"):
            newest = newest_by_id.get(fields["target"], 0)
            if fields["revision"] < newest:
                steps.append(line)
            newest_by_id[fields["target"]] = max(newest, fields["revision"])
    return steps


class TestSilentConnections:
    """Open connections stop responding without being closed; new ones work."""

    def test_target_is_unavailable_after_the_bound(self):
        """The bound holds wherever the calls are at that moment."""

        def is_available_too_long(silent_at_s):
            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(silent_at_s)
                feeds.store.silence_connections()
                store.put(b"servers/i-1", target_value(state="draining"))
                await until(silent_at_s + DRAIN_S)
                return feeds.is_available("i-1")

            return simulate(scenario)

        steps = [10.0 + step / 20 for step in range(60)]
        assert [step for step in steps if is_available_too_long(step)] == []


class TestIsolatedRouter:
    """Only this router can't reach the store while a target is removed."""

    def test_removed_target_is_unavailable_after_recovery(self):
        """A peer reports that the store was healthy, so the entry counts as deleted."""

        def is_available_too_long(removed_before_s):
            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(SILENT_AT_S)
                async with create_task_group() as tasks:
                    tasks.start_soon(feeds.store.go_down, SILENT_FOR_S)
                    await until(SILENT_AT_S + SILENT_FOR_S - removed_before_s)
                    store.delete(b"servers/i-1")
                while feeds.clock() < SILENT_AT_S + SILENT_FOR_S + RECOVERY_S:
                    feeds.store_health.update_peer_health(feeds.clock())
                    await until(feeds.clock() + 0.25)
                return feeds.is_available("i-1")

            return simulate(scenario)

        steps = [step / 10 for step in range(1, 40)]
        assert [step for step in steps if is_available_too_long(step)] == []


class TestOrdersAtTheStart:
    """A router starts while a version is under trial."""

    @pytest.mark.parametrize("late_prefix", ["servers/", "op/"])
    def test_version_under_trial_gets_nothing_before_the_orders_are_read(
        self, late_prefix
    ):
        """The orders come with the configuration, without which nothing is sent."""

        def fate(call):
            return 0.6 if f"path-prefix={late_prefix}" in call.target else ANSWER_S

        async def scenario(feeds):
            store = feeds.store.store
            store.put(b"op/config", configuration_value(1))
            order = {"service": "s", "target": "v2", "period-s": 12.0}
            store.put(b"op/rollout/s", dumps(order).encode())
            store.put(b"servers/i-1", target_value(version="v1"))
            store.put(b"servers/i-2", target_value(port=8407, version="v2"))
            rollouts, allowed = feeds.context.rollouts, set()
            while feeds.clock() < 3.0:
                if feeds.version and len(feeds.targets.by_id) == 2:
                    for version in ("v1", "v2"):
                        is_allowed = rollouts.allows("s", version, 0.5, feeds.clock())
                        allowed.add((version, is_allowed))
                await until(feeds.clock() + 0.001)
            return allowed

        assert simulate(scenario, fate=fate) == {("v1", True), ("v2", False)}


class TestIdleStore:
    """Number of store calls while nothing changes."""

    def test_number_of_calls(self):
        """The targets are listed once; further calls only keep the bounds."""

        async def scenario(feeds):
            store = feeds.store.store
            store.put(b"op/config", configuration_value(1))
            store.put(b"servers/i-1", target_value())
            await until(10.0)
            before = len(feeds.store.calls)
            await until(70.0)
            return Counter(
                call.target.split("&")[0] for call in feeds.store.calls[before:]
            )

        calls = simulate(scenario)
        targets, configuration = "path-prefix=servers/", "path-prefix=op/config"
        assert calls[f"/kv-range?{targets}"] == 0
        assert calls[f"/kv-watch?{targets}"] <= 60 / watch_hold_s(DRAIN_S) + 1
        assert calls[f"/kv-range?{configuration}"] <= 60 / 1.9 + 1
        assert calls[f"/kv-watch?{configuration}"] <= 60 / 8.0 + 1

    @pytest.mark.parametrize("bound_s", [1.6, 2.0, 3.0, 4.0, 30.0])
    def test_hold_fits_into_the_bound(self, bound_s):
        """The hold leaves time for the batching delay and one lost call."""
        for batched_s in (0.0, CHANGE_BATCH_S):
            held_s = watch_hold_s(bound_s, batched_s)
            longest_s = batched_s + held_s + CALL_TIMEOUT_S + SEND_LATENCY_S
            assert longest_s <= bound_s + 1e-9

    @pytest.mark.parametrize(("bound_s", "is_logged"), [(2.0, False), (1.2, True)])
    def test_bound_that_is_too_short_is_logged(self, bound_s, is_logged):
        """A bound that is too short is logged once, at the start."""

        async def scenario(feeds):
            await until(10.0)
            return [event for _, event, _ in feeds.lines].count("bound-too-short")

        assert simulate(scenario, drain_s=bound_s) == int(is_logged)


@dataclass(frozen=True)
class Change:
    """A change of a target or of the configuration in the store."""

    at_s: float
    name: str
    state: str


@dataclass(frozen=True)
class Fault:
    """A period in which the store is faulty.

    Parameters
    ----------
    kind : str
        ``silent``, ``resets``, ``slow`` (responses are delayed and reordered), ``lost``
        (some are lost), ``mute`` (open connections stop responding at its end) or
        ``restored`` (the store is away at first, comes back from a copy, and what the
        copy lacks is written again until its end).
    at_s, for_s : float
        Start and duration.
    copy_age_s : float
        Age of the copy at the start.
    """

    kind: str
    at_s: float
    for_s: float
    copy_age_s: float = 0.0

    @property
    def ends_at_s(self):
        """Return the end."""
        return self.at_s + self.for_s

    @property
    def restored_at_s(self):
        """Return when the store is back, if it is restored."""
        return self.at_s + AWAY_SHARE * self.for_s


AWAY_SHARE = 0.4
"""Share of a restore for which the store is away."""
MAX_WRITE_AGAIN_S = 2.0
"""Longest time until what a copy lacks is written again."""
KEPT_AFTER_S = 10.0
"""Time after other faults from which targets stay in use over restores."""
EPISODES = 3
EPISODE_S = 15.0
CHECK_INTERVAL_S = 0.05
TENTHS = st.integers(0, 40).map(lambda step: step / 10)
NAMES = ["i-1", "i-1", "i-2", "configuration"]
KINDS = ["silent", "resets", "slow", "lost", "mute", "restored", "restored"]
COPY_AGES = st.integers(1, 30).map(lambda step: step / 10)
OFFSETS = st.integers(-20, 70).map(lambda step: step / 10)


@st.composite
def episodes(draw):
    """Generate faults, and changes around the end of each."""
    faults, changes, compactions = [], [], []
    for number in range(EPISODES):
        at_s = 3.0 + EPISODE_S * number + draw(TENTHS)
        kind = draw(st.sampled_from(KINDS))
        fault = Fault(kind, at_s, 0.1 + 1.5 * draw(TENTHS), draw(COPY_AGES))
        faults.append(fault)
        if kind == "restored" and draw(st.booleans()):
            # A second restore soon after it.
            at_s = fault.ends_at_s + draw(TENTHS)
            fault = Fault(kind, at_s, 0.1 + 0.5 * draw(TENTHS), draw(COPY_AGES))
            faults.append(fault)
        for _ in range(draw(st.integers(1, 5))):
            name = draw(st.sampled_from(NAMES))
            state = draw(st.sampled_from(["ready", "draining", "gone"]))
            changes.append(Change(fault.ends_at_s + draw(OFFSETS), name, state))
        if fault.kind == "restored":
            # Changes that are lost.
            for _ in range(draw(st.integers(1, 4))):
                name = draw(st.sampled_from(NAMES))
                state = draw(st.sampled_from(["ready", "draining", "gone"]))
                at_s = fault.at_s - draw(COPY_AGES)
                changes.append(Change(at_s, name, state))
        if draw(st.booleans()):
            compactions.append(fault.ends_at_s + draw(OFFSETS))
    return faults, changes, compactions


class FeedSimulation:
    """Applies changes and faults to the feeds and checks the bounds."""

    def __init__(self, faults, changes, compactions, seed):
        self.changes = sorted(changes, key=lambda change: change.at_s)
        self.faults = faults
        self.compactions = compactions
        self.draws = Random(seed)
        self.violations = []
        self.copies = {}
        self.ended_starts = set()
        self.used_before = {}

    def fate(self, call):
        """Return the latency of a response; None if it is lost."""
        kinds = {
            fault.kind
            for fault in self.faults
            if fault.at_s <= call.received_at < fault.ends_at_s
        }
        if "lost" in kinds and self.draws.random() < 0.4:
            return None
        if "slow" in kinds:
            return self.draws.uniform(ANSWER_S, 0.8)
        return self.draws.uniform(ANSWER_S, 0.03)

    async def run(self, feeds):
        """Run the simulation and return the violations."""
        self.feeds = feeds
        self.value_history = ValueHistory(feeds.store.store, feeds.clock)
        for name in ("configuration", "i-1", "i-2"):
            self.value_history.write(name, "ready")
        async with create_task_group() as tasks:
            tasks.start_soon(self._apply_faults)
            tasks.start_soon(self._apply_changes)
            for fault in self.faults:
                if fault.kind == "restored":
                    tasks.start_soon(self._take_copy, fault)
            for at_s in self.compactions:
                tasks.start_soon(self._compact, at_s)
            while feeds.clock() < EPISODES * EPISODE_S:
                await until(feeds.clock() + CHECK_INTERVAL_S)
                self._check()
        return self.violations + backward_steps(feeds.lines)

    async def _apply_faults(self):
        for fault in sorted(self.faults, key=lambda each: each.at_s):
            await until(fault.at_s)
            left_s = fault.ends_at_s - self.feeds.clock()
            if fault.kind in ("silent", "resets") and left_s > 0:
                resets = fault.kind == "resets"
                await self.feeds.store.go_down(left_s, resets=resets)
            elif fault.kind == "mute":
                await until(fault.ends_at_s)
                self.feeds.store.silence_connections()
            elif fault.kind == "restored" and left_s > 0:
                await self._restore(fault)

    async def _take_copy(self, fault):
        await until(fault.at_s - fault.copy_age_s)
        self.copies[fault] = self.value_history.take_copy()

    async def _restore(self, fault):
        away_s = max(0.02, fault.restored_at_s - self.feeds.clock())
        await self.feeds.store.go_down(away_s, resets=self.draws.random() < 0.5)
        self.value_history.restore(self.copies[fault])
        longest_s = min(MAX_WRITE_AGAIN_S, fault.ends_at_s - self.feeds.clock())
        names = ["configuration", "i-1", "i-2"]
        delays_s = {name: self.draws.uniform(0.0, longest_s) for name in names}
        for name in sorted(names, key=delays_s.get):
            await until(fault.restored_at_s + delays_s[name])
            self.value_history.write_again(name)

    async def _apply_changes(self):
        for change in self.changes:
            await until(change.at_s)
            if not self.feeds.store.is_down:
                self.value_history.write(change.name, change.state)

    async def _compact(self, at_s):
        await until(at_s)
        self.feeds.store.store.compact()

    def _check_ended(self, name):
        """Check that no incarnation is used that this router saw drain or go."""
        history, now = self.value_history, self.feeds.clock()
        known = self.feeds.targets.by_id.get(name)
        if known is not None:
            start = known.entry.started_ms
            if known.entry.state == "draining":
                self.ended_starts.add(start)
            if start in self.ended_starts and self.feeds.is_available(name):
                self.violations.append((now, name, "ended incarnation", start))
        elif history.last(name) == "gone":
            self.ended_starts.add(history.start_of(name))

    def _check_kept(self, fault, name):
        """Check that a target stays in use while the store is restored."""
        now = self.feeds.clock()
        if not fault.at_s <= now < fault.ends_at_s:
            return
        since = fault.at_s - KEPT_AFTER_S
        kinds = {
            each.kind
            for each in self.faults
            if each.at_s < now and each.ends_at_s > since
        }
        is_ready = self.value_history.since(name, fault.at_s) == ["ready"]
        is_used = self.feeds.is_available(name)
        was_used = self.used_before.setdefault((fault, name), is_used)
        if kinds == {"restored"} and is_ready and was_used and not is_used:
            self.violations.append((now, name, "not kept"))

    def _check(self):
        now = self.feeds.clock()
        for name in ("i-1", "i-2"):
            self._check_ended(name)
            for fault in self.faults:
                if fault.kind == "restored":
                    self._check_kept(fault, name)
        for name, bound_s in (
            ("i-1", DRAIN_S),
            ("i-2", DRAIN_S),
            ("configuration", CONFIGURATION_S),
        ):
            if any(
                fault.at_s < now and fault.ends_at_s > now - bound_s - RECOVERY_S
                for fault in self.faults
            ):
                continue
            is_version = name == "configuration"
            mirrored = (
                self.feeds.version if is_version else self.feeds.is_available(name)
            )
            allowed = self.value_history.since(name, now - bound_s)
            if not is_version:
                allowed = [state == "ready" for state in allowed]
            if now > bound_s and mirrored not in allowed:
                self.violations.append((now, name, mirrored, allowed))


class TestMirroredState:
    """Random changes, outages, compactions, and delayed or lost responses."""

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(episodes(), st.integers(0, 2**32))
    def test_state_stays_within_the_bounds(self, drawn, seed):
        """Mirrored data is never older than its bound and never goes back."""
        simulation = FeedSimulation(*drawn, seed)
        assert simulate(simulation.run, fate=simulation.fate) == []
