"""What the target serves, and whether it takes new work."""

from dataclasses import dataclass


@dataclass(slots=True)
class Target:
    """State of the target as the agent knows it.

    Parameters
    ----------
    resources : tuple of str
        ``model:NAME`` and ``service:NAME``.
    reachable : bool
        Whether it answers.
    agent_draining : bool
        Whether the agent is draining.
    target_leaving : bool
        Whether the target says in its answers that it leaves.
    """

    resources: tuple[str, ...] = ()
    reachable: bool = True
    agent_draining: bool = False
    target_leaving: bool = False

    @property
    def refuses_new_work(self) -> bool:
        """Whether no new work is taken, for good."""
        return self.agent_draining or self.target_leaving

    def serves(self, resource: str) -> bool:
        """Return whether new work for a resource can be sent."""
        return self.reachable and resource in self.resources
