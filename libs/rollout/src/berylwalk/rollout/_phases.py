"""When a roll-out goes on to its next phase, and by what."""

from dataclasses import dataclass

from berylwalk.rollout._judgement import Verdict
from berylwalk.rollout._records import Phase

LEAST_DRAIN_SHARE = 0.25
MOST_DRAIN_SHARE = 0.5
"""Bounds of the part of the period that is kept for the shift and for answers of the
old version to end: what turns bad after the shift can't be kept to its share."""
RAMP_S = 2.2
"""Least time for which many requests go to a part of the new targets, as far as the
bound of the whole period allows: a last look under load, and the answers to it."""
GIVEN_UP_S = 1.0
"""Time before the end of the period from which routers that are not heard aren't waited
for."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PhaseInputs:
    """What decides on the next phase.

    Parameters
    ----------
    phase : Phase
        The present one.
    age_s : float
        Time since the order, in seconds.
    period_s : float
        Time within which it is to be done, in seconds.
    verdict : Verdict
        What is thought of the new version.
    phase_for_s : float
        Time for which the phase has been known, in seconds.
    longest_answer_s : float
        Longest answer of the old version that was seen, in seconds.
    has_been_stopped : bool
        Whether some router has judged it bad.
    all_have_left : bool
        Whether no router that is heard sends to the old version or has anything there.
    all_are_heard : bool
        Whether all routers that are listed are heard.
    """

    phase: Phase
    age_s: float
    period_s: float
    verdict: Verdict
    phase_for_s: float = 0.0
    longest_answer_s: float = 0.0
    is_rejected: bool = False
    all_drained: bool = False
    all_peers_alive: bool = True


def ramp_start_s(period_s: float, longest_answer_s: float) -> float:
    """Return the time from the order to the ramp before the shift, in seconds.

    Parameters
    ----------
    period_s : float
        Time within which it is to be done, in seconds.
    longest_answer_s : float
        Longest answer of the old version that was seen, in seconds.
    """
    drain_s = RAMP_S + GIVEN_UP_S + longest_answer_s
    least_s, most_s = LEAST_DRAIN_SHARE * period_s, MOST_DRAIN_SHARE * period_s
    return period_s - min(max(drain_s, least_s), most_s)


def next_phase(situation: PhaseInputs) -> tuple[Phase, str] | None:
    """Return the next phase and why it is entered; None while there is none."""
    if situation.phase.is_final:
        return None
    if situation.verdict.is_bad:
        return Phase.REVERTED, str(situation.verdict)
    if situation.is_rejected:
        return Phase.REVERTED, "judged bad by another router"
    if situation.phase is Phase.CANARY:
        return _after_canary(situation)
    if situation.phase is Phase.RAMP:
        return _after_ramp(situation)
    is_late = situation.age_s >= situation.period_s - GIVEN_UP_S
    if situation.all_drained and (situation.all_peers_alive or is_late):
        return Phase.COMPLETED, "all routers have left the old version"
    return None


def _after_canary(situation: PhaseInputs) -> tuple[Phase, str] | None:
    if situation.age_s >= situation.period_s:
        return Phase.REVERTED, f"out of time: {situation.verdict}"
    begins_at_s = ramp_start_s(situation.period_s, situation.longest_answer_s)
    if situation.age_s >= begins_at_s and situation.verdict.has_enough_answers:
        return Phase.RAMP, str(situation.verdict)
    return None


def _after_ramp(situation: PhaseInputs) -> tuple[Phase, str] | None:
    if situation.age_s >= situation.period_s:
        return Phase.REVERTED, f"out of time: {situation.verdict}"
    if situation.phase_for_s >= RAMP_S and situation.verdict.is_clearly_good:
        return Phase.SHIFTING, str(situation.verdict)
    return None
