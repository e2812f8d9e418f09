"""A target that said that it leaves went on getting requests from all routers.

A store was silent for six seconds, and three seconds after its return the target said
so. The call that waits for changes of targets had been made before the outage. Its
answer was lost with the store, its bound of 8.9 s ran out while the store was still
away, and the client took the connection that it had closed itself for one that the
store had closed: it sent the call a second time, with the whole bound anew, and told
nobody. That second call was lost as well, so that the routers were deaf for six
seconds in a store that was well. What was left is a look each 3 s at a list that may be
old, while a target that leaves may get requests for 2 s.

    0.064  (no line: the call is made; 17.864 - 2 x 8.9)
    8.964  (no line: it is made again, in the outage)
   11.227  store-regained purpose=watch-configuration away_ms=4101
   14.307  the store acknowledges that the target is draining; no target-listed
   16.421  the first request after the bound reaches it
   16.871  target-gone detail="not listed"
   17.865  store-lost purpose=watch-targets detail="no answer within 8.9 s"
"""

from collections import Counter
from dataclasses import dataclass
from random import Random

import pytest
from anyio import create_task_group
from hypothesis import given, settings
from hypothesis import strategies as st

from berylwalk.direct._mirrored_prefix import SEND_LATENCY_S, watch_hold_s
from berylwalk.direct._store_health import CALL_TIMEOUT_S
from berylwalk.direct._target_feed import CHANGE_BATCH_S
from virtual_feeds import CONFIGURATION_S, DRAIN_S, play
from virtual_store import ANSWER_S, configuration_value, target_value, until
from written_truths import Truths

SILENT_AT_S = 12.0
SILENT_FOR_S = 6.2
SOUND_FOR_S = 3.0
"""Time after which a store that is well again has to be believed within the bounds."""
LEAVES_AFTER_S = 3.1
"""Time from the return of the store to the word of the target that it leaves."""


class TestOutageBeforeTargetLeaves:
    """The store is silent for some seconds; later a target leaves."""

    def test_no_request_after_the_bound(self):
        """Whenever the last call before the outage was made."""

        def takes_work_too_long(asked_before_s):
            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(SILENT_AT_S - asked_before_s)
                store.put(b"servers/i-2", target_value(port=8407))
                await until(SILENT_AT_S)
                await feeds.store.go_down(SILENT_FOR_S)
                await until(feeds.clock() + LEAVES_AFTER_S)
                assert feeds.takes_work("i-1")
                store.put(b"servers/i-1", target_value(state="draining"))
                await until(feeds.clock() + DRAIN_S)
                return feeds.takes_work("i-1")

            return play(scenario)

        steps = [step / 4 for step in range(32)]
        assert [step for step in steps if takes_work_too_long(step)] == []


class TestLostAnswer:
    """A call whose answer is lost."""

    def test_call_is_sent_once(self):
        """Its bound is that of the whole call, also on a connection used before."""

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

        sent, failed = play(scenario, fate=lose_watches)
        in_flight = 2
        assert 0 < failed <= sent <= failed + in_flight


class TestLateAnswers:
    """Lists and watches run side by side in the seconds after an outage."""

    def test_older_answer_changes_nothing(self):
        """Whichever comes late, and whenever the entry changes meanwhile."""

        def findings(late_path, changed_after_s):
            def fate(call):
                is_late = call.path == late_path and call.asked_at > SILENT_AT_S
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

            return play(scenario, fate=fate)

        found = [
            (path, step / 10)
            for path in ("/kv-range", "/kv-watch")
            for step in range(40)
            if findings(path, step / 10)
        ]
        assert found == []


def backward_steps(lines):
    """Return the log lines that tell of an older revision than one before."""
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
    """Open connections return nothing more, without a sign; new ones work."""

    def test_no_request_after_the_bound(self):
        """Wherever the calls are at that moment."""

        def takes_work_too_long(silent_at_s):
            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(silent_at_s)
                feeds.store.silence_connections()
                store.put(b"servers/i-1", target_value(state="draining"))
                await until(silent_at_s + DRAIN_S)
                return feeds.takes_work("i-1")

            return play(scenario)

        steps = [10.0 + step / 20 for step in range(60)]
        assert [step for step in steps if takes_work_too_long(step)] == []


class TestRouterThatWasCutOff:
    """Only this router can't reach the store; meanwhile a target leaves."""

    def test_no_request_some_time_after_the_cut(self):
        """Another router says that the store was well."""

        def takes_work_too_long(removed_before_s):
            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(SILENT_AT_S)
                async with create_task_group() as tasks:
                    tasks.start_soon(feeds.store.go_down, SILENT_FOR_S)
                    await until(SILENT_AT_S + SILENT_FOR_S - removed_before_s)
                    store.delete(b"servers/i-1")
                while feeds.clock() < SILENT_AT_S + SILENT_FOR_S + SOUND_FOR_S:
                    feeds.store_health.update_peer_health(feeds.clock())
                    await until(feeds.clock() + 0.25)
                return feeds.takes_work("i-1")

            return play(scenario)

        steps = [step / 10 for step in range(1, 40)]
        assert [step for step in steps if takes_work_too_long(step)] == []


class TestCalmStore:
    """Nothing changes: calls are paid for."""

    def test_is_asked_seldom(self):
        """A list once, and then what the bounds need."""

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

        calls = play(scenario)
        targets, configuration = "path-prefix=servers/", "path-prefix=op/config"
        assert calls[f"/kv-range?{targets}"] == 0
        assert calls[f"/kv-watch?{targets}"] <= 60 / watch_hold_s(DRAIN_S) + 1
        assert calls[f"/kv-range?{configuration}"] <= 60 / 1.9 + 1
        assert calls[f"/kv-watch?{configuration}"] <= 60 / 8.0 + 1

    @pytest.mark.parametrize("bound_s", [1.6, 2.0, 3.0, 4.0, 30.0])
    def test_hold_fits_into_the_bound(self, bound_s):
        """With the gathering before it and a call that is lost."""
        for batched_s in (0.0, CHANGE_BATCH_S):
            held_s = watch_hold_s(bound_s, batched_s)
            longest_s = batched_s + held_s + CALL_TIMEOUT_S + SEND_LATENCY_S
            assert longest_s <= bound_s + 1e-9

    @pytest.mark.parametrize(("bound_s", "is_told"), [(2.0, False), (1.2, True)])
    def test_bound_that_can_not_be_kept_is_told(self, bound_s, is_told):
        """Once, at the start."""

        async def scenario(feeds):
            await until(10.0)
            return [event for _, event, _ in feeds.lines].count("bound-too-short")

        assert play(scenario, drain_s=bound_s) == int(is_told)


@dataclass(frozen=True)
class Change:
    """A change of the store's keys: of a target, or of the configuration."""

    at_s: float
    name: str
    state: str


@dataclass(frozen=True)
class Trouble:
    """A time in which the store is no good.

    Parameters
    ----------
    kind : str
        ``silent``, ``resets``, ``slow`` (answers are late and out of order), ``lost``
        (some are lost) or ``mute`` (open connections return nothing from its end on).
    at_s, for_s : float
        When, and how long.
    """

    kind: str
    at_s: float
    for_s: float

    @property
    def ends_at_s(self):
        """Return the end."""
        return self.at_s + self.for_s


EPISODES = 3
EPISODE_S = 15.0
LOOK_S = 0.05
TENTHS = st.integers(0, 40).map(lambda step: step / 10)
OFFSETS = st.integers(-20, 70).map(lambda step: step / 10)


@st.composite
def episodes(draw):
    """Return troubles, and changes around the end of each."""
    troubles, changes, forgets = [], [], []
    for number in range(EPISODES):
        at_s = 3.0 + EPISODE_S * number + draw(TENTHS)
        kind = draw(st.sampled_from(["silent", "resets", "slow", "lost", "mute"]))
        trouble = Trouble(kind, at_s, 0.1 + 1.5 * draw(TENTHS))
        troubles.append(trouble)
        for _ in range(draw(st.integers(1, 5))):
            name = draw(st.sampled_from(["i-1", "i-1", "i-2", "configuration"]))
            state = draw(st.sampled_from(["ready", "draining", "gone"]))
            changes.append(Change(trouble.ends_at_s + draw(OFFSETS), name, state))
        if draw(st.booleans()):
            forgets.append(trouble.ends_at_s + draw(OFFSETS))
    return troubles, changes, forgets


class Play:
    """Changes and troubles played against the feeds, and what must hold."""

    def __init__(self, troubles, changes, forgets, seed):
        self.changes = sorted(changes, key=lambda change: change.at_s)
        self.troubles = troubles
        self.forgets = forgets
        self.draws = Random(seed)
        self.findings = []

    def fate(self, call):
        """Return when an answer arrives; slow ones overtake each other."""
        kinds = {
            trouble.kind
            for trouble in self.troubles
            if trouble.at_s <= call.asked_at < trouble.ends_at_s
        }
        if "lost" in kinds and self.draws.random() < 0.4:
            return None
        if "slow" in kinds:
            return self.draws.uniform(ANSWER_S, 0.8)
        return self.draws.uniform(ANSWER_S, 0.03)

    async def run(self, feeds):
        """Play all and return what did not hold."""
        self.feeds = feeds
        self.truths = Truths(feeds.store.store, feeds.clock)
        for name in ("configuration", "i-1", "i-2"):
            self.truths.write(name, "ready")
        async with create_task_group() as tasks:
            tasks.start_soon(self._trouble)
            tasks.start_soon(self._change)
            for at_s in self.forgets:
                tasks.start_soon(self._forget, at_s)
            while feeds.clock() < EPISODES * EPISODE_S:
                await until(feeds.clock() + LOOK_S)
                self._look()
        return self.findings + backward_steps(feeds.lines)

    async def _trouble(self):
        for trouble in sorted(self.troubles, key=lambda each: each.at_s):
            await until(trouble.at_s)
            left_s = trouble.ends_at_s - self.feeds.clock()
            if trouble.kind in ("silent", "resets") and left_s > 0:
                resets = trouble.kind == "resets"
                await self.feeds.store.go_down(left_s, resets=resets)
            elif trouble.kind == "mute":
                await until(trouble.ends_at_s)
                self.feeds.store.silence_connections()

    async def _change(self):
        for change in self.changes:
            await until(change.at_s)
            if not self.feeds.store.is_down:
                self.truths.write(change.name, change.state)

    async def _forget(self, at_s):
        await until(at_s)
        self.feeds.store.store.compact()

    def _look(self):
        now = self.feeds.clock()
        for name, bound_s in (
            ("i-1", DRAIN_S),
            ("i-2", DRAIN_S),
            ("configuration", CONFIGURATION_S),
        ):
            if any(
                trouble.at_s < now and trouble.ends_at_s > now - bound_s - SOUND_FOR_S
                for trouble in self.troubles
            ):
                continue
            is_version = name == "configuration"
            believed = self.feeds.version if is_version else self.feeds.takes_work(name)
            allowed = self.truths.since(name, now - bound_s)
            if not is_version:
                allowed = [state == "ready" for state in allowed]
            if now > bound_s and believed not in allowed:
                self.findings.append((now, name, believed, allowed))


class TestBeliefs:
    """Any changes, outages, late, reordered and lost answers, forgotten history."""

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(episodes(), st.integers(0, 2**32))
    def test_follow_the_store(self, drawn, seed):
        """They are as old as the bounds allow at most, and never go back."""
        played = Play(*drawn, seed)
        assert play(played.run, fate=played.fate) == []
