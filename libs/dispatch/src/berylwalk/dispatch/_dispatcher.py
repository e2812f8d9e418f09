"""Gives requests their places at targets."""

from collections.abc import Callable, Collection, Sequence
from random import random

from berylwalk.dispatch._place_limits import obstacle_for
from berylwalk.dispatch._placing import (
    RELAYED_REMOTE_FACTOR,
    REMOTE_FACTOR,
    PlaceRequest,
    choose_target,
    targets_too_late,
)
from berylwalk.dispatch._prefix_reads import PrefixReads
from berylwalk.dispatch._target import Target
from berylwalk.dispatch._target_entries import Obstacle
from berylwalk.dispatch._target_table import TargetTable
from berylwalk.dispatch._waiting_line import Ticket, WaitingLine
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
        self.prefix_reads = PrefixReads()
        self._rollouts = rollouts or Rollouts(ExposureRules())
        self._targets = targets
        self._failure_domain = failure_domain
        self._draw = draw
        self._lines_by_service: dict[str, WaitingLine] = {}
        self._remote_factor = REMOTE_FACTOR
        self._seen_at_by_rank: dict[tuple[str, tuple[int, int]], float] = {}

    def set_relayed(self, is_relayed: bool) -> None:
        """Tell whether loads of other failure domains are heard through relays."""
        self._remote_factor = RELAYED_REMOTE_FACTOR if is_relayed else REMOTE_FACTOR

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a service."""
        line = self._lines_by_service.get(service)
        return 0 if line is None else len(line)

    def lengths(self) -> dict[str, int]:
        """Return how many requests wait, by service."""
        return {name: len(line) for name, line in self._lines_by_service.items()}

    def submit(self, ticket: Ticket, now: float) -> Target | None:
        """Return a target, or None if the request has to wait.

        The caller counts the request at the target with `Target.note_sent`
        before it yields.
        """
        line = self._lines_by_service.get(ticket.service)
        if line is None:
            line = self._lines_by_service[ticket.service] = WaitingLine()
        self._seen_at_by_rank[ticket.service, ticket.rank] = now
        if not line.waits_before(ticket.rank):
            target = self._choose(ticket, now)
            if target is not None:
                return target
        line.add(ticket)
        return None

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a waiting request out; False if it has got its place."""
        line = self._lines_by_service.get(ticket.service)
        return line is not None and line.remove(ticket)

    def pump(self, service: str, now: float) -> None:
        """Give free places of a service to those that wait."""
        line = self._lines_by_service.get(service)
        if not line:
            return
        for ticket in line:
            if not self._has_place(ticket, now):
                # Another one may be more urgent or have other targets.
                continue
            target = self._choose(ticket, now)
            if target is None:
                # Another one may have more time to begin.
                continue
            line.remove(ticket)
            ticket.on_place(target)

    def _has_place(self, ticket: Ticket, now: float) -> bool:
        is_most_urgent = self._is_most_urgent(ticket, now)
        return any(
            obstacle_for(target, (), now, is_most_urgent=is_most_urgent) is None
            for target in self._candidates(ticket, now)
        )

    def _candidates(self, ticket: Ticket, now: float) -> Sequence[Target]:
        """Return the targets of a service whose versions a request may go to."""
        service, rollouts = ticket.service, self._rollouts
        targets = self._targets.of_service(service)
        if not rollouts.restricts(service):
            return targets
        return [
            target
            for target in targets
            if rollouts.allows(service, target.entry.version, ticket.version_draw, now)
        ]

    def _is_most_urgent(self, ticket: Ticket, now: float) -> bool:
        """Return whether no higher rank was seen lately at the same service."""
        return not any(
            service == ticket.service
            and rank < ticket.rank
            and now - seen_at < RANK_SEEN_S
            for (service, rank), seen_at in self._seen_at_by_rank.items()
        )

    def pump_all(self, now: float) -> None:
        """Give free places of all services to those that wait."""
        for service in self._lines_by_service:
            self.pump(service, now)

    def obstacles(self, ticket: Ticket, now: float) -> dict[str, Obstacle]:
        """Return why each target of a service can't be chosen, by target id."""
        targets = self._candidates(ticket, now)
        request = self._request(ticket, now)
        too_late = targets_too_late(targets, request, now)
        found = {}
        for target in targets:
            target_id = target.entry.target_id
            obstacle = obstacle_for(
                target,
                request.excluded,
                now,
                is_most_urgent=request.is_most_urgent,
            )
            if obstacle is None and target_id in too_late:
                obstacle = Obstacle.TOO_LATE
            if obstacle is not None:
                found[target_id] = obstacle
        return found

    def opens_at(self, ticket: Ticket, now: float) -> float:
        """Return when the first target takes requests again, in seconds.

        Now, unless each of them has said from when on, or how seldom, it takes any.
        Those that were tried for the request count if there are no others: its caller
        may come back to them.
        """
        targets = self._candidates(ticket, now)
        untried = [each for each in targets if not _is_tried(each, ticket)]
        return min((each.opens_at(now) for each in untried or targets), default=now)

    def may_find_place(self, ticket: Ticket, now: float) -> bool:
        """Return whether a target is left for a request that waits.

        Where all were tried, one that takes requests may still be replaced soon.
        """
        targets = self._candidates(ticket, now)
        return not targets or any(
            not _is_tried(each, ticket) or each.opens_at(now) <= now for each in targets
        )

    def place_among(
        self, ticket: Ticket, lives: Collection[str], now: float
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
        targets = self._targets.of_service(ticket.service)
        among = [target for target in targets if target.entry.life_id in lives]
        return self._choose_from(among, ticket, now)

    def _choose(self, ticket: Ticket, now: float) -> Target | None:
        return self._choose_from(self._candidates(ticket, now), ticket, now)

    def _choose_from(
        self, targets: Sequence[Target], ticket: Ticket, now: float
    ) -> Target | None:
        return choose_target(
            targets,
            self._request(ticket, now),
            failure_domain=self._failure_domain,
            now=now,
            remote_factor=self._remote_factor,
            draw=self._draw,
        )

    def _request(self, ticket: Ticket, now: float) -> PlaceRequest:
        return PlaceRequest(
            work=ticket.work,
            excluded=ticket.excluded,
            held_tokens=self.prefix_reads.held_tokens(ticket.work),
            is_most_urgent=self._is_most_urgent(ticket, now),
            left_s=ticket.ends_at - now,
            start_within_s=ticket.start_by - now,
            longest_pause_s=ticket.longest_pause_s,
            apart_as=ticket.apart_as,
        )


def _is_tried(target: Target, ticket: Ticket) -> bool:
    return target.entry.life_id in ticket.excluded
