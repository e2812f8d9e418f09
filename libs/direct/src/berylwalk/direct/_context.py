"""Shared state of the components of a direct router."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from berylwalk.direct._decision_log import DecisionLog
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._stream_lookup import LookupFailure
from berylwalk.direct._suspension_detector import SuspensionDetector
from berylwalk.dispatch import (
    AccountUsage,
    ConfigurationState,
    Dispatcher,
    GracefulStop,
    IdleTimeout,
    PeerTable,
    QuotaTracker,
    RefusedRequests,
    RequestRates,
    RouterSettings,
    StreamVersions,
    Target,
    TargetTable,
    VmCapacity,
    WindowedRetryBudget,
)
from berylwalk.forwarding import (
    CallerConnection,
    RequestBodies,
    ResponseBuffers,
    TargetPool,
    TrafficCounter,
)
from berylwalk.quarantine import Quarantine
from berylwalk.rollout import Rollouts


def _immediately(_: int, callback: Callable[[], None]) -> None:
    """Store nothing."""
    callback()


async def _unconfirmed(_: str) -> bool:
    """Confirm no history of versions."""
    return False


async def _no_agreed_version(_: str) -> None:
    """Find no version."""


async def _no_stored_stream(_: int) -> LookupFailure:
    """Find no stream."""
    return LookupFailure.ABSENT


@dataclass(slots=True, kw_only=True)
class RouterContext:
    """State and connections of one direct router.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the VM.
    configuration : ConfigurationState
        Configuration in force.
    targets : TargetTable
        State of the targets.
    dispatcher : Dispatcher
        Places requests on targets and queues them.
    quotas : QuotaTracker
        Quotas of client accounts.
    retries : WindowedRetryBudget
        Budget for retries.
    quarantine : Quarantine
        Requests under which targets terminate.
    rollouts : Rollouts
        Versions of services that are being rolled out.
    peers : PeerTable
        The other routers.
    pool : TargetPool
        Connections to targets.
    log : DecisionLog
        Structured log.
    metrics : RouterMetrics
        Counters, gauges and histograms.
    suspension : SuspensionDetector
        Detects suspensions of the VM.
    clock : callable
        Time including suspensions of the VM, in seconds.
    idle_timeout : IdleTimeout
        How long callers' connections may be idle.
    streams : StreamVersions
        Versions of the software at which streams began.
    request_rates : RequestRates
        Rates of the requests of this router.
    account_usage : AccountUsage
        How much of each service the client accounts have used lately.
    refused : RefusedRequests
        Requests that were refused lately in this failure domain.
    response_buffers : ResponseBuffers
        Bytes of responses that are held for callers.
    request_bodies : RequestBodies
        Bytes of request bodies that are held for callers.
    traffic : TrafficCounter
        Bytes on the link of the VM.
    vm_capacity : VmCapacity
        Judges how much of the VM is used.
    stop : GracefulStop or None
        The stop under way; None if none was requested.
    open_requests : int
        Requests of callers that are not answered yet.
    on_placed : callable
        Called with the target of each attempt.
    on_signals_changed : callable
        Called when a response of a target carries changed signals.
    when_stream_stored : callable
        Calls back once the record of the stream with a key is stored, or can't be for
        now.
    confirm_versions : callable
        Reads the history of the versions of a service; returns whether it succeeded.
    find_agreed_version : callable
        Returns the only version of a service at which any known router may have begun
        streams, or None; see `AgreedVersions.find`.
    find_stored_stream : callable
        Returns the stored version of the stream with a key, or why it is not known.
    """

    settings: RouterSettings
    configuration: ConfigurationState
    targets: TargetTable
    dispatcher: Dispatcher
    quotas: QuotaTracker
    retries: WindowedRetryBudget
    quarantine: Quarantine
    rollouts: Rollouts
    peers: PeerTable
    pool: TargetPool
    log: DecisionLog
    metrics: RouterMetrics
    suspension: SuspensionDetector
    clock: Callable[[], float]
    idle_timeout: IdleTimeout = field(default_factory=IdleTimeout)
    streams: StreamVersions = field(default_factory=StreamVersions)
    request_rates: RequestRates = field(default_factory=RequestRates)
    account_usage: AccountUsage = field(default_factory=AccountUsage)
    refused: RefusedRequests = field(default_factory=RefusedRequests)
    response_buffers: ResponseBuffers[CallerConnection] = field(
        default_factory=ResponseBuffers
    )
    request_bodies: RequestBodies = field(default_factory=RequestBodies)
    traffic: TrafficCounter = field(default_factory=TrafficCounter)
    vm_capacity: VmCapacity = field(default_factory=lambda: VmCapacity(""))
    stop: GracefulStop | None = None
    open_requests: int = 0
    on_placed: Callable[[Target], None] = lambda _: None
    on_signals_changed: Callable[[], None] = lambda: None
    when_stream_stored: Callable[[int, Callable[[], None]], None] = _immediately
    confirm_versions: Callable[[str], Awaitable[bool]] = _unconfirmed
    find_agreed_version: Callable[[str], Awaitable[str | None]] = _no_agreed_version
    find_stored_stream: Callable[[int], Awaitable[str | LookupFailure]] = (
        _no_stored_stream
    )

    def may_begin(self, deadline: float, now: float, *, run_s: float = 0.0) -> bool:
        """Return whether a stop lets a request begin; see `GracefulStop.may_begin`."""
        return self.stop is None or self.stop.may_begin(deadline, now, run_s=run_s)

    def note_suspension(self) -> None:
        """Keep a suspension of the VM from counting as silence of targets.

        Call it before judging a target by its silence. Ages need no correction because
        the clock includes suspensions.
        """
        suspended_s = self.suspension.poll()
        if suspended_s:
            self.targets.note_suspended(suspended_s)
            self.response_buffers.note_suspended(suspended_s)
            self.metrics.suspended_s.inc(suspended_s)
            self.log.process("was-suspended", suspended_ms=round(suspended_s * 1000))
