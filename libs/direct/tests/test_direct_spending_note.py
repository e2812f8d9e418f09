"""When large spending is noted in the store."""

import pytest

from berylwalk.direct._spending_note import NOTE_GAP_S, NOTE_LEASE_S, note_is_due


class TestDue:
    """Few notes, and none missing."""

    def test_slow_growth_is_noted(self):
        """Growth counts from the last note, not from the last look."""
        noted, total, age_s = 600.0, 600.0, 0.0
        for _ in range(6):
            total *= 1.02
            age_s += NOTE_GAP_S
            if note_is_due(total, noted, age_s):
                noted, age_s = total, 0.0
        assert total <= noted * 1.05

    def test_steady_spending_keeps_its_note(self):
        """The note is written again well before its lease ends."""
        assert not note_is_due(1000.0, 1000.0, 1.0)
        assert note_is_due(1000.0, 1000.0, NOTE_LEASE_S / 2)

    @pytest.mark.parametrize("age_s", [0.0, 100.0])
    def test_usual_spending_causes_no_call(self, age_s):
        """Nothing is written while no account spends much."""
        assert not note_is_due(0.0, 1000.0, age_s)
