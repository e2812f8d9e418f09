"""Resources, reachability and shutdown state of the target."""

from dataclasses import dataclass


@dataclass(slots=True)
class Target:
    """Resources, reachability and shutdown state of the target.

    Parameters
    ----------
    resources : tuple of str
        ``model:NAME`` and ``service:NAME``.
    reachable : bool
        Whether it responds.
    agent_draining : bool
        Whether the agent is draining.
    target_leaving : bool
        Whether the target announced its shutdown.
    """

    resources: tuple[str, ...] = ()
    reachable: bool = True
    agent_draining: bool = False
    target_leaving: bool = False

    @property
    def refuses_new_work(self) -> bool:
        """Whether new work is refused permanently."""
        return self.agent_draining or self.target_leaving

    def serves(self, resource: str) -> bool:
        """Return whether the target is reachable and serves a resource."""
        return self.reachable and resource in self.resources
