"""Load balancer of the platform, as far as its choices go: it opens no connections.

It hands each new connection to a router of the caller's failure domain by a hash of the
caller, asks each router once a second whether it is ready, and can be told to hand most
connections to one router.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

MISSES_UNTIL_OUT = 2
"""Answers of a router that is not ready until it gets no new connections."""


@dataclass
class LoadBalancer:
    """Chooses the router for each new connection.

    Parameters
    ----------
    domains_by_name : mapping
        Failure domains of the routers, by name.
    random : Random
        Source of the hashes of callers and of the draws in a surge.
    """

    domains_by_name: Mapping[str, str]
    random: Random
    misses_by_name: dict[str, int] = field(default_factory=dict)
    surge_share: float = 0.0
    surge_domain: str | None = None
    surge_router: str | None = None

    def note_probe(self, name: str, *, is_ready: bool) -> None:
        """Record the answer of a router to the question of one second."""
        self.misses_by_name[name] = (
            0 if is_ready else self.misses_by_name.get(name, 0) + 1
        )

    def is_in(self, name: str) -> bool:
        """Return whether a router is in rotation."""
        return self.misses_by_name.get(name, 0) < MISSES_UNTIL_OUT

    def begin_surge(
        self, router: str, *, share: float, domain: str | None = None
    ) -> None:
        """Hand most new connections to one router while it is in rotation.

        Once it is out, another one of the same failure domain takes its place.

        Parameters
        ----------
        router : str
            Name of the first router.
        share : float
            Share of the new connections that it gets.
        domain : str or None
            Failure domain whose connections are concerned; None for all.
        """
        self.surge_router, self.surge_share, self.surge_domain = router, share, domain

    def end_surge(self) -> None:
        """Hand out connections by hash again."""
        self.surge_router = None

    def choose(self, domain: str, *, excluded: str | None = None) -> str:
        """Return the router for a new connection.

        Parameters
        ----------
        domain : str
            Failure domain of the caller.
        excluded : str or None
            Router that the caller has tried before; the choice is not part of a surge.
        """
        if excluded is None and self._is_in_surge(domain):
            return self._next_of_surge()
        names = [each for each in self._names_in(domain) if each != excluded]
        if not names:
            names = [each for each in self.domains_by_name if each != excluded]
        return self.random.choice(names or list(self.domains_by_name))

    def _is_in_surge(self, domain: str) -> bool:
        is_concerned = self.surge_domain in (None, domain)
        is_drawn = self.random.random() < self.surge_share
        return self.surge_router is not None and is_concerned and is_drawn

    def _next_of_surge(self) -> str:
        if not self.is_in(self.surge_router):
            names = self._names_in(self.domains_by_name[self.surge_router])
            position = sorted([*names, self.surge_router]).index(self.surge_router)
            self.surge_router = names[position % len(names)]
        return self.surge_router

    def _names_in(self, domain: str) -> list[str]:
        """Return the routers of a domain in rotation, or all if less than half are."""
        names = [each for each, of in self.domains_by_name.items() if of == domain]
        names_in = sorted(each for each in names if self.is_in(each))
        return names_in if 2 * len(names_in) >= len(names) else sorted(names)
