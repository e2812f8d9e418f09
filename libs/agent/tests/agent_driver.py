"""Driver of the agent's state machine, with builders of messages."""

from berylwalk.agent import (
    AgentConfig,
    AgentMachine,
    DatagramArrived,
    DispatchEnd,
    DispatchEnded,
    GrantArrived,
    RefuseGrant,
    SendToRouter,
    StartDispatch,
)
from berylwalk.model import RequestId
from berylwalk.wire import Datagram, Digest, Grant, Reserve

INCARNATION = 100
ROUTER_INCARNATION = 5


def rid(serial, *, router="r1", incarnation=ROUTER_INCARNATION):
    return RequestId(router, incarnation, serial)


def reserve(request_id, attempt=1, **changes):
    fields = {
        "resource": "model:m",
        "client_account": "acme",
        "tier_rank": 1,
        "weight": 1.0,
        "prompt_tokens": 100,
        "output_tokens": 10,
        "deadline_ms": 60_000,
    }
    return Reserve(request_id, attempt, **(fields | changes))


def grant(request_id, attempt=1, *, conditional=False, **changes):
    fields = {
        "router": request_id.router,
        "agent": "a1",
        "agent_incarnation": INCARNATION,
        "conditional": conditional,
        "resource": "model:m",
        "client_account": "acme",
        "tier_rank": 1,
        "weight": 1.0,
        "prompt_tokens": 100,
        "output_tokens": 10,
        "deadline_ms": 60_000,
        "idempotent": True,
        "method": "POST",
        "path": "/v1/chat/completions",
    }
    return Grant(request_id, attempt, **(fields | changes))


class Driver:
    """State machine with a clock; keeps the messages of the last step."""

    def __init__(self, **changes):
        fields = {
            "agent_id": "a1",
            "incarnation": INCARNATION,
            "resources": ("model:m",),
            "initial_limit": 1,
            "max_limit": 8,
            "ask_ahead": 0,
        }
        self.machine = AgentMachine(AgentConfig(**(fields | changes)))
        self.now = 1000.0
        self.sent = []

    def handle(self, event, *, after=0.0):
        self.now += after
        actions = self.machine.handle(event, self.now)
        self.sent = [
            message
            for action in actions
            if isinstance(action, SendToRouter)
            for message in action.messages
            if not isinstance(message, Digest)
        ]
        return actions

    def receive(self, *messages, router="r1", incarnation=ROUTER_INCARNATION, after=0):
        datagram = Datagram(router, incarnation, 0, messages)
        self.handle(DatagramArrived(datagram), after=after)
        return self.sent

    def grant(self, *args, **changes):
        """Handle a grant; return the reason of its refusal, or None if dispatched."""
        actions = self.handle(GrantArrived(grant(*args, **changes)))
        answers = [
            action
            for action in actions
            if isinstance(action, StartDispatch | RefuseGrant)
        ]
        assert len(answers) == 1
        if isinstance(answers[0], StartDispatch):
            return None
        return answers[0].refusal.reason

    def end(self, request_id, end=DispatchEnd.COMPLETE):
        return self.handle(DispatchEnded(request_id, end))

    def fill_slot(self):
        assert self.grant(rid(999), conditional=True) is None
        return rid(999)
