"""Retry budget of a fleet of routers."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

USED_SHARE = 0.9
"""Share of the bound that is used; the rest covers retries that routers make before
they learn of each other's."""
USED_SHARE_OF_UNKNOWN = 0.75
"""Share that is used while the window before the start is unknown; the rest covers also
what earlier processes did not tell."""
BIN_S = 0.5
"""Resolution of the counts, in seconds."""
RECENT_S = 2.0
"""How long the times of this router's own retries are kept: longer than a router that
is not heard counts as alive."""
FORGET_TOTALS_S = 60.0
"""Time without a message after which the totals of a router process are dropped."""

RetryTotals = dict[str, tuple[int, int | None]]
"""Retries and requests of one router process since its start, by service; None instead
of the requests while the service has no recent retries."""

RetryHistory = dict[str, list[tuple[float, float]]]
"""Retries and requests of all routers in each `BIN_S` of the window, by service, latest
first."""


@dataclass(slots=True)
class _Bin:
    """Counts of one period that begins at ``since``."""

    since: float
    retries: float = 0.0
    requests: float = 0.0


@dataclass(slots=True)
class _ServiceCounts:
    """Counts of one service over all routers, and this router's own totals."""

    bins: deque[_Bin] = field(default_factory=deque)
    own_retries: int = 0
    own_requests: int = 0
    own_retried_at: deque[float] = field(default_factory=deque)

    def add(self, now: float, *, retries: float = 0.0, requests: float = 0.0) -> None:
        if not retries and not requests:
            return
        if not self.bins or now - self.bins[-1].since >= BIN_S:
            self.bins.append(_Bin(now))
        self.bins[-1].retries += retries
        self.bins[-1].requests += requests

    def drop_before(self, time: float) -> None:
        while self.bins and self.bins[0].since < time:
            self.bins.popleft()

    def add_own_retry(self, now: float) -> None:
        self.add(now, retries=1)
        self.own_retries += 1
        self.own_retried_at.append(now)
        while now - self.own_retried_at[0] > RECENT_S:
            self.own_retried_at.popleft()

    def own_retries_since(self, time: float) -> int:
        return sum(retried_at >= time for retried_at in self.own_retried_at)


@dataclass(slots=True)
class _PeerTotals:
    """What a router process told last, and when."""

    heard_at: float
    retries_by_service: dict[str, int] = field(default_factory=dict)
    requests_by_service: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RetryBudgetState:
    """Inputs of the decision on one retry.

    Parameters
    ----------
    requests, retries : float
        Requests and retries of the service in the window, by all routers that are
        heard.
    left : float
        Retries that are allowed now.
    share : float
        Share of the fixed allowance that the routers that hear each other may spend.
    is_complete : bool
        Whether the routers and the retries of the whole window are known.
    """

    requests: float
    retries: float
    left: float
    share: float
    is_complete: bool


class WindowedRetryBudget:
    """Limits the retries of all routers to a share of the requests of each service.

    In no span of time up to the window, retries may exceed the share of the requests
    of that span by more than the fixed allowance. Routers tell each other their totals.
    A process that does not know the retries of the window before its start, or how many
    routers there are, uses no fixed allowance: others may have spent it. The bound then
    holds over any sequence of restarts, because each process adds a share of its own
    requests only.

    Routers that are not heard keep their share of the fixed allowance, since they may
    still retry behind a network partition. Since the time up to which all others have
    been heard, a router uses no more than an equal part of what is left, since the
    others may do the same.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed per window, over all routers.
    window_s : float
        Length of the window, in seconds.
    started_at : float
        Start time of this router, in seconds.
    is_first_start : bool
        Whether the whole system starts for the first time, so that there are no
        earlier processes.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        started_at: float,
        is_first_start: bool = False,
    ) -> None:
        self._ratio = ratio * USED_SHARE
        self._slack = slack * USED_SHARE
        self._window_s = window_s
        self._started_at = started_at
        self._knows_earlier = is_first_start
        self._knows_routers = False
        self._alive = 1
        self._all_heard_until = started_at
        # Times from which numbers of known routers applied, largest number first.
        self._known_counts: deque[tuple[float, int]] = deque()
        self._counts_by_service: dict[str, _ServiceCounts] = {}
        self._totals_by_incarnation: dict[str, _PeerTotals] = {}

    def set_routers(
        self, alive: int, known: int, now: float, *, all_heard_until: float
    ) -> None:
        """Set which routers are heard.

        A router that is no longer listed counts for one more window: it may have
        retried until then.

        Parameters
        ----------
        alive, known : int
            Routers that are heard and that are known, including this one.
        now : float
            Current time in seconds.
        all_heard_until : float
            Time of the oldest last message of the routers that are heard, in seconds.
        """
        self._alive = max(1, alive)
        self._all_heard_until = all_heard_until
        self._record_known(known, now)

    def note_listed(self, known: int, now: float) -> None:
        """Set the number of routers as the store lists them, including this one."""
        self._knows_routers = True
        self._record_known(known, now)

    def _record_known(self, known: int, now: float) -> None:
        counts = self._known_counts
        while counts and counts[-1][1] < known:
            counts.pop()
        if not counts or counts[-1][1] > known:
            counts.append((now, known))
        while len(counts) > 1 and counts[1][0] <= now - self._window_s:
            counts.popleft()

    def record_request(self, service: str, now: float) -> None:
        """Count a request of this router, before its first attempt."""
        counts = self._counts(service)
        counts.add(now, requests=1)
        counts.own_requests += 1

    def state(self, service: str, now: float) -> RetryBudgetState:
        """Return the inputs of a decision that is made now."""
        bins = self._counts(service).bins
        self._counts(service).drop_before(now - self._window_s - BIN_S)
        is_complete = self.is_complete(now)
        share = self._share()
        left = self._slack * share - max(0.0, self._largest_excess(bins))
        if not is_complete:
            left = min(left, self._earned_since_start(bins))
        return RetryBudgetState(
            requests=sum(each.requests for each in bins),
            retries=sum(each.retries for each in bins),
            left=left,
            share=share,
            is_complete=is_complete,
        )

    def left(self, service: str, now: float) -> float:
        """Return the number of retries that are currently allowed."""
        return self.state(service, now).left

    def may_take(self, service: str, now: float) -> bool:
        """Return whether a retry is left."""
        left = self.left(service, now)
        unheard = self._counts(service).own_retries_since(self._all_heard_until)
        return left >= 1 and unheard <= (left + unheard) / self._alive

    def take(self, service: str, now: float) -> bool:
        """Consume one retry; returns False if none is left."""
        if not self.may_take(service, now):
            return False
        self._counts(service).add_own_retry(now)
        return True

    # Shared with the other routers

    def own_totals(self, now: float) -> RetryTotals:
        """Return this process's totals, without services that it never retried.

        The requests of a service are left out while no router retries it, since its
        budget is not short.
        """
        since = now - self._window_s - BIN_S
        totals: RetryTotals = {}
        for service, counts in self._counts_by_service.items():
            counts.drop_before(since)
            if any(each.retries for each in counts.bins):
                totals[service] = (counts.own_retries, counts.own_requests)
            elif counts.own_retries:
                totals[service] = (counts.own_retries, None)
        return totals

    def record_peer_totals(
        self, incarnation: str, totals: RetryTotals, *, is_new: bool, now: float
    ) -> None:
        """Count what a peer has retried and received since its last message.

        Parameters
        ----------
        incarnation : str
            Incarnation of the peer.
        totals : dict
            Its totals, as returned by `own_totals`.
        is_new : bool
            Whether it started after this router. The retries of an older peer before
            its first message are part of the history.
        now : float
            Current time in seconds.
        """
        known = self._totals_by_incarnation.get(incarnation)
        is_first = known is None
        if known is None:
            self._forget_silent(now)
            known = self._totals_by_incarnation[incarnation] = _PeerTotals(now)
        for service, (retries, requests) in totals.items():
            counted = retries if is_first and not is_new else 0
            counted = known.retries_by_service.get(service, counted)
            new_requests = 0
            if requests is not None:
                # Requests from before the service was told earn no retries here.
                told = known.requests_by_service.get(service, requests)
                new_requests = requests - told
            counts = self._counts(service)
            counts.add(now, retries=retries - counted, requests=new_requests)
            known.retries_by_service[service] = retries
        known.requests_by_service = {
            service: requests
            for service, (_, requests) in totals.items()
            if requests is not None
        }
        known.heard_at = now

    def _forget_silent(self, now: float) -> None:
        """Drop the totals of processes that have ended long ago."""
        self._totals_by_incarnation = {
            incarnation: known
            for incarnation, known in self._totals_by_incarnation.items()
            if now - known.heard_at < FORGET_TOTALS_S
        }

    def known_routers(self) -> int:
        """Return the largest number of routers that were known in the window."""
        return max((count for _, count in self._known_counts), default=1)

    def history(self, now: float) -> RetryHistory | None:
        """Return the counts of the window for routers that start; None if unknown."""
        if not self.is_complete(now):
            return None
        return {
            service: self._binned(counts.bins, now)
            for service, counts in self._counts_by_service.items()
            if any(each.retries for each in counts.bins)
        }

    def restore(self, history: RetryHistory, now: float, *, known: int) -> None:
        """Add the counts of the window before the start.

        Parameters
        ----------
        history : dict
            As returned by `history`; taken as of now.
        known : int
            Routers that the sender knows, including itself.
        now : float
            Current time in seconds.
        """
        if self.is_complete(now):
            return
        self._knows_earlier = self._knows_routers = True
        self._record_known(known, now)
        for service, pairs in history.items():
            bins = self._counts(service).bins
            for number, (retries, requests) in enumerate(pairs):
                since = now - BIN_S * (number + 1)
                if since >= self._started_at:
                    # This process has counted the requests since its start itself.
                    requests = 0.0
                bins.appendleft(_Bin(min(since, self._started_at), retries, requests))

    def is_complete(self, now: float) -> bool:
        """Return whether the routers and the retries of the whole window are known."""
        age_s = now - self._started_at
        knows_window = self._knows_earlier or age_s >= self._window_s + BIN_S
        return self._knows_routers and knows_window

    def _share(self) -> float:
        return min(1.0, self._alive / max(1, self.known_routers()))

    def _largest_excess(self, bins: Iterable[_Bin]) -> float:
        """Return the largest excess over all spans that end now."""
        largest = excess = 0.0
        for each in reversed(list(bins)):
            excess += each.retries - self._ratio * each.requests
            largest = max(largest, excess)
        return largest

    def _earned_since_start(self, bins: Iterable[_Bin]) -> float:
        """Return what the requests since the start allow beyond the retries since."""
        ratio = self._ratio * USED_SHARE_OF_UNKNOWN / USED_SHARE
        return sum(
            ratio * each.requests - each.retries
            for each in bins
            if each.since >= self._started_at
        )

    def _binned(self, bins: Iterable[_Bin], now: float) -> list[tuple[float, float]]:
        pairs = [(0.0, 0.0)] * (int(self._window_s / BIN_S) + 1)
        for each in bins:
            number = int((now - each.since) / BIN_S)
            if 0 <= number < len(pairs):
                retries, requests = pairs[number]
                pairs[number] = (retries + each.retries, requests + each.requests)
        return pairs

    def _counts(self, service: str) -> _ServiceCounts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = _ServiceCounts()
        return counts
