"""Versions at which streams began."""

from listed_targets import entry

from berylwalk.dispatch import (
    Dispatcher,
    PendingRequest,
    StreamVersions,
    TargetTable,
    Work,
    stream_key,
)
from berylwalk.rollout import ExposureRules, Order, Rollouts

ERA = 10**12
"""Lower bound of the revisions after a restore of the store."""
KEY = stream_key("account", b"first")


def is_mixed(_):
    """Take every service for one with several versions."""
    return True


class TestRecords:
    """What one router keeps."""

    def test_version_is_kept_while_a_caller_may_come_back(self):
        """A record ends some time after its stream was last continued."""
        streams = StreamVersions()
        streams.record("s", KEY, "v1", 0.0)
        streams.record("s", KEY, "v1", 20.0)
        assert streams.version_of(KEY, 45.0) == "v1"
        assert streams.version_of(KEY, 51.0) is None

    def test_first_version_stands(self):
        """A later record of the same stream can't change it."""
        streams = StreamVersions()
        streams.record("s", KEY, "v1", 0.0)
        streams.merge([(KEY, "v2")], 1.0)
        assert streams.version_of(KEY, 2.0) == "v1"

    def test_other_account_finds_nothing(self):
        """An attempt of another account can't be taken up."""
        streams = StreamVersions()
        streams.record("s", KEY, "v1", 0.0)
        assert streams.version_of(stream_key("other", b"first"), 0.0) is None

    def test_records_are_bounded(self, monkeypatch):
        """The oldest are dropped and counted."""
        monkeypatch.setattr("berylwalk.dispatch._stream_versions.MAX_RECORDS", 10)
        streams = StreamVersions()
        for number in range(25):
            streams.record("s", number, "v1", 0.0)
        assert len(streams) == 10
        assert streams.dropped == 15
        assert streams.version_of(24, 0.0) == "v1"


class TestTelling:
    """What routers tell each other."""

    def test_nothing_is_told_of_a_service_with_one_version(self):
        """Any router can tell its version without a record."""
        streams = StreamVersions()
        streams.record("s", KEY, "v1", 0.0)
        assert streams.take_updates(0.0, is_mixed=lambda _: False) == []

    def test_earlier_streams_are_told_once_a_second_version_appears(self):
        """They may be taken up while both versions serve."""
        streams = StreamVersions()
        streams.record("s", KEY, "v1", 0.0)
        streams.take_updates(0.0, is_mixed=lambda _: False)
        assert streams.take_updates(5.0, is_mixed=is_mixed) == [(KEY, "v1")]
        assert streams.take_updates(5.1, is_mixed=is_mixed) == []

    def test_starting_router_learns_the_recent_streams(self):
        """It may be the one at which the caller takes the stream up."""
        older, newer = StreamVersions(), StreamVersions()
        older.record("s", KEY, "v1", 0.0)
        newer.merge(older.recent(), 1.0)
        assert newer.version_of(KEY, 2.0) == "v1"


class TestStreamAtARouterThatStarts:
    """A router that does not know yet which version of a service is in service."""

    def test_stream_waits_until_other_routers_can_tell(self):
        """It is not refused as one whose version has no targets."""
        rollouts = Rollouts(ExposureRules())
        rollouts.note_era(ERA, 0.0)
        order = Order(service="s", version="v2", period_s=12.0, revision=ERA + 1)
        rollouts.set_orders([order], 0.0)
        for revision, version in enumerate(("v1", "v2")):
            rollouts.versions.record_version("s", version, revision)
        targets = TargetTable()
        targets.replace([entry("a", version="v1")], 0.0)
        dispatcher = Dispatcher(targets, failure_domain="fd-a", rollouts=rollouts)
        pending = PendingRequest(
            service="s",
            rank=(0, 0),
            work=Work(),
            on_placed=print,
            stream_version="v1",
        )
        assert dispatcher.submit(pending, 0.1) is None
        assert dispatcher.has_candidate(pending, 0.1)
        assert dispatcher.submit(pending, 1.0) is not None
