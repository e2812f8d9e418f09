"""Command that counts why requests were not served in time."""

from argparse import Namespace
from collections import Counter, defaultdict
from collections.abc import Iterable

from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.cli._request_timeline import LogLine, read_lines

MS_PER_S = 1000
IN_TIME = "in time"
LATE_START = "first event after the objective"
LATE_WAITED = "first event after the objective, most of it waiting for a place"
LATE_REPEATED = "first event after the objective, after a failed attempt"
LATE_REFUSED = "first event after the objective, since the caller was refused before"
PAUSED = "a pause that was too long"

CauseCounts = dict[tuple[str, int], Counter]


def print_causes(arguments: Namespace) -> ExitCode:
    """Print the number of requests per cause for each kind and rank.

    Parameters
    ----------
    arguments : Namespace
        With ``files``, and ``since_s`` and ``until_s`` relative to the first line.

    Raises
    ------
    CommandError
        If no line records the end of a request.
    FindingsError
        If a file cannot be read.
    """
    lines = [line for file in arguments.files for line in read_lines(file)]
    started_at = min((line.time for line in lines), default=0.0)
    ended_lines = [
        line
        for line in lines
        if line.event == "request-ended"
        and arguments.since_s <= line.time - started_at < arguments.until_s
    ]
    if not ended_lines:
        raise CommandError(ExitCode.FAILED, ["no request-ended line in the logs"])
    for (kind, rank), counts in sorted(count_causes(ended_lines).items()):
        total = sum(counts.values())
        print(f"{kind}, rank {rank}: {total} requests")
        for cause, count in counts.most_common():
            print(f"  {count:7d}  {count / total:6.1%}  {cause}")
    return ExitCode.OK


def count_causes(lines: Iterable[LogLine]) -> CauseCounts:
    """Return the number of requests per cause, by kind and rank."""
    counts_by_class: CauseCounts = defaultdict(Counter)
    for line in lines:
        fields = line.fields
        ranks = fields.get("rank") or [fields.get("priority", -1)]
        kind = str(fields.get("kind", "unknown"))
        counts_by_class[kind, ranks[-1]][cause_of(line)] += 1
    return counts_by_class


def cause_of(line: LogLine) -> str:
    """Return why a request was not served in time, or `IN_TIME`."""
    fields = line.fields
    if fields.get("status") != 200:
        return f"{fields.get('status')} {fields.get('reason')}"
    objective_ms = fields.get("objective_ms") or float("inf")
    first_ms = fields.get("first_event_ms") or fields.get("total_ms", 0.0)
    attempts = fields.get("attempts", ())
    asked_before_ms = fields.get("first_asked_ms_ago") or 0.0
    if first_ms <= objective_ms < asked_before_ms + first_ms:
        return LATE_REFUSED
    if first_ms > objective_ms:
        if len(attempts) > 1:
            return LATE_REPEATED
        waited_most = fields.get("waited_ms", 0.0) > first_ms / 2
        return LATE_WAITED if waited_most else LATE_START
    longest_ms = fields.get("longest_pause_allowed_ms") or float("inf")
    if any(attempt["longest_pause_ms"] > longest_ms for attempt in attempts):
        return PAUSED
    return IN_TIME
