"""Streams that go on at another target within one response."""

import pytest

from berylwalk.direct._event_order import EventOrder, EventOrderError
from berylwalk.forwarding import EventSplitter
from berylwalk.platform import NO_EVENT
from direct_fleet import CHUNKED, EVENTS, chunk, event, head, streams

WITHOUT_ID = b"data: x\n\n"
COMMENT = b": alive\n\n"


def encoded(events):
    """Return the bytes of events: ids, or the bytes of events without a number."""
    return b"".join(event(each) if isinstance(each, int) else each for each in events)


class Caller:
    """What a caller has got over several attempts."""

    def __init__(self, last_event_id=NO_EVENT):
        self.order = EventOrder(last_event_id)
        self.events = b""

    def attempt(self, *events):
        """Take the events of one more target, up to one that does not follow."""
        self.order.begin_attempt(is_continuation=bool(self.events))
        for each in EventSplitter().feed(encoded(events)):
            if self.order.is_next(each):
                self.events += each.data

    def has(self, *events):
        """Return whether it has got exactly these events."""
        return self.events == encoded(events)


class TestContinuations:
    """Events of a second target, after those of a first one."""

    @pytest.mark.parametrize("first", [(0,), (1,), (1, 2), (7, 8), (1, COMMENT, 2)])
    @pytest.mark.parametrize("missing", [1, 2, 100])
    def test_gap_before_the_first_event(self, first, missing):
        caller = Caller()
        caller.attempt(*first)
        begin = first[-1] + 1 + missing
        with pytest.raises(EventOrderError, match=f"got {begin} after {first[-1]}"):
            caller.attempt(begin, begin + 1)
        assert caller.has(*first)

    def test_gap_later(self):
        """What came before it is passed on, and known for the next target."""
        caller = Caller()
        caller.attempt(1, 2)
        with pytest.raises(EventOrderError):
            caller.attempt(3, 4, 6)
        caller.attempt(5, 6)
        assert caller.has(1, 2, 3, 4, 5, 6)

    def test_gap_behind_repeated_events(self):
        caller = Caller()
        caller.attempt(1, 2)
        with pytest.raises(EventOrderError):
            caller.attempt(1, 2, 4)
        assert caller.has(1, 2)

    def test_target_that_begins_again(self):
        """The caller gets only what it lacks."""
        caller = Caller()
        caller.attempt(1, 2)
        caller.attempt(1, 2, 3, 4)
        assert caller.has(1, 2, 3, 4)
        assert caller.order.repeated_events == 2
        assert caller.order.misplaced_events == 0

    @pytest.mark.parametrize("first", [(10, 20), (1, 3), (1, 2, 5)])
    def test_ids_that_do_not_go_by_one(self, first):
        """The protocol says only that they increase."""
        caller = Caller()
        caller.attempt(*first)
        caller.attempt(30, 31, 40)
        assert caller.has(*first, 30, 31, 40)

    def test_single_event_tells_nothing_of_the_steps(self):
        caller = Caller()
        caller.attempt(10)
        caller.attempt(20, 30)
        assert caller.has(10, 20, 30)


class TestStreamsThatCallersTakeUp:
    """Responses to callers that have got events in another response."""

    def test_first_event_may_have_any_id_above(self):
        """Nothing of the steps between ids is known here."""
        caller = Caller(last_event_id=5)
        caller.attempt(8, 9)
        assert caller.has(8, 9)
        with pytest.raises(EventOrderError):
            caller.attempt(11)

    def test_event_after_that_of_the_caller_tells_the_steps(self):
        caller = Caller(last_event_id=5)
        caller.attempt(6)
        with pytest.raises(EventOrderError):
            caller.attempt(8)
        assert caller.has(6)


class TestEventsWithoutNumber:
    """Events without an id, or with one that is no number."""

    @pytest.mark.parametrize("odd", [WITHOUT_ID, b"id: a1\ndata: x\n\n"])
    def test_stream_of_them_that_begins_again(self, odd):
        """Its events would come twice."""
        caller = Caller()
        caller.attempt(odd, odd)
        with pytest.raises(EventOrderError, match="without an id"):
            caller.attempt(odd, odd, odd)
        assert caller.has(odd, odd)

    def test_target_that_begins_again_with_one_among_its_events(self):
        caller = Caller()
        caller.attempt(1, WITHOUT_ID, 2)
        with pytest.raises(EventOrderError):
            caller.attempt(1, WITHOUT_ID, 2, 3)
        assert caller.has(1, WITHOUT_ID, 2)

    def test_one_that_follows_in_place(self):
        """Such as a last one that says only that the stream is complete."""
        caller = Caller()
        caller.attempt(1, 2)
        caller.attempt(3, WITHOUT_ID)
        caller.attempt(4)
        assert caller.has(1, 2, 3, WITHOUT_ID, 4)

    def test_one_behind_the_events_that_a_target_repeats(self):
        caller = Caller()
        caller.attempt(1, 2)
        caller.attempt(1, 2, 3, WITHOUT_ID)
        assert caller.has(1, 2, 3, WITHOUT_ID)

    def test_one_in_a_stream_that_a_caller_takes_up(self):
        """What the caller has of the stream is not known here."""
        caller = Caller(last_event_id=2)
        caller.attempt(1, 2, WITHOUT_ID, 3)
        assert caller.has(WITHOUT_ID, 3)

    def test_comments_are_passed_on(self):
        caller = Caller()
        caller.attempt(1, COMMENT)
        caller.attempt(COMMENT, 1, COMMENT, 2)
        assert caller.has(1, COMMENT, COMMENT, COMMENT, 2)


class TestIdsThatGoBack:
    """Events whose ids are not above those before from the same target."""

    def test_they_are_counted_and_not_passed_on(self):
        caller = Caller()
        caller.attempt(1, 2, 2, 1, 3)
        assert caller.has(1, 2, 3)
        assert caller.order.misplaced_events == 2
        assert caller.order.repeated_events == 0


def begins_late(request, missing=3):
    """Return the id of the first event of a target that skips some."""
    return int(request.headers["last-event-id"]) + 1 + missing


async def skips(request, writer):
    """Break off after two events; go on with a stream some events too late."""
    if "last-event-id" not in request.headers:
        await streams(1, 20, until=2)(request, writer)
    begin = begins_late(request)
    writer.write(head(request, kind=EVENTS, more=CHUNKED))
    writer.write(chunk(encoded(range(begin, 21))) + b"0\r\n\r\n")


def prepared(max_attempts):
    """Return what makes the route resumable."""

    def prepare(fleet):
        fleet.routes[0].update({"resumable": True, "max-attempts": max_attempts})

    return prepare


def prefer_in_order(fleet):
    """Make targets appear slower one after another, so that they are used in order."""
    for number, target_id in enumerate(sorted(fleet.router._context.targets.by_id)):
        fleet.router._context.targets.by_id[target_id].fixed_s = 0.01 + 3.0 * number


@pytest.mark.anyio
class TestRouter:
    """A router whose second target skips events."""

    async def test_caller_sees_that_the_stream_is_not_whole(self, running):
        async with running(
            skips, skips, routes=("streaming",), prepare=prepared(2)
        ) as fleet:
            prefer_in_order(fleet)
            reply = await fleet.call("/streaming/x")
            errors = [
                each.error_rate for each in fleet.router._context.targets.by_id.values()
            ]
        assert [len(each.received) for each in fleet.targets] == [1, 1]
        assert not reply.is_complete
        assert reply.body == encoded([1, 2])
        assert min(errors) > 0

    async def test_third_target_goes_on(self, running):
        """It is asked for the event that the caller lacks."""
        async with running(
            skips, skips, streams(1, 20), routes=("streaming",), prepare=prepared(3)
        ) as fleet:
            prefer_in_order(fleet)
            reply = await fleet.call("/streaming/x")
        last_ids = [
            each.received[0].headers.get("last-event-id") for each in fleet.targets
        ]
        assert last_ids == [None, "2", "2"]
        assert reply.is_complete
        assert reply.body == encoded(range(1, 21))

    async def test_events_that_are_not_passed_on_are_logged(self, running, monkeypatch):
        ended = []

        def record(name, request_id, **fields):
            if name == "request-ended":
                ended.append(fields)

        async def goes_back(request, writer):
            writer.write(head(request, kind=EVENTS, more=CHUNKED))
            writer.write(chunk(encoded([1, 2, 1, 3])) + b"0\r\n\r\n")

        async with running(goes_back, routes=("streaming",)) as fleet:
            monkeypatch.setattr(fleet.router._context.log, "request", record)
            reply = await fleet.call("/streaming/x")
        assert reply.is_complete
        assert reply.body == encoded([1, 2, 3])
        ((attempt,),) = [each["attempts"] for each in ended]
        assert attempt["misplaced_events"] == 1
        assert "repeated_events" not in attempt
