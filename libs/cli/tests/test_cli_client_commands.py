import re

import pytest

from berylwalk.cli import ExitCode
from berylwalk.settings import MAX_RECENT_CHANGES, Edit, Patch

pytestmark = pytest.mark.anyio


class TestReading:
    @pytest.mark.parametrize(
        "argv",
        [
            ("settings", "get", "/east"),
            ("settings", "get", "/east", "max_waiting"),
            ("settings", "tree"),
            ("settings", "export"),
            ("status",),
            ("status", "--json"),
        ],
        ids=" ".join,
    )
    async def test_output(self, client_command, snapshot, argv):
        """The output for operators must not change unnoticed."""
        result = await client_command(*argv)
        assert result.exit_code == ExitCode.OK
        assert result.output == snapshot

    async def test_unset_key(self, client_command):
        """The error names the node and the key."""
        result = await client_command("settings", "get", "/east", "weight")
        assert result.exit_code == ExitCode.FINDINGS
        assert result.errors.startswith("[/east] weight:")


class TestChanging:
    async def test_set_then_unset(self, client_command, settings):
        """After it is unset, the value is inherited again."""
        result = await client_command("settings", "set", "/east", "max_waiting", "9")
        assert result.exit_code == ExitCode.OK
        assert settings.document.tree.lookup("/east", "max_waiting") == 9
        await client_command("settings", "unset", "/east", "max_waiting")
        assert settings.document.tree.lookup("/east", "max_waiting") == 50

    async def test_delete(self, client_command, settings):
        """The section is removed from the tree."""
        await client_command("settings", "delete", "/east")
        assert "/east" not in settings.document.tree.sections

    async def test_clash(self, client_command, settings):
        """The second of two conflicting changes is rejected, and shows both values."""
        first = ("settings", "set", "/", "max_waiting", "60", "--if-version", "1")
        second = ("settings", "set", "/", "max_waiting", "70", "--if-version", "1")
        await client_command(*first)
        result = await client_command(*second)
        assert result.exit_code == ExitCode.CLASH
        assert re.search(r"yours: +70\n +theirs: 60 ", result.errors)
        assert settings.document.version == 2

    async def test_version_before_retained_changes(self, client_command, settings):
        """A change that can never be merged does not suggest a retry."""
        for number in range(MAX_RECENT_CHANGES + 1):
            patch = Patch(f"c{number}", number + 1, (Edit("/", "weight", number + 1),))
            await settings.submit(patch, "ana")
        argv = ("settings", "set", "/", "max_waiting", "60", "--if-version", "1")
        result = await client_command(*argv)
        assert result.exit_code == ExitCode.CLASH
        assert "read the settings again" in result.errors
        assert "--change-id" not in result.errors

    async def test_undecided_change_is_resolved_by_change_id(
        self, client_command, settings
    ):
        """The message has the options to look up and to repeat the change."""
        settings.loses_responses = True
        argv = ("settings", "set", "/", "max_waiting", "60")
        result = await client_command(*argv)
        assert result.exit_code == ExitCode.UNDECIDED
        options = re.search(r"--change-id (\S+) --if-version 1", result.errors)
        asked = await client_command("settings", "change", options[1])
        assert (asked.exit_code, asked.output.split(",")[0]) == (0, "version 2")
        repeated = await client_command(*argv, *options[0].split())
        assert (repeated.exit_code, repeated.output.split(",")[0]) == (0, "version 2")

    async def test_unknown_change(self, client_command):
        """An unknown change counts as undecided, not as rejected."""
        result = await client_command("settings", "change", "no-such")
        assert result.exit_code == ExitCode.UNDECIDED


class TestImport:
    async def test_edited_export(self, client_command, settings, tmp_path):
        """An import of an outdated export does not overwrite later changes."""
        exported = (await client_command("settings", "export")).output
        file = tmp_path / "tree.ini"
        file.write_text(exported.replace("max_waiting = 50", "max_waiting = 51"))
        result = await client_command("settings", "import", str(file))
        assert result.exit_code == ExitCode.OK
        assert settings.document.tree.lookup("/", "max_waiting") == 51
        file.write_text(exported)
        result = await client_command("settings", "import", str(file))
        assert result.exit_code == ExitCode.CLASH

    async def test_all_findings(self, client_command, tmp_path, monkeypatch, snapshot):
        """Each error is reported with file, section and key."""
        monkeypatch.chdir(tmp_path)
        text = "[/]\ntier = no\nweight = 0\n[/x]\nsize = 1\njunk\n"
        (tmp_path / "new tree.ini").write_text(text)
        argv = ("settings", "import", "new tree.ini", "--if-version", "1")
        result = await client_command(*argv)
        assert result.exit_code == ExitCode.FINDINGS
        assert result.errors == snapshot

    async def test_file_without_version(self, client_command, tmp_path):
        """A file without a base version is not imported."""
        file = tmp_path / "tree.ini"
        file.write_text("[/]\nweight = 2\n")
        result = await client_command("settings", "import", str(file))
        assert result.exit_code == ExitCode.USAGE


class TestExitCodes:
    async def test_denied(self, client_command, tmp_path):
        """A token file takes precedence over the environment."""
        file = tmp_path / "token"
        file.write_text("wrong\n")
        result = await client_command("status", "--token-file", str(file))
        assert result.exit_code == ExitCode.DENIED

    async def test_no_token(self, client_command, monkeypatch):
        """A missing token is a usage error."""
        monkeypatch.delenv("BERYLWALK_ADMIN_TOKEN")
        assert (await client_command("status")).exit_code == ExitCode.USAGE

    async def test_unreachable(self, client_command, unused_url):
        """A change that was not sent does not suggest a lookup by change id."""
        argv = ("settings", "set", "/", "weight", "2", "--if-version", "1")
        result = await client_command(*argv, admin=unused_url)
        assert result.exit_code == ExitCode.UNDECIDED
        assert "--change-id" not in result.errors

    async def test_no_administration_api(self, client_command, other_url):
        """The outcome of a change sent to an unknown server is undecided."""
        argv = ("settings", "set", "/", "weight", "2", "--if-version", "1")
        result = await client_command(*argv, admin=other_url)
        assert result.exit_code == ExitCode.UNDECIDED
        assert "--change-id" in result.errors
