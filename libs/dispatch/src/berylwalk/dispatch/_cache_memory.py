"""What the requests at a target will hold in its KV cache.

Answers a load whose prompts and outputs fill the memory of model engines: an engine
that runs out of memory preempts its newest request and reads it again, or crashes,
depending on the deployment.

A request grows until its output is complete, so that it counts from the start with its
prompt and its maximum output.
"""

from dataclasses import dataclass, field
from math import sqrt

from berylwalk.dispatch._target_entries import Work
from berylwalk.dispatch._target_report import TargetReport

USABLE_SHARE = 1.0
"""Share of the capacity that requests may use."""
NEARLY_FULL_SHARE = 0.9
"""Share of the capacity from which a crash is put down to the memory of the target."""
EXPLAINS_CRASH_S = 1.0
"""Time after which a nearly full cache no longer explains a crash, in seconds: all
routers have seen a crash by then."""
REPORT_TTL_S = 0.5
"""Age up to which the memory that a monitor reports is used, in seconds."""
SIZE_WEIGHT = 0.05
"""Weight of one request in the moving averages of sizes: about twenty count."""
BOUND_DEVIATIONS = 3.0
"""Standard deviations by which the requests of other routers may exceed their expected
size without a crash."""


@dataclass(frozen=True, slots=True)
class CacheLoad:
    """Use of a target's KV cache when all its outputs are complete, in tokens.

    Parameters
    ----------
    expected_tokens : float
        Expected use.
    bound_tokens : float
        Use that is rarely exceeded.
    capacity_tokens : float
        Usable capacity.
    """

    expected_tokens: float
    bound_tokens: float
    capacity_tokens: float

    @property
    def excess_tokens(self) -> float:
        """Expected use beyond the capacity."""
        return max(0.0, self.expected_tokens - self.capacity_tokens)

    @property
    def fits(self) -> bool:
        """Whether the capacity is not expected to be exceeded."""
        return self.bound_tokens <= self.capacity_tokens

    @property
    def is_nearly_full(self) -> bool:
        """Whether a crash may be due to the use of the cache."""
        return self.expected_tokens >= NEARLY_FULL_SHARE * self.capacity_tokens


@dataclass(slots=True)
class ServiceCache:
    """Capacity of the targets of one service, and sizes of its requests.

    Attributes
    ----------
    capacity_tokens : int
        Capacity of the KV cache of each target; 0 for no bound.
    crashes_when_full : bool
        Whether a target crashes when its capacity is exceeded.
    mean_tokens : float or None
        Moving average of the size of own requests; None before the first.
    variance, deviation_tokens : float
        Moving variance of the size, and its square root.
    """

    capacity_tokens: int = 0
    crashes_when_full: bool = False
    mean_tokens: float | None = None
    variance: float = 0.0
    deviation_tokens: float = 0.0

    def note_size(self, tokens: int) -> None:
        """Add the size of an own request."""
        if self.mean_tokens is None:
            self.mean_tokens = float(tokens)
            return
        difference = tokens - self.mean_tokens
        self.mean_tokens += SIZE_WEIGHT * difference
        self.variance += SIZE_WEIGHT * (
            (1 - SIZE_WEIGHT) * difference**2 - self.variance
        )
        self.deviation_tokens = sqrt(self.variance)


@dataclass(slots=True)
class CacheMemory:
    """Use of the KV cache of one target.

    Attributes
    ----------
    service : ServiceCache
        Shared by all targets of the service.
    own_tokens : int
        What requests of this router will hold, without shared prefixes.
    """

    service: ServiceCache = field(default_factory=ServiceCache)
    own_tokens: int = 0
    _own_by_prefix: dict[tuple[int, int], int] = field(default_factory=dict)
    _nearly_full_at: float = float("-inf")

    def note_sent(self, work: Work) -> None:
        """Add a request of this router."""
        self.own_tokens += work.max_tokens
        self._count_prefix(work, 1)
        self.service.note_size(work.max_tokens)

    def note_finished(self, work: Work) -> None:
        """Remove a request of this router."""
        self.own_tokens -= work.max_tokens
        self._count_prefix(work, -1)

    def load(
        self,
        work: Work | None,
        *,
        peer_in_flight: int,
        report: TargetReport | None,
        now: float,
    ) -> CacheLoad | None:
        """Return the use of the cache, with one more request if given.

        Parameters
        ----------
        work : Work or None
            Request that may be sent.
        peer_in_flight : int
            Requests of other routers at the target.
        report : TargetReport or None
            Last report of the monitor of the target.
        now : float
            Current time in seconds.

        Returns
        -------
        CacheLoad or None
            None if the capacity is unknown.
        """
        service = self.service
        if not service.capacity_tokens:
            return None
        new_tokens = 0 if work is None else work.max_tokens
        typical_tokens = service.mean_tokens
        if typical_tokens is None:
            typical_tokens = float(new_tokens)
        peer_tokens = peer_in_flight * typical_tokens
        deviation_tokens = BOUND_DEVIATIONS * service.deviation_tokens
        spread_tokens = deviation_tokens * sqrt(peer_in_flight)
        # Another router may send a request at this moment.
        reserved_tokens = typical_tokens + deviation_tokens
        reported_tokens, capacity_tokens = 0.0, float(service.capacity_tokens)
        if report is not None and now - report.observed_at <= REPORT_TTL_S:
            reported_tokens = max(0.0, report.cache_used - self.own_tokens)
            if report.cache_total:
                capacity_tokens = min(capacity_tokens, report.cache_total)
        own_tokens = self.own_tokens + new_tokens
        return CacheLoad(
            own_tokens - self._saved_tokens(work) + max(peer_tokens, reported_tokens),
            own_tokens
            + max(peer_tokens + spread_tokens, reported_tokens)
            + reserved_tokens,
            USABLE_SHARE * capacity_tokens,
        )

    def note_load(self, load: CacheLoad | None, now: float) -> None:
        """Record the use of the cache, which may explain a crash."""
        if load is not None and load.is_nearly_full:
            self._nearly_full_at = now

    def explains_crash(self, now: float) -> bool:
        """Return whether a crash now may be due to the use of the cache."""
        was_nearly_full = now - self._nearly_full_at <= EXPLAINS_CRASH_S
        return self.service.crashes_when_full and was_nearly_full

    def _count_prefix(self, work: Work, change: int) -> None:
        prefix = work.shared_prefix
        if prefix is None:
            return
        key = (prefix.key, prefix.tokens)
        count = self._own_by_prefix.get(key, 0) + change
        if count > 0:
            self._own_by_prefix[key] = count
        else:
            self._own_by_prefix.pop(key, None)

    def _saved_tokens(self, work: Work | None) -> int:
        """Return the tokens of prefixes that several own requests share."""
        saved_tokens = sum(
            (count - 1) * tokens for (_, tokens), count in self._own_by_prefix.items()
        )
        if work is not None and work.shared_prefix is not None:
            prefix = work.shared_prefix
            if (prefix.key, prefix.tokens) in self._own_by_prefix:
                saved_tokens += prefix.tokens
        return saved_tokens
