"""Histories of the versions at which streams may have begun."""

from berylwalk.dispatch import UNKNOWN_VERSION, StreamVersions, VersionHistory

KEEP_S = 30.0


def history(*stored, listed=()):
    """Return the history of a service."""
    versions = VersionHistory()
    versions.adopt("s", stored)
    versions.note_listed("s", listed or stored, 0.0)
    return versions


class TestOnlyVersion:
    """What is known of a stream without a record."""

    def test_history_that_is_not_known_tells_no_version(self):
        """What is listed now may not be what began the stream."""
        versions = VersionHistory()
        versions.note_listed("s", {"v2"}, 0.0)
        assert versions.only_version("s") is None
        assert versions.is_mixed("s")

    def test_listed_version_does_not_count_before_it_is_stored(self):
        """No stream has begun at it."""
        versions = history("v1", listed={"v1", "v2"})
        assert versions.only_version("s") == "v1"
        assert versions.missing("s") == {"v2"}
        assert versions.is_mixed("s")

    def test_version_that_left_counts_until_it_is_removed(self):
        """Callers come back to its streams."""
        assert history("v1", "v2", listed={"v2"}).only_version("s") is None

    def test_lost_history_tells_no_version(self):
        """A copy of the store may lack versions."""
        assert history("v1", UNKNOWN_VERSION, listed={"v1"}).only_version("s") is None


class TestOutdated:
    """Versions to which no caller comes back any more."""

    def test_version_is_outdated_once_it_has_not_been_listed_for_long(self):
        """The time runs from when this router has first missed it."""
        versions = history("v1", "v2", listed={"v1", "v2"})
        versions.note_listed("s", {"v2"}, 10.0)
        assert not versions.outdated("s", 39.0, keep_s=KEEP_S)
        assert versions.outdated("s", 41.0, keep_s=KEEP_S) == {"v1"}

    def test_time_runs_from_the_start_of_the_router(self):
        """It may have left just before."""
        versions = VersionHistory()
        versions.note_listed("s", {"v2"}, 100.0)
        versions.adopt("s", {"v1", "v2"})
        assert not versions.outdated("s", 105.0, keep_s=KEEP_S)
        assert not versions.outdated("s", 130.0, keep_s=KEEP_S)
        assert versions.outdated("s", 136.0, keep_s=KEEP_S) == {"v1"}

    def test_version_that_returns_is_kept(self):
        """Its time starts anew."""
        versions = history("v1", "v2", listed={"v2"})
        versions.note_listed("s", {"v1", "v2"}, 20.0)
        versions.note_listed("s", {"v2"}, 25.0)
        assert not versions.outdated("s", 40.0, keep_s=KEEP_S)

    def test_time_starts_anew_if_versions_may_have_been_listed_unseen(self):
        """Streams may have begun at them while the router was out of step."""
        versions = history("v1", "v2", listed={"v2"})
        versions.note_unseen(25.0)
        assert not versions.outdated("s", 54.0, keep_s=KEEP_S)
        assert versions.outdated("s", 56.0, keep_s=KEEP_S) == {"v1"}


def unstored_keys(streams, now=1.0):
    """Return the keys of the records that are to be stored."""
    return [each.key for each in streams.unstored(now, is_mixed=lambda _: True)]


class TestBacklog:
    """Records that the store is to have."""

    def test_record_is_written_until_the_store_acknowledges_it(self):
        """A refused call loses nothing."""
        streams = StreamVersions()
        streams.record("s", 1, "v1", 0.0)
        first = streams.unstored(1.0, is_mixed=lambda _: True)
        assert unstored_keys(streams) == [1]
        streams.note_stored(first)
        assert unstored_keys(streams) == []

    def test_complete_stream_is_not_written(self):
        """Its caller doesn't come back."""
        streams = StreamVersions()
        streams.record("s", 1, "v1", 0.0)
        streams.finish(1)
        assert unstored_keys(streams) == []

    def test_unfinished_streams_are_written_again_after_a_restore(self):
        """The copy of the store may lack them."""
        streams = StreamVersions()
        for key in (1, 2):
            streams.record("s", key, "v1", 0.0)
        streams.note_stored(streams.unstored(1.0, is_mixed=lambda _: True))
        streams.finish(1)
        streams.note_store_restored()
        assert unstored_keys(streams) == [2]

    def test_continued_stream_is_not_written_again_at_once(self):
        """Its record lasts for longer than callers take to come back."""
        streams = StreamVersions()
        assert streams.record("s", 1, "v1", 0.0)
        streams.note_stored(streams.unstored(0.0, is_mixed=lambda _: True))
        assert not streams.record("s", 1, "v1", 5.0)
        assert streams.record("s", 1, "v1", 15.0)

    def test_records_of_long_streams_are_kept_for_longer(self):
        """A caller may come back near the end of its time."""
        streams = StreamVersions()
        streams.note_longest(60.0)
        streams.record("s", 1, "v1", 0.0)
        assert streams.version_of(1, 100.0) == "v1"
        assert unstored_keys(streams, now=100.0) == [1]

    def test_backlog_is_bounded(self, monkeypatch):
        """The oldest records are dropped and counted."""
        monkeypatch.setattr("berylwalk.dispatch._stream_versions.MAX_UNSTORED", 3)
        streams = StreamVersions()
        for key in range(5):
            streams.record("s", key, "v1", 0.0)
        assert unstored_keys(streams) == [4, 3, 2]
        assert streams.dropped_unstored == 2
