"""Roll-outs of one router: which version of a service a request may be sent to."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from math import isinf

from berylwalk.affinity import parts_hash
from berylwalk.rollout._budget import SPENT_SHARE, CanaryBudget, ExposureRules
from berylwalk.rollout._evidence import (
    AnswerKind,
    NewVersionKey,
    OldVersionKey,
    RouterTallies,
)
from berylwalk.rollout._messages import (
    MAX_CRASHES_PER_UPDATE,
    RolloutUpdate,
    tally_rows,
)
from berylwalk.rollout._orders import Order
from berylwalk.rollout._phases import PhaseInputs, next_phase
from berylwalk.rollout._progress import SHIFT_EPOCH, Progress
from berylwalk.rollout._records import Phase, Record
from berylwalk.rollout._verdict import Verdict
from berylwalk.rollout._versions import VersionRegistry

MAX_RECORD_AGE_S = 2.5
"""Age of the known records, in seconds, from which a router sends no canary requests:
the version may have been reverted."""
RAMP_TARGETS_SHARE = 0.35
"""Part of the new targets that get the requests of the ramp: their load is then close
to that after the shift."""
MAX_ROUTE_LEAD = 2
"""Maximum lead of a route over the one with the fewest canary requests."""
ANY_ROUTE_BUDGET = 3.0
"""Remaining budget from which routes may exceed the lead, as others are rare."""
ENDED_UPDATES_S = 5.0
"""Time for which updates contain a roll-out that has ended, in seconds."""
ORDER_RETURN_S = 30.0
"""Time after a restore of the store within which orders that it lost are written again,
also those that it has."""
VERSION_HOLD_S = 10.0
"""Time after a restore for which a version that was not listed before gets nothing
without an order."""
LEARNING_S = 2.0
"""Time in which a router that starts in a restored store learns from the others which
records the copy lacks."""
FIRST_UPDATES_S = 0.6
"""Time in which a router that starts in a restored store hears which version is in
service: each of the others sends two messages."""
FIRST_RECORDS_S = 2.0
"""Time for which the only listed version of an order waits until the records are read
for the first time: it may have been reverted. Nothing else may serve the service, so
that an unavailable store must not hold it back for longer."""
TOLD_ORDER_S = 3.0
"""Time for which an order that only another router knows is remembered."""


@dataclass(frozen=True, slots=True)
class VersionRejection:
    """A router has rejected the new version and stops sending to it.

    Parameters
    ----------
    order : Order
        Order of the roll-out.
    verdict : Verdict
        Result of the test of the version.
    from_peer : bool
        Whether another router rejected it first.
    """

    order: Order
    verdict: Verdict
    from_peer: bool


@dataclass(frozen=True, slots=True)
class _ToldOrder:
    """An order that only other routers know.

    Parameters
    ----------
    version : str
        Its version.
    is_completed : bool
        Whether that is alone in service.
    at : float
        When it was last told, in seconds.
    """

    version: str
    is_completed: bool
    at: float


class Rollouts:
    """Orders, records and evidence as one router knows them.

    Parameters
    ----------
    rules : ExposureRules
        Bound of the requests that a bad version may receive.
    router : str
        Incarnation of this router.

    Attributes
    ----------
    versions : VersionRegistry
        Known versions of the services.
    router_count : callable
        Returns the number of known routers.
    record_age_s : callable
        Returns the age of the known records, in seconds.
    in_flight_at_other_versions : callable
        Returns the number of own requests in flight at targets of a service whose
        version differs from the given one.
    on_rejected : callable
        Called with each `VersionRejection`.
    on_urgent_update : callable
        Called when an update should be sent at once.
    on_orders_changed : callable
        Called when orders have changed.
    on_order_resumed : callable
        Called with each `Progress` whose order was written again after a restore.
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
        self.on_order_resumed: Callable[[Progress], None] = lambda _: None
        self._rules = rules
        self._router = router
        self._progress_by_service: dict[str, Progress] = {}
        self._records_by_service: dict[str, Record] = {}
        self._era_start = 0
        self._restored_at = float("-inf")
        self._learning_until = float("-inf")
        self._first_updates_until = float("-inf")
        self._knows_orders = False
        self._told_by_service: dict[str, _ToldOrder] = {}

    # Restores of the store.

    def note_era(self, start: int, now: float) -> None:
        """Record the era of the store.

        Parameters
        ----------
        start : int
            Lower bound of the revisions in the era.
        now : float
            Time in seconds.
        """
        if start > self._era_start:
            self._era_start = start
            self._restored_at = now
            if self._knows_orders:
                self.versions.expect_lost_orders()
            else:
                self._learning_until = now + LEARNING_S
                self._first_updates_until = now + FIRST_UPDATES_S
        elif now - self._restored_at >= VERSION_HOLD_S:
            self.versions.expect_no_lost_orders()

    @property
    def awaits_orders(self) -> bool:
        """Whether an order is kept that was not written again since a restore."""
        return any(map(self._is_awaited, self._progress_by_service.values()))

    def _is_awaited(self, progress: Progress) -> bool:
        return progress.order.revision < self._era_start

    def may_lack_records(self, now: float) -> bool:
        """Return whether other routers may know records that the store has lost."""
        return now < self._learning_until

    def awaits_phase(self, service: str, now: float) -> bool:
        """Return whether other routers may soon tell which version is in service.

        A router that starts in a restored store reads an order without a record, or
        with that of an older copy. By then the roll-out may be completed and the
        listed targets of the old version may be gone.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Time in seconds.
        """
        progress = self._progress_by_service.get(service)
        if progress is None or progress.record is not None:
            return False
        if now >= self._first_updates_until:
            return False
        former = self._records_by_service.get(service)
        return former is None or self.is_record_of(former, progress.order, now)

    def is_written_again(
        self, version: str, period_s: float, revision: int, order: Order, now: float
    ) -> bool:
        """Return whether an order is an earlier one that was written again.

        Parameters
        ----------
        version, period_s, revision : str, float, int
            Of the earlier order; the period is 0 if unknown.
        order : Order
            The order.
        now : float
            Time in seconds.
        """
        if revision >= order.revision or not order.has_content(version, period_s):
            return False
        is_first_of_era = revision < self._era_start <= order.revision
        return is_first_of_era or now - self._restored_at < ORDER_RETURN_S

    def is_record_of(self, record: Record, order: Order, now: float) -> bool:
        """Return whether a record is of an order, or of the same before a restore."""
        revision = record.order_revision
        return revision == order.revision or self.is_written_again(
            record.version, record.period_s, revision, order, now
        )

    # Orders and records.

    def set_orders(self, orders: Iterable[Order], now: float) -> bool:
        """Set all orders in the store; returns whether any has changed.

        After a restore of the store, an order that it lacks is kept for a while, and
        one that was written again goes on where it was.
        """
        self._knows_orders = True
        orders_by_service = {order.service: order for order in orders}
        changed = resumed = False
        may_return = now - self._restored_at < ORDER_RETURN_S
        for service, progress in list(self._progress_by_service.items()):
            if service in orders_by_service:
                continue
            if not (may_return and self._is_awaited(progress)):
                del self._progress_by_service[service]
                changed = True
        for service, order in orders_by_service.items():
            known = self._progress_by_service.get(service)
            if known is not None and known.order == order:
                continue
            if known is not None and self.is_written_again(
                known.order.version,
                known.order.period_s,
                known.order.revision,
                order,
                now,
            ):
                self._resume(known, order, now)
                resumed = True
                continue
            changed = True
            budget = CanaryBudget(self._rules, self.router_count())
            progress = Progress(order, now, now, budget)
            self._progress_by_service[service] = progress
            former = self._records_by_service.get(service)
            if former is not None:
                self._adopt(progress, former, now)
        if changed or resumed:
            self.on_orders_changed()
        return changed

    def _resume(self, progress: Progress, order: Order, now: float) -> None:
        """Go on with an order that was written again.

        The record and the status have to be written again, too.
        """
        known = self._records_by_service.get(order.service)
        progress.order = order
        progress.resumed_at = now
        progress.reported_number = -1
        if progress.record is not None:
            record = progress.record.for_order(order)
            progress.record = record
            if known is None or record.precedence >= known.precedence:
                self._records_by_service[order.service] = record
            else:
                self._adopt(progress, known, now)
        self.on_order_resumed(progress)
        self.on_urgent_update()

    def merge_record(
        self, service: str, record: Record, now: float, age_s: float | None = None
    ) -> bool:
        """Merge a record; returns whether it is newer than the known one.

        Parameters
        ----------
        service : str
            The service.
        record : Record
            From the store or another router.
        now : float
            Time in seconds.
        age_s : float or None
            Time since the start of the roll-out by the time of day, in seconds; None
            if unknown.
        """
        known = self._records_by_service.get(service)
        if known is not None and record.precedence <= known.precedence:
            if record.precedence == known.precedence and not known.began_s:
                self._complete_record(service, known, record)
            return False
        self._records_by_service[service] = record
        progress = self._progress_by_service.get(service)
        if progress is not None:
            self._adopt(progress, record, now)
            if age_s is not None and 0 <= age_s <= 2 * progress.order.period_s:
                progress.since = min(progress.since, now - age_s)
        return True

    def _complete_record(self, service: str, known: Record, stored: Record) -> None:
        """Replace a record that another router told, without its start."""
        self._records_by_service[service] = stored
        progress = self._progress_by_service.get(service)
        if progress is not None and progress.record is known:
            progress.record = stored

    def _adopt(self, progress: Progress, record: Record, now: float) -> None:
        if not self.is_record_of(record, progress.order, now):
            return
        if record.order_revision != progress.order.revision:
            if progress.record is None and not record.phase.is_final:
                # It is of an older copy: other routers may know a later phase.
                return
            record = record.for_order(progress.order)
            self._records_by_service[progress.order.service] = record
            progress.resumed_at = now
        if progress.phase is not record.phase:
            progress.phase_since = now
        progress.record = record
        if record.phase is Phase.RAMP:
            left_s = progress.order.period_s - progress.age_s(now)
            progress.budget.begin_ramp(now - progress.known_since, left_s)
        self.on_urgent_update()

    def progress(self, service: str) -> Progress | None:
        """Return the state of a service's order; None if there is none."""
        return self._progress_by_service.get(service)

    def last_record(self, service: str) -> Record | None:
        """Return the last record of a service, which may be of an earlier order."""
        return self._records_by_service.get(service)

    @property
    def progresses(self) -> list[Progress]:
        """States of all orders."""
        return list(self._progress_by_service.values())

    def is_in_progress(self, service: str) -> bool:
        """Return whether a service has an active roll-out."""
        progress = self._progress_by_service.get(service)
        return progress is not None and progress.is_active

    # Decisions for each request.

    def restricts(self, service: str) -> bool:
        """Return whether some versions of a service may be excluded from requests."""
        return (
            service in self._progress_by_service
            or service in self._records_by_service
            or len(self.versions.known(service)) > 1
        )

    def allows(self, service: str, version: str, draw: float, now: float) -> bool:
        """Return whether a request that is not a canary request may go to a version.

        Parameters
        ----------
        service, version : str
            Service and version of the target.
        draw : float
            Random number of the request in [0, 1), by which versions share requests.
        now : float
            Time in seconds.
        """
        record = self._records_by_service.get(service)
        progress = self._progress_by_service.get(service)
        is_ordered = progress is not None and version == progress.order.version
        if not is_ordered and record is not None and version in record.barred:
            return False
        if progress is None:
            is_held = version in self.versions.pending(service)
            return not is_held and not self._is_held_by_others(service, version, now)
        if self.awaits_phase(service, now):
            return False
        share = self._share(progress, now)
        if is_ordered:
            return draw < share
        if progress.phase is Phase.COMPLETED:
            return version not in self.versions.pending(service)
        return draw >= share

    def _is_held_by_others(self, service: str, version: str, now: float) -> bool:
        """Return whether other routers hold a version back by an order that was lost.

        They hold back the new version, or the others once it is completed.
        """
        told = self._told_by_service.get(service)
        if told is None or now - told.at >= TOLD_ORDER_S:
            return False
        is_only_one = len(self.versions.known(service)) < 2
        return (version == told.version) != told.is_completed and not is_only_one

    def _share(self, progress: Progress, now: float) -> float:
        """Return the share of the requests that goes to the new version."""
        match progress.phase:
            case Phase.COMPLETED:
                return 1.0
            case Phase.SHIFTING if not progress.is_rejected:
                return 1.0
            case None:
                return self._share_without_record(progress, now)
        return 0.0

    def _share_without_record(self, progress: Progress, now: float) -> float:
        """Return the share of the new version while its record is not known.

        If no other version is left and there is no record, the roll-out has been
        completed.
        """
        known_for_s = now - progress.known_since
        if isinf(self.record_age_s()) and known_for_s < FIRST_RECORDS_S:
            return 0.0
        others = set(self.versions.known(progress.order.service))
        return 0.0 if others - {progress.order.version} else 1.0

    def count_send(self, service: str) -> None:
        """Count the first send of a request to a service."""
        progress = self._progress_by_service.get(service)
        if progress is not None and progress.is_active:
            progress.budget.count_send()

    def take_canary(self, service: str, route: str, now: float) -> bool:
        """Take a canary request from the budget; False if there must be none now."""
        progress = self._progress_by_service.get(service)
        if progress is None or progress.is_rejected:
            return False
        if self.record_age_s() > MAX_RECORD_AGE_S:
            return False
        if progress.age_s(now) >= progress.order.period_s:
            return False
        if progress.phase is Phase.RAMP:
            return progress.budget.take()
        if progress.phase is not Phase.CANARY:
            return False
        counts = progress.canaries_by_route
        fewest = min(counts.values(), default=0)
        is_ahead = counts.setdefault(route, fewest) >= fewest + MAX_ROUTE_LEAD
        if is_ahead and progress.budget.remaining < ANY_ROUTE_BUDGET:
            return False
        if not progress.budget.take():
            return False
        counts[route] += 1
        return True

    def refund_canary(self, service: str, route: str) -> None:
        """Return a canary request to the budget that no target accepted."""
        progress = self._progress_by_service.get(service)
        if progress is not None:
            progress.budget.refund()
            if progress.phase is Phase.CANARY:
                progress.canaries_by_route[route] -= 1

    def canary_targets(
        self, service: str, incarnation_ids: Sequence[str], others: int, now: float
    ) -> set[str]:
        """Return the targets of the new version that get canary requests now.

        Parameters
        ----------
        service : str
            The service.
        incarnation_ids : sequence of str
            Incarnations of the targets of the new version.
        others : int
            Number of targets of the old version.
        now : float
            Time in seconds.
        """
        progress = self._progress_by_service[service]
        size = max(1, int(SPENT_SHARE * self._rules.share * others))
        if progress.phase is Phase.RAMP:
            size = max(size, round(RAMP_TARGETS_SHARE * len(incarnation_ids)))
        ordered = sorted(
            incarnation_ids,
            key=lambda each: parts_hash([service.encode(), each.encode()]),
        )
        if len(ordered) <= size:
            return set(ordered)
        first = progress.epoch(now) * size
        return {ordered[(first + each) % len(ordered)] for each in range(size)}

    # Local observations.

    def answer_key(
        self, service: str, version: str, incarnation_id: str, route: str, now: float
    ) -> NewVersionKey | OldVersionKey | None:
        """Return the key by which the answer to a request sent now is counted.

        None if the service has no active roll-out.

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
        key: NewVersionKey | OldVersionKey,
        kind: AnswerKind,
        now: float,
    ) -> None:
        """Count an answer.

        Parameters
        ----------
        service : str
            The service.
        key : NewVersionKey or OldVersionKey
            The key that `answer_key` returned when the request was sent.
        kind : AnswerKind
            Classification of the answer.
        now : float
            Time in seconds.
        """
        progress = self._progress_by_service.get(service)
        if progress is None or not progress.is_active:
            return
        if isinstance(key, OldVersionKey):
            progress.evidence.record_old(self._router, key, kind, now)
            return
        if kind is AnswerKind.SLOW and key.epoch >= SHIFT_EPOCH:
            # Without answers of the old version, slowness may be due to a burst.
            kind = AnswerKind.GOOD
        progress.evidence.record_new(self._router, key, kind, now)
        if kind is not AnswerKind.GOOD:
            self.on_urgent_update()
            self._evaluate(progress)

    def record_crash(self, service: str, incarnation_id: str, *, is_new: bool) -> None:
        """Record that a target crashed while it processed a request."""
        progress = self._progress_by_service.get(service)
        if progress is not None and progress.is_active:
            progress.evidence.record_crash(self._router, incarnation_id, is_new=is_new)
            self._evaluate(progress)

    def record_duration(self, service: str, taken_s: float) -> None:
        """Record the duration of an answer of the old version."""
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

    # Updates between routers.

    def updates(self, now: float) -> list[RolloutUpdate]:
        """Return the updates to send."""
        return [
            self._update_for(progress, now)
            for progress in self._progress_by_service.values()
            if progress.is_active
            or now - progress.phase_since < ENDED_UPDATES_S
            or now - progress.resumed_at < ENDED_UPDATES_S
            or self._is_awaited(progress)
        ]

    def _update_for(self, progress: Progress, now: float) -> RolloutUpdate:
        record = progress.record
        tallies = RouterTallies()
        if progress.is_active:
            tallies = progress.evidence.of_router(self._router)
        new, old = tally_rows(tallies, now)
        crashed_new, crashed_old = sorted(tallies.crashed_new), len(tallies.crashed_old)
        return RolloutUpdate(
            progress.order.service,
            progress.order.revision,
            progress.age_s(now),
            -1 if record is None else record.number,
            "" if record is None else record.phase,
            progress.is_rejected,
            self.has_drained(progress, now),
            new,
            old,
            progress.reported_number,
            crashed_new[:MAX_CRASHES_PER_UPDATE],
            crashed_old,
            progress.order.version,
            progress.order.period_s,
            [] if progress.is_active else record.barred,
        )

    def has_drained(self, progress: Progress, now: float) -> bool:
        """Return whether nothing is sent to the old version, or in flight there."""
        if progress.phase not in (Phase.SHIFTING, Phase.COMPLETED):
            return False
        if self._share(progress, now) < 1.0:
            return False
        order = progress.order
        return self.in_flight_at_other_versions(order.service, order.version) == 0

    def merge(self, router: str, updates: Iterable[RolloutUpdate], now: float) -> None:
        """Merge the updates of another router.

        Parameters
        ----------
        router : str
            Incarnation of the other router.
        updates : iterable of RolloutUpdate
            Its updates.
        now : float
            Time in seconds.
        """
        for each in updates:
            progress = self._progress_by_service.get(each.service)
            if progress is None:
                self._note_told(each, now)
                continue
            if not self._is_update_of(each, progress.order, now):
                continue
            progress.since = min(progress.since, now - each.age_s)
            progress.updates_by_router[router] = each
            if each.order_revision == progress.order.revision:
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

    def _note_told(self, update: RolloutUpdate, now: float) -> None:
        """Remember an order that was not written again since a restore."""
        if update.version and update.order_revision < self._era_start:
            self._told_by_service[update.service] = _ToldOrder(
                update.version, update.phase == Phase.COMPLETED, now
            )

    def _is_update_of(self, update: RolloutUpdate, order: Order, now: float) -> bool:
        """Return whether an update is of an order, or of the same before a restore."""
        revision = update.order_revision
        return revision == order.revision or self.is_written_again(
            update.version, update.period_s, revision, order, now
        )

    def _merge_phase(
        self, progress: Progress, update: RolloutUpdate, now: float
    ) -> None:
        """Adopt a newer phase of another router, which the store has already."""
        record = progress.record
        known = -1 if record is None else record.number
        if update.number <= known or update.phase not in set(Phase):
            return
        former = self._records_by_service.get(update.service)
        # This router may not have listed the targets of the versions yet.
        barred = [*([] if former is None else former.barred), *update.barred]
        merged = Record(
            version=progress.order.version,
            order_revision=progress.order.revision,
            phase=Phase(update.phase),
            number=update.number,
            began_s=0.0 if record is None else record.began_s,
            barred=barred,
            reason="reported by another router",
            period_s=progress.order.period_s,
        )
        if merged.phase.is_final:
            merged = merged.with_phase(
                merged.phase,
                merged.reason,
                self.versions.known(update.service),
            )
            merged = _with_number(merged, update.number)
        self._records_by_service[update.service] = merged
        self._adopt(progress, merged, now)

    # Changes of the phase.

    def next_phase(
        self,
        progress: Progress,
        alive_peers: Iterable[str],
        *,
        all_peers_alive: bool,
        now: float,
    ) -> tuple[Phase, str] | None:
        """Return the next phase of an order and the reason for it; None to stay.

        Parameters
        ----------
        progress : Progress
            State of the order, with a record.
        alive_peers : iterable of str
            Incarnations of the other routers that are alive.
        all_peers_alive : bool
            Whether these are all listed routers.
        now : float
            Time in seconds.
        """
        updates = [progress.updates_by_router.get(router) for router in alive_peers]
        all_drained = all(each is not None and each.has_drained for each in updates)
        return next_phase(
            PhaseInputs(
                phase=progress.record.phase,
                age_s=progress.age_s(now),
                period_s=progress.order.period_s,
                phase_for_s=now - progress.phase_since,
                verdict=progress.verdict(),
                longest_answer_s=progress.longest_answer_s,
                is_rejected=progress.is_rejected,
                all_drained=all_drained and self.has_drained(progress, now),
                all_peers_alive=all_peers_alive,
            )
        )


def _with_number(record: Record, number: int) -> Record:
    return Record(
        version=record.version,
        order_revision=record.order_revision,
        phase=record.phase,
        number=number,
        began_s=record.began_s,
        barred=record.barred,
        reason=record.reason,
        period_s=record.period_s,
    )
