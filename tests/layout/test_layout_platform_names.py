"""Wire names of the platform occur only in its adapter."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PLATFORM_NAMES = (
    "attempt-id",
    "deadline-ms",
    "expect-instance",
    "token-count",
    "prompt-prefix",
    "not-executed",
    "server-seal",
    "x-api-key",
    "op/config",
    "servers/",
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "route-kind",
    "port-range",
    "berylwalk_boot",
)
STANDINS = "standins"
"""Excluded: the stand-ins implement the platform's protocol."""

FILES = [
    file
    for file in sorted((ROOT / "libs").glob("*/src/**/*.py"))
    if STANDINS not in file.parts
]


def string_constants(file):
    """Yield the string and bytes constants of a module, without docstrings."""
    tree = ast.parse(file.read_text())
    docstrings = {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in docstrings:
            continue
        if isinstance(node.value, str):
            yield node.value.lower()
        elif isinstance(node.value, bytes):
            yield node.value.decode("latin-1").lower()


class TestPlatformNames:
    @pytest.mark.parametrize(
        "file", FILES, ids=lambda file: str(file.relative_to(ROOT))
    )
    def test_only_the_adapter_has_them(self, file):
        """No library outside ``platform/`` contains a wire name of the platform."""
        found = [
            (name, text)
            for text in string_constants(file)
            for name in PLATFORM_NAMES
            if re.search(rf"(?<![\w-]){re.escape(name)}", text)
        ]
        assert found == []

    def test_listed_names_are_current(self):
        """The adapter contains most of `PLATFORM_NAMES`."""
        adapter = " ".join(
            text
            for file in (ROOT / "platform").rglob("*.py")
            for text in string_constants(file)
        )
        known = [name for name in PLATFORM_NAMES if name in adapter]
        assert len(known) >= 10
