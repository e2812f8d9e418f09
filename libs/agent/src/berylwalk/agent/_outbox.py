"""Outgoing control messages, grouped by router."""

from berylwalk.agent._events import SendToRouter
from berylwalk.wire import ControlMessage

# Keeps a datagram below a typical MTU.
MAX_MESSAGES_PER_DATAGRAM = 12


class Outbox:
    """Buffer of messages that are flushed in as few datagrams as possible."""

    def __init__(self) -> None:
        self._messages_by_router: dict[str, list[ControlMessage]] = {}

    def send(self, router: str, message: ControlMessage) -> None:
        """Add a message to a router."""
        self._messages_by_router.setdefault(router, []).append(message)

    def flush(self) -> list[SendToRouter]:
        """Remove all messages and return the actions that send them."""
        if not self._messages_by_router:
            return []
        actions = [
            SendToRouter(
                router, tuple(messages[start : start + MAX_MESSAGES_PER_DATAGRAM])
            )
            for router, messages in self._messages_by_router.items()
            for start in range(0, len(messages), MAX_MESSAGES_PER_DATAGRAM)
        ]
        self._messages_by_router = {}
        return actions
