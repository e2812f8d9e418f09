"""Imports between libraries."""

import ast
from pathlib import Path

import pytest

LIBS = Path(__file__).parents[2] / "libs"
FOLDERS_BY_LIBRARY = {
    path.name: path for path in (*LIBS.iterdir(), LIBS.parent / "platform")
}
LIBRARIES = sorted(
    name for name, path in FOLDERS_BY_LIBRARY.items() if (path / "src").is_dir()
)


def private_imports(lib):
    """Yield the private modules of other libraries that a library imports."""
    for file in sorted((FOLDERS_BY_LIBRARY[lib] / "src").rglob("*.py")):
        for node in ast.walk(ast.parse(file.read_text())):
            if not isinstance(node, ast.ImportFrom | ast.Import):
                continue
            modules = [alias.name for alias in node.names]
            if isinstance(node, ast.ImportFrom):
                modules = [node.module or ""]
            for module in modules:
                parts = module.split(".")
                own = parts[:2] == ["berylwalk", lib]
                if parts[0] == "berylwalk" and "._" in module and not own:
                    yield f"{file.name}: {module}"


class TestImports:
    @pytest.mark.parametrize("lib", LIBRARIES)
    def test_only_public_names_of_other_libraries(self, lib):
        """Private modules of a library are not imported by other libraries."""
        assert list(private_imports(lib)) == []
