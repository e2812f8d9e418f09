"""A limit that a target names: which answer counts, and what is left of it."""

import pytest

from berylwalk.dispatch import AdvertisedRateLimit, Peer, PeerTable, max_senders


def limited(per_s, *, share=1.0, now=10.0):
    """Return a limit that was just named."""
    limit = AdvertisedRateLimit()
    limit.note_answer(per_s, sent_at=now - 0.1, now=now)
    limit.set_share(share, now)
    return limit


def sends(limit, since, until, step_s=0.01):
    """Return when requests are sent that are always there."""
    sent = []
    steps = round((until - since) / step_s)
    for step in range(steps):
        now = since + step * step_s
        if limit.may_send(now):
            limit.note_sent(now)
            sent.append(now)
    return sent


class TestRate:
    """What may be sent."""

    def test_nothing_is_saved_up_at_first(self):
        """What others have sent is not known."""
        assert sends(limited(2.0), 10.0, 20.0)[0] >= 10.49

    @pytest.mark.parametrize("per_s", [0.3, 1.3, 5.0, 50.0])
    @pytest.mark.parametrize("share", [1.0, 0.25])
    def test_mean_is_the_part_of_the_rate(self, per_s, share):
        """Over a minute of demand."""
        sent = len(sends(limited(per_s, share=share), 10.0, 70.0))
        rate = max(per_s, 0.25) * share
        assert 60 * rate - 2 <= sent <= 60 * rate + 1

    def test_little_is_saved_up(self):
        """After a calm minute no burst follows."""
        assert len(sends(limited(2.0), 70.0, 70.4)) <= 2

    @pytest.mark.parametrize("per_s", [0.0, 1e-9])
    def test_target_that_takes_nothing_is_asked_now_and_then(self, per_s):
        """It could not say otherwise that it takes more."""
        sent = sends(limited(per_s), 10.0, 50.0)
        assert 9 <= len(sent) <= 11

    def test_opening(self):
        """It tells when the next request may be sent."""
        limit = limited(2.0)
        assert limit.available_at(10.0) == pytest.approx(10.5)
        assert limit.available_at(10.6) == 10.6
        limit.set_share(0.0, 10.6)
        limit.note_sent(10.6)
        assert limit.available_at(10.6) == float("inf")

    def test_rate_that_falls(self):
        """What was saved at a high rate is not spent at a low one."""
        limit = limited(100.0)
        limit.may_send(20.0)
        limit.note_answer(1.0, sent_at=20.0, now=20.1)
        assert len(sends(limit, 20.1, 24.1)) <= 6


class TestNewest:
    """Which of several answers counts."""

    def test_answer_without_a_limit_ends_it(self):
        """If its request was sent after the last one with a limit had come."""
        limit = limited(1.0, now=10.0)
        assert limit.note_answer(None, sent_at=10.5, now=11.0)
        assert limit.per_s is None
        assert limit.may_send(11.0)

    def test_answer_that_was_overtaken_does_not_end_it(self):
        """Its request was on its way when the limit was named."""
        limit = limited(1.0, now=10.0)
        assert not limit.note_answer(None, sent_at=9.5, now=14.0)
        assert limit.per_s == 1.0

    def test_overtaken_answer_may_lower_it(self):
        """But not raise it."""
        limit = limited(2.0, now=10.0)
        assert not limit.note_answer(5.0, sent_at=9.0, now=10.2)
        assert limit.note_answer(1.0, sent_at=9.0, now=10.3)
        assert limit.per_s == 1.0
        assert limit.note_answer(5.0, sent_at=10.4, now=10.6)
        assert limit.per_s == 5.0

    def test_limit_is_raised_where_answers_take_longer_than_the_gap_between_them(self):
        """Each was on its way when another one came."""
        limit = limited(20.0, now=10.0)
        for step in range(1, 20):
            now = 10.0 + 0.1 * step
            limit.note_answer(50.0, sent_at=now - 1.0, now=now)
        assert limit.per_s == 50.0

    def test_answers_that_never_named_one_say_nothing(self):
        """There is nothing to tell the other routers."""
        limit = AdvertisedRateLimit()
        assert not limit.note_answer(None, sent_at=1.0, now=2.0)
        assert limit.pending_update(2.0) is None


class TestHearsay:
    """What other routers observed."""

    def test_newer_observation_counts(self):
        """It begins, changes and ends a limit."""
        limit = AdvertisedRateLimit()
        assert limit.apply_update(2.0, 10.0, 10.1)
        assert limit.apply_update(4.0, 11.0, 11.1)
        assert limit.apply_update(None, 12.0, 12.1)
        assert limit.per_s is None

    def test_older_observation_does_not_bring_it_back(self):
        """It is told for some time after it was made."""
        limit = limited(1.0, now=10.0)
        limit.note_answer(None, sent_at=12.0, now=12.2)
        assert not limit.apply_update(1.0, 10.0, 15.0)
        assert limit.per_s is None

    def test_of_two_about_as_old_the_lower_counts(self):
        """Ages are told with the time that a message takes."""
        limit = limited(2.0, now=10.0)
        assert not limit.apply_update(5.0, 10.3, 10.4)
        assert not limit.apply_update(None, 10.3, 10.4)
        assert limit.apply_update(1.0, 9.8, 10.5)
        assert limit.per_s == 1.0

    def test_what_was_heard_is_not_told_on(self):
        """An observation that goes round would never grow old."""
        limit = AdvertisedRateLimit()
        limit.apply_update(2.0, 10.0, 10.1)
        assert limit.pending_update(10.2) is None

    def test_own_observation_is_told_for_a_time(self):
        """With its age."""
        limit = limited(2.0, now=10.0)
        assert limit.pending_update(13.0) == (2.0, 3.0)
        assert limit.pending_update(40.0) is None


def fleet(names, heard, now=100.0):
    """Return the tables of peers of some routers, each of which hears some others."""
    tables = {}
    for name in names:
        table = PeerTable(name, "fd")
        table.replace([Peer(each, each, 1, "1", "fd") for each in names], now)
        for peer in table.by_name.values():
            if peer.name in heard[name]:
                peer.last_heard_at = now
        tables[name] = table
    return tables


class TestParts:
    """The parts of the routers."""

    NAMES = tuple(f"r{number}" for number in range(31))

    def parts(self, heard, senders, now=100.0):
        """Return the parts of one target's limit by router."""
        tables = fleet(self.NAMES, heard, now)
        return [table.rate_share("life", senders, now) for table in tables.values()]

    @pytest.mark.parametrize("per_s", [0.2, 1.3, 8.0, 500.0])
    def test_sum_is_one_where_all_hear_all(self, per_s):
        """Few routers have a part of a small rate, all of a large one."""
        heard = {name: set(self.NAMES) for name in self.NAMES}
        parts = self.parts(heard, max_senders(per_s))
        assert sum(parts) == pytest.approx(1.0)
        assert sum(part > 0 for part in parts) == min(31, max_senders(per_s))

    @pytest.mark.parametrize("cut_off", [1, 10, 15])
    def test_sum_is_one_at_most_where_some_are_cut_off(self, cut_off):
        """Each side leaves the other its part."""
        sides = (set(self.NAMES[:cut_off]), set(self.NAMES[cut_off:]))
        heard = {name: sides[name in sides[1]] for name in self.NAMES}
        assert sum(self.parts(heard, 4)) <= 1.0 + 1e-9

    def test_targets_have_other_routers(self):
        """Not the same few send to all targets in need."""
        heard = {name: set(self.NAMES) for name in self.NAMES}
        tables = fleet(self.NAMES, heard)
        senders = {
            name
            for name, table in tables.items()
            for life in range(40)
            if table.rate_share(f"life-{life}", 2, 100.0) > 0
        }
        assert len(senders) > 20
