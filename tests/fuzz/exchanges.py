"""Steps of grant connections: what the agent's and the router's shells do."""

from typing import Protocol

from nodes import Node
from oracle import Oracle
from simulated_network import WHOLE_ANSWER, GrantConnection, Piece

from berylwalk.agent import DispatchEnd, DispatchEnded, RefuseGrant, TargetProgress
from berylwalk.agent import GrantArrived as AgentGrantArrived
from berylwalk.model import Refusal, RefusalReason
from berylwalk.router import (
    GrantLost,
    GrantNotSent,
    GrantRefused,
    ResponseComplete,
    ResponseProgress,
    ResponseStarted,
)

RETRY_MS = 1000


class Fleet(Protocol):
    """What the steps need of the world."""

    oracle: Oracle
    agents_by_id: dict[str, Node]
    routers_by_id: dict[str, Node]

    def to_agent(self, node: Node, event: object) -> list:
        """Hand an event to an agent."""

    def to_router(self, node: Node, event: object) -> list:
        """Hand an event to a router."""


def step(fleet: Fleet, connection: GrantConnection) -> None:
    """Let the side that can go on make one step, the router first."""
    if not router_step(fleet, connection):
        agent_step(fleet, connection)


def agent_step(fleet: Fleet, connection: GrantConnection) -> None:
    """Let the agent read the grant, notice a break or relay a piece."""
    node = fleet.agents_by_id[connection.grant.agent]
    if node.frozen:
        return
    if connection.arrives and connection.held:
        return
    if connection.arrives:
        _deliver_grant(fleet, node, connection)
    elif not connection.runs:
        return
    elif _is_caller_gone(connection) and connection.grant.idempotent:
        _end_dispatch(fleet, node, connection, DispatchEnd.CALLER_GONE)
    elif connection.produced < WHOLE_ANSWER:
        _produce(fleet, node, connection)
    else:
        connection.ended = True
        _end_dispatch(fleet, node, connection, DispatchEnd.COMPLETE)


def router_step(fleet: Fleet, connection: GrantConnection) -> bool:
    """Let the router read what has arrived; return whether there was anything."""
    node = fleet.routers_by_id[connection.grant.router]
    if not connection.router_open or node.frozen:
        return False
    name = (connection.request_id, connection.grant.attempt)
    if connection.read < len(connection.sent):
        _read_piece(fleet, node, connection)
    elif connection.refusal is not None:
        _finish(fleet, node, connection, GrantRefused(*name, connection.refusal))
    elif connection.broken:
        _finish(fleet, node, connection, GrantLost(*name, connection.read > 0))
    elif connection.unsent:
        _finish(fleet, node, connection, GrantNotSent(*name))
    elif connection.ended:
        _finish(fleet, node, connection, ResponseComplete(*name))
    else:
        return False
    return True


def target_breaks(fleet: Fleet, connection: GrantConnection) -> None:
    """Let the target break off its answer, so that the agent aborts."""
    node = fleet.agents_by_id[connection.grant.agent]
    if connection.runs and node.acting:
        connection.broken = True
        _end_dispatch(fleet, node, connection, DispatchEnd.BROKEN)


def target_refuses(fleet: Fleet, connection: GrantConnection) -> None:
    """Let the target's port be closed before anything was sent to it."""
    node = fleet.agents_by_id[connection.grant.agent]
    if connection.runs and node.acting and connection.produced == 0:
        fleet.oracle.not_sent(connection.request_id)
        _end_dispatch(fleet, node, connection, DispatchEnd.NOT_SENT)
        if not connection.broken:
            refusal = Refusal(RefusalReason.NOT_SERVED, RETRY_MS)
            fleet.oracle.refused(node.name, connection.request_id, refusal.reason, {})
            connection.refusal = refusal


def _deliver_grant(fleet: Fleet, node: Node, connection: GrantConnection) -> None:
    connection.arrives = False
    if not node.alive:
        connection.unsent = True
        return
    (answer,) = [
        action
        for action in fleet.to_agent(node, AgentGrantArrived(connection.grant))
        if not hasattr(action, "messages")
    ][:1]
    if isinstance(answer, RefuseGrant):
        connection.refusal = None if connection.broken else answer.refusal
    else:
        connection.runs = True


def _is_caller_gone(connection: GrantConnection) -> bool:
    return connection.broken or not connection.router_open


def _produce(fleet: Fleet, node: Node, connection: GrantConnection) -> None:
    piece = Piece(connection.request_id, connection.produced)
    connection.produced += 1
    if not _is_caller_gone(connection):
        connection.sent.append(piece)
    event = TargetProgress(connection.request_id, first=piece.number == 0)
    fleet.to_agent(node, event)


def _end_dispatch(
    fleet: Fleet, node: Node, connection: GrantConnection, end: DispatchEnd
) -> None:
    connection.runs = False
    node.running.discard(connection.request_id)
    fleet.to_agent(node, DispatchEnded(connection.request_id, end))


def _read_piece(fleet: Fleet, node: Node, connection: GrantConnection) -> None:
    piece = connection.sent[connection.read]
    connection.read += 1
    name = (connection.request_id, connection.grant.attempt)
    event = ResponseStarted(*name) if piece.number == 0 else ResponseProgress(*name)
    fleet.oracle.relayed(connection.request_id, piece)
    fleet.to_router(node, event)


def _finish(
    fleet: Fleet, node: Node, connection: GrantConnection, event: object
) -> None:
    connection.router_open = False
    fleet.to_router(node, event)
