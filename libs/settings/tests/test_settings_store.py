"""Operators who submit patches through a store that loses answers."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

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
FATES = ("answered", "lost-applied", "lost-never", "lost-late", "unavailable")


class _Pause:
    def __await__(self):
        yield


class _Store:
    """A key-value service of one key; keeps every value ever written."""

    def __init__(self):
        self.values = []
        self.late = []
        self.fates = []

    def fate(self):
        return self.fates.pop() if self.fates else "answered"

    async def get(self, key):
        await _Pause()
        if self.fate() == "unavailable":
            return ReadFailed("down")
        stored = StoredValue(self.values[-1] if self.values else None, len(self.values))
        await _Pause()
        return stored

    async def compare_and_swap(self, key, value, expected_mod_revision):
        await _Pause()
        fate = self.fate()
        if fate == "unavailable":
            return SwapResult.UNAVAILABLE
        if fate == "lost-late":
            self.late.append((value, expected_mod_revision))
            return SwapResult.OUTCOME_UNKNOWN
        swapped = fate != "lost-never" and self.swap(value, expected_mod_revision)
        await _Pause()
        if fate != "answered":
            return SwapResult.OUTCOME_UNKNOWN
        return SwapResult.SWAPPED if swapped else SwapResult.CONFLICT

    def swap(self, value, expected_mod_revision):
        if expected_mod_revision != len(self.values):
            return False
        self.values.append(value)
        return True


class ConcurrentOperators(RuleBasedStateMachine):
    """Drive two operators a step at a time and compare with a list of changes."""

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
        """Start a new patch, perhaps read a few versions ago."""
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
        """Repeat a patch whose result stayed open."""
        if operator in self.running_by_operator:
            return
        patch = self.undecided_by_operator.pop(operator, None)
        if patch is not None:
            self._start(operator, patch)

    @rule(operator=st.sampled_from(OPERATORS), steps=st.integers(1, 8))
    def proceed(self, operator, steps):
        """Let an operator's submission run on for a few steps."""
        for _ in range(steps):
            if operator not in self.running_by_operator:
                return
            patch, coroutine = self.running_by_operator[operator]
            try:
                coroutine.send(None)
            except StopIteration as stop:
                del self.running_by_operator[operator]
                self._note(operator, patch, stop.value)

    def _note(self, operator, patch, result):
        if isinstance(result, Accepted):
            self.accepted_by_id[patch.change_id] = result.version
        elif isinstance(result, PatchConflict | Rejected):
            self.refused_ids.add(patch.change_id)
        else:
            assert isinstance(result, Undecided)
            self.undecided_by_operator[operator] = patch

    @rule(fate=st.sampled_from(FATES))
    def trouble(self, fate):
        """Decide the fate of the next call."""
        self.store.fates.append(fate)

    @precondition(lambda self: self.store.late)
    @rule(index=st.integers(0, 5))
    def late_swap(self, index):
        """Let a swap whose answer was lost reach the store only now."""
        value, revision = self.store.late.pop(index % len(self.store.late))
        self.store.swap(value, revision)

    @invariant()
    def store_holds_what_was_told(self):
        """Replay all written changes; compare with the store and the answers."""
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
        """End what still runs."""
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
        ("fates", "kind"),
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
    def test_result_after_trouble(self, fates, kind):
        """A lost answer is resolved by reading back, as long as that works."""
        store = _Store()
        store.fates = fates[::-1]
        result = _run(submit_patch(store, self.PATCH, "ana"))
        assert isinstance(result, kind)
        assert not isinstance(result, Accepted) or result.version == 1

    @pytest.mark.parametrize("fates", [[], ["answered", "lost-never"]])
    def test_too_old_a_base_is_final(self, fates):
        """Repeating cannot help a patch whose base is forgotten: it is told so."""
        store = _Store()
        for number in range(MAX_RECENT_CHANGES + 1):
            patch = Patch(str(number), number, (Edit("/", "max_waiting", number),))
            _run(submit_patch(store, patch, "ana"))
        written = len(store.values)
        store.fates = fates[::-1]
        result = _run(submit_patch(store, self.PATCH, "bo"))
        assert result == Stale("c", 0, 1)
        assert len(store.values) == written

    def test_store_that_went_back_is_not_written(self):
        """A store that lost accepted changes does not get new ones."""
        store = _Store()
        result = _run(submit_patch(store, self.PATCH, "ana", minimum_version=3))
        assert isinstance(result, Undecided)
        assert store.values == []

    def test_unreadable_store_is_not_overwritten(self):
        """Foreign data under the key are left alone."""
        store = _Store()
        store.values = [b"not settings"]
        result = _run(submit_patch(store, self.PATCH, "ana"))
        assert isinstance(result, Undecided)
        assert store.values == [b"not settings"]
