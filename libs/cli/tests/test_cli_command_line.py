import os

import pytest

from berylwalk.cli import ExitCode, main
from berylwalk.settings import settings_reference

COMMANDS = (
    "",
    "router",
    "agent",
    "check-settings",
    "settings-reference",
    "status",
    "quarantined",
    "rollouts",
    "settings",
    "settings get",
    "settings tree",
    "settings export",
    "settings change",
    "settings set",
    "settings unset",
    "settings delete",
    "settings import",
)
ROUTER = """
[node]
id = router-1
address = 127.0.0.1
failure_domain = a
region = r
[fleet]
key = 0123456789abcdef
[platform]
endpoints = http://127.0.0.1:2379
vm_list_url = http://127.0.0.1:2380
[admin]
credential_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
"""
BROKEN_AGENT = "[node]\nid = a b\n[target]\nurl = nowhere\nspeed = 1\n"
BROKEN_TREE = "[tier t]\n[/]\ntier = u\n"


class TestHelp:
    @pytest.mark.parametrize("name", COMMANDS, ids=lambda name: name or "berylwalk")
    def test_help(self, command, snapshot, name):
        """Help texts must not change unnoticed."""
        result = command(*name.split(), "--help")
        assert result.exit_code == ExitCode.OK
        assert result.output == snapshot

    def test_reference(self, command):
        """The command prints the reference of `berylwalk.settings`."""
        assert command("settings-reference").output == f"{settings_reference()}"


class TestOutput:
    @pytest.mark.parametrize("argv", [["settings-reference"], ["--help"]])
    def test_broken_pipe(self, monkeypatch, capsys, argv):
        """A closed output pipe ends the command without a traceback."""
        reading, writing = os.pipe()
        os.close(reading)
        with os.fdopen(writing, "w") as output:
            monkeypatch.setattr("sys.stdout", output)
            assert main(argv) == ExitCode.FAILED
            # As the interpreter does at shutdown.
            output.flush()
        assert capsys.readouterr().err == ""


class TestUsage:
    @pytest.mark.parametrize(
        "argv",
        [
            "",
            "router",
            "settings",
            "settings set / weight",
            "status --admin localhost:8081",
            "status --timeout 0",
            "settings unset / weight --if-version -1",
            "settings change no/such",
        ],
    )
    def test_wrong_command_line(self, command, argv):
        """Usage errors have their own exit code."""
        assert command(*argv.split()).exit_code == ExitCode.USAGE


class TestCheckSettings:
    def test_valid_files(self, command, tmp_path):
        """Each valid file is listed with its role."""
        (tmp_path / "router.ini").write_text(ROUTER)
        result = command("check-settings", str(tmp_path / "router.ini"))
        assert (result.exit_code, result.errors) == (ExitCode.OK, "")
        assert result.output.endswith("router.ini: valid (router)\n")

    def test_all_findings_of_all_files(self, command, tmp_path, monkeypatch, snapshot):
        """Errors of all files are reported together, each with its location."""
        monkeypatch.chdir(tmp_path)
        (tmp_path / "agent.ini").write_text(BROKEN_AGENT)
        (tmp_path / "tree.ini").write_text(BROKEN_TREE)
        result = command("check-settings", "agent.ini", "tree.ini", "missing.ini")
        assert result.exit_code == ExitCode.FINDINGS
        assert result.errors == snapshot

    def test_role_overrides_inference(self, command, tmp_path):
        """A router file is invalid as an agent file."""
        (tmp_path / "router.ini").write_text(ROUTER)
        argv = ("check-settings", "--role", "agent", str(tmp_path / "router.ini"))
        result = command(*argv)
        assert result.exit_code == ExitCode.FINDINGS
        assert "[target] url" in result.errors


class TestDaemons:
    @pytest.mark.parametrize("name", ["router", "agent"])
    def test_invalid_settings_file(self, command, tmp_path, name):
        """A daemon with an invalid file does not start, and reports all errors."""
        file = tmp_path / "node.ini"
        file.write_text("[node]\nid = x\n")
        result = command(name, "--settings", str(file))
        assert result.exit_code == ExitCode.FINDINGS
        assert f"{file} [fleet] key:" in result.errors
        assert f"{file} [node] address:" in result.errors
