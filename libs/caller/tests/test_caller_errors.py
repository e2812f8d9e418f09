"""What callers are told when no answer was delivered."""

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
    """Return a core that ends each request in the same way."""

    async def respond(request, sink):
        return final

    return respond


def refused(reason, retry_after_ms=0, detail=""):
    """Return the end of a request that did not run."""
    return FinalResponse(Outcome.NOT_RUN, Refusal(reason, retry_after_ms, detail))


class TestInvalid:
    async def test_all_findings_at_once(self, make_caller, snapshot):
        """Mistakes in headers, body and limits are told together."""
        caller = make_caller()
        answer = await caller.chat(
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
        assert answer.status == 400
        assert answer.outcome == "invalid"
        assert answer.error == snapshot
        assert caller.submitter.requests == []

    async def test_limits_and_access_together(self, make_caller, snapshot):
        """Too much output and a model out of reach are told in one answer."""
        answer = await make_caller().chat(model="large", max_tokens=400, n=3)
        assert answer.status == 400
        assert answer.error == snapshot

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
        """A body that JSON readers could disagree on is rejected with its place."""
        answer = await make_caller().call("POST", "/v1/chat/completions", body)
        assert answer.status == 400
        assert answer.error == snapshot

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
        """Unknown and forbidden names have their own statuses."""
        answer = await make_caller().call(method, path)
        assert answer.status == status
        assert answer.error == snapshot

    async def test_unknown_account(self, make_caller, snapshot):
        """Without a known token nothing else is told."""
        answer = await make_caller().call("GET", "/v1/models/absent", token="wrong")
        assert answer.status == 401
        assert answer.headers["www-authenticate"] == "Bearer"
        assert answer.error == snapshot

    async def test_mistyped_header(self, make_caller):
        """A mistyped name must not make a call repeatable."""
        caller = make_caller()
        answer = await caller.chat((("berylwalk-idempotant", "false"),))
        assert (answer.status, answer.outcome) == (400, "invalid")
        assert caller.submitter.requests == []

    async def test_headers_too_large_for_a_grant(self, make_caller):
        """Headers that no agent would take are rejected before the grant."""
        caller = make_caller()
        headers = (("x-own", "x" * 20_000),)
        answer = await caller.call("GET", "/services/signs/a", headers=headers)
        assert answer.status == 400
        assert caller.submitter.requests == []

    async def test_findings_are_bounded(self, make_caller):
        """A body of nothing but mistakes has no answer larger than itself."""
        answer = await make_caller().chat(messages=[{}] * 5000)
        assert len(answer.error["findings"]) == 101
        assert answer.error["findings"][-1]["problem"].startswith("4900 more")

    async def test_large_body(self, make_caller):
        """A body over the limit is rejected, declared or not."""
        caller = make_caller(max_body_bytes=10)
        declared = (("content-length", "11"),)
        for headers in ((), declared):
            answer = await caller.call("POST", "/services/signs/a", b"x" * 11, headers)
            assert answer.status == 413
        assert caller.submitter.requests == []


class TestFuzz:
    @settings(
        derandomize=True,
        deadline=None,
        max_examples=300,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(fields=BODIES, path=st.sampled_from(["chat/completions", "completions"]))
    async def test_any_body_is_placed_or_invalid(self, make_caller, fields, path):
        """Whatever the body holds, it is either placed unchanged or rejected."""
        caller = make_caller()
        body = msgspec.json.encode(fields)
        answer = await caller.call("POST", f"/v1/{path}", body)
        if answer.outcome == "complete":
            assert [r.call.body for r in caller.submitter.requests] == [body]
            return
        assert answer.outcome == "invalid"
        assert answer.error["findings"]
        assert caller.submitter.requests == []


class TestNotRun:
    @pytest.mark.parametrize(
        ("reason", "status", "outcome"),
        [
            (RefusalReason.QUEUE_FULL, 503, "not-run"),
            (RefusalReason.ACCOUNT_LIMIT, 429, "not-run"),
            # The request that holds the key may have run.
            (RefusalReason.KEY_IN_USE, 409, "unknown"),
            (RefusalReason.DEADLINE, 504, "not-run"),
        ],
    )
    async def test_retry_after(self, make_caller, snapshot, reason, status, outcome):
        """The time to return is rounded up to seconds and told in full too."""
        answer = await make_caller(ends_with(refused(reason, 1200))).chat()
        assert answer.status == status
        assert answer.outcome == outcome
        assert answer.headers["retry-after"] == "2"
        assert answer.headers["retry-after-ms"] == "1200"
        assert answer.error == snapshot

    @pytest.mark.parametrize(
        ("reason", "status", "outcome"),
        [
            (RefusalReason.KEY_REUSED, 422, "invalid"),
            # The work that the key names is done.
            (RefusalReason.KEY_SETTLED, 409, "complete"),
        ],
    )
    async def test_keys_for_which_no_repeat_helps(
        self, make_caller, snapshot, reason, status, outcome
    ):
        """Clients are told not to come back with this key and call."""
        respond = ends_with(refused(reason, detail="request r.1.1 has the key"))
        answer = await make_caller(respond).chat()
        assert (answer.status, answer.outcome) == (status, outcome)
        assert answer.headers["x-should-retry"] == "false"
        assert "retry-after" not in answer.headers
        assert answer.error == snapshot

    async def test_time_without_one_of_the_core(self, make_caller):
        """A refusal that names no time still has one."""
        answer = await make_caller(ends_with(refused(RefusalReason.NO_TARGET))).chat()
        assert answer.headers["retry-after"] == "1"

    async def test_not_ready(self, make_caller, snapshot):
        """Before the settings are known no token is told to be wrong."""
        caller = make_caller(is_ready=lambda: False)
        answer = await caller.call("GET", "/v1/models", token="any")
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.headers["berylwalk-request-id"] == "router-1.ff.1"
        assert answer.headers["x-should-retry"] == "true"
        assert answer.headers["retry-after"] == "1"
        assert answer.error == snapshot

    async def test_no_resources_known(self, make_caller):
        """A router that has heard of no target leaves the names to the core."""
        caller = make_caller(resources=frozenset())
        answer = await caller.chat(model="absent")
        assert (answer.status, answer.outcome) == (200, "complete")

    @pytest.mark.parametrize("left", [frozenset({"model:large"}), frozenset()])
    async def test_all_targets_of_a_resource_down(self, make_caller, left):
        """What was offered a while ago is not told to be unknown: it is an outage."""
        known = [frozenset({"model:large", "service:signs"})]
        respond = ends_with(refused(RefusalReason.NO_TARGET))
        caller = make_caller(respond, resources=lambda: known[0])
        await caller.call("GET", "/services/signs/a")
        known[0] = left
        answer = await caller.call("GET", "/services/signs/a")
        assert (answer.status, answer.outcome) == (503, "not-run")
        never = await caller.call("GET", "/services/boats/a")
        assert never.status == (404 if left else 503)

    async def test_held_bytes_are_bounded(self, make_caller):
        """Over the common budget a body is refused, and the budget recovers."""
        caller = make_caller(max_held_bytes=100)
        over = await caller.call("PUT", "/services/signs/a", b"x" * 101)
        assert (over.status, over.outcome) == (503, "not-run")
        assert "retry-after" in over.headers
        for _ in range(3):
            fits = await caller.call("PUT", "/services/signs/a", b"x" * 40)
            assert fits.status == 200


class TestUnknown:
    @pytest.mark.parametrize("mark", ["true", "false"])
    async def test_only_idempotent_calls_may_be_retried(self, make_caller, mark):
        """Clients that retry by themselves are told whether a repeat is harmless."""
        headers = (("berylwalk-idempotent", mark),)
        answer = await make_caller(ends_with(FinalResponse(Outcome.UNKNOWN))).chat(
            headers
        )
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert answer.headers["x-should-retry"] == mark

    async def test_error_body(self, make_caller, snapshot):
        """The body says that the request was dispatched."""
        answer = await make_caller(ends_with(FinalResponse(Outcome.UNKNOWN))).chat()
        assert answer.error == snapshot

    async def test_failing_core(self, make_caller):
        """A failure inside the core is never told as not-run."""

        async def respond(request, sink):
            raise RuntimeError("bug")

        answer = await make_caller(respond).chat()
        assert (answer.status, answer.outcome) == (502, "unknown")

    async def test_not_run_after_an_answer_began(self, make_caller):
        """Once the target has answered, nothing is told as not-run."""

        async def respond(request, sink):
            await sink.start(200, (), "agent-1")
            return refused(RefusalReason.NO_TARGET)

        answer = await make_caller(respond).chat()
        assert (answer.status, answer.outcome) == (502, "unknown")
