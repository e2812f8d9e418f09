"""Assignment of requests to targets, with queueing."""

from collections.abc import Callable, Collection, Sequence
from random import random
from statistics import median

from berylwalk.dispatch._account_usage import AccountUsage
from berylwalk.dispatch._concurrency_limits import ineligibility_reason_for
from berylwalk.dispatch._placement import (
    RELAYED_REMOTE_FACTOR,
    REMOTE_FACTOR,
    PlacementRequest,
    choose_target,
    idle_starts_s,
    mean_token_s,
    targets_too_late,
)
from berylwalk.dispatch._prefix_cache_index import PrefixCacheIndex
from berylwalk.dispatch._request_queue import PendingRequest, RequestQueue
from berylwalk.dispatch._target import Target
from berylwalk.dispatch._target_entries import (
    IneligibilityReason,
    TargetState,
    Work,
)
from berylwalk.dispatch._target_table import TargetTable
from berylwalk.dispatch._urgency import Urgency
from berylwalk.rollout import ExposureRules, Rollouts

RANK_RESERVATION_S = 5.0
"""Time after the last request of a rank during which capacity stays reserved for it, in
seconds."""

LOWEST_DRAW = 0.0
HIGHEST_DRAW = 1.0 - 1e-9
"""Draws of requests that go to the newer and to the older version in a roll-out."""


class Dispatcher:
    """Assigns requests to targets, or queues them while no target is free.

    Parameters
    ----------
    targets : TargetTable
        Known targets.
    failure_domain : str
        Failure domain of this router.
    draw : callable
        Returns a random number in [0, 1).
    rollouts : Rollouts or None
        Restricts which requests may go to which version of a service; no
        restrictions if omitted.
    account_usage : AccountUsage or None
        How much of each service the accounts have used lately; all alike if omitted.

    Attributes
    ----------
    prefix_cache_index : PrefixCacheIndex
        Shared prompt prefixes cached by targets.
    """

    def __init__(
        self,
        targets: TargetTable,
        *,
        failure_domain: str,
        draw: Callable[[], float] = random,
        rollouts: Rollouts | None = None,
        account_usage: AccountUsage | None = None,
    ) -> None:
        self.prefix_cache_index = PrefixCacheIndex()
        self._rollouts = rollouts or Rollouts(ExposureRules())
        self._account_usage = account_usage or AccountUsage()
        self._targets = targets
        self._failure_domain = failure_domain
        self._draw = draw
        self._queues_by_service: dict[str, RequestQueue] = {}
        self._remote_factor = REMOTE_FACTOR
        self._ranks_by_service: dict[str, dict[tuple[int, int], float]] = {}

    def set_relayed(self, is_relayed: bool) -> None:
        """Set whether loads of other failure domains arrive through relays."""
        self._remote_factor = RELAYED_REMOTE_FACTOR if is_relayed else REMOTE_FACTOR

    def queue_length(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        queue = self._queues_by_service.get(service)
        return 0 if queue is None else len(queue)

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of queued requests by service."""
        return {name: len(queue) for name, queue in self._queues_by_service.items()}

    def submit(self, pending: PendingRequest, now: float) -> Target | None:
        """Return a target, or queue the request and return None.

        The caller must count the request with `Target.note_sent` before it yields to
        the event loop.
        """
        queue = self._queues_by_service.get(pending.service)
        if queue is None:
            queue = self._queues_by_service[pending.service] = RequestQueue()
        self._ranks_by_service.setdefault(pending.service, {})[pending.rank] = now
        self._targets.expire_reports(now)
        if queue.has_before(pending, now, self._usage_of(pending.service, now)):
            # Targets that stay free are of no use to the requests before this one.
            self.dispatch_queued(pending.service, now)
        target = self._choose(pending, now)
        if target is not None:
            return target
        queue.add(pending)
        return None

    def cancel(self, pending: PendingRequest) -> bool:
        """Remove a queued request; returns False if it is not queued."""
        queue = self._queues_by_service.get(pending.service)
        return queue is not None and queue.remove(pending)

    def dispatch_queued(self, service: str, now: float) -> None:
        """Assign queued requests of a service to free targets."""
        queue = self._queues_by_service.get(service)
        self._targets.expire_reports(now)
        if not queue or not self._has_any_free_target(service, now):
            return
        full_for: set[tuple[Urgency, str | None, bool]] = set()
        may_use_any = not self._rollouts.restricts(service)
        for pending in queue.in_order(now, self._usage_of(service, now)):
            urgency = self._urgency(pending, now)
            # Requests behind it that may use other versions can have free targets.
            need = (urgency, pending.stream_version, pending.is_resumable)
            if need in full_for:
                continue
            if not self._has_free_target(pending, urgency, now):
                if may_use_any:
                    full_for.add(need)
                continue
            target = self._choose(pending, now)
            if target is None:
                # Requests behind it may have a later start deadline.
                continue
            queue.remove(pending)
            pending.on_placed(target)

    def _usage_of(self, service: str, now: float) -> Callable[[str | None], float]:
        return lambda account: self._account_usage.usage(service, account, now)

    def _has_any_free_target(self, service: str, now: float) -> bool:
        return any(
            ineligibility_reason_for(target, (), now) is None
            for target in self._targets.of_service(service)
        )

    def _has_free_target(
        self, pending: PendingRequest, urgency: Urgency, now: float
    ) -> bool:
        return any(
            ineligibility_reason_for(target, (), now, urgency) is None
            for target in self._candidates(pending, now)
        )

    def idle_start_s(self, service: str, work: Work, now: float) -> float:
        """Return the typical time to a first event at idle targets, in seconds.

        Parameters
        ----------
        service : str
            Service that receives the request.
        work : Work
            Size of the request.
        now : float
            Current time in seconds.
        """
        starts_s = idle_starts_s(self._targets.of_service(service), work, now)
        return median(starts_s) if starts_s else 0.0

    def idle_run_s(self, service: str, work: Work, now: float) -> float:
        """Return the typical time to the last token at idle targets, in seconds.

        Parameters are those of `idle_start_s`.
        """
        token_s = mean_token_s(self._targets.of_service(service))
        return self.idle_start_s(service, work, now) + work.output_tokens * token_s

    def _candidates(self, pending: PendingRequest, now: float) -> Sequence[Target]:
        """Return the targets whose version the request may use."""
        service, rollouts = pending.service, self._rollouts
        targets = self._targets.of_service(service)
        if pending.is_resumable and pending.stream_version is None:
            targets = self._of_stored_versions(service, targets, now)
        if pending.stream_version is not None:
            return [
                target
                for target in targets
                if target.entry.version == pending.stream_version
                and self._serves_any(service, target.entry.version, now)
            ]
        if not rollouts.restricts(service):
            return targets
        return [
            target
            for target in targets
            if rollouts.allows(service, target.entry.version, pending.version_draw, now)
        ]

    def _of_stored_versions(
        self, service: str, targets: Sequence[Target], now: float
    ) -> Sequence[Target]:
        """Return the targets whose version is in the stored history.

        All are returned if none of those takes requests: then no stream of the stored
        versions can go on, so that none can be joined. While the history is about to be
        read, none is returned.
        """
        if self._targets.versions.is_awaited(service, now):
            return ()
        missing = self._targets.versions.missing(service)
        if not missing:
            return targets
        stored = self._targets.versions.stored(service)
        if not self._targets.serves_version(service, stored):
            return targets
        return [each for each in targets if each.entry.version not in missing]

    def _serves_any(self, service: str, version: str, now: float) -> bool:
        """Return whether a version may get any requests of its service."""
        rollouts = self._rollouts
        return not rollouts.restricts(service) or any(
            rollouts.allows(service, version, draw, now)
            for draw in (LOWEST_DRAW, HIGHEST_DRAW)
        )

    def _urgency(self, pending: PendingRequest, now: float) -> Urgency:
        return Urgency(
            is_most_urgent=pending.rank <= self._highest_rank(pending, now),
            is_late=now > pending.send_by,
            is_over_share=self._account_usage.is_over_share(
                pending.service, pending.account, now
            ),
        )

    def _highest_rank(self, pending: PendingRequest, now: float) -> tuple[int, int]:
        """Return the highest rank of the recent requests of the service."""
        seen_at_by_rank = self._ranks_by_service.get(pending.service, {})
        recent = (
            rank
            for rank, seen_at in seen_at_by_rank.items()
            if now - seen_at < RANK_RESERVATION_S
        )
        return min(recent, default=pending.rank)

    def dispatch_all_queued(self, now: float) -> None:
        """Assign queued requests of all services to free targets."""
        for service in self._queues_by_service:
            self.dispatch_queued(service, now)

    def ineligibility_reasons(
        self, pending: PendingRequest, now: float
    ) -> dict[str, IneligibilityReason]:
        """Return why targets of the service can't be chosen, by target id."""
        targets = self._candidates(pending, now)
        request = self._request(pending, now)
        too_late = targets_too_late(targets, request, now)
        found = {}
        for target in targets:
            target_id = target.entry.target_id
            ineligibility_reason = ineligibility_reason_for(
                target,
                request.excluded,
                now,
                request.urgency,
                request.work,
            )
            if ineligibility_reason is None and target_id in too_late:
                ineligibility_reason = IneligibilityReason.TOO_LATE
            if ineligibility_reason is not None:
                found[target_id] = ineligibility_reason
        return found

    def available_at(self, pending: PendingRequest, now: float) -> float:
        """Return the earliest time at which a target accepts requests, in seconds.

        This is a time after `now` only if every target has announced a backoff, a rate
        limit or its shutdown. Excluded targets count only if no others exist, since the
        caller may retry at them.
        """
        targets = self._candidates(pending, now)
        untried = [each for each in targets if not _is_tried(each, pending)]
        return min((each.available_at(now) for each in untried or targets), default=now)

    def has_candidate(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a queued request may still be assigned to a target.

        If all targets are excluded, one that accepts requests may soon be replaced by a
        new incarnation. If no target of the version of a stream is left, none is
        expected, unless it is not known yet which version is in service.
        """
        targets = self._candidates(pending, now)
        if not targets:
            is_any_version = pending.stream_version is None
            return is_any_version or self._rollouts.awaits_phase(pending.service, now)
        return any(
            not _is_tried(each, pending) or each.available_at(now) <= now
            for each in targets
        )

    def is_served(self, pending: PendingRequest, now: float) -> bool:
        """Return whether any target that the request may use is in operation."""
        return any(
            each.entry.state is TargetState.READY and not each.is_replaced
            for each in self._candidates(pending, now)
        )

    def choose_among(
        self, pending: PendingRequest, incarnations: Collection[str], now: float
    ) -> Target | None:
        """Return one of the given targets, or None if all are full.

        Queued requests for other targets are not considered.

        Parameters
        ----------
        pending : PendingRequest
            Request to place, to be counted by the caller as after `submit`.
        incarnations : collection of str
            Incarnation ids of the targets.
        now : float
            Current time in seconds.
        """
        self._targets.expire_reports(now)
        targets = self._targets.of_service(pending.service)
        candidates = [
            target for target in targets if target.entry.incarnation_id in incarnations
        ]
        return self._choose_from(candidates, pending, now)

    def _choose(self, pending: PendingRequest, now: float) -> Target | None:
        return self._choose_from(self._candidates(pending, now), pending, now)

    def _choose_from(
        self, targets: Sequence[Target], pending: PendingRequest, now: float
    ) -> Target | None:
        return choose_target(
            targets,
            self._request(pending, now),
            failure_domain=self._failure_domain,
            now=now,
            remote_factor=self._remote_factor,
            draw=self._draw,
        )

    def _request(self, pending: PendingRequest, now: float) -> PlacementRequest:
        return PlacementRequest(
            work=pending.work,
            excluded=pending.excluded,
            cached_tokens=self.prefix_cache_index.cached_tokens(pending.work),
            urgency=self._urgency(pending, now),
            left_s=pending.deadline - now,
            start_within_s=pending.start_by - now,
            longest_pause_s=pending.longest_pause_s,
            isolation_key=pending.isolation_key,
        )


def _is_tried(target: Target, pending: PendingRequest) -> bool:
    return target.entry.incarnation_id in pending.excluded
