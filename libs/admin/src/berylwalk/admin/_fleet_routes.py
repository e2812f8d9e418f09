"""Request handlers for the state of the fleet and for orders."""

from collections.abc import Sequence

from absl import logging
from msgspec import Struct

from berylwalk.admin._calls import AdminCall, Handler, Response, RouteKey
from berylwalk.admin._inputs import read_json
from berylwalk.admin._orders import OrderBody, OrderService
from berylwalk.admin._problems import Problem, ProblemError, ProblemKind, invalid
from berylwalk.admin._services import (
    FleetView,
    NodeStatus,
    TargetStatus,
    TierStatus,
)
from berylwalk.orders import Order, OrderOutcome, OrderResult


class Targets(Struct, frozen=True):
    """Response to ``GET targets``."""

    targets: Sequence[TargetStatus]


class Nodes(Struct, frozen=True):
    """Response to ``GET nodes``."""

    nodes: Sequence[NodeStatus]


class Tiers(Struct, frozen=True):
    """Response to ``GET tiers``."""

    tiers: Sequence[TierStatus]


def fleet_routes(
    fleet: FleetView, orders: OrderService | None
) -> dict[RouteKey, Handler]:
    """Return the handlers for the fleet and for orders.

    Parameters
    ----------
    fleet : FleetView
        State of the fleet.
    orders : OrderService or None
        None if orders are not supported.

    Returns
    -------
    dict of RouteKey to Handler
        Paths are relative to the root of the API.
    """

    async def get_targets(call: AdminCall) -> Response:
        return Response(Targets(fleet.targets()))

    async def get_nodes(call: AdminCall) -> Response:
        return Response(Nodes(fleet.nodes()))

    async def get_tiers(call: AdminCall) -> Response:
        return Response(Tiers(fleet.tiers()))

    async def post_order(call: AdminCall) -> Response:
        if orders is None:
            detail = "this router passes on no orders to engines"
            raise ProblemError(501, Problem(ProblemKind.UNSUPPORTED, detail))
        body, findings = read_json(OrderBody.model_validate_json, call.body)
        if findings:
            raise invalid(findings)
        order = body.to_order()
        result = await orders.send(order)
        _log_order(order, result, call.author)
        if result.outcome is OrderOutcome.DONE:
            return Response(result)
        if result.outcome is OrderOutcome.REFUSED:
            raise ProblemError(409, Problem(ProblemKind.REFUSED, result.detail))
        raise ProblemError(503, Problem(ProblemKind.UNDECIDED, result.detail))

    return {
        ("GET", "targets"): get_targets,
        ("GET", "nodes"): get_nodes,
        ("GET", "tiers"): get_tiers,
        ("POST", "orders"): post_order,
    }


def _log_order(order: Order, result: OrderResult, author: str) -> None:
    logging.info(
        "order by %s to target %s: %s %s; result: %s %s",
        author,
        order.target,
        order.kind,
        order.name,
        result.outcome,
        result.detail,
    )
