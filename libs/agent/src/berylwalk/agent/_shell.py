"""Shell of the state machine: feeds it events and performs its actions."""

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
    """Runs the state machine.

    Not thread-safe; all methods are called in one event loop.

    Parameters
    ----------
    machine : AgentMachine
        State machine to run.
    clock : callable
        Monotonic clock, in seconds.

    Attributes
    ----------
    drained : anyio.Event
        Set when a drain is complete.
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
            min_interval_s=TICK_S,
            max_interval_s=IDLE_TICK_S,
            clock=clock,
        )
        self.drained = Event()

    @property
    def machine(self) -> AgentMachine:
        """The state machine; only its read-only properties may be used."""
        return self._machine

    def set_sender(self, send_messages: SendMessages) -> None:
        """Set the function that sends messages to routers."""
        self._send_messages = send_messages

    def admit(self, grant: Grant) -> Refusal | None:
        """Admit or refuse a grant; return the refusal, or None if it is dispatched."""
        actions = self._machine.handle(GrantArrived(grant), self._clock())
        self._perform(actions)
        self._ticks.reschedule()
        refused = [action for action in actions if isinstance(action, RefuseGrant)]
        return refused[0].refusal if refused else None

    def handle(self, event: AgentEvent) -> None:
        """Handle an event and perform the resulting actions."""
        try:
            self._perform(self._machine.handle(event, self._clock()))
        except Exception:
            # A failure to handle one event must not end the process and its requests.
            logging.exception("failed to handle %s", type(event).__name__)
        # By far the most frequent event; it sets no timer.
        if not isinstance(event, TargetProgress):
            self._ticks.reschedule()

    async def run_ticks(self) -> None:
        """Send ticks to the state machine when they are due."""
        await self._ticks.run()

    def _perform(self, actions: list[AgentAction]) -> None:
        for action in actions:
            match action:
                case SendToRouter(router, messages):
                    self._send_messages(router, messages)
                case DrainFinished():
                    self.drained.set()
