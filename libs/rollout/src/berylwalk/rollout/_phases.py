"""Transitions between the phases of a roll-out."""

from dataclasses import dataclass

from berylwalk.rollout._records import Phase
from berylwalk.rollout._verdict import Verdict

MIN_DRAIN_SHARE = 0.25
MAX_DRAIN_SHARE = 0.5
"""Bounds of the part of the period that is reserved for the ramp, the shift and the
drain of the old version: after the shift the exposure is no longer bounded."""
MIN_RAMP_S = 2.2
"""Minimum duration of the ramp, in seconds: tests the new version under load."""
COMPLETION_MARGIN_S = 1.0
"""Time before the end of the period from which the completion no longer waits for
routers that are not alive, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PhaseInputs:
    """Inputs of the decision on the next phase.

    Parameters
    ----------
    phase : Phase
        The current phase.
    age_s : float
        Time since the order, in seconds.
    period_s : float
        Time within which the roll-out has to be completed, in seconds.
    verdict : Verdict
        Result of the test of the new version.
    phase_for_s : float
        Time for which the phase has been known, in seconds.
    longest_answer_s : float
        Longest observed duration of an answer of the old version, in seconds.
    is_rejected : bool
        Whether some router has rejected the version.
    all_drained : bool
        Whether no router that is alive sends to the old version or has requests there.
    all_peers_alive : bool
        Whether all listed routers are alive.
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
    """Return the time from the order to the start of the ramp, in seconds.

    Parameters
    ----------
    period_s : float
        Time within which the roll-out has to be completed, in seconds.
    longest_answer_s : float
        Longest observed duration of an answer of the old version, in seconds.
    """
    drain_s = MIN_RAMP_S + COMPLETION_MARGIN_S + longest_answer_s
    min_s, max_s = MIN_DRAIN_SHARE * period_s, MAX_DRAIN_SHARE * period_s
    return period_s - min(max(drain_s, min_s), max_s)


def next_phase(inputs: PhaseInputs) -> tuple[Phase, str] | None:
    """Return the next phase and the reason for it; None to stay in the current one."""
    if inputs.phase.is_final:
        return None
    if inputs.verdict.is_bad:
        return Phase.REVERTED, str(inputs.verdict)
    if inputs.is_rejected:
        return Phase.REVERTED, "judged bad by another router"
    if inputs.phase is Phase.CANARY:
        return _after_canary(inputs)
    if inputs.phase is Phase.RAMP:
        return _after_ramp(inputs)
    is_late = inputs.age_s >= inputs.period_s - COMPLETION_MARGIN_S
    if inputs.all_drained and (inputs.all_peers_alive or is_late):
        return Phase.COMPLETED, "all routers have left the old version"
    return None


def _after_canary(inputs: PhaseInputs) -> tuple[Phase, str] | None:
    if inputs.age_s >= inputs.period_s:
        return Phase.REVERTED, f"out of time: {inputs.verdict}"
    start_s = ramp_start_s(inputs.period_s, inputs.longest_answer_s)
    if inputs.age_s >= start_s and inputs.verdict.has_enough_answers:
        return Phase.RAMP, str(inputs.verdict)
    return None


def _after_ramp(inputs: PhaseInputs) -> tuple[Phase, str] | None:
    if inputs.age_s >= inputs.period_s:
        return Phase.REVERTED, f"out of time: {inputs.verdict}"
    if inputs.phase_for_s >= MIN_RAMP_S and inputs.verdict.is_clearly_good:
        return Phase.SHIFTING, str(inputs.verdict)
    return None
