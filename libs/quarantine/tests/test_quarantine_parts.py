"""Crashes of targets under parts of prompts."""

import pytest

from berylwalk.quarantine import (
    Quarantine,
    QuarantineStatus,
    Record,
    is_part,
    part_identity,
)
from berylwalk.quarantine._part_attribution import (
    IN_USE_S,
    SAME_CAUSE_S,
    attribute_part_crashes,
)
from berylwalk.quarantine._trials import (
    CONTESTED_TRIAL_DELAY_S,
    INCONCLUSIVE_TRIAL_DELAY_S,
    PART_TRIAL_DELAYS_S,
)

OUTER, FAULTY, OTHER = (part_identity("s", each) for each in (b"1", b"2", b"3"))
REQUEST = bytes(16)


@pytest.fixture
def quarantine():
    """Return a quarantine with a part under which three targets crashed."""
    quarantine = Quarantine()
    for number, incarnation_id in enumerate("abc"):
        quarantine.record_crashes([OUTER, FAULTY], incarnation_id, float(number))
        quarantine.record_begun([OUTER], number + 0.1)
    return quarantine


class TestIdentity:
    """Identities of parts."""

    def test_service_distinguishes_parts(self):
        """Targets of another service may process the same part."""
        assert part_identity("s", b"1") == OUTER
        assert part_identity("t", b"1") != OUTER
        assert is_part(OUTER)
        assert not is_part(REQUEST)


class TestAttribution:
    """Which parts are to blame."""

    def test_each_part_counts_for_itself(self):
        """A common part must not hide the faulty one."""
        crashed_at = {"a": 0.0, "b": 1.0, "c": 2.0}
        attribution = attribute_part_crashes(
            {FAULTY: crashed_at, OUTER: {**crashed_at, "d": 3.0}},
            is_in_use=lambda part: False,
        )
        assert set(attribution.blamed) == {FAULTY, OUTER}

    def test_crashes_of_one_moment_count_once_for_a_part_in_use(self):
        """A failure of a whole domain must not blame what all requests share."""
        at_once = {"a": 0.0, "b": 0.0, "c": SAME_CAUSE_S}
        used, unused = (
            attribute_part_crashes(
                {OUTER: at_once}, is_in_use=lambda part, use=use: use
            )
            for use in (True, False)
        )
        assert not used.blamed
        assert not used.suspected
        assert set(unused.blamed) == {OUTER}

    def test_crashes_of_separate_moments_count_for_a_part_in_use(self):
        """A part that becomes faulty must be found too."""
        apart = {"a": 0.0, "b": 1.0, "c": 2.0}
        attribution = attribute_part_crashes(
            {OUTER: apart}, is_in_use=lambda part: True
        )
        assert set(attribution.blamed) == {OUTER}

    def test_part_is_in_use_for_a_while(self):
        """A part that was in use long ago must be judged like a new one."""
        for since_s, status in (
            (0.0, QuarantineStatus.FREE),
            (IN_USE_S + 1, QuarantineStatus.TRIAL),
        ):
            quarantine = Quarantine()
            quarantine.record_begun([OUTER], 0.0)
            for incarnation_id in "abc":
                quarantine.record_crashes([OUTER], incarnation_id, since_s)
            assert quarantine.status(OUTER, since_s + 1) is status


class TestVerdict:
    """How requests with parts are treated."""

    def test_response_that_begins_clears_its_parts_only(self, quarantine):
        """The faulty part must stay blamed, and the other one be served."""
        verdict = quarantine.verdict((REQUEST, OUTER, FAULTY), 2.2)
        assert verdict.status is QuarantineStatus.BLAMED
        assert verdict.blocked_by == (FAULTY,)
        sound = quarantine.verdict((REQUEST, OUTER, OTHER), 2.2)
        assert sound.status is QuarantineStatus.FREE

    def test_first_trial_of_parts_that_occur_together(self):
        """The outer part must keep its trial, as more requests share it."""
        quarantine = Quarantine()
        for incarnation_id in "abc":
            quarantine.record_crashes([OUTER, FAULTY], incarnation_id, 0.0)
        verdict = quarantine.verdict((REQUEST, OUTER, FAULTY), 1.0)
        assert verdict.blocked_by == (OUTER, FAULTY)
        assert verdict.trial_of == (FAULTY,)

    def test_two_crashes_make_a_part_suspected(self):
        """Requests with it must run isolated."""
        quarantine = Quarantine()
        for incarnation_id in "ab":
            quarantine.record_crashes([FAULTY], incarnation_id, 0.0)
        verdict = quarantine.verdict((REQUEST, OUTER, FAULTY), 0.0)
        assert verdict.status is QuarantineStatus.SUSPECTED

    def test_part_explains_crashes_of_a_harmless_request(self):
        """A request that is repeated beside a faulty part must not be blamed."""
        quarantine = Quarantine()
        for incarnation_id in "abc":
            quarantine.record_crashes([FAULTY], incarnation_id, 0.0)
            quarantine.record_crashes([REQUEST], incarnation_id, 0.0)
        assert quarantine.status(REQUEST, 1.0) is QuarantineStatus.FREE


class TestTrials:
    """Trials of blamed parts."""

    def test_first_trial_is_early(self, quarantine):
        """A harmless part must return before its callers have given up."""
        assert quarantine.status(FAULTY, 2.0) is QuarantineStatus.BLAMED
        due_at = 2.0 + CONTESTED_TRIAL_DELAY_S
        assert quarantine.status(FAULTY, due_at) is QuarantineStatus.TRIAL

    def test_trial_that_crashed_its_target(self, quarantine):
        """The next one must follow much later, and there are three in all."""
        at = 3.0
        for trials, delay_s in enumerate((*PART_TRIAL_DELAYS_S[1:], None), 1):
            crashes = len(quarantine.crashed_incarnations(FAULTY))
            record = Record([], trials, crashes_at_trial=crashes)
            quarantine.record_trial(FAULTY, record, at)
            quarantine.record_crashes([FAULTY], f"trial-{trials}", at)
            if delay_s is None:
                assert quarantine.status(FAULTY, 1e9) is QuarantineStatus.BLAMED
            else:
                before = quarantine.status(FAULTY, at + delay_s - 1)
                assert before is QuarantineStatus.BLAMED
                at += delay_s
                assert quarantine.status(FAULTY, at) is QuarantineStatus.TRIAL

    def test_trial_without_a_result_is_repeated_soon(self, quarantine):
        """A caller that left during the trial must not keep the part held back."""
        record = Record([], 1, crashes_at_trial=3)
        quarantine.record_trial(FAULTY, record, 3.0)
        due_at = 3.0 + INCONCLUSIVE_TRIAL_DELAY_S
        assert quarantine.status(FAULTY, due_at - 1) is QuarantineStatus.BLAMED
        assert quarantine.status(FAULTY, due_at) is QuarantineStatus.TRIAL

    def test_returned_permit_delays_the_next_trial(self, quarantine):
        """While no target has room, requests must not acquire permits in turn."""
        quarantine.record_trial(FAULTY, Record([], 1, crashes_at_trial=3), 3.0)
        quarantine.record_trial(FAULTY, Record([], 0, crashes_at_trial=3), 3.1)
        assert quarantine.status(FAULTY, 3.2) is QuarantineStatus.BLAMED
        due_at = 3.1 + CONTESTED_TRIAL_DELAY_S
        assert quarantine.status(FAULTY, due_at) is QuarantineStatus.TRIAL

    def test_trial_that_begins_ends_the_blame(self, quarantine):
        """The part must be served at once."""
        assert quarantine.record_begun([OUTER, FAULTY], 3.0) == [FAULTY]
        assert quarantine.status(FAULTY, 3.0) is QuarantineStatus.FREE


class TestStoredCrashes:
    """Which crashes the store should have."""

    def test_single_crash_under_a_part_is_stored(self):
        """All routers may restart between two crashes."""
        quarantine = Quarantine()
        quarantine.record_crashes([REQUEST, FAULTY], "a", 0.0)
        assert quarantine.to_store(0.1) == set()
        assert quarantine.to_store(1.0) == {FAULTY}

    def test_crashes_after_a_clearing_are_stored_anew(self):
        """The record of a cleared part is deleted."""
        quarantine = Quarantine()
        quarantine.record_crashes([FAULTY], "a", 0.0)
        quarantine.record_stored(FAULTY, 1)
        quarantine.record_begun([FAULTY], 1.0)
        quarantine.record_crashes([FAULTY], "b", 2.0)
        assert quarantine.stored_crashes == {}
