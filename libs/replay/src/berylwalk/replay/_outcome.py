"""What became of one replayed request."""

from dataclasses import dataclass

from berylwalk.dispatch import Work
from berylwalk.replay._scenario import RequestKind


@dataclass(slots=True, eq=False)
class Outcome:
    """One request and what became of it.

    Attributes
    ----------
    sent_at : float
        When the caller first sent it, in seconds.
    first_event_s, longest_pause_s : float or None, float
        Since the first sending, and between events, in seconds.
    waited_s : float
        Time in the lines of routers, in seconds.
    refusals : int
        Times that it was refused.
    engine : int or None
        Number of the engine that brought the first event.
    is_complete : bool
        Whether the answer came to its end.
    """

    kind: RequestKind
    sent_at: float
    work: Work
    first_event_s: float | None = None
    longest_pause_s: float = 0.0
    last_event_at: float = 0.0
    waited_s: float = 0.0
    refusals: int = 0
    engine: int | None = None
    is_complete: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether it was served as its objective asks."""
        return (
            self.is_complete
            and self.first_event_s <= self.kind.objective_s
            and self.longest_pause_s <= self.kind.longest_pause_s
        )
