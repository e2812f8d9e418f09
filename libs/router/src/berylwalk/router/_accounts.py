"""Limits of client accounts at one router."""

from collections.abc import Iterable

from berylwalk.model import Refusal, RefusalReason, ServicePolicy
from berylwalk.router._config import DEFAULT_RETRY_AFTER_MS
from berylwalk.router._request_state import RequestState


def account_refusal(
    service_policy: ServicePolicy, requests: Iterable[RequestState]
) -> Refusal | None:
    """Return the refusal of a request that exceeds a limit of its account, or None.

    Parameters
    ----------
    service_policy : ServicePolicy
        Service policy of the new request.
    requests : iterable of RequestState
        Requests of the account that have not ended.
    """
    states = list(requests)
    running = sum(state.grant is not None for state in states)
    waiting = len(states) - running
    if waiting >= service_policy.max_waiting:
        return _over_limit(f"{waiting} requests of the account are waiting")
    if running >= service_policy.max_running:
        return _over_limit(f"{running} requests of the account are running")
    return None


def _over_limit(detail: str) -> Refusal:
    return Refusal(RefusalReason.ACCOUNT_LIMIT, DEFAULT_RETRY_AFTER_MS, detail)
