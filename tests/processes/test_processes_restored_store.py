"""The platform's store comes back from an older copy, with a fleet of processes."""

from uuid import uuid4

import msgspec
import pytest

from berylwalk.localfleet import AnswerEnd

WHOLE = AnswerEnd.WHOLE
KEY_IN_USE = "key-in-use"
ROUTERS = ("entry-1", "entry-2")


@pytest.fixture
def copied(fleet):
    """Return the fleet after a copy of the store was taken."""
    # After an earlier restore, keys are refused for some seconds.
    fleet.wait(lambda: keys_are_served(fleet), "keys to be served")
    fleet.store_control("copy")
    return fleet


def keys_are_served(fleet):
    """Return whether both routers serve a request with a new key."""
    calls = [fleet.post(router, "/box", key=uuid4().hex) for router in (0, 1)]
    return {response.end for response in fleet.results(calls)} == {WHOLE}


def restore(fleet):
    """Restore the store; its connections are reset meanwhile."""
    fleet.platform(key_value_down=True)
    fleet.store_control("restore")
    fleet.platform()


def patch(fleet, router, key, value):
    """Submit a change of one key through a router."""
    version = fleet.versions(router)[f"entry-{router + 1}"]
    edits = [{"path": "/arsivsan", "key": key, "value": value}]
    return fleet.admin(
        "PATCH",
        "settings",
        router=router,
        content=msgspec.json.encode(edits),
        headers={"If-Match": str(version), "Change-Id": f"{key}-{value}"},
    )


class TestSettings:
    def test_lost_change_is_in_force_and_in_the_store(self, copied):
        """A router that starts after the restore reads it from the store."""
        accepted = patch(copied, 0, "weight", 11)
        assert accepted.status == 200
        version = msgspec.json.decode(accepted.content)["version"]
        restore(copied)

        def later_change_is_accepted():
            return patch(copied, 1, "max_output_tokens", 77).status == 200

        copied.wait(later_change_is_accepted, "a later change to be accepted")
        copied.wait(
            lambda: min(copied.own_versions().values()) > version,
            "a later version on all nodes",
        )
        copied.process("entry-2").kill()
        copied.restart("entry-2")
        for change in ("weight-11", "max_output_tokens-77"):
            found = copied.admin("GET", f"settings/changes/{change}", router=1)
            assert found.status == 200

    def test_lost_change_that_no_router_remembers(self, copied):
        """All routers ended before they could write it again; agents still have it."""
        accepted = patch(copied, 0, "weight", 12)
        assert accepted.status == 200
        version = msgspec.json.decode(accepted.content)["version"]
        copied.wait(
            lambda: set(copied.own_versions().values()) == {version},
            "the version on all nodes",
        )
        for name in ROUTERS:
            copied.process(name).kill()
        restore(copied)
        for name in ROUTERS:
            copied.process(name).start()
        copied.wait_until_idle()
        assert set(copied.own_versions().values()) == {version}
        found = copied.admin("GET", "settings/changes/weight-12", router=1)
        assert found.status == 200


class TestKeys:
    def test_running_request_keeps_its_key(self, copied):
        """A repeat through another router is refused while the first one runs."""
        running = copied.post(0, "/slow?ms=9000", key="restored-running")
        copied.wait(
            lambda: copied.seen_with_key("restored-running") == 1, "the call to run"
        )
        restore(copied)

        def repeated():
            call = copied.post(1, "/slow?ms=9000", key="restored-running")
            return copied.results([call])[0]

        copied.wait(lambda: repeated().code == KEY_IN_USE, "the key to be in use")
        copied.results([running])
        assert copied.seen_with_key("restored-running") == 1

    def test_complete_request_is_not_repeated(self, copied):
        """Its record was written shortly before the restore."""
        first = copied.results([copied.post(0, "/box", key="restored-complete")])[0]
        assert first.end is WHOLE
        restore(copied)

        def replayed():
            call = copied.post(1, "/box", key="restored-complete")
            return copied.results([call])[0].body == first.body

        copied.wait(replayed, "the response to be replayed")
        assert copied.seen_with_key("restored-complete") == 1
