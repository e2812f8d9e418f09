"""Selection of an agent for a request: pure functions without I/O."""

from berylwalk.affinity import PlacementHistory
from berylwalk.placement._affinity import (
    cached_tokens_by_agent,
    has_known_prefix,
    preferred_agent,
)
from berylwalk.placement._candidates import (
    Candidate,
    Work,
    corrected_wait_s,
    service_s,
)
from berylwalk.placement._choosers import (
    Chooser,
    earliest_finish,
    expected_finish_s,
    least_wait,
    power_of_two,
    round_robin,
)
from berylwalk.placement._prefixes import prefix_hashes
from berylwalk.placement._rendezvous import rendezvous_order, router_order, subset
from berylwalk.placement._retry_budget import RetryBudget
from berylwalk.placement._stragglers import exclude_stragglers

__all__ = [
    "Candidate",
    "Chooser",
    "PlacementHistory",
    "RetryBudget",
    "Work",
    "cached_tokens_by_agent",
    "corrected_wait_s",
    "earliest_finish",
    "exclude_stragglers",
    "expected_finish_s",
    "has_known_prefix",
    "least_wait",
    "power_of_two",
    "preferred_agent",
    "prefix_hashes",
    "rendezvous_order",
    "round_robin",
    "router_order",
    "service_s",
    "subset",
]
