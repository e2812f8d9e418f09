"""Placement and quota decisions of a direct router; pure, without I/O."""

from berylwalk.dispatch._access import (
    Allowed,
    ConfigurationState,
    DenialReason,
    Denied,
)
from berylwalk.dispatch._account_usage import AccountUsage, ToldUsage
from berylwalk.dispatch._advertised_rate_limit import (
    UPDATE_TTL_S,
    AdvertisedRateLimit,
    max_senders,
)
from berylwalk.dispatch._concurrency_limits import concurrency_limit
from berylwalk.dispatch._configuration import (
    Account,
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from berylwalk.dispatch._dispatcher import Dispatcher
from berylwalk.dispatch._first_event_model import FirstEventModel
from berylwalk.dispatch._flow_control import (
    FlowControl,
    FlowControlSignal,
    FlowControlUpdate,
)
from berylwalk.dispatch._graceful_stop import GracefulStop
from berylwalk.dispatch._idle_timeout import IdleTimeout
from berylwalk.dispatch._monitored_targets import (
    MonitoredLife,
    MonitoredTargets,
    report_interval_s,
)
from berylwalk.dispatch._outcomes import AttemptEnd, Attempts
from berylwalk.dispatch._passed_over import SentRequest, is_passed_over, is_stalled
from berylwalk.dispatch._peer_table import MAX_FULL_MESH_PEERS, Peer, PeerTable
from berylwalk.dispatch._placement import (
    PlacementRequest,
    choose_target,
    estimate_first_event,
    mean_token_s,
)
from berylwalk.dispatch._prefix_cache_index import PrefixCacheIndex, PrefixPlacement
from berylwalk.dispatch._quota_rules import (
    HistoryCoverage,
    QuotaReserve,
    QuotaRules,
    QuotaState,
)
from berylwalk.dispatch._quotas import QuotaTracker
from berylwalk.dispatch._refused_requests import RefusalRecords, RefusedRequests
from berylwalk.dispatch._request_deadlines import (
    RequestDeadlines,
    deadlines_after_failure,
    deadlines_at_arrival,
    deadlines_of_begun_stream,
    short_deadlines,
)
from berylwalk.dispatch._request_queue import PendingRequest, RequestQueue
from berylwalk.dispatch._request_rates import RatesByService, RequestRates
from berylwalk.dispatch._requested_backoff import RequestedBackoff
from berylwalk.dispatch._retry_after import (
    ELSEWHERE_DELAY_S,
    SHORT_RETURN_S,
    retry_after_s,
)
from berylwalk.dispatch._retry_budget import (
    RetryBudgetState,
    RetryHistory,
    RetryTotals,
    WindowedRetryBudget,
)
from berylwalk.dispatch._router_settings import RouterSettings, SocketAddress, VmLimits
from berylwalk.dispatch._stream_versions import (
    OwnStream,
    StreamRecords,
    StreamVersions,
    stream_key,
)
from berylwalk.dispatch._target import FirstEventEstimate, Target, TargetSpeed
from berylwalk.dispatch._target_entries import (
    IneligibilityReason,
    SharedPrefix,
    TargetEntry,
    TargetState,
    Work,
)
from berylwalk.dispatch._target_report import TargetReport
from berylwalk.dispatch._target_signals import NO_SIGNALS, TargetSignals
from berylwalk.dispatch._target_table import TargetTable
from berylwalk.dispatch._urgency import Urgency
from berylwalk.dispatch._version_history import UNKNOWN_VERSION, VersionHistory
from berylwalk.dispatch._vm_capacity import RouterPressure, VmCapacity, VmResource

__all__ = [
    "ELSEWHERE_DELAY_S",
    "MAX_FULL_MESH_PEERS",
    "NO_SIGNALS",
    "SHORT_RETURN_S",
    "UNKNOWN_VERSION",
    "UPDATE_TTL_S",
    "Account",
    "AccountUsage",
    "AdvertisedRateLimit",
    "Allowed",
    "AttemptEnd",
    "Attempts",
    "CallerLimits",
    "Configuration",
    "ConfigurationState",
    "DenialReason",
    "Denied",
    "Dispatcher",
    "FirstEventEstimate",
    "FirstEventModel",
    "FlowControl",
    "FlowControlSignal",
    "FlowControlUpdate",
    "GracefulStop",
    "HistoryCoverage",
    "IdleTimeout",
    "IneligibilityReason",
    "MonitoredLife",
    "MonitoredTargets",
    "OwnStream",
    "Peer",
    "PeerTable",
    "PendingRequest",
    "PlacementRequest",
    "PrefixCacheIndex",
    "PrefixPlacement",
    "QuotaReserve",
    "QuotaRules",
    "QuotaState",
    "QuotaTracker",
    "RatesByService",
    "RefusalRecords",
    "RefusedRequests",
    "RequestDeadlines",
    "RequestQueue",
    "RequestRates",
    "RequestedBackoff",
    "RetryBudgetState",
    "RetryHistory",
    "RetryTotals",
    "Route",
    "RouteKind",
    "RouterPressure",
    "RouterSettings",
    "SentRequest",
    "Service",
    "ServiceShare",
    "SharedPrefix",
    "SocketAddress",
    "StreamRecords",
    "StreamVersions",
    "Target",
    "TargetEntry",
    "TargetReport",
    "TargetSignals",
    "TargetSpeed",
    "TargetState",
    "TargetTable",
    "ToldUsage",
    "Urgency",
    "VersionHistory",
    "VmCapacity",
    "VmLimits",
    "VmResource",
    "WindowedRetryBudget",
    "Work",
    "choose_target",
    "concurrency_limit",
    "deadlines_after_failure",
    "deadlines_at_arrival",
    "deadlines_of_begun_stream",
    "estimate_first_event",
    "is_passed_over",
    "is_stalled",
    "max_senders",
    "mean_token_s",
    "report_interval_s",
    "retry_after_s",
    "short_deadlines",
    "stream_key",
]
