"""Placement of requests: choice of an agent, retries and refusals."""

from functools import partial

from berylwalk.model import Refusal, RefusalReason, RequestId
from berylwalk.placement import exclude_stragglers, has_known_prefix
from berylwalk.router._agents import AgentState
from berylwalk.router._config import (
    CACHED_PREFIX_WAIT_FRACTION,
    INITIAL_RETRY_JITTER_S,
    MAX_ATTEMPTS_PER_AGENT,
    MAX_RESERVATIONS,
    MAX_RETRY_JITTER_S,
    REFUSAL_TTL_S,
    TARGET_WAIT_S,
)
from berylwalk.router._core import RouterCore
from berylwalk.router._ending import end_not_run
from berylwalk.router._hellos import record_resource_use
from berylwalk.router._issuing import grant_directly
from berylwalk.router._request_state import AgentRefusal, RequestState
from berylwalk.router._reserving import reserve
from berylwalk.router._stopping import leaving_refusal, may_outlast_process


def place(core: RouterCore, state: RequestState, now: float) -> None:
    """Grant or reserve at an agent, unless a grant or a retry is pending.

    Ends the request if its deadline has passed, if every eligible agent has
    refused it, or if it may outlast a process that stops.
    """
    if state.grant is not None or state.retry_pending:
        return
    if now >= state.request.deadline_at:
        end_not_run(core, state, deadline_refusal())
        return
    if may_outlast_process(core, state):
        end_not_run(core, state, leaving_refusal())
        return
    if state.reservations_by_agent:
        _schedule_second(core, state, now)
        return
    record_resource_use(core, state.request.call.resource, now)
    chosen = _choose(core, state, now)
    if chosen is not None:
        _clear_unplaced(core, state)
        _grant_or_reserve(core, state, chosen, now)
    elif core.eligible(state, now):
        _clear_unplaced(core, state)
        _retry_refused_or_end(core, state, now)
    else:
        _wait_for_target(core, state, now)


def deadline_refusal() -> Refusal:
    """Return the refusal for a request whose deadline passed."""
    return Refusal(RefusalReason.DEADLINE, detail="the deadline passed")


def record_refusal(
    state: RequestState, agent: str, refusal: Refusal, now: float
) -> None:
    """Record that an agent does not accept the request."""
    state.refusals_by_agent[agent] = AgentRefusal(refusal, now)


def record_failed_attempt(
    state: RequestState, agent: str, refusal: Refusal, now: float
) -> None:
    """Record that an attempt failed at an agent that may accept the next one."""
    count = state.failed_attempts_by_agent.get(agent, 0) + 1
    state.failed_attempts_by_agent[agent] = count
    if count >= MAX_ATTEMPTS_PER_AGENT:
        record_refusal(state, agent, refusal, now)


def reserve_after_no_slot(
    core: RouterCore, state: RequestState, agent: str, refusal: Refusal, now: float
) -> None:
    """Reserve at an agent that had no free slot, or place the request elsewhere."""
    found = core.agents.get(agent)
    if found is not None:
        found.record_no_slot(state.work.tier_rank)
    if not core.uses_reservations:
        record_refusal(state, agent, refusal, now)
    is_ending = now >= state.request.deadline_at or may_outlast_process(core, state)
    if is_ending or agent in state.refusals_by_agent:
        place(core, state, now)
    elif found is not None and found in core.eligible(state, now):
        reserve(core, state, found, now)
        _schedule_second(core, state, now)
    else:
        place(core, state, now)


def retry(core: RouterCore, state: RequestState, now: float) -> None:
    """Schedule another placement, delayed while the retry budget is exhausted.

    An exhausted budget delays the request up to its deadline and does not end it,
    because no agent has refused it.
    """
    request_id = state.request.request_id
    state.retry_pending = True
    if core.retry_budget.take():
        # Bounding the exponent avoids a float overflow.
        bound = INITIAL_RETRY_JITTER_S * 2 ** min(state.retries, 10)
        delay = core.rng.uniform(0.0, min(bound, MAX_RETRY_JITTER_S))
        state.retries += 1
        core.timers.add(now + delay, partial(_place_now, core, request_id))
    else:
        delay = core.rng.uniform(INITIAL_RETRY_JITTER_S, MAX_RETRY_JITTER_S)
        core.timers.add(now + delay, partial(_retry_now, core, request_id))


def retry_or_end(core: RouterCore, state: RequestState, now: float) -> None:
    """Retry a request that did not run, unless its deadline has passed."""
    if now >= state.request.deadline_at:
        end_not_run(core, state, deadline_refusal())
    else:
        retry(core, state, now)


def _place_now(core: RouterCore, request_id: RequestId, now: float) -> None:
    state = core.requests_by_id.get(request_id)
    if state is not None:
        state.retry_pending = False
        place(core, state, now)


def _retry_now(core: RouterCore, request_id: RequestId, now: float) -> None:
    state = core.requests_by_id.get(request_id)
    if state is not None:
        retry(core, state, now)


def _choose(core: RouterCore, state: RequestState, now: float) -> AgentState | None:
    untried = {
        agent.agent: agent
        for agent in core.eligible(state, now)
        if agent.agent not in state.refusals_by_agent
        and agent.agent not in state.reservations_by_agent
    }
    if not untried:
        return None
    work = state.work
    candidates = [agent.candidate(work) for agent in untried.values()]
    return untried[core.choose(work, exclude_stragglers(candidates)).agent]


def _grant_or_reserve(
    core: RouterCore, state: RequestState, agent: AgentState, now: float
) -> None:
    if not core.uses_reservations:
        if state.is_grantable:
            grant_directly(core, state, agent, now)
        return
    has_slot = agent.candidate(state.work).free_slots > 0
    if has_slot and state.is_grantable:
        grant_directly(core, state, agent, now)
        return
    reserve(core, state, agent, now)
    _schedule_second(core, state, now)


def _schedule_second(core: RouterCore, state: RequestState, now: float) -> None:
    if len(state.reservations_by_agent) >= MAX_RESERVATIONS:
        return
    callback = partial(_reserve_second, core, state.request.request_id, state.attempts)
    core.timers.add(now + _second_delay_s(core, state, now), callback)


def _second_delay_s(core: RouterCore, state: RequestState, now: float) -> float:
    delay_s = core.config.second_reservation_delay_s
    if not has_known_prefix(state.work, core.history):
        return delay_s
    # The second agent would have to prefill the cached prefix again.
    remaining_s = state.request.deadline_at - now
    return max(delay_s, CACHED_PREFIX_WAIT_FRACTION * remaining_s)


def _reserve_second(
    core: RouterCore, request_id: RequestId, attempts: int, now: float
) -> None:
    state = core.requests_by_id.get(request_id)
    if state is None or state.grant is not None or state.attempts != attempts:
        return
    if len(state.reservations_by_agent) != MAX_RESERVATIONS - 1:
        return
    chosen = _choose(core, state, now)
    if chosen is not None:
        reserve(core, state, chosen, now)


def _retry_refused_or_end(core: RouterCore, state: RequestState, now: float) -> None:
    eligible = {agent.agent for agent in core.eligible(state, now)}
    old = [
        agent
        for agent, refused in state.refusals_by_agent.items()
        if agent in eligible and now - refused.at >= REFUSAL_TTL_S
    ]
    if not old:
        end_not_run(core, state, _earliest_retry_refusal(state, eligible))
        return
    # Expired refusals do not show whether the agents are still full.
    for agent in old:
        state.forget_refusals(agent)
    retry(core, state, now)


def _earliest_retry_refusal(state: RequestState, agents: set[str]) -> Refusal:
    refusals = [
        refused.refusal
        for agent, refused in state.refusals_by_agent.items()
        if agent in agents
    ]
    return min(refusals, key=lambda refusal: refusal.retry_after_ms)


def _clear_unplaced(core: RouterCore, state: RequestState) -> None:
    core.unplaced_ids.pop(state.request.request_id, None)
    state.unplaced_since = None


def _wait_for_target(core: RouterCore, state: RequestState, now: float) -> None:
    request_id = state.request.request_id
    core.unplaced_ids[request_id] = None
    if state.unplaced_since is None:
        state.unplaced_since = now
        callback = partial(_end_unplaced, core, request_id)
        core.timers.add(now + TARGET_WAIT_S, callback)


def _end_unplaced(core: RouterCore, request_id: RequestId, now: float) -> None:
    state = core.requests_by_id.get(request_id)
    if state is None or state.unplaced_since is None or state.grant is not None:
        return
    waited = now - state.unplaced_since
    if waited < TARGET_WAIT_S:
        callback = partial(_end_unplaced, core, request_id)
        core.timers.add(state.unplaced_since + TARGET_WAIT_S, callback)
        return
    refusal = Refusal(RefusalReason.NO_TARGET, detail="no eligible target is reachable")
    end_not_run(core, state, refusal)
