"""The agent's state machine: events in, actions out."""

from collections import Counter
from math import inf

from berylwalk.agent._attempt_registry import AttemptRegistry
from berylwalk.agent._config import AgentConfig
from berylwalk.agent._digests import DigestBuilder
from berylwalk.agent._events import (
    AgentAction,
    AgentEvent,
    DatagramArrived,
    DispatchEnd,
    DispatchEnded,
    DrainFinished,
    DrainRequested,
    GrantArrived,
    RefuseGrant,
    StartDispatch,
    TargetChanged,
    TargetProgress,
    TargetSignalsReceived,
    Tick,
    TiersChanged,
)
from berylwalk.agent._grants import GrantHandler
from berylwalk.agent._messages import MessageHandler
from berylwalk.agent._outbox import Outbox
from berylwalk.agent._reservations import Reservations
from berylwalk.agent._router_peers import IncarnationStatus, Peers
from berylwalk.agent._slots import Slots
from berylwalk.agent._target import Target
from berylwalk.model import RefusalReason, RequestId
from berylwalk.wire import (
    ControlMessage,
    Datagram,
    Grant,
    Hello,
)


class AgentMachine:
    """Decides which requests reach the target; performs no I/O.

    Parameters
    ----------
    config : AgentConfig
        Identity, limits and policy.
    """

    def __init__(self, config: AgentConfig) -> None:
        self._target = Target(config.resources)
        self._outbox = Outbox()
        self._peers = Peers(timeout_s=config.peer_timeout_s)
        self._attempts = AttemptRegistry(
            retention_s=config.retention_s, max_records=config.max_attempt_records
        )
        self._slots = Slots(config)
        self._reservations = Reservations(
            config, self._slots, self._attempts, self._outbox
        )
        self._grants = GrantHandler(
            config, self._slots, self._attempts, self._reservations, self._target
        )
        self._messages = MessageHandler(
            self._attempts, self._reservations, self._target, self._outbox
        )
        self._digests = DigestBuilder(
            config, self._slots, self._reservations.waiting, self._target
        )
        self._tiers_version = -1
        self._drain_reported = False

    @classmethod
    def from_config(cls, config: AgentConfig) -> "AgentMachine":
        """Create the state machine."""
        return cls(config)

    @property
    def running_count(self) -> int:
        """Number of running requests."""
        return len(self._slots.running_by_id)

    @property
    def ready_count(self) -> int:
        """Number of slots that are held for grants."""
        return self._slots.held

    @property
    def waiting_count(self) -> int:
        """Number of queued reservations."""
        return len(self._reservations.waiting)

    @property
    def limit(self) -> int:
        """Concurrency limit in force."""
        return self._slots.limit

    @property
    def has_active_signals(self) -> bool:
        """Whether a response without signals would end a rate limit or backoff."""
        return self._slots.has_active_signals

    @property
    def is_slow(self) -> bool:
        """Whether the target is slower than its own baseline."""
        return self._slots.straggler.slow

    def waiting_by_rank(self) -> dict[int, int]:
        """Return the number of queued reservations by rank."""
        return self._reservations.waiting.count_by_rank()

    def running_by_rank(self) -> dict[int, int]:
        """Return the number of running requests by rank."""
        running = self._slots.running_by_id.values()
        return dict(Counter(request.grant.tier_rank for request in running))

    def tier_name(self, rank: int) -> str:
        """Return the name of the first tier of a rank, or the rank."""
        names = (tier.name for tier in self._slots.tiers if tier.rank == rank)
        return next(names, str(rank))

    def next_due(self, now: float) -> float:
        """Return when a `Tick` is needed next, in addition to those each `IDLE_TICK_S`.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        if not self._reservations.is_active:
            return inf
        self._slots.set_time(now)
        throttled_for_s = self._slots.throttled_for_s()
        return min(
            now + throttled_for_s if throttled_for_s > 0 else inf,
            self._reservations.next_due(),
            self._slots.limit_due,
            self._digests.next_due(),
        )

    def handle(self, event: AgentEvent, now: float) -> list[AgentAction]:
        """Handle one event.

        Parameters
        ----------
        event : AgentEvent
            Event to handle.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of AgentAction
            Actions for the shell to perform, in this order.
        """
        if isinstance(event, TargetProgress):
            # By far the most frequent event; it causes no action.
            self._slots.progress(event, now)
            return []
        self._slots.set_time(now)
        actions = self._handle(event, now)
        self._reservations.offer_slots(now)
        self._push_digest(now)
        actions.extend(self._outbox.flush())
        if self._is_drained():
            self._drain_reported = True
            actions.append(DrainFinished())
        return actions

    def _handle(self, event: AgentEvent, now: float) -> list[AgentAction]:
        match event:
            case GrantArrived(grant):
                return [self._admit_grant(grant, now)]
            case DatagramArrived(datagram):
                self._receive(datagram, now)
            case DispatchEnded(request_id, end):
                self._end_dispatch(request_id, end, now)
            case Tick():
                self._tick(now)
            case TiersChanged(version, tiers):
                if version > self._tiers_version:
                    self._tiers_version = version
                    self._slots.tiers = tiers
            case TargetSignalsReceived():
                if self._slots.apply_signals(event):
                    self._target.target_leaving = True
                    self._reservations.refuse_all(RefusalReason.LEAVING, now)
            case TargetChanged(resources, reachable):
                self._change_target(resources, reachable, now)
            case DrainRequested():
                self._target.agent_draining = True
                self._reservations.refuse_all(RefusalReason.LEAVING, now)
        return []

    def _admit_grant(self, grant: Grant, now: float) -> StartDispatch | RefuseGrant:
        router, incarnation, _ = grant.request_id
        status = self._record_message(router, incarnation, now)
        refusal = self._grants.admit(
            grant, now, is_stale_router=status is IncarnationStatus.STALE
        )
        return StartDispatch(grant) if refusal is None else RefuseGrant(grant, refusal)

    def _receive(self, datagram: Datagram, now: float) -> None:
        status = self._record_message(datagram.sender, datagram.incarnation, now)
        if status is IncarnationStatus.STALE:
            return
        for message in datagram.messages:
            if isinstance(message, Hello):
                self._peers.subscribe_digests(datagram.sender, message.digest_ms)
                self._digests.note_subscribed()
                self._outbox.send(datagram.sender, self._digests.build())
            elif _is_from(message, datagram):
                self._messages.handle(message, now)

    def _record_message(
        self, router: str, incarnation: int, now: float
    ) -> IncarnationStatus:
        status = self._peers.record_message(router, incarnation, now)
        if status is IncarnationStatus.REPLACED:
            self._reservations.refuse_all(
                RefusalReason.TOMBSTONE,
                now,
                where=lambda reservation: (
                    reservation.router == router
                    and reservation.key.incarnation != incarnation
                ),
            )
        return status

    def _end_dispatch(
        self, request_id: RequestId, end: DispatchEnd, now: float
    ) -> None:
        running = self._slots.running_by_id.get(request_id)
        if running is None:
            return
        self._slots.end(request_id, end, now)
        if end is DispatchEnd.NOT_SENT:
            self._attempts.undo_dispatch(request_id, running.grant.attempt, now)
        else:
            self._attempts.end_dispatch(request_id, now)

    def _tick(self, now: float) -> None:
        self._reservations.advance(now)
        for router in self._peers.newly_timed_out(now):
            self._reservations.refuse_all(
                RefusalReason.TOMBSTONE,
                now,
                where=lambda reservation, failed=router: reservation.router == failed,
            )
        self._reservations.refuse_overdue(now)
        self._slots.update_limit(now)
        self._attempts.prune(now)

    def _change_target(
        self, resources: tuple[str, ...], reachable: bool, now: float
    ) -> None:
        if reachable and not self._target.reachable:
            # The target may have restarted, so earlier signals may be obsolete.
            self._slots.reset_flow_control()
            self._target.target_leaving = False
        self._target.resources = resources
        self._target.reachable = reachable
        self._reservations.refuse_all(
            RefusalReason.NOT_SERVED,
            now,
            where=lambda reservation: not self._target.serves(reservation.resource),
        )

    def _push_digest(self, now: float) -> None:
        if not self._digests.may_push(now):
            return
        due = self._digests.due_routers(now, self._peers.digest_subscribers(now))
        if not due:
            return
        digest = self._digests.build()
        for router in due:
            self._outbox.send(router, digest)

    def _is_drained(self) -> bool:
        is_idle = not self._slots.running_by_id
        return self._target.agent_draining and is_idle and not self._drain_reported


def _is_from(message: ControlMessage, datagram: Datagram) -> bool:
    request_id = getattr(message, "request_id", None)
    if request_id is None:
        return False
    return request_id[:2] == (datagram.sender, datagram.incarnation)
