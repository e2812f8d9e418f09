"""Resources that are known at present or were known recently."""

from berylwalk.caller._interfaces import Clock, KnownResources

RETENTION_S = 3600.0
"""Time for which a resource that no target offers any more counts as existing."""


def include_recent_resources(
    resources: KnownResources, clock: Clock, *, retention_s: float = RETENTION_S
) -> KnownResources:
    """Extend the known resources by those that were known recently.

    The core knows the resources of targets that are down, but not those of VMs that
    were removed from the VM list, as when all VMs of a resource are replaced.
    Callers then get the core's refusal, which has a retry time, instead of status
    404. Resources are recorded when the returned function is called.

    Parameters
    ----------
    resources : callable
        Returns the resources known at present.
    clock : callable
        Monotonic time in seconds.
    retention_s : float
        Time for which a resource is retained, in seconds.

    Returns
    -------
    callable
        Returns the resources that exist; empty while none is known at present.
    """
    seen_at_by_name: dict[str, float] = {}

    def existing() -> frozenset[str]:
        present = resources()
        now = clock()
        seen_at_by_name.update(dict.fromkeys(present, now))
        oldest = now - retention_s
        for name in [name for name, at in seen_at_by_name.items() if at < oldest]:
            del seen_at_by_name[name]
        return frozenset(seen_at_by_name) if present else present

    return existing
