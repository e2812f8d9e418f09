"""Tests of ``explain``, ``check-deployment`` and ``beliefs``."""

import pytest
from msgspec.json import encode

from berylwalk.cli import main

REFUSED = [
    {
        "time": 99.0,
        "node": "edge-1",
        "event": "target-listed",
        "target": "i-1",
        "state": "draining",
    },
    {
        "time": 100.1,
        "node": "edge-1",
        "event": "request-not-placed",
        "request_id": "a1",
        "waiting": 0,
        "obstacles": {"i-1": "draining", "i-2": "errors"},
    },
    {
        "time": 100.1,
        "node": "edge-1",
        "event": "request-ended",
        "request_id": "a1",
        "status": 503,
        "reason": "no-place",
        "attempts": [],
    },
]
LOST = [
    {
        "time": 100.0,
        "node": "edge-1",
        "event": "request-placed",
        "request_id": "a2",
        "target": "i-1",
    },
    {
        "time": 100.4,
        "node": "edge-1",
        "event": "target-gone",
        "target": "i-1",
        "detail": "removed",
    },
    {
        "time": 100.5,
        "node": "edge-1",
        "event": "request-ended",
        "request_id": "a2",
        "status": 502,
        "reason": "attempt-broken",
        "attempts": [
            {"target": "i-1", "end": "broken", "detail": "closed: ConnectionResetError"}
        ],
    },
]
LATE = [
    {
        "time": 100.0,
        "node": "edge-2",
        "event": "request-placed",
        "request_id": "a3",
        "target": "i-3",
        "load": 61000,
        "peer_in_flight": 9,
    },
    {
        "time": 102.0,
        "node": "edge-2",
        "event": "request-ended",
        "request_id": "a3",
        "status": 200,
        "reason": "answered",
        "waited_ms": 90.0,
        "attempts": [
            {
                "target": "i-3",
                "end": "answered",
                "first_event_ms": 1200.0,
                "longest_pause_ms": 35.0,
            }
        ],
    },
]


@pytest.fixture
def logs(tmp_path):
    """Return log files of two routers, with other output and a truncated line."""
    files = []
    for node in ("edge-1", "edge-2"):
        lines = [line for line in REFUSED + LOST + LATE if line["node"] == node]
        text = "starting up\n" + "".join(
            f"  1.2 {node} {encode(line).decode()}\n" for line in lines
        )
        file = tmp_path / f"{node}.log"
        file.write_text(text + '{"cut": "li')
        files.append(str(file))
    return files


class TestExplain:
    """Timeline of a request."""

    @pytest.mark.parametrize(
        ("request_id", "expected"),
        [
            ("a1", ["cause: no-place", "'i-1': 'draining'", "'i-2': 'errors'"]),
            ("a2", ["cause: attempt-broken", "target-gone", "ConnectionResetError"]),
            ("a3", ["first_event_ms=1200.0", "load=61000", "peer_in_flight=9"]),
        ],
    )
    def test_cause(self, logs, capsys, request_id, expected):
        """The cause is shown for a refused, a failed and a late request."""
        assert main(["explain", request_id, *logs]) == 0
        shown = capsys.readouterr().out
        for text in expected:
            assert text in shown

    def test_preceding_target_events_are_shown(self, logs, capsys):
        """Events shortly before the request that affect its targets are shown."""
        main(["explain", "a1", *logs])
        assert "target-listed" in capsys.readouterr().out

    def test_unknown_id(self, logs, capsys):
        """The error lists the possible reasons."""
        assert main(["explain", "nobody", *logs]) == 1
        assert "was killed before it wrote the log" in capsys.readouterr().err

    def test_missing_file(self, logs, capsys):
        """The error names the file."""
        assert main(["explain", "a1", "nowhere.log"]) == 3
        assert "nowhere.log" in capsys.readouterr().err


class TestCheckDeployment:
    """Validation of deployment files."""

    def test_deploy_file_of_the_repository(self, capsys):
        """The deploy file in this repository is valid."""
        assert main(["check-deployment", "deploy/system.toml"]) == 0

    @pytest.mark.parametrize(
        ("name", "text", "expected"),
        [
            ("a.json", "{}", "node-name"),
            ("a.json", "{", "truncated"),
            ("a.toml", "x = ", "a.toml"),
            ("a.toml", "build = 'b'\n[roles.r]\nrun = 'x'\nonn = 'edge'", "'onn'"),
            ("a.toml", "build = 'b'\n[roles.r]\nrun = 'x'", "missing 'on'"),
        ],
    )
    def test_errors_have_location(self, tmp_path, capsys, name, text, expected):
        """Invalid files are reported with a distinct exit code."""
        file = tmp_path / name
        file.write_text(text)
        assert main(["check-deployment", str(file)]) == 3
        assert expected in capsys.readouterr().err

    def test_unreachable_router(self, capsys):
        """The error names the URL of the metrics."""
        url = "http://127.77.9.9:9/metrics"
        assert main(["beliefs", url, "--timeout-s", "1"]) == 5
        assert url in capsys.readouterr().err


class TestQuarantinedRequest:
    """Timeline of a quarantined request."""

    def test_events_of_same_identity_are_shown(self, tmp_path, capsys):
        """Crashes under other ids of the same request are shown, however old."""
        lines = [
            {
                "time": 10.0 + number,
                "node": f"edge-{number}",
                "event": "target-ended-under-request",
                "request_id": f"b{number}",
                "target": f"i-{number}",
                "identity": "ab12",
            }
            for number in range(3)
        ]
        lines.append(
            {
                "time": 12.1,
                "node": "edge-2",
                "event": "request-blamed",
                "identity": "ab12",
                "ended": ["i-0", "i-1", "i-2"],
            }
        )
        lines.append({**lines[0], "identity": "other", "target": "i-9"})
        lines.append(
            {
                "time": 90.0,
                "node": "edge-1",
                "event": "request-ended",
                "request_id": "a9",
                "status": 503,
                "reason": "targets-ended-under-it",
                "identity": "ab12",
                "attempts": [],
            }
        )
        file = tmp_path / "routers.log"
        file.write_text("".join(f"{encode(line).decode()}\n" for line in lines))
        assert main(["explain", "a9", str(file)]) == 0
        out = capsys.readouterr().out
        assert all(f"target=i-{number}" in out for number in range(3))
        assert "request-blamed" in out
        assert "i-9" not in out
        assert "cause: targets-ended-under-it: targets ended while" in out

    def test_events_of_a_blamed_prompt_part_are_shown(self, tmp_path, capsys):
        """Crashes under other requests with the part are shown, and no others."""
        crash = {
            "time": 10.0,
            "node": "edge-0",
            "event": "target-ended-under-request",
            "request_id": "b0",
            "target": "i-0",
            "identity": "ab12",
            "prompt_parts": ["70617274aa", "70617274bb"],
        }
        lines = [
            crash,
            {**crash, "target": "i-9", "prompt_parts": ["70617274aa"]},
            {
                "time": 90.0,
                "node": "edge-1",
                "event": "request-ended",
                "request_id": "a9",
                "status": 503,
                "reason": "targets-ended-under-prompt-part",
                "identity": "70617274bb",
                "blocked_by": ["70617274bb"],
                "attempts": [],
            },
        ]
        file = tmp_path / "routers.log"
        file.write_text("".join(f"{encode(line).decode()}\n" for line in lines))
        assert main(["explain", "a9", str(file)]) == 0
        out = capsys.readouterr().out
        assert "target=i-0" in out
        assert "i-9" not in out
        assert "cause: targets-ended-under-prompt-part: targets ended before" in out
