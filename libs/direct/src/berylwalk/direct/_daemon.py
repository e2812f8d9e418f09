"""Daemon of the direct router."""

from asyncio import AbstractEventLoop, get_running_loop
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from traceback import format_exception
from typing import Self
from uuid import uuid4

from anyio import create_task_group, sleep
from anyio.abc import TaskGroup

from berylwalk.direct._configuration_feed import ConfigurationFeed
from berylwalk.direct._context import RouterContext
from berylwalk.direct._decision_log import DecisionLog
from berylwalk.direct._elapsed_time import elapsed_clock
from berylwalk.direct._end_reasons import SLOW_READER
from berylwalk.direct._exchange import Exchange
from berylwalk.direct._gauges import refresh_gauges
from berylwalk.direct._graceful_end import GracefulEnd
from berylwalk.direct._listeners import Listener
from berylwalk.direct._measured_loop import MeasuredLoop
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._mirrored_prefix import ReadRole
from berylwalk.direct._peering import Peering
from berylwalk.direct._quarantine_store import QuarantineStore
from berylwalk.direct._report_feed import ReportFeed
from berylwalk.direct._request_lifecycle import TrialPermits
from berylwalk.direct._rollout_coordinator import RolloutCoordinator
from berylwalk.direct._speed_store import SpeedStore
from berylwalk.direct._spending_store import SpendingStore
from berylwalk.direct._store_health import CALL_TIMEOUT_S, StoreHealth
from berylwalk.direct._stream_store import StreamStore
from berylwalk.direct._suspension_detector import SuspensionDetector
from berylwalk.direct._target_feed import TargetFeed
from berylwalk.direct._version_history_store import VersionHistoryStore
from berylwalk.direct._vm_meter import VmMeter
from berylwalk.dispatch import (
    AccountUsage,
    CallerLimits,
    ConfigurationState,
    Dispatcher,
    IdleTimeout,
    PeerTable,
    QuotaTracker,
    RouterSettings,
    SocketAddress,
    TargetTable,
    VmCapacity,
    WindowedRetryBudget,
)
from berylwalk.forwarding import (
    BufferBounds,
    CallerBuffers,
    CallerConnection,
    CallerRequest,
    HeldResponse,
    LingeringConnections,
    RequestBodies,
    ResponseBuffers,
    TargetPool,
    TrafficCounter,
)
from berylwalk.platform import REQUEST_ID_HEADER, KeyValueClient
from berylwalk.quarantine import Quarantine, QuarantineChange, is_part
from berylwalk.rollout import Rollouts, VersionRejection

KEY_TRUST_MARGIN_S = 0.5
"""How long before the revocation bound API keys are no longer trusted."""
READY_MAX_AGE_S = 3.0
"""Age of the configuration above which the router reports itself as not ready."""
SWEEP_INTERVAL_S = 0.25
MIN_STANDSTILL_S = 0.75
"""Shortest delay of a sweep after which the process counts as having stood still, in
seconds."""
LOOP_PAUSE_S = 1.0
"""Time after which a loop that has failed is begun again, in seconds."""
MAX_NOTICE_S = 0.5
"""Longest time that a busy event loop may have taken to notice a stop request, in
seconds."""


class DirectRouter:
    """Forwards requests to targets without agents.

    Build it with `from_settings`, inside the running loop.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    """

    def __init__(self, context: RouterContext, store: KeyValueClient) -> None:
        loop = get_running_loop()
        settings = context.settings
        self._context = context
        self._store = store
        store_health = self._store_health = StoreHealth(context)
        store.on_restored.add(self._on_store_restored)
        self._peering = Peering(context, store, store_health)
        self._spending_store = SpendingStore(context, store, store_health)
        self._speed_store = SpeedStore(context, store, store_health)
        self._stream_store = StreamStore(context, store, store_health)
        context.find_stored_stream = self._stream_store.find
        context.when_stream_stored = self._stream_store.when_stored
        self._version_history_store = VersionHistoryStore(context, store, store_health)
        context.confirm_versions = self._version_history_store.confirm
        context.find_agreed_version = self._peering.agreed_versions.find
        self._quarantine_store = QuarantineStore(context, store, store_health)
        context.quarantine.on_urgent_update = self._peering.send_soon
        context.quarantine.on_change = self._on_quarantine_change
        context.rollouts.on_rejected = self._on_version_rejected
        shared_reads = self._peering.shared_reads
        role = ReadRole(
            follows_peers=shared_reads.follows_peers,
            serves_peers=shared_reads.serves_peers,
        )
        self._configuration_feed = ConfigurationFeed(context, store, store_health, role)
        self._target_feed = TargetFeed(context, store, store_health, role)
        for feed in (self._configuration_feed, self._target_feed):
            shared_reads.add(feed.mirror)
        self._report_feed = ReportFeed(context)
        self._rollout_coordinator = RolloutCoordinator(
            context, store, store_health, shared_reads=shared_reads, role=role
        )
        context.on_placed = self._peering.announce_placement
        context.on_signals_changed = self._peering.send_soon
        context.rollouts.on_urgent_update = self._peering.send_soon
        context.rollouts.on_orders_changed = self._rollout_coordinator.wake
        self._exchanges_by_connection: dict[CallerConnection, Exchange] = {}
        self._tasks: TaskGroup | None = None
        self._buffers = CallerBuffers(
            context.response_buffers,
            context.request_bodies,
            clock=context.clock,
            on_slow_reader=self._end_slow_reader,
            traffic=context.traffic,
        )
        self._callers = Listener(
            loop,
            settings.caller_address,
            clock=context.clock,
            serve=self._serve,
            on_disconnect=self._on_caller_disconnected,
            limits=self._limits,
            buffers=self._buffers,
            takes_connection=self._takes_connection,
            ready_since=_ready_since(loop, context.clock),
            lingering=LingeringConnections.from_vm_limits(
                descriptors=settings.limits.descriptors,
                link_bytes_per_s=settings.limits.link_bytes_per_s,
            ),
        )
        self._graceful_end = GracefulEnd(
            context,
            self._callers,
            open_exchanges=self._exchanges_by_connection.values,
            leave=self._peering.leave,
        )
        self._vm_meter = VmMeter(
            context,
            caller_connections=lambda: len(self._callers.connections),
            waited_s=_waited_s(loop),
            on_measured=self._resume_callers,
        )
        self._peering.is_unready = lambda: not self.is_ready
        self._readiness = Listener(
            loop,
            settings.readiness_address,
            clock=context.clock,
            serve=self._answer_readiness,
        )
        metrics_address = SocketAddress(
            settings.caller_address.host, settings.metrics_port
        )
        self._metrics = Listener(
            loop, metrics_address, clock=context.clock, serve=self._answer_metrics
        )

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> Self:
        """Build a router from the settings of its VM."""
        loop = get_running_loop()
        clock, counts_suspension = elapsed_clock()
        metrics = RouterMetrics()
        configuration = ConfigurationState(
            key_trust_s=settings.key_revocation_s - KEY_TRUST_MARGIN_S
        )
        targets = TargetTable(crash_when_full=settings.targets_crash_when_full)

        def record_bytes(incarnation_id: str) -> None:
            target = targets.by_incarnation_id.get(incarnation_id)
            if target is not None:
                target.note_heard(clock())

        peers = PeerTable(settings.name, settings.failure_domain)
        account_usage = AccountUsage()
        rollouts = Rollouts(settings.exposure, router=uuid4().hex)
        rollouts.router_count = peers.known_count
        rollouts.in_flight_at_other_versions = targets.in_flight_other_versions
        address = settings.store_address
        store = KeyValueClient.from_config(
            [f"http://{address.host}:{address.port}"], timeout_s=CALL_TIMEOUT_S
        )
        traffic = TrafficCounter()
        memory_bytes = settings.limits.memory_bytes
        context = RouterContext(
            settings=settings,
            response_buffers=ResponseBuffers(
                BufferBounds.from_memory_limit(memory_bytes)
            ),
            request_bodies=RequestBodies.from_memory_limit(memory_bytes),
            configuration=configuration,
            targets=targets,
            dispatcher=Dispatcher(
                targets,
                failure_domain=settings.failure_domain,
                rollouts=rollouts,
                account_usage=account_usage,
            ),
            account_usage=account_usage,
            quotas=QuotaTracker(settings.allowances, started_at=clock()),
            retries=WindowedRetryBudget(
                ratio=settings.retry_ratio,
                slack=settings.retry_slack,
                window_s=settings.retry_window_s,
                started_at=clock(),
                is_first_start=settings.is_first_start,
            ),
            quarantine=Quarantine(),
            rollouts=rollouts,
            peers=peers,
            pool=TargetPool(
                loop,
                clock=clock,
                id_header=REQUEST_ID_HEADER,
                on_bytes=record_bytes,
                on_opened=metrics.connections.inc,
                traffic=traffic,
            ),
            traffic=traffic,
            vm_capacity=VmCapacity(settings.name),
            log=DecisionLog.to_stdout(settings.name, clock=clock),
            metrics=metrics,
            suspension=SuspensionDetector(clock),
            clock=clock,
            idle_timeout=IdleTimeout(propagation_s=settings.configuration_s),
        )
        if not counts_suspension:
            context.log.process("no-clock-that-counts-suspension")
        return cls(context, store)

    async def run(self, stops: AsyncIterator[object]) -> None:
        """Serve until a stop is requested, then end gracefully.

        Parameters
        ----------
        stops : async iterator
            Yields when the process is asked to stop.
        """
        try:
            await self._run(stops)
        finally:
            self._close()
            await self._store.close()

    async def _run(self, stops: AsyncIterator[object]) -> None:
        await self._store.start()
        await self._peering.start()
        await self._report_feed.start()
        async with create_task_group() as tasks:
            self._tasks = tasks
            for run in (
                self._configuration_feed.run,
                self._target_feed.run,
                self._peering.run,
                self._report_feed.run,
                self._spending_store.run,
                self._speed_store.run,
                self._stream_store.run,
                self._version_history_store.run,
                self._quarantine_store.run,
                self._rollout_coordinator.run,
                self._vm_meter.run,
                self._sweep,
            ):
                tasks.start_soon(self._keep_running, run)
            for listener in (self._readiness, self._callers, self._metrics):
                await listener.start()
            self._context.log.process(
                "started",
                failure_domain=self._context.settings.failure_domain,
                first_start=self._context.settings.is_first_start,
            )
            await anext(stops)
            await self._graceful_end.run(self._stop_requested_at())
            tasks.cancel_scope.cancel()

    async def _keep_running(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a loop; one that ends with an error is logged and begun again.

        Nothing that a request, a target or another router sends may end the process.
        """
        while True:
            try:
                await run()
                return
            except Exception as error:
                self._context.metrics.loops_failed.inc()
                self._context.log.process(
                    "loop-failed",
                    loop=run.__qualname__,
                    detail=repr(error),
                    traceback="".join(format_exception(error)),
                )
            await sleep(LOOP_PAUSE_S)

    def _close(self) -> None:
        """Close all sockets; unfinished responses are truncated."""
        for listener in (self._readiness, self._callers, self._metrics):
            listener.abort()
        self._peering.close()
        self._report_feed.close()
        self._context.pool.close()

    def _stop_requested_at(self) -> float:
        """Return the earliest time at which a signal read now can have arrived."""
        now = self._context.clock()
        ready_since = _ready_since(get_running_loop(), self._context.clock)
        if ready_since is None:
            return now
        # One pass of the event loop reads the signal, the next one handles it, and the
        # third one resumes this task.
        return max(ready_since(2), now - MAX_NOTICE_S)

    def log_reload(self) -> None:
        """Log that the settings file has changed.

        No setting is reloaded: addresses are fixed for the lifetime of the process, and
        everything else comes from the store.
        """
        self._context.log.process("reloaded")

    def _takes_connection(self) -> bool:
        context = self._context
        return context.vm_capacity.takes_connection(
            context.open_requests, context.clock()
        )

    def _resume_callers(self) -> None:
        """Accept connections again if some would be taken."""
        context = self._context
        if self._callers.is_paused and context.vm_capacity.may_take(context.clock()):
            self._tasks.start_soon(self._resume_listening)

    async def _resume_listening(self) -> None:
        try:
            await self._callers.resume()
        except OSError as error:
            # It is tried again after the next measurement.
            self._context.log.process("listening-failed", detail=str(error))

    def _serve(self, connection: CallerConnection, request: CallerRequest) -> None:
        exchange = Exchange(
            self._context,
            connection,
            request,
            trial_permits=TrialPermits(
                self._quarantine_store.acquire_trial_permits,
                self._quarantine_store.return_trial_permits,
            ),
        )
        self._exchanges_by_connection[connection] = exchange
        self._tasks.start_soon(self._run_exchange, connection, exchange)

    async def _run_exchange(
        self, connection: CallerConnection, exchange: Exchange
    ) -> None:
        try:
            await exchange.run()
        except Exception as error:
            # An error in one request must not affect the others.
            self._context.metrics.exchanges_failed.inc()
            self._context.log.process(
                "exchange-failed",
                detail=repr(error),
                traceback="".join(format_exception(error)),
            )
            exchange.fail()
        finally:
            if self._exchanges_by_connection.get(connection) is exchange:
                del self._exchanges_by_connection[connection]

    def _on_store_restored(self) -> None:
        """Expect what was written after the copy to be written again."""
        self._store_health.note_restored()
        self._context.metrics.store_era.set(self._store.era)
        self._context.log.process("store-restored", era=self._store.era)

    def _on_quarantine_change(self, change: QuarantineChange) -> None:
        self._context.log.process(
            f"request-{change.kind}",
            identity=change.identity.hex(),
            is_prompt_part=is_part(change.identity),
            ended=list(change.ended),
        )
        self._quarantine_store.wake()

    def _on_version_rejected(self, judged: VersionRejection) -> None:
        self._context.log.process(
            "rollout-judged-bad",
            service=judged.order.service,
            version=judged.order.version,
            verdict=str(judged.verdict),
            route=judged.verdict.route,
            heard=judged.from_peer,
        )
        self._rollout_coordinator.wake()

    def _on_caller_disconnected(self, connection: CallerConnection) -> None:
        exchange = self._exchanges_by_connection.get(connection)
        if exchange is not None:
            exchange.note_disconnect(connection.disconnect_delay_s)
            exchange.cancel()

    def _end_slow_reader(
        self, connection: CallerConnection, held: HeldResponse
    ) -> None:
        """End the response of a caller that reads too slowly."""
        context = self._context
        buffers = context.response_buffers
        context.metrics.slow_readers_ended.inc()
        context.log.process(
            "slow-reader-ended",
            held_bytes=held.held_bytes,
            behind_ms=round(held.behind_s(context.clock()) * 1000),
            all_held_bytes=buffers.held_bytes + held.held_bytes,
            max_all_bytes=buffers.bounds.all_bytes,
        )
        exchange = self._exchanges_by_connection.get(connection)
        if exchange is not None:
            exchange.cancel(SLOW_READER)
        connection.discard_response()

    def _limits(self) -> CallerLimits:
        context = self._context
        current = context.configuration.current
        limits = CallerLimits() if current is None else current.limits
        idle_timeout_s = context.idle_timeout.in_force_s(context.clock())
        if idle_timeout_s == limits.idle_timeout_s:
            return limits
        return replace(limits, idle_timeout_s=idle_timeout_s)

    def _answer_readiness(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        connection.respond(200 if self.is_ready else 503, [], b"")

    @property
    def is_ready(self) -> bool:
        """Whether the router reports itself as ready to the load balancer."""
        if self._context.stop is not None or self._context.vm_capacity.is_unready:
            return False
        context = self._context
        age_s = context.configuration.age_s(context.clock())
        return age_s <= READY_MAX_AGE_S

    def _answer_metrics(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        refresh_gauges(self._context)
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        connection.respond(200, headers, self._context.metrics.text())

    def _close_idle_callers(self) -> None:
        closed = self._callers.sweep()
        if closed:
            current = self._context.configuration.current
            self._context.log.process(
                "idle-callers-closed",
                connections=closed,
                idle_timeout_ms=round(self._limits().idle_timeout_s * 1000),
                version=0 if current is None else current.version,
            )

    def _log_standstill(self, late_s: float) -> None:
        """Log that nothing ran for a while: what was read since may be as old."""
        if late_s >= MIN_STANDSTILL_S:
            self._context.log.process("stood-still", late_ms=round(late_s * 1000))

    async def _sweep(self) -> None:
        while True:
            due_at = self._context.clock() + SWEEP_INTERVAL_S
            await sleep(SWEEP_INTERVAL_S)
            self._log_standstill(self._context.clock() - due_at)
            self._context.note_suspension()
            self._close_idle_callers()
            for listener in (self._readiness, self._metrics):
                listener.sweep()
            self._buffers.check()
            self._context.pool.close_stale()
            self._context.dispatcher.dispatch_all_queued(self._context.clock())
            self._context.quarantine.expire(self._context.clock())
            self._context.log.flush()


def _waited_s(loop: AbstractEventLoop) -> Callable[[], float] | None:
    """Return what tells for how long a loop had nothing to do; None if none does."""
    return (lambda: loop.waited_s) if isinstance(loop, MeasuredLoop) else None


def _ready_since(
    loop: AbstractEventLoop, clock: Callable[[], float]
) -> Callable[[int], float] | None:
    """Return what tells since when input can have waited; None if nothing does."""
    if not isinstance(loop, MeasuredLoop):
        return None
    return lambda passes_ago: clock() - loop.ready_age_s(passes_ago)
