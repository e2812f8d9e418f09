"""Patches of a document that others have changed meanwhile."""

import pytest
from msgspec import UNSET, json

from berylwalk.model import FindingsError
from berylwalk.settings import (
    MAX_RECENT_CHANGES,
    AlreadyAccepted,
    Edit,
    Patch,
    PatchConflict,
    Rejected,
    SettingsDocument,
    SettingsTree,
    Stale,
    apply_patch,
)

BASE = SettingsDocument(
    4,
    SettingsTree.from_sections(
        {
            "tier urgent": {"rank": 0},
            "tier batch": {"rank": 1},
            "/a": {"tier": "urgent", "weight": 1},
            "/a/b": {"weight": 2},
            "/ab": {"weight": 3},
        }
    ),
)


def _patch(change_id, *edits, base=4):
    return Patch(change_id, base, edits)


def _after(*edits):
    return apply_patch(BASE, _patch("first", *edits), "ana")


class TestMerge:
    def test_disjoint_edits_are_merged(self):
        """Two operators who change different keys both get their way."""
        document = _after(Edit("/a", "weight", 5))
        document = apply_patch(document, _patch("2", Edit("/a", "tier", "batch")), "bo")
        assert document.version == 6
        assert dict(document.tree.sections["/a"]) == {"weight": 5.0, "tier": "batch"}

    def test_clash_shows_both_values(self):
        """The whole patch is refused, with what each of the two wants."""
        document = _after(Edit("/a", "weight", 5))
        patch = _patch("2", Edit("/ab", "weight", 9), Edit("/a", "weight", 7))
        clash = apply_patch(document, patch, "bo")
        assert isinstance(clash, PatchConflict)
        (edit,) = clash.edits
        assert (edit.path, edit.key, edit.yours, edit.theirs) == ("/a", "weight", 7, 5)
        assert (edit.their_author, edit.their_version) == ("ana", 5)

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            (Edit.delete("/a"), Edit("/a/b", "weight", 1)),
            (Edit("/a/b", "weight", 1), Edit.delete("/a")),
            (Edit.delete("/a/b"), Edit.delete("/a")),
            (Edit.delete("/a"), Edit.create("/a/c")),
            (Edit.delete("/"), Edit("/ab", "weight", 1)),
            (Edit("/a", "weight"), Edit("/a", "weight", 1)),
            (Edit.delete("tier batch"), Edit("tier batch", "headroom", 0.1)),
        ],
    )
    def test_clash_with_delete(self, first, second):
        """A delete clashes with every change below it, whichever came first."""
        assert isinstance(
            apply_patch(_after(first), _patch("2", second), "bo"), PatchConflict
        )

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            (Edit.delete("/a"), Edit("/ab", "weight", 1)),
            (Edit.create("/c"), Edit.create("/c")),
            (Edit("/", "weight", 1), Edit("/a", "weight", 7)),
        ],
    )
    def test_no_clash_between_neighbours(self, first, second):
        """Similar paths, equal creations and inherited keys do not clash."""
        result = apply_patch(_after(first), _patch("2", second), "bo")
        assert isinstance(result, SettingsDocument)

    def test_repeat_is_already_accepted(self):
        """A repeated change id gives the version of the first time."""
        document = _after(Edit("/a", "weight", 5))
        document = apply_patch(document, _patch("2", Edit("/a", "tier", "batch")), "bo")
        again = apply_patch(document, _patch("first", Edit("/a", "weight", 5)), "ana")
        assert again == AlreadyAccepted(5)

    def test_reused_change_id_is_rejected(self):
        """Another change under a known id is not taken for a repeat."""
        document = _after(Edit("/a", "weight", 5))
        result = apply_patch(document, _patch("first", Edit("/a", "weight", 6)), "ana")
        assert isinstance(result, Rejected)

    def test_base_older_than_known_changes_is_stale(self):
        """A patch that cannot be compared with all later changes is refused."""
        document = BASE
        for number in range(MAX_RECENT_CHANGES + 1):
            edit = Edit("/", "max_waiting", number)
            patch = _patch(str(number), edit, base=document.version)
            document = apply_patch(document, patch, "ana")
        result = apply_patch(document, _patch("late", Edit("/a", "weight", 1)), "bo")
        assert result == Stale("late", 4, 5)
        patch = _patch("late", Edit("/a", "weight", 1), base=5)
        assert isinstance(apply_patch(document, patch, "bo"), SettingsDocument)


class TestInvalidTree:
    def test_every_finding_is_reported(self):
        """A patch is refused with all that its tree would break."""
        patch = _patch(
            "1",
            Edit.delete("tier urgent"),
            Edit("tier night", "rank", 1),
            Edit("/ab", "weight", -1),
            Edit("/ab", "speed", 1),
            Edit.delete("/missing"),
        )
        result = apply_patch(BASE, patch, "ana")
        assert {finding.place for finding in result.findings} == {
            "/edits/4",
            "settings [/a] tier",
            "settings [tier night] rank",
            "settings [/ab] weight",
            "settings [/ab] speed",
        }

    def test_merged_patches_are_checked_together(self):
        """Patches that are valid alone may not be so together."""
        document = _after(Edit("/ab", "tier", "batch"))
        result = apply_patch(document, _patch("2", Edit.delete("tier batch")), "bo")
        assert [str(finding) for finding in result.findings] == [
            "settings [/ab] tier: there is no tier named 'batch'"
        ]

    @pytest.mark.parametrize("value", [True, 10**30, float("nan"), "x", ("1",)])
    def test_value_of_another_type(self, value):
        """Whatever a patch may carry as a value is refused in good order."""
        result = apply_patch(BASE, _patch("1", Edit("/a", "max_waiting", value)), "ana")
        assert [finding.place for finding in result.findings] == [
            "settings [/a] max_waiting"
        ]

    def test_malformed_patch(self):
        """Form, base version and edits of a patch are checked."""
        edits = (Edit("a", "weight", 1), Edit("/a", "", 1), Edit("/a", "weight", None))
        result = apply_patch(BASE, Patch("", 9, edits), "ana")
        assert [finding.place for finding in result.findings] == [
            "/change_id",
            "/edits/0",
            "/edits/1",
            "/edits/2",
            "/base_version",
        ]


class TestEncoding:
    def test_round_trip(self):
        """A document is decoded as it was, with its recent changes."""
        document = _after(Edit("/a", "models", ("m", "n")), Edit.delete("/ab"))
        assert SettingsDocument.decode(document.encode()) == document

    def test_patch_is_read_from_json(self):
        """A left out value means removal, null a creation."""
        data = (
            b'{"change_id":"c","base_version":1,"edits":['
            b'{"path":"/a"},{"path":"/b","value":null},'
            b'{"path":"/c","key":"models","value":["m"]}]}'
        )
        edits = json.decode(data, type=Patch).edits
        assert [edit.value for edit in edits] == [UNSET, None, ("m",)]

    @pytest.mark.parametrize(
        "data", [b"\xff", b"{}", b'{"version":1,"sections":{"/":{"x":1}}}']
    )
    def test_malformed_document(self, data):
        """Stored data are not trusted."""
        with pytest.raises(FindingsError):
            SettingsDocument.decode(data)

    def test_too_large_document_is_rejected(self):
        """A tree that the store could not hold is refused."""
        sections = {f"/{number:0>60}": {"weight": 1} for number in range(14_000)}
        document = SettingsDocument(1, SettingsTree.from_sections(sections))
        patch = _patch("c", Edit("/", "weight", 1), base=1)
        (finding,) = apply_patch(document, patch, "ana").findings
        assert "bytes" in finding.problem
