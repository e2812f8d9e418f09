"""Updates the gauges from the state of the router before each scrape."""

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import Target
from berylwalk.quarantine import is_part

MAX_AGE_S = 1e6
"""Reported for values that were never received."""
NO_LIMIT = -1.0
"""Reported for a target without a limit, because 0 is a valid limit."""
NO_REPORT = -1.0
"""Reported as the age for a target without a report."""


def refresh_gauges(context: RouterContext) -> None:
    """Update all gauges from the current state of a router."""
    metrics = context.metrics
    now = context.clock()
    age_s = min(context.configuration.age_s(now), MAX_AGE_S)
    metrics.configuration_age_s.set(age_s)
    targets_age_s = min(now - context.targets.confirmed_at, MAX_AGE_S)
    metrics.targets_age_s.set(targets_age_s)
    for service, length in context.dispatcher.queue_lengths().items():
        metrics.waiting.labels(service).set(length)
        metrics.retries_left.labels(service).set(context.retries.left(service, now))
    context.targets.expire_reports(now)
    for target_id, target in context.targets.by_id.items():
        metrics.target_load.labels(target_id).set(target.total_in_flight)
        report = target.report
        report_age_s = NO_REPORT if report is None else now - report.observed_at
        metrics.target_report_age_s.labels(target_id).set(report_age_s)
        metrics.in_flight.labels(target_id).set(target.in_flight)
        metrics.peer_in_flight.labels(target_id).set(target.peer_in_flight)
        metrics.target_token_s.labels(target_id).set(target.output_token_s or 0.0)
        cache = target.cache_load(now)
        if cache is not None:
            share = cache.expected_tokens / cache.capacity_tokens
            metrics.target_cache_share.labels(target_id).set(share)
        metrics.target_errors.labels(target_id).set(target.error_rate)
        silent_s = min(now - target.last_heard_at, MAX_AGE_S)
        metrics.target_heard_age_s.labels(target_id).set(silent_s)
        _refresh_flow_control(context, target, now)
    for name, spent in context.quotas.spent_in_window(now).items():
        metrics.allowance_spent.labels(name).set(spent)
    _refresh_account_places(context, now)
    quarantine = context.quarantine
    metrics.quarantine.labels("known").set(len(quarantine))
    metrics.quarantine.labels("suspected").set(len(set(quarantine.suspected)))
    metrics.quarantine.labels("blamed").set(len(quarantine.blames))
    blamed_parts = sum(map(is_part, quarantine.blames))
    metrics.quarantine.labels("blamed-prompt-parts").set(blamed_parts)
    _refresh_rollouts(context)
    for resource, share in context.vm_capacity.shares.items():
        metrics.vm_share.labels(resource).set(share)
    metrics.vm_refused_share.set(context.vm_capacity.refused_share)
    metrics.vm_unready.set(context.vm_capacity.is_unready)
    metrics.response_bytes_held.set(context.response_buffers.held_bytes)
    metrics.response_readers.set(len(context.response_buffers.by_reader))
    metrics.request_bytes_held.set(context.request_bodies.held_bytes)
    metrics.request_bodies_refused.set(context.request_bodies.refused)
    metrics.peers_heard.set(context.peers.alive_count(now))
    metrics.peers_known.set(context.peers.known_count())
    metrics.log_lines_dropped.set(context.log.dropped)


def _refresh_account_places(context: RouterContext, now: float) -> None:
    gauge = context.metrics.account_places
    gauge.clear()
    for service, places_by_account in context.account_usage.by_service(now).items():
        for account, places in places_by_account.items():
            gauge.labels(service, account).set(places)


def _refresh_flow_control(context: RouterContext, target: Target, now: float) -> None:
    metrics, flow_control, target_id = (
        context.metrics,
        target.flow_control,
        target.entry.target_id,
    )
    limit = flow_control.limit
    limit_per_s = NO_LIMIT if limit.per_s is None else limit.per_s
    metrics.target_limit_per_s.labels(target_id).set(limit_per_s)
    metrics.target_limit_share.labels(target_id).set(limit.share)
    metrics.target_rest_s.labels(target_id).set(
        max(0.0, flow_control.backoff.until - now)
    )
    metrics.target_leaving.labels(target_id).set(flow_control.is_leaving)


def _refresh_rollouts(context: RouterContext) -> None:
    metrics = context.metrics
    metrics.rollout_phase.clear()
    for progress in context.rollouts.progresses:
        service, version = progress.order.service, progress.order.version
        phase = progress.phase or "unknown"
        metrics.rollout_phase.labels(service, version, phase).set(1)
        verdict = progress.verdict()
        metrics.rollout_answers.labels(service, "all").set(verdict.answers)
        metrics.rollout_answers.labels(service, "bad").set(verdict.bad)
