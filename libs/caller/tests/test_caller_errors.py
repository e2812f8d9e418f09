"""Error responses of the caller API."""

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from berylwalk.model import FinalResponse, Outcome, Refusal, RefusalReason

pytestmark = pytest.mark.anyio


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
FIELDS = st.sampled_from(
    ["model", "messages", "prompt", "stream", "n", "max_tokens", "best_of", "role"]
)
BODIES = st.dictionaries(FIELDS, JSON_VALUES | st.sampled_from(["small", 1, [1, 2]]))


def ends_with(final):
    """Return a handler that ends each request with the same final response."""

    async def respond(request, sink):
        return final

    return respond


def refused(reason, retry_after_ms=0, detail=""):
    """Return the final response of a refused request."""
    return FinalResponse(Outcome.NOT_RUN, Refusal(reason, retry_after_ms, detail))


class TestInvalid:
    async def test_all_findings_at_once(self, make_caller, snapshot):
        """Problems in headers and body are reported together."""
        caller = make_caller()
        response = await caller.chat(
            headers=(
                ("berylwalk-deadline-ms", "-5"),
                ("berylwalk-idempotent", "perhaps"),
                ("idempotency-key", "one"),
                ("idempotency-key", "two"),
                ("berylwalk-service", "nowhere"),
            ),
            model="",
            messages=[{"role": "user"}, {"content": 7}],
            stream="yes",
            max_tokens=0,
        )
        assert response.status == 400
        assert response.outcome == "invalid"
        assert response.error == snapshot
        assert caller.submitter.requests == []

    async def test_limits_and_access_together(self, make_caller, snapshot):
        """An exceeded limit and a forbidden model are reported together."""
        response = await make_caller().chat(model="large", max_tokens=400, n=3)
        assert response.status == 400
        assert response.error == snapshot

    @pytest.mark.parametrize(
        "body",
        [
            b'{"model": "small", "model": "large", "messages": [{"role": "user"}]}',
            b'{"model": "small", "messages": [{"role": "user"}], "top_p": NaN}',
            b'{"model": "small",\n "messages": [{"role" "user"}]}',
            b'{"model": "small\xff"}',
            b'["small"]',
            b"[" * 200_000,
            b"1" * 5000,
            b"",
        ],
        ids=["twice", "nan", "syntax", "utf8", "list", "deep", "digits", "empty"],
    )
    async def test_malformed_body(self, make_caller, snapshot, body):
        """A malformed or ambiguous body is rejected with the problem's location."""
        response = await make_caller().call("POST", "/v1/chat/completions", body)
        assert response.status == 400
        assert response.error == snapshot

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("GET", "/v1/models/large", 403),
            ("GET", "/v1/models/absent", 404),
            ("POST", "/services/boats/list", 404),
            ("GET", "/v1/chat/completions", 405),
            ("GET", "/v1/embeddings", 404),
        ],
    )
    async def test_unknown_names(self, make_caller, snapshot, method, path, status):
        """Unknown and forbidden resources and methods have different statuses."""
        response = await make_caller().call(method, path)
        assert response.status == status
        assert response.error == snapshot

    async def test_unknown_account(self, make_caller, snapshot):
        """Without a valid token the response reveals nothing about resources."""
        response = await make_caller().call("GET", "/v1/models/absent", token="wrong")
        assert response.status == 401
        assert response.headers["www-authenticate"] == "Bearer"
        assert response.error == snapshot

    async def test_misspelled_header(self, make_caller):
        """A misspelled header must not leave a call marked as idempotent."""
        caller = make_caller()
        response = await caller.chat((("berylwalk-idempotant", "false"),))
        assert (response.status, response.outcome) == (400, "invalid")
        assert caller.submitter.requests == []

    async def test_headers_too_large_for_a_grant(self, make_caller):
        """Headers over the agents' limit are rejected before submission."""
        caller = make_caller()
        headers = (("x-own", "x" * 20_000),)
        response = await caller.call("GET", "/services/signs/a", headers=headers)
        assert response.status == 400
        assert caller.submitter.requests == []

    async def test_findings_are_bounded(self, make_caller):
        """The number of reported findings is limited."""
        response = await make_caller().chat(messages=[{}] * 5000)
        assert len(response.error["findings"]) == 101
        assert response.error["findings"][-1]["problem"].startswith("4900 more")

    async def test_large_body(self, make_caller):
        """A body over the limit is rejected, with or without Content-Length."""
        caller = make_caller(max_body_bytes=10)
        declared = (("content-length", "11"),)
        for headers in ((), declared):
            response = await caller.call(
                "POST", "/services/signs/a", b"x" * 11, headers
            )
            assert response.status == 413
        assert caller.submitter.requests == []


class TestFuzz:
    @settings(
        derandomize=True,
        deadline=None,
        max_examples=300,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(fields=BODIES, path=st.sampled_from(["chat/completions", "completions"]))
    async def test_any_body_is_submitted_or_invalid(self, make_caller, fields, path):
        """Any body is either submitted unchanged or rejected with findings."""
        caller = make_caller()
        body = msgspec.json.encode(fields)
        response = await caller.call("POST", f"/v1/{path}", body)
        if response.outcome == "complete":
            assert [r.call.body for r in caller.submitter.requests] == [body]
            return
        assert response.outcome == "invalid"
        assert response.error["findings"]
        assert caller.submitter.requests == []


class TestNotRun:
    @pytest.mark.parametrize(
        ("reason", "status", "outcome"),
        [
            (RefusalReason.QUEUE_FULL, 503, "not-run"),
            (RefusalReason.ACCOUNT_LIMIT, 429, "not-run"),
            # The request that uses the key may have run.
            (RefusalReason.KEY_IN_USE, 409, "unknown"),
            (RefusalReason.DEADLINE, 504, "not-run"),
        ],
    )
    async def test_retry_after(self, make_caller, snapshot, reason, status, outcome):
        """Retry-After is rounded up to seconds; Retry-After-Ms is exact."""
        response = await make_caller(ends_with(refused(reason, 1200))).chat()
        assert response.status == status
        assert response.outcome == outcome
        assert response.headers["retry-after"] == "2"
        assert response.headers["retry-after-ms"] == "1200"
        assert response.error == snapshot

    @pytest.mark.parametrize(
        ("reason", "status", "outcome"),
        [
            (RefusalReason.KEY_REUSED, 422, "invalid"),
            # The first call with the key is complete.
            (RefusalReason.KEY_SETTLED, 409, "complete"),
        ],
    )
    async def test_keys_that_cannot_be_retried(
        self, make_caller, snapshot, reason, status, outcome
    ):
        """Clients are told not to retry a call whose key cannot be used again."""
        respond = ends_with(refused(reason, detail="request r.1.1 has the key"))
        response = await make_caller(respond).chat()
        assert (response.status, response.outcome) == (status, outcome)
        assert response.headers["x-should-retry"] == "false"
        assert "retry-after" not in response.headers
        assert response.error == snapshot

    async def test_default_retry_after(self, make_caller):
        """A refusal without a retry time gets the default one."""
        response = await make_caller(ends_with(refused(RefusalReason.NO_TARGET))).chat()
        assert response.headers["retry-after"] == "1"

    async def test_not_ready(self, make_caller, snapshot):
        """Before the settings are known, requests get status 503 instead of 401."""
        caller = make_caller(is_ready=lambda: False)
        response = await caller.call("GET", "/v1/models", token="any")
        assert (response.status, response.outcome) == (503, "not-run")
        assert response.headers["berylwalk-request-id"] == "router-1.ff.1"
        assert response.headers["x-should-retry"] == "true"
        assert response.headers["retry-after"] == "1"
        assert response.error == snapshot

    async def test_no_resources_known(self, make_caller):
        """While no resources are known, no model is rejected as unknown."""
        caller = make_caller(resources=frozenset())
        response = await caller.chat(model="absent")
        assert (response.status, response.outcome) == (200, "complete")

    @pytest.mark.parametrize("left", [frozenset({"model:large"}), frozenset()])
    async def test_all_targets_of_a_resource_down(self, make_caller, left):
        """A resource whose targets all went away recently gets status 503, not 404."""
        known = [frozenset({"model:large", "service:signs"})]
        respond = ends_with(refused(RefusalReason.NO_TARGET))
        caller = make_caller(respond, resources=lambda: known[0])
        await caller.call("GET", "/services/signs/a")
        known[0] = left
        response = await caller.call("GET", "/services/signs/a")
        assert (response.status, response.outcome) == (503, "not-run")
        never = await caller.call("GET", "/services/boats/a")
        assert never.status == (404 if left else 503)

    async def test_held_bytes_are_bounded(self, make_caller):
        """A body over the common budget is refused, and reserved bytes are released."""
        caller = make_caller(max_total_held_bytes=100)
        over = await caller.call("PUT", "/services/signs/a", b"x" * 101)
        assert (over.status, over.outcome) == (503, "not-run")
        assert "retry-after" in over.headers
        for _ in range(3):
            fits = await caller.call("PUT", "/services/signs/a", b"x" * 40)
            assert fits.status == 200


class TestUnknown:
    @pytest.mark.parametrize("mark", ["true", "false"])
    async def test_only_idempotent_calls_may_be_retried(self, make_caller, mark):
        """Automatic retries are allowed only for idempotent calls."""
        headers = (("berylwalk-idempotent", mark),)
        response = await make_caller(ends_with(FinalResponse(Outcome.UNKNOWN))).chat(
            headers
        )
        assert (response.status, response.outcome) == (502, "unknown")
        assert response.headers["x-should-retry"] == mark

    async def test_error_body(self, make_caller, snapshot):
        """The error body states that the request was dispatched."""
        response = await make_caller(ends_with(FinalResponse(Outcome.UNKNOWN))).chat()
        assert response.error == snapshot

    async def test_failing_core(self, make_caller):
        """An exception in the core is never reported as not-run."""

        async def respond(request, sink):
            raise RuntimeError("bug")

        response = await make_caller(respond).chat()
        assert (response.status, response.outcome) == (502, "unknown")

    async def test_not_run_after_response_started(self, make_caller):
        """Once a response has started, the outcome is never reported as not-run."""

        async def respond(request, sink):
            await sink.start(200, (), "agent-1")
            return refused(RefusalReason.NO_TARGET)

        response = await make_caller(respond).chat()
        assert (response.status, response.outcome) == (502, "unknown")
