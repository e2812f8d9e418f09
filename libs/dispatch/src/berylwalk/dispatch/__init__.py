"""Decisions of a router that forwards straight to targets; pure, without I/O."""

from berylwalk.dispatch._access import (
    Allowed,
    ConfigurationState,
    DenialReason,
    Denied,
)
from berylwalk.dispatch._allowances import (
    AllowanceRules,
    Allowances,
    AllowanceState,
    Knowledge,
)
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
from berylwalk.dispatch._outcomes import AttemptEnd, Attempts
from berylwalk.dispatch._patience import (
    Patience,
    patience_after_failure,
    patience_at_arrival,
)
from berylwalk.dispatch._peer_view import PEERS_OF_ONE_MESH, Peer, PeerTable
from berylwalk.dispatch._place_limits import place_limit
from berylwalk.dispatch._placing import (
    PlaceRequest,
    choose_target,
    expected_start,
    mean_token_s,
)
from berylwalk.dispatch._prefix_reads import PrefixReads, Read
from berylwalk.dispatch._retries import WindowedRetryBudget
from berylwalk.dispatch._return_times import return_time_s
from berylwalk.dispatch._router_settings import RouterSettings, SocketAddress
from berylwalk.dispatch._start_model import StartModel
from berylwalk.dispatch._stated_limit import NEWS_KEPT_S, StatedLimit, most_senders
from berylwalk.dispatch._stated_needs import Need, NeedsNews, StatedNeeds
from berylwalk.dispatch._stated_rest import StatedRest
from berylwalk.dispatch._statements import NOTHING_STATED, TargetStatement
from berylwalk.dispatch._target import ExpectedStart, Target, TargetSpeed
from berylwalk.dispatch._target_entries import (
    Obstacle,
    SharedPrefix,
    TargetEntry,
    TargetState,
    Work,
)
from berylwalk.dispatch._target_table import TargetTable
from berylwalk.dispatch._waiting_line import Ticket, WaitingLine

__all__ = [
    "NEWS_KEPT_S",
    "NOTHING_STATED",
    "PEERS_OF_ONE_MESH",
    "Account",
    "AllowanceRules",
    "AllowanceState",
    "Allowances",
    "Allowed",
    "AttemptEnd",
    "Attempts",
    "CallerLimits",
    "Configuration",
    "ConfigurationState",
    "DenialReason",
    "Denied",
    "Dispatcher",
    "ExpectedStart",
    "Knowledge",
    "Need",
    "NeedsNews",
    "Obstacle",
    "Patience",
    "Peer",
    "PeerTable",
    "PlaceRequest",
    "PrefixReads",
    "Read",
    "Route",
    "RouteKind",
    "RouterSettings",
    "Service",
    "ServiceShare",
    "SharedPrefix",
    "SocketAddress",
    "StartModel",
    "StatedLimit",
    "StatedNeeds",
    "StatedRest",
    "Target",
    "TargetEntry",
    "TargetSpeed",
    "TargetState",
    "TargetStatement",
    "TargetTable",
    "Ticket",
    "WaitingLine",
    "WindowedRetryBudget",
    "Work",
    "choose_target",
    "expected_start",
    "mean_token_s",
    "most_senders",
    "patience_after_failure",
    "patience_at_arrival",
    "place_limit",
    "return_time_s",
]
