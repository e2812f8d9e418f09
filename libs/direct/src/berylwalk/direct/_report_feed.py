"""Subscribes to the monitors of targets, and applies their reports."""

from asyncio import DatagramTransport, get_running_loop

from anyio import sleep

from berylwalk.direct._context import RouterContext
from berylwalk.direct._peer_messages import PeerSocket
from berylwalk.dispatch import (
    MonitoredLife,
    MonitoredTargets,
    Target,
    TargetReport,
    report_interval_s,
)
from berylwalk.monitor import (
    MESSAGE_ERRORS,
    ReportMessage,
    Subscription,
    decode_report,
    encode,
)

SUBSCRIBE_INTERVAL_S = 1.0
"""Interval between subscriptions to a monitor, in seconds."""
SUBSCRIPTION_TTL_S = 3.0
"""Time for which a monitor sends reports after a subscription, in seconds: two may be
lost."""


class ReportFeed:
    """Keeps the reports of targets.

    In a large fleet, a router listens to the monitors of its own failure domain only.
    Without a monitor nothing changes.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    """

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._monitored = MonitoredTargets()
        self._transport: DatagramTransport | None = None
        self._reported: set[str] = set()
        self._unreadable = False

    async def start(self) -> None:
        """Open the socket, if the VM has a port for it.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        settings = self._context.settings
        if settings.monitor_port is None:
            return
        self._transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: PeerSocket(self._receive),
            local_addr=(settings.caller_address.host, settings.monitor_port),
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Subscribe forever."""
        while self._transport is not None:
            self._subscribe()
            self._log_changes()
            await sleep(SUBSCRIBE_INTERVAL_S)

    def _subscribe(self) -> None:
        context = self._context
        self._monitored.replace(context.targets.by_id.values(), self._is_monitored)
        hosts = self._monitored.hosts()
        message = encode(
            Subscription(
                context.settings.name,
                context.clock(),
                SUBSCRIPTION_TTL_S,
                report_interval_s(len(hosts)),
            )
        )
        for host in hosts:
            self._transport.sendto(message, (host, context.settings.monitor_port))

    def _is_monitored(self, target: Target) -> bool:
        context, entry = self._context, target.entry
        current = context.configuration.current
        service = (
            None if current is None else current.services_by_name.get(entry.service)
        )
        if service is None or not service.is_engine:
            return False
        is_near = entry.failure_domain == context.settings.failure_domain
        return is_near or not context.peers.relayed_domains()

    def _receive(self, data: bytes) -> None:
        try:
            message = decode_report(data)
        except MESSAGE_ERRORS as error:
            self._count("invalid")
            if not self._unreadable:
                self._unreadable = True
                self._context.log.process("target-report-invalid", detail=repr(error))
            return
        life = MonitoredLife(message.life, message.target_ends)
        target = self._monitored.target_of(message.target, life)
        if target is None or not self._is_listed(target):
            self._count("of-other-target")
            return
        self._count(self._apply(target, message))

    def _is_listed(self, target: Target) -> bool:
        incarnation = target.entry.incarnation_id
        return self._context.targets.by_incarnation_id.get(incarnation) is target

    def _apply(self, target: Target, message: ReportMessage) -> str:
        """Apply a report; returns the outcome."""
        context, reading = self._context, message.reading
        now = context.clock()
        if reading is None:
            target.note_no_report()
            return "target-silent"
        report = TargetReport(
            observed_at=message.observed_at,
            running=reading.running,
            waiting=reading.waiting,
            unread_tokens=reading.unread_tokens,
            cache_used=reading.cache_used,
            cache_total=reading.cache_total,
        )
        load_before = target.total_in_flight
        if not context.targets.note_report(target, report, now):
            return "late"
        if target.total_in_flight < load_before:
            context.dispatcher.dispatch_queued(target.entry.service, now)
        return "used"

    def _count(self, outcome: str) -> None:
        self._context.metrics.target_reports.labels(outcome).inc()

    def _log_changes(self) -> None:
        """Log for which targets reports have begun or ended."""
        context = self._context
        context.targets.expire_reports(context.clock())
        reported = {
            target.entry.target_id
            for target in self._monitored.targets
            if target.report is not None
        }
        for target_id in sorted(reported - self._reported):
            context.log.process("target-reported", target=target_id)
        for target_id in sorted(self._reported - reported):
            context.log.process("target-not-reported", target=target_id)
        self._reported = reported
