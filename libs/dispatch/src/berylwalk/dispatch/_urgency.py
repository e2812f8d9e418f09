"""What decides how much of a target a request may fill."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Urgency:
    """Urgency of a request relative to the others of its service.

    Routers see their own queues only. What a request may fill of a target depends on
    its urgency, so that more urgent requests of other routers find capacity there.

    Parameters
    ----------
    is_most_urgent : bool
        Whether no request of a higher rank has been sent to the service lately.
    is_late : bool
        Whether the response can't start in time any more.
    is_over_share : bool
        Whether the account has had clearly more of the service than others lately.
    """

    is_most_urgent: bool = True
    is_late: bool = False
    is_over_share: bool = False


MOST_URGENT = Urgency()
"""Urgency of a request that may fill as much as any."""
