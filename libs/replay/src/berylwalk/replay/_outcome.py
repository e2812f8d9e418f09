"""Result of one replayed request."""

from dataclasses import dataclass

from berylwalk.dispatch import Work
from berylwalk.replay._scenario import RequestKind


@dataclass(slots=True, eq=False)
class Outcome:
    """A request and its result.

    Attributes
    ----------
    sent_at : float
        Virtual time of the first send, in seconds.
    first_event_s : float or None
        Time from the first send to the first event, in seconds.
    longest_pause_s : float
        Longest time between two events, in seconds.
    last_event_at : float
        Virtual time of the last event, in seconds.
    waited_s : float
        Total time in request queues of routers, in seconds.
    refusals : int
        Number of refusals.
    engine : int or None
        Index of the engine that sent the first event.
    is_complete : bool
        Whether the whole response was received.
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
    def identity(self) -> bytes:
        """Digest that the request shares with its repetitions."""
        return id(self).to_bytes(8, "big")

    @property
    def is_in_time(self) -> bool:
        """Whether the response is complete and met both latency objectives."""
        return (
            self.is_complete
            and self.first_event_s <= self.kind.objective_s
            and self.longest_pause_s <= self.kind.longest_pause_s
        )
