"""Simulated processes."""

from dataclasses import dataclass, field

from oracle import EntriesById, QueuedEntry

from berylwalk.agent import AgentMachine
from berylwalk.model import RequestId
from berylwalk.router import RouterMachine


@dataclass(slots=True)
class Node:
    """One process: a state machine, its clock and its state.

    Parameters
    ----------
    clock_offset : float
        Seconds by which its monotonic clock is ahead of the simulation's.
    running : set of RequestId
        Requests that run at the target.
    """

    node_id: str
    incarnation: int
    machine: AgentMachine | RouterMachine
    clock_offset: float
    alive: bool = True
    frozen: bool = False
    running: set[RequestId] = field(default_factory=set)

    @property
    def is_active(self) -> bool:
        """Whether the process handles events."""
        return self.alive and not self.frozen

    @property
    def identity(self) -> tuple[str, int]:
        """Identifier and incarnation."""
        return self.node_id, self.incarnation

    def waiting(self) -> EntriesById:
        """Return the entries of an agent's queue, including their states."""
        entries = self.machine._reservations.waiting
        return {entry.key: QueuedEntry(entry.rank, entry.state) for entry in entries}
