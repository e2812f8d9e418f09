"""Callers that lost a stream and call again."""

import pytest

pytestmark = pytest.mark.anyio

RESUMING = (
    ("last-event-id", "12"),
    ("resumes", "8806a267"),
    ("kv-from", "10.0.0.1:9/h"),
)


class TestModelStreams:
    async def test_target_is_not_asked_to_go_on_with_a_stream(self, make_caller):
        """It may run another version of its software than the one that began."""
        caller = make_caller()
        await caller.chat(headers=RESUMING, stream=True)
        (request,) = caller.submitter.requests
        assert request.call.headers == (("content-type", "application/json"),)


class TestServiceStreams:
    async def test_service_decides_where_a_stream_goes_on(self, make_caller):
        """Its event ids are its own; it has to know them at each of its targets."""
        caller = make_caller()
        await caller.call("GET", "/services/signs/events", headers=RESUMING[:1])
        (request,) = caller.submitter.requests
        assert request.call.headers == RESUMING[:1]
