"""Statistics over the requests of a replay."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from berylwalk.replay._outcome import Outcome

WINDOW_S = 2.0
"""Length of the windows that `Measures.worst_in_time` compares."""


@dataclass(frozen=True, slots=True)
class Measures:
    """Results for the requests of one kind.

    All values but ``requests`` and ``first_event_s`` are shares of all requests.

    Parameters
    ----------
    requests : int
        Number of requests.
    in_time : float
        Complete responses that met their latency objectives.
    late : float
        Complete responses that missed an objective.
    paused : float
        Complete responses that missed only the objective for pauses between events.
    refused : float
        Requests without any response event.
    refused_again : float
        Requests that were refused more than once.
    broken : float
        Responses that began but were not completed.
    worst_in_time : float
        Lowest ``in_time`` of all windows of `WINDOW_S` seconds.
    first_event_s : float
        Median time from the first send to the first event of the complete responses,
        in seconds.
    """

    requests: int
    in_time: float
    late: float
    paused: float
    refused: float
    refused_again: float
    broken: float
    worst_in_time: float
    first_event_s: float


def measure(outcomes: Sequence[Outcome]) -> dict[str, Measures]:
    """Return the results by kind of request, and those of all kinds as ``all``."""
    kinds = sorted({outcome.kind.name for outcome in outcomes})
    by_kind = {
        kind: _measures([each for each in outcomes if each.kind.name == kind])
        for kind in kinds
    }
    return {"all": _measures(outcomes), **by_kind}


def _measures(outcomes: Sequence[Outcome]) -> Measures:
    complete = [each for each in outcomes if each.is_complete]
    in_time = [each for each in complete if each.is_in_time]
    paused = [
        each
        for each in complete
        if not each.is_in_time and each.first_event_s <= each.kind.objective_s
    ]
    refused = [
        each for each in outcomes if not each.is_complete and each.first_event_s is None
    ]
    count = max(1, len(outcomes))
    return Measures(
        requests=len(outcomes),
        in_time=len(in_time) / count,
        late=(len(complete) - len(in_time)) / count,
        paused=len(paused) / count,
        refused=len(refused) / count,
        refused_again=sum(each.refusals > 1 for each in outcomes) / count,
        broken=(len(outcomes) - len(complete) - len(refused)) / count,
        worst_in_time=_worst_window(outcomes),
        first_event_s=(
            float(np.median([each.first_event_s for each in complete]))
            if complete
            else 0.0
        ),
    )


def _worst_window(outcomes: Sequence[Outcome]) -> float:
    shares = []
    windows = {int(each.sent_at // WINDOW_S) for each in outcomes}
    for window in windows:
        in_window = [
            each for each in outcomes if int(each.sent_at // WINDOW_S) == window
        ]
        shares.append(sum(each.is_in_time for each in in_window) / len(in_window))
    return min(shares, default=1.0)
