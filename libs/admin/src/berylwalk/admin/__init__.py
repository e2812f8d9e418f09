"""Administration API for operators.

:func:`admin_app` returns an ASGI application. It depends on protocols that the router
implements: :class:`SettingsService`, :class:`FleetView` and, if orders to targets are
supported, :class:`OrderService`.
"""

from berylwalk.admin._app import ROOT_PATH, admin_app
from berylwalk.admin._explained import (
    ExplainedValue,
    Origin,
    OtherValue,
    SectionSettings,
)
from berylwalk.admin._orders import OrderBody, OrderService
from berylwalk.admin._problems import (
    ClashDetails,
    Problem,
    ProblemError,
    ProblemKind,
)
from berylwalk.admin._services import (
    FleetView,
    NodeRole,
    NodeStatus,
    SettingsService,
    TargetStatus,
    TierStatus,
)
from berylwalk.admin._submit_responses import AcceptedChange

__all__ = [
    "ROOT_PATH",
    "AcceptedChange",
    "ClashDetails",
    "ExplainedValue",
    "FleetView",
    "NodeRole",
    "NodeStatus",
    "OrderBody",
    "OrderService",
    "Origin",
    "OtherValue",
    "Problem",
    "ProblemError",
    "ProblemKind",
    "SectionSettings",
    "SettingsService",
    "TargetStatus",
    "TierStatus",
    "admin_app",
]
