"""Decisions of a router about where a request goes; pure, without I/O."""

from berylwalk.affinity import PlacementHistory
from berylwalk.placement._affinity import covered_tokens, home_agent, is_shared
from berylwalk.placement._candidates import (
    Candidate,
    Work,
    corrected_wait_s,
    service_s,
)
from berylwalk.placement._choosers import (
    Chooser,
    earliest_finish,
    finish_score,
    least_wait,
    power_of_two,
    round_robin,
)
from berylwalk.placement._prefixes import prefix_hashes
from berylwalk.placement._rendezvous import rendezvous_order, router_order, subset
from berylwalk.placement._retry_budget import RetryBudget
from berylwalk.placement._stragglers import set_aside

__all__ = [
    "Candidate",
    "Chooser",
    "PlacementHistory",
    "RetryBudget",
    "Work",
    "corrected_wait_s",
    "covered_tokens",
    "earliest_finish",
    "finish_score",
    "home_agent",
    "is_shared",
    "least_wait",
    "power_of_two",
    "prefix_hashes",
    "rendezvous_order",
    "round_robin",
    "router_order",
    "service_s",
    "set_aside",
    "subset",
]
