"""Actions of one step, with the messages to each agent batched into datagrams."""

from berylwalk.router._events import RouterAction, SendToAgent
from berylwalk.wire import ControlMessage

MESSAGES_PER_DATAGRAM = 6
"""Keeps datagrams below the usual packet size of 1500 bytes."""


class Outbox:
    """Collects the actions of one step."""

    def __init__(self) -> None:
        self._actions: list[RouterAction] = []
        self._messages_by_agent: dict[str, list[ControlMessage]] = {}

    def add_action(self, action: RouterAction) -> None:
        self._actions.append(action)

    def send(self, agent: str, message: ControlMessage) -> None:
        """Queue a message to an agent; order is kept."""
        self._messages_by_agent.setdefault(agent, []).append(message)

    def take(self) -> list[RouterAction]:
        """Return all actions, datagrams last, and clear the outbox."""
        actions = self._actions
        for agent, messages in self._messages_by_agent.items():
            for start in range(0, len(messages), MESSAGES_PER_DATAGRAM):
                part = tuple(messages[start : start + MESSAGES_PER_DATAGRAM])
                actions.append(SendToAgent(agent, part))
        self._actions = []
        self._messages_by_agent = {}
        return actions
