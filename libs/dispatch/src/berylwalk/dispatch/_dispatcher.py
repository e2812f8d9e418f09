"""Gives requests their places at targets."""

from collections.abc import Callable, Collection, Sequence
from random import random

from berylwalk.dispatch._concurrency_limits import ineligibility_reason_for
from berylwalk.dispatch._placement import (
    RELAYED_REMOTE_FACTOR,
    REMOTE_FACTOR,
    PlacementRequest,
    choose_target,
    targets_too_late,
)
from berylwalk.dispatch._prefix_cache_index import PrefixCacheIndex
from berylwalk.dispatch._request_queue import PendingRequest, RequestQueue
from berylwalk.dispatch._target import Target
from berylwalk.dispatch._target_entries import IneligibilityReason
from berylwalk.dispatch._target_table import TargetTable
from berylwalk.rollout import ExposureRules, Rollouts

RANK_SEEN_S = 5.0
"""Time for which places are reserved for a rank after its last request, in seconds."""


class Dispatcher:
    """Places requests at once or keeps them waiting.

    Parameters
    ----------
    targets : TargetTable
        What is known of the targets.
    failure_domain : str
        Where this router runs.
    draw : callable
        Draws from 0 up to 1.
    rollouts : Rollouts or None
        What may go to which version of a service; anything to all if left out.

    Attributes
    ----------
    prefix_reads : PrefixReads
        Which targets have read what prompts share.
    """

    def __init__(
        self,
        targets: TargetTable,
        *,
        failure_domain: str,
        draw: Callable[[], float] = random,
        rollouts: Rollouts | None = None,
    ) -> None:
        self.prefix_cache_index = PrefixCacheIndex()
        self._rollouts = rollouts or Rollouts(ExposureRules())
        self._targets = targets
        self._failure_domain = failure_domain
        self._draw = draw
        self._lines_by_service: dict[str, RequestQueue] = {}
        self._remote_factor = REMOTE_FACTOR
        self._seen_at_by_rank: dict[tuple[str, tuple[int, int]], float] = {}

    def set_relayed(self, is_relayed: bool) -> None:
        """Tell whether loads of other failure domains are heard through relays."""
        self._remote_factor = RELAYED_REMOTE_FACTOR if is_relayed else REMOTE_FACTOR

    def queue_length(self, service: str) -> int:
        """Return how many requests wait for a service."""
        line = self._lines_by_service.get(service)
        return 0 if line is None else len(line)

    def queue_lengths(self) -> dict[str, int]:
        """Return how many requests wait, by service."""
        return {name: len(line) for name, line in self._lines_by_service.items()}

    def submit(self, pending: PendingRequest, now: float) -> Target | None:
        """Return a target, or None if the request has to wait.

        The caller counts the request at the target with `Target.note_sent`
        before it yields.
        """
        line = self._lines_by_service.get(pending.service)
        if line is None:
            line = self._lines_by_service[pending.service] = RequestQueue()
        self._seen_at_by_rank[pending.service, pending.rank] = now
        if not line.waits_before(pending.rank):
            target = self._choose(pending, now)
            if target is not None:
                return target
        line.add(pending)
        return None

    def cancel(self, pending: PendingRequest) -> bool:
        """Take a waiting request out; False if it has got its place."""
        line = self._lines_by_service.get(pending.service)
        return line is not None and line.remove(pending)

    def dispatch_queued(self, service: str, now: float) -> None:
        """Give free places of a service to those that wait."""
        line = self._lines_by_service.get(service)
        if not line:
            return
        for pending in line:
            if not self._has_place(pending, now):
                # Another one may be more urgent or have other targets.
                continue
            target = self._choose(pending, now)
            if target is None:
                # Another one may have more time to begin.
                continue
            line.remove(pending)
            pending.on_placed(target)

    def _has_place(self, pending: PendingRequest, now: float) -> bool:
        is_most_urgent = self._is_most_urgent(pending, now)
        return any(
            ineligibility_reason_for(target, (), now, is_most_urgent=is_most_urgent)
            is None
            for target in self._candidates(pending, now)
        )

    def _candidates(self, pending: PendingRequest, now: float) -> Sequence[Target]:
        """Return the targets of a service whose versions a request may go to."""
        service, rollouts = pending.service, self._rollouts
        targets = self._targets.of_service(service)
        if not rollouts.restricts(service):
            return targets
        return [
            target
            for target in targets
            if rollouts.allows(service, target.entry.version, pending.version_draw, now)
        ]

    def _is_most_urgent(self, pending: PendingRequest, now: float) -> bool:
        """Return whether no higher rank was seen lately at the same service."""
        return not any(
            service == pending.service
            and rank < pending.rank
            and now - seen_at < RANK_SEEN_S
            for (service, rank), seen_at in self._seen_at_by_rank.items()
        )

    def dispatch_all_queued(self, now: float) -> None:
        """Give free places of all services to those that wait."""
        for service in self._lines_by_service:
            self.dispatch_queued(service, now)

    def ineligibility_reasons(
        self, pending: PendingRequest, now: float
    ) -> dict[str, IneligibilityReason]:
        """Return why each target of a service can't be chosen, by target id."""
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
                is_most_urgent=request.is_most_urgent,
            )
            if ineligibility_reason is None and target_id in too_late:
                ineligibility_reason = IneligibilityReason.TOO_LATE
            if ineligibility_reason is not None:
                found[target_id] = ineligibility_reason
        return found

    def available_at(self, pending: PendingRequest, now: float) -> float:
        """Return when the first target takes requests again, in seconds.

        Now, unless each of them has said from when on, or how seldom, it takes any.
        Those that were tried for the request count if there are no others: its caller
        may come back to them.
        """
        targets = self._candidates(pending, now)
        untried = [each for each in targets if not _is_tried(each, pending)]
        return min((each.available_at(now) for each in untried or targets), default=now)

    def has_candidate(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a target is left for a request that waits.

        Where all were tried, one that takes requests may still be replaced soon.
        """
        targets = self._candidates(pending, now)
        return not targets or any(
            not _is_tried(each, pending) or each.available_at(now) <= now
            for each in targets
        )

    def choose_among(
        self, pending: PendingRequest, lives: Collection[str], now: float
    ) -> Target | None:
        """Return one of some targets, whatever waits for others; None if all are full.

        Parameters
        ----------
        ticket : Ticket
            The request; it is counted at the target as after `submit`.
        lives : collection of str
            Lives of the targets.
        now : float
            Time in seconds.
        """
        targets = self._targets.of_service(pending.service)
        among = [target for target in targets if target.entry.incarnation_id in lives]
        return self._choose_from(among, pending, now)

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
            is_most_urgent=self._is_most_urgent(pending, now),
            left_s=pending.deadline - now,
            start_within_s=pending.start_by - now,
            longest_pause_s=pending.longest_pause_s,
            isolation_key=pending.isolation_key,
        )


def _is_tried(target: Target, pending: PendingRequest) -> bool:
    return target.entry.incarnation_id in pending.excluded
