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
        """Every command explains itself."""
        ended = command(*name.split(), "--help")
        assert ended.exit_code == ExitCode.OK
        assert ended.output == snapshot

    def test_reference(self, command):
        """The printed reference is that of the settings library."""
        assert command("settings-reference").output == f"{settings_reference()}"


class TestOutput:
    @pytest.mark.parametrize("argv", [["settings-reference"], ["--help"]])
    def test_reader_that_leaves(self, monkeypatch, capsys, argv):
        """A pipe that is closed early ends the command without a traceback."""
        reading, writing = os.pipe()
        os.close(reading)
        with os.fdopen(writing, "w") as output:
            monkeypatch.setattr("sys.stdout", output)
            assert main(argv) == ExitCode.FAILED
            # The interpreter flushes once more at its end.
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
        """A wrong command line is told from wrong input."""
        assert command(*argv.split()).exit_code == ExitCode.USAGE


class TestCheckSettings:
    def test_valid_files(self, command, tmp_path):
        """Valid files are named with what they are for."""
        (tmp_path / "router.ini").write_text(ROUTER)
        ended = command("check-settings", str(tmp_path / "router.ini"))
        assert (ended.exit_code, ended.errors) == (ExitCode.OK, "")
        assert ended.output.endswith("router.ini: valid (router)\n")

    def test_all_findings_of_all_files(self, command, tmp_path, monkeypatch, snapshot):
        """Mistakes of several files are reported together, each with its place."""
        monkeypatch.chdir(tmp_path)
        (tmp_path / "agent.ini").write_text(BROKEN_AGENT)
        (tmp_path / "tree.ini").write_text(BROKEN_TREE)
        ended = command("check-settings", "agent.ini", "tree.ini", "missing.ini")
        assert ended.exit_code == ExitCode.FINDINGS
        assert ended.errors == snapshot

    def test_role_goes_before_the_sections(self, command, tmp_path):
        """A file of the other kind of process is refused."""
        (tmp_path / "router.ini").write_text(ROUTER)
        argv = ("check-settings", "--role", "agent", str(tmp_path / "router.ini"))
        ended = command(*argv)
        assert ended.exit_code == ExitCode.FINDINGS
        assert "[target] url" in ended.errors


class TestDaemons:
    @pytest.mark.parametrize("name", ["router", "agent"])
    def test_mistakes_of_the_file(self, command, tmp_path, name):
        """A daemon does not start with mistakes in its file; it names them all."""
        file = tmp_path / "node.ini"
        file.write_text("[node]\nid = x\n")
        ended = command(name, "--settings", str(file))
        assert ended.exit_code == ExitCode.FINDINGS
        assert f"{file} [fleet] key:" in ended.errors
        assert f"{file} [node] address:" in ended.errors
