"""What a router lets go to which version of a service."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from berylwalk.affinity import parts_hash
from berylwalk.rollout._budget import SPENT_SHARE, CanaryBudget, ExposureRules
from berylwalk.rollout._evidence import (
    AnswerKind,
    NewVersionKey,
    OldVersionKey,
    RouterTallies,
)
from berylwalk.rollout._judgement import Verdict
from berylwalk.rollout._messages import MOST_ENDS_TOLD, RolloutUpdate, rows_of
from berylwalk.rollout._orders import Order
from berylwalk.rollout._phases import PhaseInputs, next_phase
from berylwalk.rollout._progress import SHIFT_EPOCH, Progress
from berylwalk.rollout._records import Phase, Record
from berylwalk.rollout._versions import VersionRegistry

LONGEST_AGE_S = 2.5
"""Age of a record from which a router sends nothing to a version that is not proved: it
may have been reverted, and bad versions get nothing some seconds after they show."""
RAMP_GROUP = 0.35
"""Part of the new targets among which many requests are spread before the shift: they
run as full as they will after it."""
ROUTE_LEAD = 2
"""Canary requests by which a route may be ahead of the one with the fewest."""
ANY_ROUTE_FROM = 3.0
"""Canary requests left from which the route does not matter: rare ones don't come."""
TOLD_AFTER_END_S = 5.0
"""Time for which the end of a roll-out is told."""


@dataclass(frozen=True, slots=True)
class VersionRejection:
    """A router stops sending to a version by itself.

    Parameters
    ----------
    order : Order
        Which roll-out.
    verdict : Verdict
        What is thought of it.
    from_peer : bool
        Whether another router said so.
    """

    order: Order
    verdict: Verdict
    from_peer: bool


class Rollouts:
    """Orders, records and evidence of one router.

    Parameters
    ----------
    rules : ExposureRules
        How much a bad version may get.
    router : str
        Identifies this life of the router.

    Attributes
    ----------
    routers_known : callable
        Returns the number of routers.
    record_age_s : callable
        Returns the age of what is known of the records, in seconds.
    at_other_versions : callable
        Returns how many own requests are at targets of a service that have another
        version than one.
    on_judged : callable
        Called with each `VersionRejection`.
    on_news : callable
        Called when there is something to tell at once.
    on_orders : callable
        Called when orders have changed.
    """

    def __init__(self, rules: ExposureRules, *, router: str = "") -> None:
        self.versions = VersionRegistry()
        self.router_count: Callable[[], int] = lambda: 1
        self.record_age_s: Callable[[], float] = lambda: 0.0
        self.in_flight_at_other_versions: Callable[[str, str], int] = (
            lambda service, version: 0
        )
        self.on_rejected: Callable[[VersionRejection], None] = lambda _: None
        self.on_urgent_update: Callable[[], None] = lambda: None
        self.on_orders_changed: Callable[[], None] = lambda: None
        self._rules = rules
        self._router = router
        self._progress_by_service: dict[str, Progress] = {}
        self._records_by_service: dict[str, Record] = {}

    # Orders and records.

    def set_orders(self, orders: Iterable[Order], now: float) -> bool:
        """Take all orders that lie in the store; returns whether any is new."""
        orders_by_service = {order.service: order for order in orders}
        changed = False
        for service in list(self._progress_by_service):
            if service not in orders_by_service:
                del self._progress_by_service[service]
                changed = True
        for service, order in orders_by_service.items():
            known = self._progress_by_service.get(service)
            if known is not None and known.order == order:
                continue
            changed = True
            budget = CanaryBudget(self._rules, self.router_count())
            progress = Progress(order, now, now, budget)
            self._progress_by_service[service] = progress
            former = self._records_by_service.get(service)
            if former is not None:
                self._adopt(progress, former, now)
        if changed:
            self.on_orders_changed()
        return changed

    def merge_record(
        self, service: str, record: Record, now: float, age_s: float | None = None
    ) -> bool:
        """Take a record; returns whether it is news.

        Parameters
        ----------
        service : str
            Of which service.
        record : Record
            As the store or another router has it.
        now : float
            Time in seconds.
        age_s : float or None
            Time since the record was begun by the time of day, in seconds, if known.
        """
        known = self._records_by_service.get(service)
        if known is not None and record.number <= known.number:
            return False
        self._records_by_service[service] = record
        progress = self._progress_by_service.get(service)
        if progress is not None:
            self._adopt(progress, record, now)
            if age_s is not None and 0 <= age_s <= 2 * progress.order.period_s:
                progress.since = min(progress.since, now - age_s)
        return True

    def _adopt(self, progress: Progress, record: Record, now: float) -> None:
        if record.order_revision == progress.order.revision:
            if progress.phase is not record.phase:
                progress.phase_since = now
            progress.record = record
            if record.phase is Phase.RAMP:
                left_s = progress.order.period_s - progress.age_s(now)
                progress.budget.begin_ramp(now - progress.known_since, left_s)
            self.on_urgent_update()

    def progress(self, service: str) -> Progress | None:
        """Return what is known of a service's order; None if there is none."""
        return self._progress_by_service.get(service)

    def last_record(self, service: str) -> Record | None:
        """Return the last record of a service, also of an earlier order."""
        return self._records_by_service.get(service)

    @property
    def progresses(self) -> list[Progress]:
        """All orders."""
        return list(self._progress_by_service.values())

    def is_in_progress(self, service: str) -> bool:
        """Return whether answers of a service's versions are to be noted."""
        progress = self._progress_by_service.get(service)
        return progress is not None and progress.is_active

    # What is asked for each request.

    def restricts(self, service: str) -> bool:
        """Return whether some versions of a service may get nothing."""
        return (
            service in self._progress_by_service
            or service in self._records_by_service
            or len(self.versions.known(service)) > 1
        )

    def allows(self, service: str, version: str, draw: float, now: float) -> bool:
        """Return whether a request may go to a version, canary requests aside.

        Parameters
        ----------
        service, version : str
            Of the target.
        draw : float
            The request's own number from 0 up to 1, by which versions share requests.
        now : float
            Time in seconds.
        """
        record = self._records_by_service.get(service)
        progress = self._progress_by_service.get(service)
        is_ordered = progress is not None and version == progress.order.version
        if not is_ordered and record is not None and version in record.barred:
            return False
        if progress is None:
            return version not in self.versions.pending(service)
        share = self._share(progress, now)
        if is_ordered:
            return draw < share
        if progress.phase is Phase.COMPLETED:
            return version not in self.versions.pending(service)
        return draw >= share

    def _share(self, progress: Progress, now: float) -> float:
        """Return the share of requests that goes to the new version."""
        match progress.phase:
            case Phase.COMPLETED:
                return 1.0
            case Phase.SHIFTING if not progress.is_rejected:
                return 1.0
            case None:
                # The old targets stop when it is completed: without any it was.
                others = set(self.versions.known(progress.order.service))
                return 0.0 if others - {progress.order.version} else 1.0
        return 0.0

    def count_send(self, service: str) -> None:
        """Count a first send to a service."""
        progress = self._progress_by_service.get(service)
        if progress is not None and progress.is_active:
            progress.budget.count_send()

    def take_canary(self, service: str, route: str, now: float) -> bool:
        """Return whether a request is to try the new version; it is counted then."""
        progress = self._progress_by_service.get(service)
        if progress is None or progress.is_rejected:
            return False
        if self.record_age_s() > LONGEST_AGE_S:
            return False
        if progress.age_s(now) >= progress.order.period_s:
            return False
        if progress.phase is Phase.RAMP:
            return progress.budget.take()
        if progress.phase is not Phase.CANARY:
            return False
        counts = progress.canaries_by_route
        fewest = min(counts.values(), default=0)
        is_ahead = counts.setdefault(route, fewest) >= fewest + ROUTE_LEAD
        if is_ahead and progress.budget.left < ANY_ROUTE_FROM:
            return False
        if not progress.budget.take():
            return False
        counts[route] += 1
        return True

    def refund_canary(self, service: str, route: str) -> None:
        """Give back a canary request that found no place."""
        progress = self._progress_by_service.get(service)
        if progress is not None:
            progress.budget.refund()
            if progress.phase is Phase.CANARY:
                progress.canaries_by_route[route] -= 1

    def canary_targets(
        self, service: str, lives: Sequence[str], others: int, now: float
    ) -> set[str]:
        """Return the targets of the new version that are tried now.

        Parameters
        ----------
        service : str
            Which service.
        lives : sequence of str
            Lives of the targets of the new version.
        others : int
            Targets of the old version.
        now : float
            Time in seconds.
        """
        progress = self._progress_by_service[service]
        size = max(1, int(SPENT_SHARE * self._rules.share * others))
        if progress.phase is Phase.RAMP:
            size = max(size, round(RAMP_GROUP * len(lives)))
        ordered = sorted(
            lives, key=lambda life: parts_hash([service.encode(), life.encode()])
        )
        if len(ordered) <= size:
            return set(ordered)
        first = progress.epoch(now) * size
        return {ordered[(first + each) % len(ordered)] for each in range(size)}

    # What is seen.

    def answer_key(
        self, service: str, version: str, incarnation_id: str, route: str, now: float
    ) -> NewVersionKey | OldVersionKey | None:
        """Return what an answer is told apart by; asked when its request is sent.

        None if no order of the service is under way.

        Parameters
        ----------
        service, version, incarnation_id : str
            Of the target.
        route : str
            Name of the route.
        now : float
            Time in seconds.
        """
        progress = self._progress_by_service.get(service)
        if progress is None or not progress.is_active:
            return None
        epoch = progress.epoch(now)
        if version == progress.order.version:
            return NewVersionKey(epoch, incarnation_id, route)
        return OldVersionKey(epoch, route)

    def record_answer(
        self,
        service: str,
        row: NewVersionKey | OldVersionKey,
        kind: AnswerKind,
        now: float,
    ) -> None:
        """Count an answer.

        Parameters
        ----------
        service : str
            Which service.
        row : Row or OldRow
            What it is told apart by.
        kind : AnswerKind
            What it says of the version.
        now : float
            Time in seconds.
        """
        progress = self._progress_by_service.get(service)
        if progress is None or not progress.is_active:
            return
        if isinstance(row, OldVersionKey):
            progress.evidence.record_old(self._router, row, kind, now)
            return
        if kind is AnswerKind.SLOW and row.epoch >= SHIFT_EPOCH:
            # There is nothing left to tell a slow version from a burst by.
            kind = AnswerKind.GOOD
        progress.evidence.record_new(self._router, row, kind, now)
        if kind is not AnswerKind.GOOD:
            self.on_urgent_update()
            self._evaluate(progress)

    def record_crash(self, service: str, incarnation_id: str, *, is_new: bool) -> None:
        """Take that a target ended while it ran a request."""
        progress = self._progress_by_service.get(service)
        if progress is not None and progress.is_active:
            progress.evidence.record_crash(self._router, incarnation_id, is_new=is_new)
            self._evaluate(progress)

    def record_duration(self, service: str, taken_s: float) -> None:
        """Take how long an answer of the old version took."""
        progress = self._progress_by_service.get(service)
        if progress is not None:
            progress.longest_answer_s = max(progress.longest_answer_s, taken_s)

    def _evaluate(self, progress: Progress) -> None:
        if progress.is_rejected:
            return
        verdict = progress.verdict()
        if verdict.is_bad:
            progress.is_rejected = True
            self.on_rejected(VersionRejection(progress.order, verdict, from_peer=False))
            self.on_urgent_update()

    # What routers tell each other.

    def updates(self, now: float) -> list[RolloutUpdate]:
        """Return what is to be told."""
        return [
            self._update_for(progress, now)
            for progress in self._progress_by_service.values()
            if progress.is_active or now - progress.phase_since < TOLD_AFTER_END_S
        ]

    def _update_for(self, progress: Progress, now: float) -> RolloutUpdate:
        record = progress.record
        sums = RouterTallies()
        if progress.is_active:
            sums = progress.evidence.of_router(self._router)
        new, old = rows_of(sums, now)
        crashed_new, crashed_old = sorted(sums.crashed_new), len(sums.crashed_old)
        return RolloutUpdate(
            progress.order.service,
            progress.order.revision,
            round(progress.age_s(now), 1),
            -1 if record is None else record.number,
            "" if record is None else record.phase,
            progress.is_rejected,
            self.has_drained(progress, now),
            new,
            old,
            progress.reported_number,
            crashed_new[:MOST_ENDS_TOLD],
            crashed_old,
        )

    def has_drained(self, progress: Progress, now: float) -> bool:
        """Return whether nothing is sent to the old version, and nothing is there."""
        if progress.phase not in (Phase.SHIFTING, Phase.COMPLETED):
            return False
        if self._share(progress, now) < 1.0:
            return False
        order = progress.order
        return self.in_flight_at_other_versions(order.service, order.version) == 0

    def merge(self, router: str, news: Iterable[RolloutUpdate], now: float) -> None:
        """Take what another router told.

        Parameters
        ----------
        router : str
            Identifies its life.
        news : iterable of RolloutUpdate
            What it told.
        now : float
            Time in seconds.
        """
        for each in news:
            progress = self._progress_by_service.get(each.service)
            if progress is None or progress.order.revision != each.order_revision:
                continue
            progress.since = min(progress.since, now - each.age_s)
            progress.news_by_router[router] = each
            progress.reported_number = max(
                progress.reported_number, each.reported_number
            )
            self._merge_phase(progress, each, now)
            evidence = progress.evidence
            is_worse = evidence.merge(router, each.new_tallies(), each.old_tallies())
            is_worse |= evidence.merge_crashes(
                router, each.crashed_new, each.crashed_old
            )
            if each.is_rejected and not progress.is_rejected:
                progress.is_rejected = True
                verdict = progress.verdict()
                self.on_rejected(
                    VersionRejection(progress.order, verdict, from_peer=True)
                )
                self.on_urgent_update()
            elif is_worse:
                self._evaluate(progress)

    def _merge_phase(self, progress: Progress, news: RolloutUpdate, now: float) -> None:
        """Take a phase that another router knows: the store has it already."""
        record = progress.record
        known = -1 if record is None else record.number
        if news.number <= known or news.phase not in set(Phase):
            return
        former = self._records_by_service.get(news.service)
        barred = [] if former is None else former.barred
        heard = Record(
            version=progress.order.version,
            order_revision=news.order_revision,
            phase=Phase(news.phase),
            number=news.number,
            began_s=0.0 if record is None else record.began_s,
            barred=barred,
            reason="told by another router",
        )
        if heard.phase.is_final:
            heard = heard.with_phase(
                heard.phase,
                heard.reason,
                self.versions.known(news.service),
            )
            heard = _numbered(heard, news.number)
        self._records_by_service[news.service] = heard
        self._adopt(progress, heard, now)

    # What decides on the next phase.

    def next_phase(
        self,
        progress: Progress,
        alive_peers: Iterable[str],
        *,
        all_peers_alive: bool,
        now: float,
    ) -> tuple[Phase, str] | None:
        """Return the next phase of an order and why; None while there is none.

        Parameters
        ----------
        progress : Progress
            Of the order; its record has to be known.
        alive_peers : iterable of str
            Lives of the other routers that are heard.
        all_are_heard : bool
            Whether these are all that are listed.
        now : float
            Time in seconds.
        """
        news = [progress.news_by_router.get(router) for router in alive_peers]
        have_left = all(each is not None and each.has_drained for each in news)
        return next_phase(
            PhaseInputs(
                phase=progress.record.phase,
                age_s=progress.age_s(now),
                period_s=progress.order.period_s,
                phase_for_s=now - progress.phase_since,
                verdict=progress.verdict(),
                longest_answer_s=progress.longest_answer_s,
                is_rejected=progress.is_rejected,
                all_drained=have_left and self.has_drained(progress, now),
                all_peers_alive=all_peers_alive,
            )
        )


def _numbered(record: Record, number: int) -> Record:
    return Record(
        version=record.version,
        order_revision=record.order_revision,
        phase=record.phase,
        number=number,
        began_s=record.began_s,
        barred=record.barred,
        reason=record.reason,
    )
