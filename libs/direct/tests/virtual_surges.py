"""Simulation of a router that gets most of the new connections, in virtual time."""

from dataclasses import dataclass

from anyio import sleep

import statement_rules as rules
from virtual_parts import CONTACT_S, PartSimulation

BEFORE_S = 4.0
"""Length of the period before a surge that it is compared with, in seconds."""
PAUSE_S = 6.0
"""Time before each surge, in seconds."""


@dataclass(frozen=True)
class Surge:
    """A period in which one router gets most of the calls."""

    router: str
    since: float
    until: float


class SurgeSimulation(PartSimulation):
    """A fleet of which one router after the other gets most of the calls.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    share : float
        Share of the calls that go to that router.
    surge_s : float
        Length of each surge, in seconds.
    more_calls : float
        Rate of calls in a surge, relative to the usual one.
    limits_per_s : float or None
        Sum of the limits that the targets advertise; None for none.
    options : dict
        As of `PartSimulation`.
    """

    def __init__(
        self,
        seed,
        *,
        share=0.9,
        surge_s=9.0,
        more_calls=1.2,
        limits_per_s=None,
        **options,
    ):
        options.setdefault("script", _surge_at_two_routers)
        super().__init__(seed, guilty_per_s=0.0, **options)
        self.share = share
        self.surge_s = surge_s
        self.more_calls = more_calls
        self.limits_per_s = limits_per_s
        self.surges = []

    def advertise_limits(self):
        """Let each target advertise an equal part of the limits."""
        if self.limits_per_s is not None:
            for target in self.targets:
                target.advertise_limit(self.limits_per_s / len(self.targets))

    async def surge_at(self, name):
        """Send most of the calls to one router for a while."""
        weights, rate = self.weights, self.requests_per_s
        hot = list(self.domains_by_name).index(name)
        others = sum(weights) - weights[hot]
        self.weights = [each * (1 - self.share) / others for each in weights]
        self.weights[hot] = self.share
        self.requests_per_s = rate * self.more_calls
        since = self.clock()
        await sleep(self.surge_s)
        self.surges.append(Surge(name, since, self.clock()))
        self.weights, self.requests_per_s = weights, rate

    def served_ratios(self):
        """Return how often first tries were served in each surge, relative to before.

        Only the time from `CONTACT_S` after the beginning of the surge counts.
        """
        return [
            self._served(each.since + CONTACT_S, each.until)
            / self._served(each.since - BEFORE_S, each.since)
            for each in self.surges
        ]

    def _served(self, since, until):
        return 1.0 - self.unserved_share(since, until)

    def excess_over_limits(self):
        """Return the largest excess over any target's limit."""
        return max(
            rules.max_excess_over_limit(target, self.fault_log)
            for target in self.targets
        )


async def _surge_at_two_routers(simulation):
    """Let the limits be known, then send most calls to one router, then another."""
    simulation.advertise_limits()
    names = list(simulation.domains_by_name)
    for name in (names[1 % len(names)], names[len(names) // 2]):
        await sleep(PAUSE_S)
        await simulation.surge_at(name)
