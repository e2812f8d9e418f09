"""Outages of the platform, and idempotency keys."""

import msgspec
import pytest

from berylwalk.localfleet import AnswerEnd

WHOLE = AnswerEnd.WHOLE
KEY_IN_USE = "key-in-use"
PATCH = b'[{"path": "/arsivsan", "key": "weight", "value": 5}]'


@pytest.fixture
def outage(fleet):
    """Return the fleet while the platform is down."""
    fleet.platform(down=True)
    yield fleet
    fleet.platform()


def post_with_key(fleet, key, routers=(0, 1, 0, 1, 0, 1)):
    """Send the same request with a key through the routers concurrently."""
    return fleet.results([fleet.post(router, "/box", key=key) for router in routers])


def wait_until_key_settled(fleet, key):
    """Repeat a request until its key is complete or reported in use."""

    def settled():
        responses = post_with_key(fleet, key, routers=(1,))
        return responses[0].end is WHOLE or responses[0].code == KEY_IN_USE

    fleet.wait(settled, "the key to be settled")


class TestOutage:
    def test_unkeyed_requests_are_served(self, outage):
        """Requests without a key do not depend on the platform."""
        calls = outage.chats(12) + [outage.post(r, "/box") for r in (0, 1)]
        assert {response.end for response in outage.results(calls)} == {WHOLE}

    def test_keyed_requests_are_refused(self, outage):
        """Requests with a key get not-run with a Retry-After, and do not run."""
        responses = post_with_key(outage, "in-an-outage")
        reported = {(a.end, a.status, a.code) for a in responses}
        assert reported == {(AnswerEnd.NOT_RUN, 503, "platform-down")}
        assert all(int(response.retry_after) >= 1 for response in responses)
        assert outage.seen_with_key("in-an-outage") == 0
        outage.platform()
        wait_until_key_settled(outage, "in-an-outage")
        assert outage.seen_with_key("in-an-outage") == 1

    @pytest.mark.parametrize("name", ["entry-1", "engine-1"])
    def test_restarted_node_serves(self, outage, name):
        """A node that starts in an outage gets the settings from its peers."""
        before = outage.own_versions()
        outage.process(name).kill()
        outage.restart(name)
        outage.wait(lambda: outage.own_versions() == before, "the same version")
        responses = outage.results(outage.chats(12))
        assert {response.end for response in responses} == {WHOLE}

    def test_undecided_patch_is_accepted_after_the_outage(self, outage):
        """A patch is undecided in an outage; a retry with its change id is accepted."""
        version = outage.versions()["entry-1"]
        headers = {"If-Match": str(version), "Change-Id": "in-an-outage"}

        def patch():
            return outage.admin("PATCH", "settings", content=PATCH, headers=headers)

        undecided = patch()
        assert undecided.status == 503
        assert msgspec.json.decode(undecided.content)["kind"] == "undecided"
        assert set(outage.own_versions().values()) == {version}
        outage.platform()
        outage.wait(lambda: patch().status == 200, "the patch to be accepted")
        settled = outage.admin("GET", "settings/changes/in-an-outage", router=1)
        assert (settled.status, patch().status) == (200, 200)
        outage.wait(
            lambda: set(outage.own_versions().values()) == {version + 1},
            "the new version on all nodes",
        )


class TestKeyValueOutage:
    def test_all_routers_are_replaced(self, fleet):
        """Replaced routers get the effective settings from agents, and serve."""
        version = fleet.versions()["entry-1"]
        headers = {"If-Match": str(version), "Change-Id": "before-the-outage"}
        patch = b'[{"path": "/arsivsan", "key": "weight", "value": 9}]'
        accepted = fleet.admin("PATCH", "settings", content=patch, headers=headers)
        assert accepted.status == 200
        expected_versions = dict.fromkeys(fleet.own_versions(), version + 1)
        fleet.wait(lambda: fleet.own_versions() == expected_versions, "the new version")
        fleet.platform(key_value_down=True)
        try:
            for router in ("entry-1", "entry-2"):
                fleet.process(router).kill()
            for router in ("entry-1", "entry-2"):
                fleet.process(router).start()
            fleet.wait_until_idle()
            assert fleet.own_versions() == expected_versions
            calls = fleet.chats(12) + [fleet.post(r, "/box") for r in (0, 1)]
            assert {response.end for response in fleet.results(calls)} == {WHOLE}
        finally:
            fleet.platform()


class TestKey:
    def test_runs_once_through_two_routers(self, fleet):
        """Of concurrent requests with a key one runs; the others see it or its key."""
        responses = post_with_key(fleet, "at-once")
        reported = {(response.end, response.code) for response in responses}
        assert reported <= {(WHOLE, ""), (AnswerEnd.UNKNOWN, KEY_IN_USE)}
        assert (WHOLE, "") in reported
        assert fleet.seen_with_key("at-once") == 1

    def test_complete_response_is_replayed(self, fleet):
        """A repeated request gets the stored response from either router."""
        first = post_with_key(fleet, "complete", routers=(0,))[0]

        def replayed():
            responses = post_with_key(fleet, "complete", routers=(0, 1))
            return [response.body for response in responses] == [first.body] * 2

        fleet.wait(replayed, "the complete response to be stored")
        assert fleet.seen_with_key("complete") == 1

    def test_runs_once_when_its_router_is_killed(self, fleet):
        """A request with a key does not run again after its router was killed."""
        running = fleet.post(0, "/slow?ms=2000", key="running")
        fleet.wait(lambda: fleet.seen_with_key("running") == 1, "the call to run")
        early = [fleet.post(0, "/box", key=f"early-{number}") for number in range(12)]
        fleet.process("entry-1").kill()
        fleet.results([running, *early])
        repeat = fleet.results([fleet.post(1, "/slow?ms=2000", key="running")])[0]
        assert (repeat.status, repeat.code) == (409, KEY_IN_USE)
        for number in range(12):
            post_with_key(fleet, f"early-{number}", routers=(1, 1))
        fleet.restart("entry-1")
        for number in range(12):
            post_with_key(fleet, f"early-{number}", routers=(0, 1))
            assert fleet.seen_with_key(f"early-{number}") <= 1
        assert fleet.seen_with_key("running") == 1

    @pytest.mark.parametrize("fault", ["lose_answers", "lose_writes"])
    @pytest.mark.parametrize("count", [1, 2, 4])
    def test_runs_once_when_a_response_is_lost(self, fleet, fault, count):
        """Lost responses and writes of the key-value service cause no second run."""
        key = f"{fault}-{count}"
        fleet.platform(**{fault: count})
        post_with_key(fleet, key)
        fleet.platform()
        wait_until_key_settled(fleet, key)
        post_with_key(fleet, key)
        assert fleet.seen_with_key(key) <= 1
