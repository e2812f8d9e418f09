import anyio
import pytest

from berylwalk.orders import OrderOutcome, OrderResult

pytestmark = pytest.mark.anyio

ORDER = {"target": "agent-1", "kind": "load-model", "name": "small"}


class TestCredentials:
    @pytest.mark.parametrize("token", ["", "wrong", "operator-toke", "\xff"])
    async def test_wrong_token(self, call, settings, token):
        """A wrong token is rejected and changes nothing."""
        body = [{"path": "/", "key": "weight", "value": 2}]
        reply = await call("PATCH", "settings", body, token=token, if_match="1")
        assert (reply.status, reply.document["kind"]) == (401, "denied")
        assert reply.headers["www-authenticate"] == "Bearer"
        assert settings.document.version == 1

    async def test_denied_before_routing(self, call):
        """Unauthenticated clients cannot find out which resources exist."""
        assert (await call("GET", "no-such", token="wrong")).status == 401


class TestRoutes:
    async def test_unknown_path(self, call):
        """An unknown path gets status 404 and a problem body."""
        for path in ("no-such", "settings/changes/", "settings/changes", "targets/a"):
            reply = await call("GET", path)
            assert (reply.status, reply.document["kind"]) == (404, "not-found")

    async def test_wrong_method(self, call):
        """The response lists the methods that the resource supports."""
        reply = await call("DELETE", "settings")
        assert (reply.status, reply.headers["allow"]) == (405, "GET, PATCH")

    async def test_fleet(self, call, snapshot):
        """Targets, nodes with their settings versions, and tiers are listed."""
        replies = [await call("GET", path) for path in ("targets", "nodes", "tiers")]
        assert [reply.document for reply in replies] == snapshot

    async def test_exception_is_internal_error(self, call, settings):
        """An exception in a service gets status 500 without its details."""
        settings.document = "not a document"
        reply = await call("GET", "settings/tree")
        assert (reply.status, reply.document["kind"]) == (500, "internal")


class TestOrders:
    async def test_without_service(self, call):
        """Without an order service, orders get status 501."""
        reply = await call("POST", "orders", ORDER)
        assert (reply.status, reply.document["kind"]) == (501, "unsupported")

    async def test_refused_order(self, make_call):
        """A refused order gets status 409, a malformed one all its findings."""

        class Orders:
            async def send(self, order):
                return OrderResult(OrderOutcome.REFUSED, "the lease is not held")

        call = make_call(orders=Orders())
        reply = await call("POST", "orders", ORDER)
        assert (reply.status, reply.document["kind"]) == (409, "refused")
        reply = await call("POST", "orders", {"kind": "explode"})
        assert len(reply.document["findings"]) == 3

    @pytest.mark.parametrize(
        ("outcome", "status"),
        [(OrderOutcome.DONE, 200), (OrderOutcome.UNKNOWN, 503)],
    )
    async def test_outcome_of_order(self, make_call, outcome, status):
        """Only an order that the target executed gets status 200."""

        class Orders:
            async def send(self, order):
                return OrderResult(outcome, "detail")

        call = make_call(orders=Orders())
        assert (await call("POST", "orders", ORDER)).status == status


class TestSubmitTimeout:
    async def test_slow_store(self, settings, make_call):
        """A submission that times out gets status 503 with its change id."""

        async def hang(patch, author):
            await anyio.sleep_forever()

        settings.submit = hang
        call = make_call(submit_timeout_s=0.01)
        body = [{"path": "/", "key": "weight", "value": 2}]
        reply = await call("PATCH", "settings", body, if_match="1", change_id="c")
        assert (reply.status, reply.document["change_id"]) == (503, "c")
