"""Batching of messages to agents into datagrams."""

from collections import defaultdict
from collections.abc import Callable

from anyio import Event

from berylwalk.wire import ControlMessage

MESSAGES_PER_DATAGRAM = 6
"""Keeps datagrams below the usual packet size of 1500 bytes."""

SendMessages = Callable[[str, tuple[ControlMessage, ...]], None]
"""Sends one datagram to an agent."""


class MessageBatches:
    """Collects messages until the next iteration of the event loop.

    Parameters
    ----------
    send : callable
        Sends one datagram to an agent.
    """

    def __init__(self, send: SendMessages) -> None:
        self._send = send
        self._messages_by_agent: defaultdict[str, list[ControlMessage]]
        self._messages_by_agent = defaultdict(list)
        self._added = Event()

    def add(self, agent: str, messages: tuple[ControlMessage, ...]) -> None:
        """Queue messages to an agent."""
        self._messages_by_agent[agent].extend(messages)
        self._added.set()

    def flush(self) -> None:
        """Send all queued messages."""
        queued = self._messages_by_agent
        self._messages_by_agent = defaultdict(list)
        self._added = Event()
        for agent, messages in queued.items():
            for start in range(0, len(messages), MESSAGES_PER_DATAGRAM):
                part = messages[start : start + MESSAGES_PER_DATAGRAM]
                self._send(agent, tuple(part))

    async def run(self) -> None:
        """Send queued messages until cancelled."""
        while True:
            await self._added.wait()
            self.flush()
