"""Application of patches to a settings document with concurrent changes."""

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
        """Concurrent changes of different keys must both be applied."""
        document = _after(Edit("/a", "weight", 5))
        document = apply_patch(document, _patch("2", Edit("/a", "tier", "batch")), "bo")
        assert document.version == 6
        assert dict(document.tree.sections["/a"]) == {"weight": 5.0, "tier": "batch"}

    def test_conflict_contains_both_values(self):
        """A conflict refuses the whole patch and reports both values and the author."""
        document = _after(Edit("/a", "weight", 5))
        patch = _patch("2", Edit("/ab", "weight", 9), Edit("/a", "weight", 7))
        conflict = apply_patch(document, patch, "bo")
        assert isinstance(conflict, PatchConflict)
        (edit,) = conflict.edits
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
    def test_delete_conflicts_with_changes_below(self, first, second):
        """A delete conflicts with every change below it, in either order."""
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
    def test_unrelated_edits_do_not_conflict(self, first, second):
        """Path prefixes, equal creations and inherited keys are not conflicts."""
        result = apply_patch(_after(first), _patch("2", second), "bo")
        assert isinstance(result, SettingsDocument)

    def test_retry_is_already_accepted(self):
        """A retried change must not be applied twice."""
        document = _after(Edit("/a", "weight", 5))
        document = apply_patch(document, _patch("2", Edit("/a", "tier", "batch")), "bo")
        retried = apply_patch(document, _patch("first", Edit("/a", "weight", 5)), "ana")
        assert retried == AlreadyAccepted(5)

    def test_reused_change_id_is_rejected(self):
        """Another change with a known id must not be treated as a retry."""
        document = _after(Edit("/a", "weight", 5))
        result = apply_patch(document, _patch("first", Edit("/a", "weight", 6)), "ana")
        assert isinstance(result, Rejected)

    def test_base_older_than_retained_changes_is_stale(self):
        """A patch that cannot be checked against all later changes is refused."""
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
        """A refused patch reports every problem of the resulting tree."""
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
        """The merged tree is validated, not only each patch."""
        document = _after(Edit("/ab", "tier", "batch"))
        result = apply_patch(document, _patch("2", Edit.delete("tier batch")), "bo")
        assert [str(finding) for finding in result.findings] == [
            "settings [/ab] tier: there is no tier named 'batch'"
        ]

    @pytest.mark.parametrize("value", [True, 10**30, float("nan"), "x", ("1",)])
    def test_value_of_wrong_type_is_rejected(self, value):
        """A value of the wrong type or range yields a finding, not an exception."""
        result = apply_patch(BASE, _patch("1", Edit("/a", "max_waiting", value)), "ana")
        assert [finding.place for finding in result.findings] == [
            "settings [/a] max_waiting"
        ]

    def test_malformed_patch_is_rejected(self):
        """Change id, base version and edits are validated."""
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
        """Decoding restores the tree and the recent changes."""
        document = _after(Edit("/a", "models", ("m", "n")), Edit.delete("/ab"))
        assert SettingsDocument.decode(document.encode()) == document

    def test_patch_is_decoded_from_json(self):
        """An absent value means removal, null means creation."""
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
    def test_malformed_document_is_rejected(self, data):
        """Invalid stored data raise FindingsError."""
        with pytest.raises(FindingsError):
            SettingsDocument.decode(data)

    def test_too_large_document_is_rejected(self):
        """A document larger than the limit must not be written."""
        sections = {f"/{number:0>60}": {"weight": 1} for number in range(14_000)}
        document = SettingsDocument(1, SettingsTree.from_sections(sections))
        patch = _patch("c", Edit("/", "weight", 1), base=1)
        (finding,) = apply_patch(document, patch, "ana").findings
        assert "bytes" in finding.problem
