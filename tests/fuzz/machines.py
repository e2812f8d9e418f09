"""State machines under test, with limits low enough to be reached."""

from random import Random

from berylwalk.agent import AgentConfig, AgentMachine, TargetChanged, TiersChanged
from berylwalk.model import TierPolicy
from berylwalk.router import RouterConfig, RouterMachine

RESOURCE = "model:m1"
SEED = 7
SLOTS = 2
MAX_WAITING = 4
READY_TIMEOUT_S = 0.2

# The first agent prunes attempt records early, so that floors are used.
PRUNING_AGENT = "a1"
PRUNING_MAX_RECORDS = 4
PRUNING_RETENTION_S = 1.0

TIERS = (
    TierPolicy("urgent", 0, deadline_s=10.0, headroom=0.3),
    TierPolicy("standard", 1, deadline_s=30.0),
    TierPolicy("unattended", 2, deadline_s=60.0),
)


def new_agent_machine(agent: str, incarnation: int) -> AgentMachine:
    """Return an agent machine with few slots and a short queue."""
    prunes = agent == PRUNING_AGENT
    config = AgentConfig(
        agent_id=agent,
        incarnation=incarnation,
        resources=(RESOURCE,),
        initial_limit=SLOTS,
        max_limit=SLOTS,
        max_waiting=MAX_WAITING,
        ready_timeout_s=READY_TIMEOUT_S,
        max_attempt_records=PRUNING_MAX_RECORDS if prunes else 1000,
        retention_s=PRUNING_RETENTION_S if prunes else 600.0,
    )
    machine = AgentMachine.from_config(config)
    machine.handle(TiersChanged(1, TIERS), 0.0)
    machine.handle(TargetChanged((RESOURCE,)), 0.0)
    return machine


def new_router_machine(router: str, incarnation: int) -> RouterMachine:
    """Return a router machine with the default settings."""
    config = RouterConfig(router, incarnation)
    return RouterMachine(config, rng=Random(SEED))
