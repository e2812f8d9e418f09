"""What the parts of a direct router share."""

from collections.abc import Callable
from dataclasses import dataclass

from berylwalk.direct._decision_log import DecisionLog
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._suspension_detector import SuspensionDetector
from berylwalk.dispatch import (
    ConfigurationState,
    Dispatcher,
    PeerTable,
    QuotaTracker,
    RouterSettings,
    Target,
    TargetTable,
    WindowedRetryBudget,
)
from berylwalk.forwarding import TargetPool
from berylwalk.quarantine import Quarantine
from berylwalk.rollout import Rollouts


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
        Beliefs about targets.
    dispatcher : Dispatcher
        Places and waiting requests.
    quotas : QuotaTracker
        What client accounts may spend.
    retries : WindowedRetryBudget
        What may be sent again.
    quarantine : Quarantine
        Requests that end the targets that run them.
    rollouts : Rollouts
        What may go to which version of a service.
    peers : PeerTable
        The other routers.
    pool : TargetPool
        Connections to targets.
    log : DecisionLog
        Lines for later explanation.
    metrics : RouterMetrics
        Counters and histograms.
    suspension : SuspensionWatch
        Notices that the VM was suspended.
    clock : callable
        Time that goes on while the VM is suspended, in seconds.
    on_placed : callable
        Called with the target of each send.
    on_statement_change : callable
        Called when a target has stated something new of itself.
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
    on_placed: Callable[[Target], None] = lambda _: None
    on_statement_change: Callable[[], None] = lambda: None

    def note_suspension(self) -> None:
        """Take a suspension of the VM for no silence of targets; asked before judging.

        All that has an age has grown older by it: the clock counts it.
        """
        suspended_s = self.suspension.poll()
        if suspended_s:
            self.targets.note_suspended(suspended_s)
            self.metrics.suspended_s.inc(suspended_s)
            self.log.process("was-suspended", suspended_ms=round(suspended_s * 1000))
