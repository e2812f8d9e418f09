"""Measures what a router uses of its VM."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from anyio import sleep

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import RouterPressure, VmResource

INTERVAL_S = 0.1
WINDOW_S = 1.0
"""Time over which bytes on the link and delays of the event loop are judged."""
MAX_LOOP_DELAY_S = 0.5
"""Delay of the event loop at which most answers are late."""
LOG_INTERVAL_S = 1.0
"""Interval between two log lines about what is refused meanwhile."""
RESERVED_DESCRIPTORS = 200
"""Descriptors of the limit that are for files."""


@dataclass(frozen=True, slots=True)
class _Sample:
    """What was measured at one time.

    Parameters
    ----------
    at : float
        Time without suspensions of the VM, in seconds.
    sent_bytes, received_bytes, control_bytes : int
        Bytes on the link since the start.
    delay_s : float
        How late a timer of the event loop fired, in seconds.
    waited_s : float
        Time without work since the start, in seconds.
    """

    at: float
    sent_bytes: int
    received_bytes: int
    control_bytes: int
    delay_s: float
    waited_s: float


class VmMeter:
    """Measures the use of a VM several times a second.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    caller_connections : callable
        Returns the number of open connections of callers.
    waited_s : callable or None
        Returns for how long the event loop had nothing to do since the start, in
        seconds; None if that is not measured.
    on_measured : callable
        Called after each measurement.
    """

    def __init__(
        self,
        context: RouterContext,
        *,
        caller_connections: Callable[[], int],
        waited_s: Callable[[], float] | None = None,
        on_measured: Callable[[], None] = lambda: None,
    ) -> None:
        self._context = context
        self._caller_connections = caller_connections
        self._waited_s = waited_s
        self._on_measured = on_measured
        self._turned_away = 0
        self._turned_away_logged_at = float("-inf")
        self._samples: deque[_Sample] = deque()
        self._was_refusing = False
        self._refusals_logged_at = float("-inf")

    async def run(self) -> None:
        """Measure forever."""
        context = self._context
        while True:
            started_at, suspended_s = context.clock(), context.suspension.total_s
            await sleep(INTERVAL_S)
            context.note_suspension()
            suspended_s = context.suspension.total_s - suspended_s
            delay_s = context.clock() - started_at - INTERVAL_S - suspended_s
            self.record(delay_s)

    def record(self, delay_s: float) -> None:
        """Record a measurement.

        Parameters
        ----------
        delay_s : float
            How late a timer of the event loop fired, without suspensions of the VM.
        """
        context = self._context
        now, traffic = context.clock(), context.traffic
        measured_at = now - context.suspension.total_s
        self._samples.append(
            _Sample(
                measured_at,
                traffic.sent_bytes,
                traffic.received_bytes,
                traffic.control_bytes,
                delay_s,
                0.0 if self._waited_s is None else self._waited_s(),
            )
        )
        samples = self._samples
        while len(samples) > 2 and measured_at - samples[1].at >= WINDOW_S:
            samples.popleft()
        peers = self._peers(now)
        context.vm_capacity.record(
            self._shares(), now, open_requests=context.open_requests
        )
        context.vm_capacity.update_room_of_others(self._reachable(peers))
        self._log_refusals()
        self._log_turned_away()
        self._on_measured()
        if context.vm_capacity.update_readiness(self._in_domain(peers), now):
            self._log("vm-readiness", is_ready=not context.vm_capacity.is_unready)

    def _shares(self) -> dict[VmResource, float]:
        """Return the shares of the limits that are used."""
        limits, shares = self._context.settings.limits, {}
        if limits.link_bytes_per_s is not None:
            shares[VmResource.LINK] = self._bytes_per_s() / limits.link_bytes_per_s
        if limits.processor_share is not None:
            shares[VmResource.EVENT_LOOP] = self._loop_delay_s() / MAX_LOOP_DELAY_S
            if self._waited_s is not None:
                shares[VmResource.PROCESSOR] = self._busy_share()
        if limits.memory_bytes is not None:
            shares[VmResource.MEMORY] = self._memory_share()
        if limits.descriptors is not None:
            usable = max(1, limits.descriptors - RESERVED_DESCRIPTORS)
            shares[VmResource.DESCRIPTORS] = self._connections() / usable
        return shares

    def _window_s(self) -> float:
        return self._samples[-1].at - self._samples[0].at

    def _bytes_per_s(self) -> float:
        """Return the rate of the busier direction; 0 until a window is full."""
        first, last = self._samples[0], self._samples[-1]
        if self._window_s() < WINDOW_S:
            return 0.0
        sent = last.sent_bytes - first.sent_bytes
        received = last.received_bytes - first.received_bytes
        return max(sent, received) / self._window_s()

    def _rates(self) -> dict[str, int]:
        """Return the rates on the link in bytes per second, for the log."""
        first, last = self._samples[0], self._samples[-1]
        window_s = max(self._window_s(), INTERVAL_S)
        return {
            "sent": round((last.sent_bytes - first.sent_bytes) / window_s),
            "received": round((last.received_bytes - first.received_bytes) / window_s),
            "control": round((last.control_bytes - first.control_bytes) / window_s),
        }

    def _loop_delay_s(self) -> float:
        """Return the delay that the event loop had all the while."""
        if self._window_s() < WINDOW_S:
            return 0.0
        return max(0.0, min(each.delay_s for each in self._samples))

    def _busy_share(self) -> float:
        """Return the share of the time for which the loop had work."""
        if self._window_s() < WINDOW_S:
            return 0.0
        waited_s = self._samples[-1].waited_s - self._samples[0].waited_s
        return min(1.0, max(0.0, 1.0 - waited_s / self._window_s()))

    def _memory_share(self) -> float:
        """Return the larger of the shares of the bounds on responses and on bodies."""
        responses = self._context.response_buffers
        bodies = self._context.request_bodies
        return max(
            responses.held_bytes / max(1, responses.bounds.all_bytes or 0),
            bodies.held_bytes / max(1, bodies.max_bytes or 0),
        )

    def _connections(self) -> int:
        """Return the number of connections to callers and targets."""
        in_flight = sum(
            target.in_flight for target in self._context.targets.by_id.values()
        )
        return self._caller_connections() + in_flight + self._context.pool.idle_count()

    def _peers(self, now: float) -> dict[str, RouterPressure]:
        """Return what is known of the other routers, by name."""
        peers = self._context.peers
        return {
            peer.name: RouterPressure(
                peer.name,
                peer.unready_claim,
                is_unready=peer.is_unready,
                is_heard=peers.is_alive(peer, now),
                has_room=not peer.is_full,
            )
            for peer in peers.by_name.values()
        }

    def _in_domain(self, peers: dict[str, RouterPressure]) -> list[RouterPressure]:
        """Return those of the failure domain of this router."""
        by_name = self._context.peers.by_name
        own_domain = self._context.settings.failure_domain
        return [
            peer
            for name, peer in peers.items()
            if by_name[name].failure_domain == own_domain
        ]

    def _reachable(self, peers: dict[str, RouterPressure]) -> list[RouterPressure]:
        """Return those that callers reach whose connections are turned away here.

        They are those of its domain; callers of a domain with one router are sent to
        other domains.
        """
        return self._in_domain(peers) or list(peers.values())

    def _log_turned_away(self) -> None:
        """Log connections that were turned away, once in a while."""
        context, now = self._context, self._context.clock()
        turned_away = context.vm_capacity.turned_away - self._turned_away
        if not turned_away or now - self._turned_away_logged_at < LOG_INTERVAL_S:
            return
        self._turned_away += turned_away
        self._turned_away_logged_at = now
        context.metrics.connections_turned_away.inc(turned_away)
        self._log("connections-turned-away", count=turned_away)

    def _log_refusals(self) -> None:
        """Log the beginning and the end of refusals, and their share meanwhile."""
        now = self._context.clock()
        refused_share = self._context.vm_capacity.refused_share
        is_refusing = refused_share > 0
        is_due = is_refusing and now - self._refusals_logged_at >= LOG_INTERVAL_S
        if is_refusing == self._was_refusing and not is_due:
            return
        self._was_refusing, self._refusals_logged_at = is_refusing, now
        self._log(
            "vm-refusals",
            is_refusing=is_refusing,
            refused_share=round(refused_share, 2),
        )

    def _log(self, event: str, **fields: object) -> None:
        shares = self._context.vm_capacity.shares
        self._context.log.process(
            event,
            **fields,
            resource=max(shares, key=shares.__getitem__, default=None),
            shares={name: round(shares[name], 2) for name in shares},
            bytes_per_s=self._rates(),
            caller_connections=self._caller_connections(),
            open_requests=self._context.open_requests,
        )
