"""Timeline of one request from the logs of all routers, and metrics of a router."""

import sys
from argparse import Namespace
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from msgspec import DecodeError
from msgspec.json import decode

from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.cli._settings_checks import read_text

CONTEXT_WINDOW_S = 5.0
"""Time before the first line of a request from which other log lines of its routers
are shown."""
QUARANTINE_EVENTS = frozenset(
    {
        "target-ended-under-request",
        "request-blamed",
        "request-no-longer-blamed",
        "request-cleared",
        "request-released",
        "trial-permitted",
    }
)
"""Events that are shown for all requests with the same identity, or the same part that
the request was rejected for, whatever their id."""
HIDDEN_FIELDS = frozenset({"time", "node", "event", "request_id", "attempts"})

MEANING_BY_REASON = {
    "answered": "the target's whole answer was passed on",
    "caller-left": "the caller closed its connection before the answer was whole",
    "slow-reader": "the caller read too slowly: the router or the target did not hold "
    "its answer any longer",
    "router-stopped": "the router exited at the end of its time to stop; with 503 it "
    "has not run",
    "router-stopping": "the router was asked to stop, and the request could not be "
    "expected to end before the process; it has not run",
    "vm-limit": "the VM of the router had little left, and others were more urgent; "
    "it has not run",
    "no-place": "no target had a free place within the time that it may wait; "
    "it has not run",
    "allowance-spent": "the client account had spent its allowance of the window",
    "no-configuration": "the router knew no configuration yet",
    "stale-configuration": "the router could not confirm its configuration for so "
    "long that keys are not trusted",
    "no-route": "no route of the version in force begins its path",
    "unknown-key": "the version in force has no such key",
    "timeout": "the time limit of the caller or of the route passed",
    "retry-budget": "another target could have been tried, but the budget of "
    "repeated sends was spent",
    "attempt-broken": "the connection to the target broke; it may have run, and may "
    "not be sent again",
    "attempt-silent": "the target sent nothing for too long; it may have run, and "
    "may not be sent again",
    "attempt-failed": "the target answered with an error of its own",
    "attempt-refused": "every target that was tried refused it; it has not run",
    "stream-not-continued": "the target that took the stream over answered with "
    "something other than the rest of it",
    "attempt-not-sent": "no target could be reached; it has not run",
    "targets-ended-under-prompt-part": "targets ended before they began to answer "
    "requests with a part of its prompt; `berylwalk quarantined` lists them",
    "targets-ended-under-it": "targets ended while they ran the same request of this "
    "caller, and it is held back; whether this attempt has run, its attempts tell",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a log.

    Parameters
    ----------
    fields : dict
        All fields of the JSON object.
    """

    fields: dict[str, Any]

    @property
    def time(self) -> float:
        """Time in seconds since the Unix epoch."""
        return float(self.fields.get("time", 0.0))

    @property
    def node(self) -> str:
        """Name of the node that wrote the line."""
        return str(self.fields.get("node", "?"))

    @property
    def event(self) -> str:
        """Name of the event."""
        return str(self.fields.get("event", "?"))

    @property
    def request_id(self) -> str | None:
        """Id of the request, or None if the event is not about a single one."""
        return self.fields.get("request_id")


def explain(arguments: Namespace) -> ExitCode:
    """Print the timeline of a request and the meaning of its final reason.

    Parameters
    ----------
    arguments : Namespace
        With ``request_id`` and ``files``.

    Raises
    ------
    CommandError
        If no line has the id of the request.
    FindingsError
        If a file cannot be read.
    """
    lines = [line for file in arguments.files for line in read_lines(file)]
    lines.sort(key=lambda line: line.time)
    request_lines = [line for line in lines if line.request_id == arguments.request_id]
    if not request_lines:
        raise CommandError(
            ExitCode.FAILED,
            [
                f"no line about {arguments.request_id} in {len(lines)} lines: its "
                "router was killed before it wrote the log, dropped lines under load "
                "(lines_dropped), or is not among the files"
            ],
        )
    for text in timeline(request_lines, lines):
        print(text)
    return ExitCode.OK


def read_lines(file: Path) -> Iterator[LogLine]:
    """Yield the JSON lines of a file; a prefix before the object is skipped."""
    for text in read_text(file).splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = decode(text[start:])
        except DecodeError:
            # Output of another program, or a truncated line.
            continue
        if isinstance(fields, dict):
            yield LogLine(fields)


def timeline(request_lines: list[LogLine], lines: Iterable[LogLine]) -> Iterator[str]:
    """Yield the lines of a request and those that give their context.

    Context are lines of the same routers about its targets, and quarantine events of
    requests with the same identity or the same blamed prompt part, whatever their id.
    """
    started_at = request_lines[0].time
    nodes = {line.node for line in request_lines}
    targets = {target for line in request_lines for target in _targets_of(line)}
    identities = set().union(*map(_identities_of, request_lines))
    for line in lines:
        is_own_line = line.request_id == request_lines[0].request_id
        is_in_window = (
            started_at - CONTEXT_WINDOW_S <= line.time <= request_lines[-1].time
        )
        is_context = (
            line.request_id is None
            and line.node in nodes
            and is_in_window
            and _targets_of(line) <= targets
        )
        concerns_the_same = (
            line.event in QUARANTINE_EVENTS
            and not identities.isdisjoint(_subjects_of(line))
            and line.time <= request_lines[-1].time
        )
        if is_own_line or is_context or concerns_the_same:
            mark = "*" if is_own_line else " "
            offset_ms = (line.time - started_at) * 1000
            head = f"{mark} {offset_ms:9.1f} ms  {line.node}  {line.event}"
            yield f"{head}  {_format_fields(line)}"
    for line in request_lines:
        if line.event == "request-ended":
            yield from _summary(line)


def _identities_of(line: LogLine) -> set[str]:
    """Return the identity in a line of the request, and what it was rejected for."""
    identity = line.fields.get("identity")
    return {*line.fields.get("blocked_by", ()), *([identity] if identity else [])}


def _subjects_of(line: LogLine) -> set[str]:
    """Return the identities that a quarantine event is about."""
    return _identities_of(line) | set(line.fields.get("prompt_parts", ()))


def _targets_of(line: LogLine) -> set[str]:
    targets = set(line.fields.get("obstacles", ()))
    if "target" in line.fields:
        targets.add(line.fields["target"])
    return targets


def _format_fields(line: LogLine) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )


def _summary(line: LogLine) -> Iterator[str]:
    for number, attempt in enumerate(line.fields.get("attempts", ()), 1):
        yield f"  attempt {number}: " + " ".join(
            f"{name}={value}" for name, value in attempt.items() if value != ""
        )
    reason = str(line.fields.get("reason", ""))
    base_reason = reason.removeprefix("cut-")
    meaning = MEANING_BY_REASON.get(base_reason, "see docs/OPERATIONS.md")
    truncation_note = " (a begun stream was cut)" if base_reason != reason else ""
    yield f"cause: {reason}{truncation_note}: {meaning}"


def print_router_metrics(arguments: Namespace) -> ExitCode:
    """Print the metrics of a router without the histogram buckets.

    Raises
    ------
    CommandError
        If the router does not respond.
    """
    from urllib.error import URLError
    from urllib.request import urlopen

    try:
        with urlopen(arguments.url, timeout=arguments.timeout_s) as response:
            text = response.read().decode()
    except (URLError, OSError, ValueError) as error:
        raise CommandError(ExitCode.UNDECIDED, [f"{arguments.url}: {error}"]) from error
    for line in text.splitlines():
        if line.startswith("berylwalk_") and "_bucket" not in line:
            sys.stdout.write(f"{line}\n")
    return ExitCode.OK
