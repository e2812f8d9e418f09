"""Concurrent submission of patches to a store that loses responses."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from berylwalk.model import FindingsError
from berylwalk.settings import (
    MAX_RECENT_CHANGES,
    Accepted,
    Edit,
    Patch,
    PatchConflict,
    ReadFailed,
    Rejected,
    SettingsDocument,
    Stale,
    StoredValue,
    SwapResult,
    Undecided,
    submit_patch,
)

OPERATORS = ("ana", "bo")
OUTCOMES = ("answered", "lost-applied", "lost-never", "lost-late", "unavailable")


class _Pause:
    def __await__(self):
        yield


class _Store:
    """Key-value service with a single key that records every written value."""

    def __init__(self):
        self.values = []
        self.delayed_swaps = []
        self.outcomes = []

    def outcome(self):
        return self.outcomes.pop() if self.outcomes else "answered"

    async def get(self, key):
        await _Pause()
        if self.outcome() == "unavailable":
            return ReadFailed("down")
        stored = StoredValue(self.values[-1] if self.values else None, len(self.values))
        await _Pause()
        return stored

    async def compare_and_swap(self, key, value, expected_mod_revision):
        await _Pause()
        outcome = self.outcome()
        if outcome == "unavailable":
            return SwapResult.UNAVAILABLE
        if outcome == "lost-late":
            self.delayed_swaps.append((value, expected_mod_revision))
            return SwapResult.OUTCOME_UNKNOWN
        swapped = outcome != "lost-never" and self.swap(value, expected_mod_revision)
        await _Pause()
        if outcome != "answered":
            return SwapResult.OUTCOME_UNKNOWN
        return SwapResult.SWAPPED if swapped else SwapResult.CONFLICT

    def swap(self, value, expected_mod_revision):
        if expected_mod_revision != len(self.values):
            return False
        self.values.append(value)
        return True


class ConcurrentOperators(RuleBasedStateMachine):
    """Interleave two operators and compare the store with a sequential model."""

    def __init__(self):
        super().__init__()
        self.store = _Store()
        self.serial = itertools.count(1)
        self.patches_by_id = {}
        self.running_by_operator = {}
        self.undecided_by_operator = {}
        self.accepted_by_id = {}
        self.refused_ids = set()

    def _start(self, operator, patch):
        coroutine = submit_patch(self.store, patch, operator, max_attempts=3)
        self.running_by_operator[operator] = (patch, coroutine)

    @rule(
        operator=st.sampled_from(OPERATORS),
        lag=st.integers(0, 2),
        path=st.sampled_from(["/", "/a", "/a/b"]),
        key=st.sampled_from(["weight", "max_running"]),
        invalid=st.sampled_from([False, False, False, True]),
    )
    def submit(self, operator, lag, path, key, invalid):
        """Submit a new patch, possibly with an outdated base version."""
        if operator in self.running_by_operator:
            return
        serial = next(self.serial)
        base = max(0, len(self.store.values) - lag)
        edit = Edit(path, key, -1 if invalid else serial)
        patch = Patch(f"change-{serial}", base, (edit,))
        self.patches_by_id[patch.change_id] = patch
        self._start(operator, patch)

    @rule(operator=st.sampled_from(OPERATORS))
    def repeat(self, operator):
        """Retry a patch whose outcome is unknown."""
        if operator in self.running_by_operator:
            return
        patch = self.undecided_by_operator.pop(operator, None)
        if patch is not None:
            self._start(operator, patch)

    @rule(operator=st.sampled_from(OPERATORS), steps=st.integers(1, 8))
    def proceed(self, operator, steps):
        """Advance the submission of an operator by a few steps."""
        for _ in range(steps):
            if operator not in self.running_by_operator:
                return
            patch, coroutine = self.running_by_operator[operator]
            try:
                coroutine.send(None)
            except StopIteration as stop:
                del self.running_by_operator[operator]
                self._record_result(operator, patch, stop.value)

    def _record_result(self, operator, patch, result):
        if isinstance(result, Accepted):
            self.accepted_by_id[patch.change_id] = result.version
        elif isinstance(result, PatchConflict | Rejected):
            self.refused_ids.add(patch.change_id)
        else:
            assert isinstance(result, Undecided)
            self.undecided_by_operator[operator] = patch

    @rule(outcome=st.sampled_from(OUTCOMES))
    def inject_fault(self, outcome):
        """Select the outcome of the next call to the store."""
        self.store.outcomes.append(outcome)

    @precondition(lambda self: self.store.delayed_swaps)
    @rule(index=st.integers(0, 5))
    def complete_delayed_swap(self, index):
        """Apply a write whose response was lost earlier."""
        value, revision = self.store.delayed_swaps.pop(
            index % len(self.store.delayed_swaps)
        )
        self.store.swap(value, revision)

    @invariant()
    def store_matches_reported_results(self):
        """Replay the written changes and compare with the store and the results."""
        documents = [SettingsDocument.decode(value) for value in self.store.values]
        versions = range(1, len(documents) + 1)
        assert [document.version for document in documents] == list(versions)
        written = [document.recent_changes[-1].change_id for document in documents]
        assert len(set(written)) == len(written)
        expected = {}
        version_by_target = {}
        for version, change_id in zip(versions, written, strict=True):
            patch = self.patches_by_id[change_id]
            (edit,) = patch.edits
            target = (edit.path, edit.key)
            assert version_by_target.get(target, 0) <= patch.base_version
            version_by_target[target] = version
            expected[target] = edit.value
        if documents:
            sections = documents[-1].tree.sections
            assert expected == {
                (path, key): value
                for path, values in sections.items()
                for key, value in values.items()
            }
        version_by_id = dict(zip(written, versions, strict=True))
        assert self.accepted_by_id.items() <= version_by_id.items()
        assert not self.refused_ids & set(written)

    def teardown(self):
        """Close the coroutines that are still running."""
        for _, coroutine in self.running_by_operator.values():
            coroutine.close()


TestConcurrentOperators = ConcurrentOperators.TestCase
TestConcurrentOperators.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)


def _run(coroutine):
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value


class TestSubmitPatch:
    PATCH = Patch("c", 0, (Edit("/", "weight", 2),))

    @pytest.mark.parametrize(
        ("outcomes", "kind"),
        [
            (["answered", "answered"], Accepted),
            (["answered", "lost-applied"], Accepted),
            (["answered", "lost-never"], Accepted),
            (["answered", "lost-applied", "unavailable"], Undecided),
            (["unavailable"], Undecided),
            (["answered", "unavailable"], Undecided),
            (["answered", "lost-never"] * 9, Undecided),
            ([*(["answered", "lost-never"] * 7), "answered", "lost-applied"], Accepted),
        ],
    )
    def test_result_after_store_failures(self, outcomes, kind):
        """A lost response is resolved by reading the document again."""
        store = _Store()
        store.outcomes = outcomes[::-1]
        result = _run(submit_patch(store, self.PATCH, "ana"))
        assert isinstance(result, kind)
        assert not isinstance(result, Accepted) or result.version == 1

    @pytest.mark.parametrize("outcomes", [[], ["answered", "lost-never"]])
    def test_stale_base_is_refused(self, outcomes):
        """A base older than the retained changes is Stale and nothing is written."""
        store = _Store()
        for number in range(MAX_RECENT_CHANGES + 1):
            patch = Patch(str(number), number, (Edit("/", "max_waiting", number),))
            _run(submit_patch(store, patch, "ana"))
        written = len(store.values)
        store.outcomes = outcomes[::-1]
        result = _run(submit_patch(store, self.PATCH, "bo"))
        assert result == Stale("c", 0, 1)
        assert len(store.values) == written

    def test_store_below_minimum_version_is_not_written(self):
        """A store that lost accepted changes must not be written to."""
        store = _Store()
        result = _run(submit_patch(store, self.PATCH, "ana", minimum_version=3))
        assert isinstance(result, Undecided)
        assert store.values == []

    def test_unreadable_store_is_not_overwritten(self):
        """Data that cannot be decoded must not be replaced."""
        store = _Store()
        store.values = [b"not settings"]
        result = _run(submit_patch(store, self.PATCH, "ana"))
        assert isinstance(result, Undecided)
        assert store.values == [b"not settings"]


class TestOddDocuments:
    """Documents that another program has written."""

    @pytest.mark.parametrize("depth", [10_000, 100_000])
    def test_nested_document_ends_its_reader(self, depth):
        """It is malformed, as other documents that can't be read."""
        data = b'{"version":1,"x":' + b"[" * depth + b"]" * depth + b"}"
        with pytest.raises(FindingsError):
            SettingsDocument.decode(data)
