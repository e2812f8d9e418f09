"""Routers that receive the reports of a monitor, and when the next one is due."""

from dataclasses import dataclass

from berylwalk.monitor._messages import Reading, ReportMessage, Subscription

Address = tuple[str, int]

MAX_SUBSCRIBERS = 1024
"""Bound of the subscribers; further ones are refused until others have expired."""
MAX_TTL_S = 30.0
"""Upper bound of the time to live of a subscription, in seconds."""
UNCHANGED_INTERVAL_S = 0.1
"""Longest interval between reports while nothing changes, in seconds: routers use a
report for a little longer than that."""
PHASE_STEP = 0.618
"""Share of the interval by which reports to one more subscriber are shifted: routers
that all see the same free place at the same moment would all take it."""
TIMER_TOLERANCE_S = 0.005
"""How much earlier a report may be sent, in seconds, so that it need not wait for the
next reading."""


@dataclass(slots=True)
class Subscriber:
    """A router that receives reports.

    Parameters
    ----------
    subscription : Subscription
        Its last subscription.
    received_at : float
        Time at which that arrived on the clock of the monitor, in seconds.
    last_sent_at : float
        Time of the last report, in seconds; before the first one, the time after which
        that is due in an interval.
    last_reading : Reading or None
        The last one sent.
    """

    subscription: Subscription
    received_at: float
    last_sent_at: float
    last_reading: Reading | None = None
    has_report: bool = False

    def is_expired(self, now: float) -> bool:
        """Return whether no more reports are wanted."""
        ttl_s = min(self.subscription.ttl_s, MAX_TTL_S)
        return now - self.received_at >= ttl_s

    def is_due(self, reading: Reading | None, now: float) -> bool:
        """Return whether a reading is to be sent now."""
        interval_s = self.subscription.interval_s
        if self.has_report and reading == self.last_reading:
            interval_s = max(interval_s, UNCHANGED_INTERVAL_S)
        return now - self.last_sent_at >= interval_s - TIMER_TOLERANCE_S


class Subscribers:
    """Subscribers by address.

    Parameters
    ----------
    target : str
        Address of the target, as ``host:port``.
    life : str
        Identifies the process of the monitor.

    Attributes
    ----------
    target_ends : int
        How often the target was found to be gone.
    """

    def __init__(self, target: str, *, life: str) -> None:
        self.target_ends = 0
        self._target = target
        self._life = life
        self._by_address: dict[Address, Subscriber] = {}

    def __len__(self) -> int:
        return len(self._by_address)

    def subscribe(
        self, address: Address, subscription: Subscription, now: float
    ) -> bool:
        """Add or renew a subscription; returns False if there are too many."""
        known = self._by_address.get(address)
        if known is not None:
            known.subscription, known.received_at = subscription, now
            return True
        if len(self._by_address) >= MAX_SUBSCRIBERS:
            return False
        phase = len(self._by_address) * PHASE_STEP % 1.0
        self._by_address[address] = Subscriber(
            subscription, now, last_sent_at=now - phase * subscription.interval_s
        )
        return True

    def expire(self, now: float) -> list[str]:
        """Remove expired subscriptions; returns the names of the routers."""
        expired = [
            (address, subscriber.subscription.name)
            for address, subscriber in self._by_address.items()
            if subscriber.is_expired(now)
        ]
        for address, _ in expired:
            del self._by_address[address]
        return [name for _, name in expired]

    def take_due(
        self, reading: Reading | None, observed_at: float, now: float
    ) -> list[tuple[Address, ReportMessage]]:
        """Return the reports that are due, which count as sent.

        Parameters
        ----------
        reading : Reading or None
            State of the target; None if it doesn't tell it.
        observed_at, now : float
            Time of the reading and current time on the clock of the monitor, in
            seconds.
        """
        due = []
        for address, subscriber in self._by_address.items():
            if not subscriber.is_due(reading, now):
                continue
            subscriber.last_sent_at, subscriber.last_reading = now, reading
            subscriber.has_report = True
            message = ReportMessage(
                self._target,
                subscriber.subscription.sent_at,
                observed_at - subscriber.received_at,
                reading,
                self._life,
                self.target_ends,
            )
            due.append((address, message))
        return due
