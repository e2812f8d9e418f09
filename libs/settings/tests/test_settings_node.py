"""Settings files of routers and agents."""

import pytest

from berylwalk.model import FindingsError
from berylwalk.settings import (
    AgentSettings,
    RouterSettings,
    RoutingPolicy,
    settings_reference,
)

COMMON = """
[node]
id = node-1
address = 127.0.1.1
failure_domain = domain-a
region = region-1
[fleet]
key = 0123456789abcdef
peers = 127.0.1.1, 127.0.1.2
[platform]
endpoints = http://127.0.9.1:2379
vm_list_url = http://127.0.9.1:8500/
"""
ROUTER = f"{COMMON}[admin]\ncredential_sha256 = {'ab' * 32}\n"
AGENT = f"{COMMON}[target]\nurl = http://127.0.1.1:9000\nmodels = a/b:1, c\n"


def _findings(model, path, text):
    path.write_text(text, encoding="utf-8")
    with pytest.raises(FindingsError) as caught:
        model.from_file(path)
    return {
        finding.place.removeprefix(f"{path} "): finding.problem
        for finding in caught.value.findings
    }


@pytest.fixture
def path(tmp_path):
    """Return the path of the settings file under test."""
    return tmp_path / "node.ini"


class TestRouterSettings:
    def test_missing_sections_use_defaults(self, path):
        """A file with only the required keys is valid."""
        path.write_text(ROUTER, encoding="utf-8")
        settings = RouterSettings.from_file(path)
        assert settings.fleet.peers == ("127.0.1.1", "127.0.1.2")
        assert settings.ports.dispatch == 7003
        assert settings.routing.policy is RoutingPolicy.BERYLWALK

    def test_every_problem_is_reported(self, path):
        """Syntax errors and invalid values are reported together."""
        text = ROUTER.replace("address = 127.0.1.1", "address = entry-1") + (
            "unparsable\n"
            "[routing]\nretry_ratio = 1.5\nretry_ratio = 0.2\ntypo = 1\n"
            "[caller]\nmax_connections = many\n"
            "[surprise]\nx = 1\n"
            "[node]\nid = again\nregion =\n"
        )
        findings = _findings(RouterSettings, path, text.replace("vm_list_url", "vm"))
        assert set(findings) == {
            "line 15",
            "[node]",
            "[node] address",
            "[node] id",
            "[node] region",
            "[platform] vm",
            "[platform] vm_list_url",
            "[routing] retry_ratio",
            "[routing] typo",
            "[caller] max_connections",
            "[surprise]",
        }
        assert findings["[platform] vm_list_url"] == "is required and missing"

    def test_equal_tcp_ports_are_rejected(self, path):
        """Two servers of a process cannot listen on the same port."""
        findings = _findings(RouterSettings, path, ROUTER + "[ports]\nadmin = 8080\n")
        assert findings == {"[ports]": "two TCP ports are the same"}

    def test_key_before_first_section_is_reported(self, path):
        """A key before the first section header is reported by line number."""
        assert "line 1" in _findings(RouterSettings, path, "a = 1\n" + ROUTER)

    def test_missing_file_is_reported(self, path):
        """An unreadable file raises FindingsError instead of OSError."""
        with pytest.raises(FindingsError, match="cannot be read"):
            RouterSettings.from_file(path)


class TestFleetKey:
    def test_key_file_is_relative_to_settings_file(self, path):
        """The key is read from the key file and does not appear in the repr."""
        (path.parent / "key").write_text("fedcba9876543210\n", encoding="utf-8")
        path.write_text(
            ROUTER.replace("key = 0123456789abcdef", "key_file = key"),
            encoding="utf-8",
        )
        fleet = RouterSettings.from_file(path).fleet
        assert fleet.key.get_secret_value() == "fedcba9876543210"
        assert "fedcba" not in repr(fleet)

    @pytest.mark.parametrize(
        ("lines", "place"),
        [
            ("key = short", "[fleet] key"),
            ("", "[fleet] key"),
            ("key_file = absent", "[fleet] key_file"),
            ("key_file = node.ini\nkey = 0123456789abcdef", "[fleet] key_file"),
        ],
    )
    def test_invalid_key_is_reported_once(self, path, lines, place):
        """A missing, short or duplicate key yields one finding without the key."""
        text = ROUTER.replace("key = 0123456789abcdef", lines)
        findings = _findings(RouterSettings, path, text)
        assert list(findings) == [place]
        assert "short" not in findings[place]


class TestAgentSettings:
    def test_comma_lists_are_split(self, path):
        """Comma-separated values are parsed as tuples."""
        path.write_text(AGENT, encoding="utf-8")
        assert AgentSettings.from_file(path).target.models == ("a/b:1", "c")

    def test_inconsistent_settings_are_reported(self, path):
        """Each inconsistency between keys is reported at one key."""
        text = AGENT.replace("models = a/b:1, c", "decode_tokens_per_s = nan") + (
            "[admission]\nmin_limit = 9\n"
            "[telemetry]\ntrace_exporter = file\n"
            "[routing]\nsubset_size = 3\n"
        )
        assert set(_findings(AgentSettings, path, text)) == {
            "[target] services",
            "[target] decode_tokens_per_s",
            "[admission] initial_limit",
            "[telemetry] trace_path",
            "[routing]",
        }


def test_reference(snapshot):
    """The reference lists every setting with its default."""
    assert settings_reference() == snapshot
