"""What a replay shows."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from berylwalk.replay._outcome import Outcome

WINDOW_S = 2.0
"""Length of the spans of which the worst is told, in seconds."""


@dataclass(frozen=True, slots=True)
class Measures:
    """Shares of the requests of one kind, and times of those that were served.

    Parameters
    ----------
    requests : int
        How many were sent.
    in_time, late, refused, refused_again, broken : float
        Shares: served as the objective asks; served later or with a long pause;
        never served after a refusal; refused twice; broken off or given up.
    paused : float
        Share that was late by a pause alone.
    worst_in_time : float
        Share in time of the worst two seconds.
    first_event_s : float
        Median time to a first event since the first sending, in seconds.
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
    """Return the measures by kind of request; ``all`` holds those of all."""
    kinds = sorted({outcome.kind.name for outcome in outcomes})
    by_kind = {
        kind: _measures([each for each in outcomes if each.kind.name == kind])
        for kind in kinds
    }
    return {"all": _measures(outcomes), **by_kind}


def _measures(outcomes: Sequence[Outcome]) -> Measures:
    whole = [each for each in outcomes if each.is_complete]
    in_time = [each for each in whole if each.is_in_time]
    paused = [
        each
        for each in whole
        if not each.is_in_time and each.first_event_s <= each.kind.objective_s
    ]
    refused = [
        each for each in outcomes if not each.is_complete and each.first_event_s is None
    ]
    count = max(1, len(outcomes))
    return Measures(
        requests=len(outcomes),
        in_time=len(in_time) / count,
        late=(len(whole) - len(in_time)) / count,
        paused=len(paused) / count,
        refused=len(refused) / count,
        refused_again=sum(each.refusals > 1 for each in outcomes) / count,
        broken=(len(outcomes) - len(whole) - len(refused)) / count,
        worst_in_time=_worst(outcomes),
        first_event_s=(
            float(np.median([each.first_event_s for each in whole])) if whole else 0.0
        ),
    )


def _worst(outcomes: Sequence[Outcome]) -> float:
    shares = []
    spans = {int(each.sent_at // WINDOW_S) for each in outcomes}
    for span in spans:
        of_span = [each for each in outcomes if int(each.sent_at // WINDOW_S) == span]
        shares.append(sum(each.is_in_time for each in of_span) / len(of_span))
    return min(shares, default=1.0)
