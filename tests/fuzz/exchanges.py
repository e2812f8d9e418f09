"""Steps of grant connections, in place of the I/O of agents and routers."""

from typing import Protocol

from nodes import Node
from oracle import Oracle
from simulated_network import RESPONSE_CHUNKS, Chunk, GrantConnection

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
    """Interface of the simulation that the steps use."""

    oracle: Oracle
    agents_by_id: dict[str, Node]
    routers_by_id: dict[str, Node]

    def to_agent(self, node: Node, event: object) -> list:
        """Pass an event to an agent."""

    def to_router(self, node: Node, event: object) -> list:
        """Pass an event to a router."""


def step(fleet: Fleet, connection: GrantConnection) -> None:
    """Make one step: of the router if it can proceed, else of the agent."""
    if not router_step(fleet, connection):
        agent_step(fleet, connection)


def agent_step(fleet: Fleet, connection: GrantConnection) -> None:
    """Let the agent receive the grant, detect a disconnect, relay a chunk or end."""
    node = fleet.agents_by_id[connection.grant.agent]
    if node.frozen:
        return
    if connection.in_transit and connection.delayed:
        return
    if connection.in_transit:
        _deliver_grant(fleet, node, connection)
    elif not connection.is_running:
        return
    elif _is_caller_disconnected(connection) and connection.grant.idempotent:
        _end_dispatch(fleet, node, connection, DispatchEnd.CALLER_GONE)
    elif connection.produced_count < RESPONSE_CHUNKS:
        _produce_chunk(fleet, node, connection)
    else:
        connection.has_ended = True
        _end_dispatch(fleet, node, connection, DispatchEnd.COMPLETE)


def router_step(fleet: Fleet, connection: GrantConnection) -> bool:
    """Let the router process one item; return whether there was one."""
    node = fleet.routers_by_id[connection.grant.router]
    if not connection.is_router_open or node.frozen:
        return False
    name = (connection.request_id, connection.grant.attempt)
    if connection.read_count < len(connection.sent):
        _read_chunk(fleet, node, connection)
    elif connection.refusal is not None:
        _finish(fleet, node, connection, GrantRefused(*name, connection.refusal))
    elif connection.is_broken:
        _finish(fleet, node, connection, GrantLost(*name, connection.read_count > 0))
    elif connection.connect_failed:
        _finish(fleet, node, connection, GrantNotSent(*name))
    elif connection.has_ended:
        _finish(fleet, node, connection, ResponseComplete(*name))
    else:
        return False
    return True


def target_breaks(fleet: Fleet, connection: GrantConnection) -> None:
    """Let the target break its response, so that the agent aborts."""
    node = fleet.agents_by_id[connection.grant.agent]
    if connection.is_running and node.is_active:
        connection.is_broken = True
        _end_dispatch(fleet, node, connection, DispatchEnd.BROKEN)


def target_refuses(fleet: Fleet, connection: GrantConnection) -> None:
    """Let the agent's connection attempt to the target fail."""
    node = fleet.agents_by_id[connection.grant.agent]
    if connection.is_running and node.is_active and connection.produced_count == 0:
        fleet.oracle.not_sent(connection.request_id)
        _end_dispatch(fleet, node, connection, DispatchEnd.NOT_SENT)
        if not connection.is_broken:
            refusal = Refusal(RefusalReason.NOT_SERVED, RETRY_MS)
            fleet.oracle.refused(
                node.identity, connection.request_id, refusal.reason, {}
            )
            connection.refusal = refusal


def _deliver_grant(fleet: Fleet, node: Node, connection: GrantConnection) -> None:
    connection.in_transit = False
    if not node.alive:
        connection.connect_failed = True
        return
    (result,) = [
        action
        for action in fleet.to_agent(node, AgentGrantArrived(connection.grant))
        if not hasattr(action, "messages")
    ][:1]
    if isinstance(result, RefuseGrant):
        connection.refusal = None if connection.is_broken else result.refusal
    else:
        connection.is_running = True


def _is_caller_disconnected(connection: GrantConnection) -> bool:
    return connection.is_broken or not connection.is_router_open


def _produce_chunk(fleet: Fleet, node: Node, connection: GrantConnection) -> None:
    chunk = Chunk(connection.request_id, connection.produced_count)
    connection.produced_count += 1
    if not _is_caller_disconnected(connection):
        connection.sent.append(chunk)
    event = TargetProgress(connection.request_id, first=chunk.number == 0)
    fleet.to_agent(node, event)


def _end_dispatch(
    fleet: Fleet, node: Node, connection: GrantConnection, end: DispatchEnd
) -> None:
    connection.is_running = False
    node.running.discard(connection.request_id)
    fleet.to_agent(node, DispatchEnded(connection.request_id, end))


def _read_chunk(fleet: Fleet, node: Node, connection: GrantConnection) -> None:
    chunk = connection.sent[connection.read_count]
    connection.read_count += 1
    name = (connection.request_id, connection.grant.attempt)
    event = ResponseStarted(*name) if chunk.number == 0 else ResponseProgress(*name)
    fleet.oracle.relayed(connection.request_id, chunk)
    fleet.to_router(node, event)


def _finish(
    fleet: Fleet, node: Node, connection: GrantConnection, event: object
) -> None:
    connection.is_router_open = False
    fleet.to_router(node, event)
