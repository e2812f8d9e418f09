"""Concurrent changes of the settings, and an outage after a change."""

from concurrent.futures import ThreadPoolExecutor

import msgspec

from berylwalk.localfleet import AnswerEnd


def patch(fleet, router, version, path, key, value):
    """Submit a change of one key through a router."""
    edits = [{"path": path, "key": key, "value": value}]
    return fleet.admin(
        "PATCH",
        "settings",
        router=router,
        content=msgspec.json.encode(edits),
        headers={"If-Match": str(version)},
    )


def patch_concurrently(fleet, edits):
    """Submit one edit through each router concurrently."""
    version = fleet.versions()["entry-1"]
    with ThreadPoolExecutor(len(edits)) as threads:
        futures = [
            threads.submit(patch, fleet, router, version, *edit)
            for router, edit in enumerate(edits)
        ]
        return [future.result() for future in futures]


def wait_for_version(fleet, version):
    """Wait until all nodes report a settings version."""
    fleet.wait(
        lambda: set(fleet.own_versions().values()) == {version},
        "the version on all nodes",
    )


class TestTwoOperators:
    def test_disjoint_changes_are_both_accepted(self, fleet):
        """Concurrent changes of different keys both take effect on all nodes."""
        responses = patch_concurrently(
            fleet,
            [
                ("/parkovisko", "max_output_tokens", 50),
                ("/arsivsan", "max_output_tokens", 60),
            ],
        )
        assert [response.status for response in responses] == [200, 200]
        versions = {
            msgspec.json.decode(response.content)["version"] for response in responses
        }
        assert len(versions) == 2
        wait_for_version(fleet, max(versions))
        for router in (0, 1):
            calls = [fleet.chat(router, tokens=51), fleet.chat(router, tokens=50)]
            ends = [response.end for response in fleet.results(calls)]
            assert ends == [AnswerEnd.INVALID, AnswerEnd.WHOLE]

    def test_conflicting_change_gets_both_values(self, fleet):
        """One change is accepted; the other gets a 409 with both values."""
        responses = patch_concurrently(
            fleet, [("/parkovisko", "weight", 3), ("/parkovisko", "weight", 4)]
        )
        accepted, refused = sorted(responses, key=lambda response: response.status)
        assert (accepted.status, refused.status) == (200, 409)
        conflict = msgspec.json.decode(refused.content)["clashes"][0]
        assert {conflict["yours"], conflict["theirs"]} == {3, 4}
        version = msgspec.json.decode(accepted.content)["version"]
        wait_for_version(fleet, version)


class TestOutageAfterAcceptance:
    def test_change_takes_effect_on_all_nodes(self, fleet):
        """Nodes get an accepted change from their peers, also after a restart."""
        version = fleet.versions()["entry-1"]
        response = patch(fleet, 0, version, "/arsivsan", "weight", 7)
        fleet.platform(down=True)
        try:
            assert response.status == 200
            wait_for_version(fleet, version + 1)
            fleet.process("entry-1").kill()
            fleet.restart("entry-1")
            wait_for_version(fleet, version + 1)
        finally:
            fleet.platform()
