"""Streams keep their version while versions change and all routers are killed.

``BERYLWALK_VERSION_PLAYS`` sets the seeds, such as ``1:1000``. Ties are
ordered by sets that are iterated, so that the plays of a seed differ a little.
"""

import os

import pytest
from anyio import sleep

from berylwalk.direct import _request_lifecycle
from berylwalk.direct._response_writer import ResponseWriter
from berylwalk.direct._stream_binding import VersionSource, find_stream_version
from berylwalk.direct._stream_store import StreamStore
from berylwalk.dispatch import Dispatcher
from virtual_version_changes import VersionChanges

FIRST, LAST = map(int, os.environ.get("BERYLWALK_VERSION_PLAYS", "1:3").split(":"))
ROUTERS = (2, 6, 31)
SHARE = 0.9
"""Least share of the streams that go on, compared with that of new ones that begin."""
REFUSES_SOME = {"refused_share": 0.25}
RECORDED_SHARE = 0.8
"""Least share of the streams whose record the store has after a while, if it refuses a
quarter of the writes."""


def play(seed, **options):
    """Run a simulation and return it."""
    simulation = VersionChanges(
        seed, **{"routers": ROUTERS[seed % len(ROUTERS)], **options}
    )
    simulation.simulate()
    return simulation


def plays(**options):
    """Return some plays with a store that is well."""
    return [play(seed, troubles=(), routers=6, **options) for seed in (1, 2)]


def share_that_goes_on(some):
    """Return it over some plays, compared with that of new streams that begin."""
    expected = sum(each.expected_to_go_on() for each in some)
    assert expected > 40
    return sum(each.went_on() for each in some) / expected


def joined(some):
    """Return how many streams joined versions, over some plays."""
    return sum(each.joined() for each in some)


def unrecorded(some):
    """Return how many first events came before their record, over some plays."""
    return sum(each.first_events - each.recorded for each in some)


def share_recorded(some):
    """Return the share of the running streams that the store has, over some plays."""
    running = sum(each.running for each in some)
    return sum(each.running_recorded for each in some) / running


async def start_version_unwritten(simulation):
    """Start a version that the store can't note, and kill all routers then."""
    simulation.store.state = "read-only"
    simulation.start_version()
    await sleep(1.0)
    simulation.kill_all()
    simulation.store.state = "well"


async def start_version_unread(simulation):
    """Let routers start beside a new version without reading what is noted."""
    simulation.store.state = "lists-only"
    simulation.start_version()
    simulation.kill_all()
    await sleep(4.0)
    simulation.kill_all()
    simulation.store.state = "well"


class TestVersionChanges:
    """New versions start and old ones end, also while no router runs."""

    def test_no_stream_joins_versions(self):
        """Whatever the store does meanwhile."""
        joined_by_seed = {
            seed: joined
            for seed in range(FIRST, LAST + 1)
            if (joined := play(seed).joined())
        }
        assert joined_by_seed == {}

    def test_streams_go_on_while_the_store_is_well(self):
        """Nearly as often as new ones begin, and no event comes before its record."""
        some = plays()
        assert share_that_goes_on(some) >= SHARE
        assert unrecorded(some) == 0

    def test_streams_are_recorded_while_the_store_refuses_some_writes(self):
        """What is refused is written again."""
        some = plays(**REFUSES_SOME)
        assert joined(some) == 0
        assert share_recorded(some) >= RECORDED_SHARE

    @pytest.mark.parametrize("script", [start_version_unwritten, start_version_unread])
    def test_version_that_is_not_in_the_history(self, script):
        """It gets no streams, since a router that starts would not know of them."""
        assert play(1, routers=6, script=script).joined() == 0


class TestInjectedDefects:
    """Injected defects that the checks must detect."""

    def test_only_listed_version_taken_for_that_of_the_stream(self, monkeypatch):
        """The version that began it may have left."""

        async def only_listed(context, admitted):
            listed = context.targets.versions_of(admitted.service)
            if len(listed) == 1:
                return min(listed), VersionSource.ONLY_ONE
            return await find_stream_version(context, admitted)

        monkeypatch.setattr(_request_lifecycle, "find_stream_version", only_listed)
        assert play(1, routers=6).joined() > 0

    def test_version_gets_streams_before_it_is_in_the_history(self, monkeypatch):
        """All routers may be killed before it is."""
        monkeypatch.setattr(
            Dispatcher, "_of_stored_versions", lambda _, __, targets, now: targets
        )
        simulation = play(1, routers=6, script=start_version_unwritten)
        assert simulation.joined() > 0

    def test_refused_write_dropped(self, monkeypatch):
        """The record is not written again."""
        write = StreamStore._write

        async def write_once(store, streams):
            await write(store, streams)
            store._context.streams.note_stored(streams)
            return True

        monkeypatch.setattr(StreamStore, "_write", write_once)
        assert share_recorded(plays(**REFUSES_SOME)) < RECORDED_SHARE

    def test_record_written_after_the_event(self, monkeypatch):
        """All routers may be killed before it is."""
        monkeypatch.setattr(ResponseWriter, "hold", lambda _: None)
        assert unrecorded(plays()) > 0
