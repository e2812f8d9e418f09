"""Inheritance, client accounts and INI format of the settings tree."""

from hashlib import sha256

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylwalk.model import FindingsError
from berylwalk.settings import (
    Patch,
    SettingsDocument,
    SettingsTree,
    apply_patch,
    edits_between,
    export_ini,
    parse_ini,
)

FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=200)
TIERS = {
    "tier urgent": {"rank": 0, "deadline_s": 5, "headroom": 0.2},
    "tier batch": {"rank": 9, "deadline_s": 900},
}
TOKEN = "secret-of-the-field-team"
CREDENTIAL = sha256(TOKEN.encode()).hexdigest()

paths = st.lists(st.sampled_from("abc"), max_size=4).map(lambda p: "/" + "/".join(p))
node_values = st.fixed_dictionaries(
    {},
    optional={
        "tier": st.sampled_from(["urgent", "batch"]),
        "weight": st.floats(0.5, 9),
        "deadline_s": st.floats(0.1, 1000),
        "max_waiting": st.integers(0, 99),
        "models": st.lists(st.sampled_from(["m/1", "m:2"]), unique=True).map(tuple),
        "idempotent": st.booleans(),
    },
)
ini_headers = st.sampled_from(
    ["[/a]", "[/b]", " [/a]", "[tier t]", "[DEFAULT]", "[\0]"]
)
ini_keys = st.sampled_from(
    ["rank = 0", "weight = 1", " weight = 2", "weight", "\0001 ="]
)
ini_lines = st.one_of(
    ini_headers,
    ini_keys,
    st.sampled_from(["[]", "[/a", "= 3", ";"]),
    st.text(max_size=6),
)
trees = st.dictionaries(paths, node_values, max_size=8).map(
    lambda nodes: SettingsTree.from_sections({**TIERS, **nodes})
)


def _merge_from_root(sections, path):
    """Return the effective values by merging all nodes from the root down."""
    names = [name for name in path.split("/") if name]
    values = {}
    for depth in range(len(names) + 1):
        values.update(sections.get("/" + "/".join(names[:depth]), {}))
    return values


class TestInheritance:
    @FUZZ
    @given(trees, paths)
    def test_agrees_with_reference_implementation(self, tree, path):
        """Each key has the value of the nearest node that sets it."""
        expected = _merge_from_root(tree.sections, path)
        service_policy = tree.evaluate(path)
        tier = TIERS[f"tier {expected.get('tier', 'batch')}"]
        assert service_policy.tier.rank == tier["rank"]
        assert service_policy.deadline_s == expected.get(
            "deadline_s", tier["deadline_s"]
        )
        assert service_policy.weight == expected.get("weight", 1.0)
        assert service_policy.max_waiting == expected.get("max_waiting", 1000)
        assert service_policy.models == expected.get("models", ())
        assert service_policy.idempotent == expected.get("idempotent", True)
        explained = {entry.key: entry.value for entry in tree.explain(path)}
        assert explained == expected

    def test_explain_returns_source_and_overrides(self):
        """Explanations contain the source of a value and the overridden values."""
        tree = SettingsTree.from_sections(
            {"/": {"weight": 1, "max_waiting": 7}, "/a": {"weight": 2}}
        )
        entries = {entry.key: entry for entry in tree.explain("/a/b")}
        assert entries["weight"].source == "/a"
        assert entries["weight"].inherited
        assert entries["weight"].overrides == (("/", 1.0),)
        assert entries["max_waiting"].source == "/"
        assert not tree.explain("/a")[0].inherited


class TestAccounts:
    TREE = SettingsTree.from_sections(
        {
            **TIERS,
            "/p": {"tier": "batch"},
            "/p/field": {"credential_sha256": [CREDENTIAL], "tier": "urgent"},
            "/p/field/logs": {"weight": 3, "target_service": "readback"},
        }
    )

    def test_token_finds_its_account(self):
        """A token maps to the node that has its credential."""
        assert self.TREE.account_for_token(TOKEN) == "/p/field"
        assert self.TREE.account_for_token("other") is None
        assert self.TREE.accounts == ("/p/field",)

    def test_service_inherits_from_account(self):
        """A service node inherits from its account and is not an account itself."""
        service_policy = self.TREE.service_policy_for("/p/field", "logs")
        assert service_policy.client_account == "/p/field"
        assert service_policy.service == "logs"
        assert service_policy.tier.name == "urgent"
        assert service_policy.weight == 3
        assert service_policy.target_service == "readback"
        assert self.TREE.evaluate("/p/field/logs/x").target_service == ""
        assert self.TREE.lookup("/p/field/logs", "target_service") == "readback"
        assert self.TREE.lookup("/p/field/logs/x", "target_service") is None

    @pytest.mark.parametrize("service", ["", "unknown", "../../p", "a b\n"])
    def test_unknown_service_uses_policy_of_account(self, service):
        """A service without a node or with an invalid name has no policy of its own."""
        service_policy = self.TREE.service_policy_for("/p/field", service)
        assert service_policy == self.TREE.evaluate("/p/field")
        assert service_policy.service == ""


class TestIni:
    @FUZZ
    @given(trees)
    def test_round_trip(self, tree):
        """Parsing an exported tree yields an equal tree."""
        assert parse_ini(export_ini(tree)) == tree

    @FUZZ
    @given(st.lists(ini_lines, max_size=12).map("\n".join))
    def test_arbitrary_text_is_parsed_or_rejected(self, text):
        """Parsing raises nothing but FindingsError, without duplicate findings."""
        findings = ()
        try:
            parse_ini(text)
        except FindingsError as error:
            findings = error.findings
        assert len(set(findings)) == len(findings)

    def test_every_problem_is_reported(self):
        """Syntax, values and references are validated together."""
        text = (
            "[tier urgent]\nrank = 0\n[tier batch]\nrank = 0\n[tier broken]\nrank = x\n"
            "[/a]\ntier = none\nweight = 0\nweight = 1\n"
            f"[/b]\ntier = gone\ncredential_sha256 = {CREDENTIAL}, AB\n"
            f"[/c]\ntier = broken\ncredential_sha256 = {CREDENTIAL}\n"
            f"[/d]\ncredential_sha256 = {CREDENTIAL}\nnonsense\n"
            "[c/d]\nweight = 1\n[/e/]\n[/f]\nspeed = 1\n"
        )
        with pytest.raises(FindingsError) as caught:
            parse_ini(text, file="tree.ini")
        places = [finding.place for finding in caught.value.findings]
        assert sorted(places) == [
            "tree.ini [/a] tier",
            "tree.ini [/a] weight",
            "tree.ini [/a] weight",
            "tree.ini [/b] credential_sha256",
            "tree.ini [/b] tier",
            "tree.ini [/d] credential_sha256",
            "tree.ini [/e/]",
            "tree.ini [/f] speed",
            "tree.ini [c/d]",
            "tree.ini [tier batch] rank",
            "tree.ini [tier broken] rank",
            "tree.ini line 19",
        ]


class TestEditsBetween:
    @FUZZ
    @given(trees, trees)
    def test_edits_transform_old_tree_into_new(self, old, new):
        """Applying the computed edits must yield exactly the new tree."""
        edits = edits_between(old, new)
        if old == new:
            assert edits == ()
            return
        result = apply_patch(SettingsDocument(3, old), Patch("c", 3, edits), "x")
        assert result.tree == new
