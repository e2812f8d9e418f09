"""Processes of the simulated fleet."""

from dataclasses import dataclass, field

from oracle import Waiting, WaitingById

from berylwalk.agent import AgentMachine
from berylwalk.model import RequestId
from berylwalk.router import RouterMachine


@dataclass(slots=True)
class Node:
    """One process: a state machine and what became of it.

    Parameters
    ----------
    clock_offset : float
        Its monotonic clock is ahead of the simulation's by so many seconds.
    running : set of RequestId
        Requests whose call at the target goes on.
    """

    node_id: str
    incarnation: int
    machine: AgentMachine | RouterMachine
    clock_offset: float
    alive: bool = True
    frozen: bool = False
    running: set[RequestId] = field(default_factory=set)

    @property
    def acting(self) -> bool:
        """Whether the process handles events now."""
        return self.alive and not self.frozen

    @property
    def name(self) -> tuple[str, int]:
        """Identifier and incarnation."""
        return self.node_id, self.incarnation

    def waiting(self) -> WaitingById:
        """Return the entries of an agent's queue, including their states."""
        entries = self.machine._reservations.waiting
        return {entry.key: Waiting(entry.rank, entry.state) for entry in entries}
