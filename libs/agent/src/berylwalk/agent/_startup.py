"""Configuration of the state machine, derived from the settings of the node."""

from berylwalk.admission import LatencyTargets, Policy, fifo_policy, tiered_policy
from berylwalk.agent._config import AgentConfig
from berylwalk.agent._health import resource_names
from berylwalk.settings import AdmissionPolicy, AgentSettings

MS_PER_S = 1000


def machine_config(settings: AgentSettings, incarnation: int) -> AgentConfig:
    """Return the configuration of the state machine.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the node.
    incarnation : int
        Wall-clock milliseconds at the start of the process.
    """
    admission = settings.admission
    target = settings.target
    return AgentConfig(
        agent_id=settings.node.id,
        incarnation=incarnation,
        failure_domain=settings.node.failure_domain,
        resources=resource_names(target.models, target.services),
        policy=_policy(admission.policy),
        initial_limit=admission.initial_limit,
        min_limit=admission.min_limit,
        max_limit=admission.max_limit,
        max_waiting=admission.max_waiting,
        latency_targets=LatencyTargets(
            token_gap_s=admission.token_gap_ms / MS_PER_S,
            first_token_s=admission.first_token_ms / MS_PER_S,
        ),
        prefill_tokens_per_s=target.prefill_tokens_per_s,
        token_gap_s=1.0 / target.decode_tokens_per_s,
        ready_timeout_s=admission.ready_timeout_ms / MS_PER_S,
        ask_ahead=admission.ask_ahead,
    )


def _policy(policy: AdmissionPolicy) -> Policy:
    if policy is AdmissionPolicy.FIFO:
        return fifo_policy()
    return tiered_policy()
