"""When blamed requests and prompt parts may be sent once more."""

from dataclasses import dataclass

from berylwalk.quarantine._identity import Identity, is_part

TRIAL_DELAYS_S = (60.0, 600.0)
"""Time from the blame to the first trial, and from there to the second, in seconds."""
CONTESTED_TRIAL_DELAY_S = 0.3
"""Time to the first trial of a contested request, in seconds: it is likely to be
harmless and its caller still waits, but routers must have exchanged their crashes."""
PART_TRIAL_DELAYS_S = (CONTESTED_TRIAL_DELAY_S, 60.0, 600.0)
"""Time to each trial of a prompt part if the previous one crashed its target, in
seconds. The first one is early, as it clears a harmless part."""
INCONCLUSIVE_TRIAL_DELAY_S = 5.0
"""Time to the next trial of a part if the target of the previous one neither crashed
nor began to respond, in seconds."""


@dataclass(slots=True)
class Blame:
    """State of a blamed request.

    Attributes
    ----------
    since : float
        When it was blamed, in seconds.
    trials : int
        Trials known to have been granted.
    next_trial_at : float or None
        When the next trial may be granted; None if there is none left.
    trial_at : float
        When the last trial became known, in seconds.
    crashes_at_trial : int
        Number of crashes that were known when it was granted.
    """

    since: float
    trials: int = 0
    next_trial_at: float | None = None
    trial_at: float = 0.0
    crashes_at_trial: int = 0

    def schedule_trial(
        self, identity: Identity, *, is_contested: bool, crashes: int
    ) -> None:
        """Set the time of the next trial.

        Parameters
        ----------
        identity : bytes
            Which request or part is blamed.
        is_contested : bool
            Whether something else may have caused the crashes.
        crashes : int
            Number of crashes that are known by now.
        """
        delays_s = _trial_delays_s(identity)
        if self.trials >= len(delays_s):
            self.next_trial_at = None
        elif not self.trials:
            delay_s = CONTESTED_TRIAL_DELAY_S if is_contested else delays_s[0]
            self.next_trial_at = self.since + delay_s
        elif is_part(identity) and crashes <= self.crashes_at_trial:
            self.next_trial_at = self.trial_at + INCONCLUSIVE_TRIAL_DELAY_S
        else:
            self.next_trial_at = self.trial_at + delays_s[self.trials]


def max_trials(identity: Identity) -> int:
    """Return how many trials a blamed request or part gets in all."""
    return len(_trial_delays_s(identity))


def _trial_delays_s(identity: Identity) -> tuple[float, ...]:
    return PART_TRIAL_DELAYS_S if is_part(identity) else TRIAL_DELAYS_S
