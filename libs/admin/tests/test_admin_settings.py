import json

import pytest

from berylwalk.settings import MAX_RECENT_CHANGES

pytestmark = pytest.mark.anyio


def edit(path, key, value):
    """Return the request body of one edit."""
    return {"path": path, "key": key, "value": value}


class TestPatch:
    async def test_disjoint_edits_merge(self, call, settings):
        """Disjoint changes to the same base version both succeed."""
        first = [edit("/", "weight", 2.0)]
        second = [edit("/east", "max_waiting", 9)]
        await call("PATCH", "settings", first, if_match="1")
        reply = await call("PATCH", "settings", second, if_match='"1"', change_id="b")
        assert reply.status == 200
        assert reply.document == {"version": 3, "change_id": "b"}
        assert settings.document.tree.lookup("/east", "weight") == 2.0

    async def test_clash_shows_both_values(self, call, settings):
        """A conflicting change has no effect, and the response has both values."""
        ours = [edit("/", "max_waiting", 70), edit("/", "weight", 3.0)]
        theirs = [edit("/", "max_waiting", 60)]
        await call("PATCH", "settings", theirs, if_match="1", change_id="theirs")
        reply = await call("PATCH", "settings", ours, if_match="1", change_id="ours")
        assert reply.status == 409
        assert reply.document["kind"] == "clash"
        (clash,) = reply.document["clashes"]
        assert (clash["yours"], clash["theirs"]) == (70, 60)
        assert clash["their_change_id"] == "theirs"
        assert settings.document.tree.lookup("/", "weight") is None

    async def test_null_unsets(self, call, settings):
        """A null value removes the key, so that the inherited value applies."""
        await call("PATCH", "settings", [edit("/east", "tier", None)], if_match="1")
        assert settings.document.tree.lookup("/east", "tier") == "batch"

    async def test_edit_without_key_does_not_delete(self, call, settings):
        """An edit with a missing key is rejected and deletes no section."""
        body = [{"path": "/east"}, {"path": "/east", "value": None}]
        reply = await call("PATCH", "settings", body, if_match="1")
        assert reply.status == 422
        assert [found["place"] for found in reply.document["findings"]] == ["/0", "/1"]
        assert "/east" in settings.document.tree.sections

    async def test_all_findings_of_the_request(self, call):
        """Problems in the headers and in all edits are reported together."""
        body = [
            {"path": 1, "key": "tier", "value": "x"},
            edit("/", "tier", {"a": 1}),
            edit("/", "weight", 10**30),
            {"path": "/", "section": "destroy"},
        ]
        reply = await call("PATCH", "settings", body, change_id="no spaces")
        places = [found["place"] for found in reply.document["findings"]]
        assert reply.status == 422
        assert places == [
            "If-Match",
            "Change-Id",
            "/0/path",
            "/1/value",
            "/2/value",
            "/3/section",
        ]

    async def test_all_findings_of_the_tree(self, call, snapshot):
        """Problems of the resulting settings tree are reported together."""
        body = [
            edit("/", "weight", -1),
            edit("/east", "no_such_key", 1),
            edit("/east", "tier", "missing"),
            edit("/new", "tier", "missing"),
        ]
        reply = await call("PATCH", "settings", body, if_match="1", change_id="c")
        assert reply.status == 422
        assert reply.document == snapshot

    @pytest.mark.parametrize("body", [b"", b"{", b'{"edits": 1}', b"\xff", b"[]"])
    async def test_malformed_body(self, call, body):
        """A body that is not a list of edits gets status 422, not 500."""
        reply = await call("PATCH", "settings", body, if_match="1")
        assert reply.status == 422

    async def test_future_version(self, call):
        """A base version that does not exist yet is a finding of If-Match."""
        reply = await call("PATCH", "settings", [edit("/", "weight", 1)], if_match="7")
        assert reply.document["findings"][0]["place"] == "If-Match"


class TestStale:
    async def test_base_version_is_too_old(self, call, settings):
        """A patch with an outdated base version is stale, not undecided."""
        for version in range(1, MAX_RECENT_CHANGES + 2):
            body = [edit("/", "max_waiting", 50 + version)]
            await call("PATCH", "settings", body, if_match=str(version))
        late = [edit("/east", "weight", 2)]
        reply = await call("PATCH", "settings", late, if_match="1", change_id="late")
        assert (reply.status, reply.document["kind"]) == (409, "stale")
        assert "retry-after" not in reply.headers
        assert reply.headers["change-id"] == "late"
        assert "read the settings again" in reply.document["detail"]
        assert settings.document.tree.lookup("/east", "weight") != 2


class TestUndecided:
    BODY = (edit("/", "max_waiting", 60),)

    async def test_accepted_after_lost_response(self, call, settings):
        """The change id of a 503 response leads to the accepted change."""
        settings.store.outcomes = ["answered", "written", "down"]
        reply = await call("PATCH", "settings", self.BODY, if_match="1")
        assert (reply.status, reply.document["kind"]) == (503, "undecided")
        assert "retry-after" in reply.headers
        change_id = reply.headers["change-id"]
        assert reply.headers["location"].endswith(f"/settings/changes/{change_id}")
        settings.store.outcomes = ["down"]
        assert (await call("GET", f"settings/changes/{change_id}")).status == 503
        reply = await call("GET", f"settings/changes/{change_id}")
        assert (reply.status, reply.document["version"]) == (200, 2)

    async def test_repeat_with_the_same_change_id(self, call, settings):
        """A change that was not written is accepted once when it is repeated."""
        settings.store.outcomes = ["answered", "lost", "down"]
        headers = {"if_match": "1", "change_id": "c"}
        assert (await call("PATCH", "settings", self.BODY, **headers)).status == 503
        reply = await call("GET", "settings/changes/c")
        assert (reply.status, reply.document["kind"]) == (404, "unknown-change")
        replies = [await call("PATCH", "settings", self.BODY, **headers) for _ in "ab"]
        assert [reply.document["version"] for reply in replies] == [2, 2]

    async def test_same_change_id_for_another_change(self, call):
        """A change id cannot be reused for a different change."""
        await call("PATCH", "settings", self.BODY, if_match="1", change_id="c")
        other = [edit("/", "weight", 2)]
        reply = await call("PATCH", "settings", other, if_match="2", change_id="c")
        assert (reply.status, reply.document["findings"][0]["place"]) == (
            422,
            "Change-Id",
        )


class TestReading:
    async def test_tree_has_origins(self, call, snapshot):
        """Values of the tree are marked as inherited, overridden or set."""
        reply = await call("GET", "settings/tree")
        assert reply.headers["etag"] == '"1"'
        assert json.dumps(reply.document, indent=1) == snapshot

    async def test_node_that_is_not_defined(self, call):
        """A path that the tree does not contain inherits all values."""
        reply = await call("GET", "settings?path=/east/signs/new")
        section = reply.document["section"]
        assert section["defined"] is False
        assert {value["origin"] for value in section["values"]} == {"inherited"}

    async def test_invalid_path(self, call):
        """A malformed path gets status 422."""
        reply = await call("GET", "settings?path=east//x")
        assert (reply.status, reply.document["kind"]) == (422, "invalid")

    async def test_before_settings_are_known(self, call, settings):
        """A router without settings responds with 503, not with an empty tree."""
        settings.document = None
        assert (await call("GET", "settings/tree")).status == 503


class TestImport:
    async def test_round_trip_with_a_change(self, call, settings):
        """Importing an edited export submits only the differences."""
        text = (await call("GET", "settings/export")).body
        text = text.replace(b"max_waiting = 50", b"max_waiting = 51")
        reply = await call("POST", "settings/import", text, if_match="1")
        assert (reply.status, reply.document["version"]) == (200, 2)
        (change,) = settings.document.recent_changes
        assert [(touch.path, touch.key) for touch in change.touches] == [
            ("/", "max_waiting")
        ]

    async def test_never_reverts_later_change(self, call, settings):
        """A file that was exported from an earlier version is rejected."""
        text = (await call("GET", "settings/export")).body
        text = text.replace(b"max_waiting = 5\n", b"max_waiting = 6\n")
        await call("PATCH", "settings", [edit("/", "weight", 2.0)], if_match="1")
        reply = await call("POST", "settings/import", text, if_match="1")
        assert (reply.status, reply.document["kind"]) == (409, "stale")
        assert settings.document.tree.lookup("/", "weight") == 2.0

    async def test_repeat_after_lost_response(self, call, settings):
        """A repeated import of an accepted file returns the version it created."""
        text = b"[tier only]\nrank = 0\n"
        settings.store.outcomes = ["answered", "written", "down"]
        headers = {"if_match": "1", "change_id": "c"}
        assert (await call("POST", "settings/import", text, **headers)).status == 503
        reply = await call("POST", "settings/import", text, **headers)
        assert (reply.status, reply.document["version"]) == (200, 2)

    async def test_all_findings_with_section_and_key(self, call, snapshot):
        """All problems of the file are reported with section and key."""
        text = b"[tier x]\nrank = a\n[/]\ntier = y\nsize = 1\n[/]\njunk\n[east]\n"
        reply = await call("POST", "settings/import", text, import_file="new.ini")
        assert reply.status == 422
        assert reply.document["findings"] == snapshot
