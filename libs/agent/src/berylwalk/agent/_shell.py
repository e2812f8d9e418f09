"""Feeds events into the state machine and carries its actions out."""

from collections.abc import Callable
from time import monotonic

from absl import logging
from anyio import Event

from berylwalk.agent._config import IDLE_TICK_S, TICK_S
from berylwalk.agent._events import (
    AgentAction,
    AgentEvent,
    DrainFinished,
    GrantArrived,
    RefuseGrant,
    SendToRouter,
    TargetProgress,
    Tick,
)
from berylwalk.agent._machine import AgentMachine
from berylwalk.model import Refusal
from berylwalk.process import TickLoop
from berylwalk.wire import ControlMessage, Grant

SendMessages = Callable[[str, tuple[ControlMessage, ...]], None]


class AgentShell:
    """The state machine together with what its actions need.

    All methods belong to one loop.

    Parameters
    ----------
    machine : AgentMachine
        Decides.
    clock : callable
        Monotonic clock, in seconds.

    Attributes
    ----------
    drained : anyio.Event
        Set when a drain has finished.
    """

    def __init__(
        self, machine: AgentMachine, *, clock: Callable[[], float] = monotonic
    ) -> None:
        self._machine = machine
        self._clock = clock
        self._send_messages: SendMessages | None = None
        self._ticks = TickLoop(
            lambda: self.handle(Tick()),
            next_due=lambda: machine.next_due(clock()),
            least_s=TICK_S,
            longest_s=IDLE_TICK_S,
            clock=clock,
        )
        self.drained = Event()

    @property
    def machine(self) -> AgentMachine:
        """The state machine, for its read-only properties."""
        return self._machine

    def set_sender(self, send_messages: SendMessages) -> None:
        """Set what sends datagrams to routers."""
        self._send_messages = send_messages

    def admit(self, grant: Grant) -> Refusal | None:
        """Use up a grant; return why it isn't dispatched, or None when it is."""
        actions = self._machine.handle(GrantArrived(grant), self._clock())
        self._act(actions)
        self._ticks.note_event()
        refused = [action for action in actions if isinstance(action, RefuseGrant)]
        return refused[0].refusal if refused else None

    def handle(self, event: AgentEvent) -> None:
        """Feed one event into the state machine and act on the result."""
        try:
            self._act(self._machine.handle(event, self._clock()))
        except Exception:
            # A fault in one event must not end the process and its requests.
            logging.exception("handling %s failed", type(event).__name__)
        # Pieces of answers are by far the most frequent, and set no timer.
        if not isinstance(event, TargetProgress):
            self._ticks.note_event()

    async def run_ticks(self) -> None:
        """Tell the state machine of the passing of time."""
        await self._ticks.run()

    def _act(self, actions: list[AgentAction]) -> None:
        for action in actions:
            match action:
                case SendToRouter(router, messages):
                    self._send_messages(router, messages)
                case DrainFinished():
                    self.drained.set()
