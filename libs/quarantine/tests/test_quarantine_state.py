"""How a router treats requests under which targets ended, and what it tells."""

import pytest
from msgspec import ValidationError, msgpack

from berylwalk.quarantine import (
    TRIAL_DELAYS_S,
    ChangeKind,
    Quarantine,
    QuarantineStatus,
    QuarantineUpdate,
)
from berylwalk.quarantine._outbox import TIMES_TOLD

REQUEST = bytes(16)
OTHER = bytes([1]) * 16


@pytest.fixture
def quarantine():
    """Return one with a request under which three targets ended at 0."""
    quarantine = Quarantine()
    quarantine.changes = []
    quarantine.on_change = quarantine.changes.append
    for incarnation_id in "abc":
        quarantine.record_crash(REQUEST, incarnation_id, 0.0)
    return quarantine


def tell(sender, receiver, now):
    """Pass what one router tells on to another, as it travels."""
    data = msgpack.encode(sender.next_update(sender.direct_outbox, now))
    receiver.merge(msgpack.decode(data, type=QuarantineUpdate), now, is_direct=True)


class TestStanding:
    """From free over suspected to blamed, and back."""

    def test_steps(self):
        """Each end counts once."""
        quarantine = Quarantine()
        seen = []
        for incarnation_id in "aabbcc":
            quarantine.record_crash(REQUEST, incarnation_id, 0.0)
            seen.append(quarantine.status(REQUEST, 0.0))
        assert seen == ["free", "free", "suspected", "suspected", "blamed", "blamed"]

    def test_change_is_told(self, quarantine):
        """With the ends that decided it."""
        (change,) = quarantine.changes
        assert (change.kind, change.ended) == (ChangeKind.BLAMED, ["a", "b", "c"])
        quarantine.record_success(REQUEST, 1.0)
        assert quarantine.changes[-1].kind == ChangeKind.NO_LONGER_BLAMED

    def test_answer_clears_it(self, quarantine):
        """Here and, told of it, elsewhere."""
        other = Quarantine()
        tell(quarantine, other, 1.0)
        assert other.status(REQUEST, 1.0) is QuarantineStatus.BLAMED
        assert quarantine.record_success(REQUEST, 2.0)
        tell(quarantine, other, 2.0)
        assert quarantine.status(REQUEST, 2.0) is QuarantineStatus.FREE
        assert other.status(REQUEST, 2.0) is QuarantineStatus.FREE

    def test_sign_of_life_takes_an_end_back(self, quarantine):
        """If what the target answered was sent after its end."""
        assert not quarantine.record_alive("a", sent_at=0.0, now=1.0)
        assert quarantine.status(REQUEST, 1.0) is QuarantineStatus.BLAMED
        assert quarantine.record_alive("a", sent_at=0.5, now=1.0)
        assert quarantine.status(REQUEST, 1.0) is QuarantineStatus.SUSPECTED

    def test_two_requests_alike_get_a_trial_soon(self):
        """One alone waits a minute."""
        quarantine = Quarantine()
        for incarnation_id in "abc":
            quarantine.record_crash(REQUEST, incarnation_id, 0.0)
            quarantine.record_crash(OTHER, incarnation_id, 0.0)
        assert quarantine.status(OTHER, 1.0) is QuarantineStatus.TRIAL


class TestTrials:
    """When a request that is to blame may be sent again."""

    def test_two_in_all(self, quarantine):
        """After a minute, ten minutes later, and then no more."""
        first, second = TRIAL_DELAYS_S
        assert quarantine.status(REQUEST, first - 1) is QuarantineStatus.BLAMED
        assert quarantine.status(REQUEST, first) is QuarantineStatus.TRIAL
        quarantine.record_trial(REQUEST, 1, first)
        assert quarantine.status(REQUEST, first + second - 1) is QuarantineStatus.BLAMED
        assert quarantine.status(REQUEST, first + second) is QuarantineStatus.TRIAL
        quarantine.record_trial(REQUEST, 2, first + second)
        assert quarantine.status(REQUEST, 1e9) is QuarantineStatus.BLAMED

    def test_caller_is_told_when(self, quarantine):
        """As long as there is a next one."""
        assert quarantine.retry_after_s(REQUEST, 20.0) == TRIAL_DELAYS_S[0] - 20.0
        quarantine.record_trial(REQUEST, 2, 20.0)
        assert quarantine.retry_after_s(REQUEST, 20.0) == TRIAL_DELAYS_S[1]

    def test_trials_of_others_count(self, quarantine):
        """As the store tells them."""
        quarantine.merge_stored(REQUEST, ["a"], 2, 5.0)
        assert quarantine.status(REQUEST, 1e9) is QuarantineStatus.BLAMED


class TestNews:
    """What is told, how often, and what is taken."""

    def test_each_thing_is_told_a_few_times(self):
        """Then no more, but for who is blamed."""
        quarantine = Quarantine()
        quarantine.record_crash(REQUEST, "a", 0.0)
        told = [
            bool(quarantine.next_update(quarantine.direct_outbox, 0.1))
            for _ in range(10)
        ]
        assert sum(told) == TIMES_TOLD

    def test_blamed_are_told_again_each_second(self, quarantine):
        """A router that was cut off hears of them."""
        for _ in range(TIMES_TOLD):
            quarantine.next_update(quarantine.direct_outbox, 0.1)
        other = Quarantine()
        tell(quarantine, other, 500.0)
        assert other.status(REQUEST, 500.0) is QuarantineStatus.BLAMED

    def test_ages_are_those_of_the_ends(self, quarantine):
        """Not of the telling: a later sign of life counts against them."""
        other = Quarantine()
        tell(quarantine, other, 5.0)
        assert other.record_alive("a", sent_at=4.0, now=5.0)

    @pytest.mark.parametrize(
        "bad",
        [
            [[[b"short", {}, []]], {}],
            [[[REQUEST, {"a": -1.0}, []]], {}],
            [[[REQUEST, {"a": float("nan")}, []]], {}],
            [[[REQUEST, {"a" * 300: 1.0}, []]], {}],
            [[], {"a": float("inf")}],
        ],
    )
    def test_bad_news_are_refused(self, bad):
        """Before any of them is taken."""
        with pytest.raises(ValidationError):
            msgpack.decode(msgpack.encode(bad), type=QuarantineUpdate)

    def test_news_of_a_later_version_are_read(self):
        """What is added at the end is passed over."""
        data = msgpack.encode([[[REQUEST, {"a": 1.0}, [], 0, "new"]], {}, "new"])
        news = msgpack.decode(data, type=QuarantineUpdate)
        assert news.suspects[0].ages_s == {"a": 1.0}
