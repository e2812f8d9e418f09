"""Fields of log lines about a request, by what they are about."""

from math import isfinite

from berylwalk.direct._admission import Admitted, Charge
from berylwalk.direct._attempt import Attempt
from berylwalk.dispatch import QuotaReserve, Target, TargetSignals


def prefix_fields(admitted: Admitted) -> dict[str, object]:
    """Return the fields about the shared prefix of the prompt."""
    if admitted.parsed_headers.prefix_problem:
        return {"prefix_problem": admitted.parsed_headers.prefix_problem}
    prefix = admitted.parsed_headers.work.shared_prefix
    if prefix is None:
        return {}
    return {"shared_prefix": f"{prefix.key:08x}", "shared_tokens": prefix.tokens}


def refused_charge_fields(charge: Charge | None) -> dict[str, object]:
    """Return the fields about a request that was rejected for its quota."""
    if charge is None:
        return {}
    return {
        "account": charge.account_name,
        "route": charge.route.name,
        "kind": charge.route.kind,
        "priority": charge.route.priority,
        **charge_fields(charge),
        **reserve_fields(charge.reserve),
    }


def reserve_fields(reserve: QuotaReserve | None) -> dict[str, object]:
    """Return the fields about the units kept for more urgent requests."""
    if reserve is None:
        return {}
    is_known = isfinite(reserve.shortfall)
    return {
        "kept": round(reserve.units),
        "kept_at_most": round(reserve.wanted),
        "shortfall": round(reserve.shortfall) if is_known else None,
        "urgent_per_s": round(reserve.urgent_per_s),
        "awaited": round(reserve.awaited),
    }


def charge_fields(charge: Charge | None) -> dict[str, object]:
    """Return the fields about the cost of a request and its account's quota."""
    if charge is None:
        return {}
    return {
        "cost": round(charge.cost),
        "limit": round(charge.state.limit),
        "unknown": round(charge.state.unknown),
        "counted": round(charge.state.counted),
        "share": round(charge.state.share, 3),
    }


def dropped_events(attempt: Attempt) -> dict[str, int]:
    """Return how many events were not passed on, for the log; only counts above 0."""
    counts = {
        "repeated_events": attempt.repeated_events,
        "misplaced_events": attempt.misplaced_events,
    }
    return {name: count for name, count in counts.items() if count}


def signal_fields(signals: TargetSignals) -> dict[str, object]:
    """Return the fields about a target's signals; empty for most responses."""
    if signals.is_empty:
        return {}
    fields: dict[str, object] = {
        "limit_per_s": signals.limit_per_s,
        "is_leaving": signals.is_leaving,
        "rest_ms": known_ms(signals.retry_after_s),
    }
    if signals.problem:
        fields["statement_problem"] = signals.problem
    return fields


def cache_fields(target: Target, now: float) -> dict[str, object]:
    """Return the fields about the expected use of the KV cache of a target."""
    load = target.cache_load(now)
    if load is None:
        return {}
    return {
        "cache_expected": round(load.expected_tokens),
        "cache_bound": round(load.bound_tokens),
        "cache_capacity": round(load.capacity_tokens),
    }


def known_ms(seconds: float | None) -> float | None:
    """Return a time in milliseconds, or None if it is not known."""
    return None if seconds is None else ms(seconds)


def ms(seconds: float) -> float:
    """Return a time in milliseconds, as it is logged."""
    return round(seconds * 1000, 1)


def reported_in_flight(target: Target) -> int | None:
    """Return the load by the target's last report, or None without one."""
    return None if target.report is None else target.total_in_flight
