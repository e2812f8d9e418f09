"""What became of one request, from the log files of all routers."""

import sys
from argparse import Namespace
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from msgspec import DecodeError
from msgspec.json import decode

from berylwalk.cli._checking import read_text
from berylwalk.cli._exit_codes import CommandError, ExitCode

CONTEXT_S = 5.0
"""Time before a request's end within which changes of beliefs are shown."""
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
"""What is told of a request whatever its id, when targets end under it."""
HIDDEN_FIELDS = frozenset({"time", "node", "event", "request_id", "attempts"})

MEANING_BY_REASON = {
    "answered": "the target's whole answer was passed on",
    "caller-left": "the caller closed its connection before the answer was whole",
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
    "attempt-not-sent": "no target could be reached; it has not run",
    "targets-ended-under-it": "targets ended while they ran the same request of this "
    "caller, and it is held back; whether this attempt has run, its attempts tell",
}


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    Parameters
    ----------
    fields : dict
        All fields, as logged.
    """

    fields: dict[str, Any]

    @property
    def time(self) -> float:
        """Time of day, in seconds since the epoch."""
        return float(self.fields.get("time", 0.0))

    @property
    def node(self) -> str:
        """Name of the VM."""
        return str(self.fields.get("node", "?"))

    @property
    def event(self) -> str:
        """What happened."""
        return str(self.fields.get("event", "?"))

    @property
    def request_id(self) -> str | None:
        """The request concerned."""
        return self.fields.get("request_id")


def explain(arguments: Namespace) -> ExitCode:
    """Print the timeline of a request and what its end means.

    Parameters
    ----------
    arguments : Namespace
        With ``request_id`` and ``files``.

    Raises
    ------
    CommandError
        When no line tells of the request.
    FindingsError
        When a file can't be read.
    """
    lines = [line for file in arguments.files for line in read_lines(file)]
    lines.sort(key=lambda line: line.time)
    own = [line for line in lines if line.request_id == arguments.request_id]
    if not own:
        raise CommandError(
            ExitCode.FAILED,
            [
                f"no line about {arguments.request_id} in {len(lines)} lines: its "
                "router was killed before it could tell, dropped lines under load "
                "(lines_dropped), or is not among the files"
            ],
        )
    for text in timeline(own, lines):
        print(text)
    return ExitCode.OK


def read_lines(file: Path) -> Iterator[Line]:
    """Yield the JSON lines of a file; text before the object is passed over."""
    for text in read_text(file).splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = decode(text[start:])
        except DecodeError:
            # Lines of other programs, or one that was cut.
            continue
        if isinstance(fields, dict):
            yield Line(fields)


def timeline(own: list[Line], lines: Iterable[Line]) -> Iterator[str]:
    """Yield the request's lines with what its routers and targets did meanwhile.

    If targets ended under the same request, whatever its ids, the lines of all of that
    are among them.
    """
    started_at = own[0].time
    nodes = {line.node for line in own}
    targets = {target for line in own for target in _targets_of(line)}
    identities = {line.fields.get("identity") for line in own} - {None}
    for line in lines:
        is_own = line.request_id == own[0].request_id
        is_near = started_at - CONTEXT_S <= line.time <= own[-1].time
        is_context = (
            line.request_id is None
            and line.node in nodes
            and is_near
            and _targets_of(line) <= targets
        )
        is_of_same = (
            line.event in QUARANTINE_EVENTS
            and line.fields.get("identity") in identities
            and line.time <= own[-1].time
        )
        if is_own or is_context or is_of_same:
            mark = "*" if is_own else " "
            offset_ms = (line.time - started_at) * 1000
            head = f"{mark} {offset_ms:9.1f} ms  {line.node}  {line.event}"
            yield f"{head}  {_shown(line)}"
    for line in own:
        if line.event == "request-ended":
            yield from _ending(line)


def _targets_of(line: Line) -> set[str]:
    named = set(line.fields.get("obstacles", ()))
    if "target" in line.fields:
        named.add(line.fields["target"])
    return named


def _shown(line: Line) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )


def _ending(line: Line) -> Iterator[str]:
    for number, attempt in enumerate(line.fields.get("attempts", ()), 1):
        yield f"  attempt {number}: " + " ".join(
            f"{name}={value}" for name, value in attempt.items() if value != ""
        )
    reason = str(line.fields.get("reason", ""))
    bare = reason.removeprefix("cut-")
    meaning = MEANING_BY_REASON.get(bare, "see docs/OPERATIONS.md")
    cut = " (a begun stream was cut)" if bare != reason else ""
    yield f"cause: {reason}{cut}: {meaning}"


def print_beliefs(arguments: Namespace) -> ExitCode:
    """Print what a router believes, from its metrics.

    Raises
    ------
    CommandError
        When the router does not answer.
    """
    from urllib.error import URLError
    from urllib.request import urlopen

    try:
        with urlopen(arguments.url, timeout=arguments.timeout_s) as answer:
            text = answer.read().decode()
    except (URLError, OSError, ValueError) as error:
        raise CommandError(ExitCode.UNDECIDED, [f"{arguments.url}: {error}"]) from error
    for line in text.splitlines():
        if line.startswith("berylwalk_") and "_bucket" not in line:
            sys.stdout.write(f"{line}\n")
    return ExitCode.OK
