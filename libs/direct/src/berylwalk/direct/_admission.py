"""Whether a request is taken, and what is known of it from then on."""

from dataclasses import dataclass, replace
from random import random

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import Account, Allowed, Denied, QuotaState, Route
from berylwalk.forwarding import CallerRequest
from berylwalk.platform import InvalidHeaders, RequestHeaders, parse_request_headers
from berylwalk.quarantine import Identity, QuarantineStatus, request_identity

TIMEOUT_MARGIN_S = 0.03
"""Time before the end of a caller's limit at which an answer is sent."""
QUARANTINED = "targets-ended-under-it"
"""Reason, in logs and metrics, for a request that is held back."""
RETRY_AFTER_UNREADY_S = 1.0
"""When a request should come back that came while no configuration may be used."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request that is taken.

    Parameters
    ----------
    request : CallerRequest
        As the caller sent it.
    facts : RequestHeaders
        What its headers tell.
    route : Route
        How it is treated.
    account : Account or None
        Who pays; None where no key is needed.
    rank : tuple of int
        Rank among all requests, lowest first.
    service : str
        Where it goes.
    cost : float
        Units of the account's allowance.
    ends_at : float
        When it has to be answered.
    identity : bytes
        What it has in common with its returns.
    is_trial : bool
        Whether it is held back unless a trial is permitted.
    charge : Charge or None
        The allowance that its cost was taken from; None where there is no limit.
    """

    request: CallerRequest
    facts: RequestHeaders
    route: Route
    account: Account | None
    rank: tuple[int, int]
    service: str
    cost: float
    ends_at: float
    identity: Identity
    is_trial: bool = False
    charge: "Charge | None" = None

    @property
    def request_id(self) -> bytes:
        """Identifies this attempt of the caller."""
        return self.facts.request_id

    @property
    def account_name(self) -> str | None:
        """Name of the account."""
        return None if self.account is None else self.account.name


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is not taken.

    Parameters
    ----------
    status : int
        Status of the answer.
    reason : str
        Why, for logs.
    retry_after_s : float or None
        When it may come back, in seconds.
    request_id : bytes
        Empty if the request has none.
    charge : Charge or None
        The allowance that does not suffice, if that is why.
    identity : bytes or None
        Of a request that is held back for the targets that ended under it.
    """

    status: int
    reason: str
    retry_after_s: float | None
    request_id: bytes
    charge: "Charge | None" = None
    identity: Identity | None = None


@dataclass(frozen=True, slots=True)
class Charge:
    """A request and the allowance that pays for it, or that does not suffice.

    Parameters
    ----------
    account_name : str
        Who pays.
    route : Route
        Where the request goes, or would go.
    cost : float
        Its units.
    state : QuotaState
        What was counted; the cost included if the request was taken.
    """

    account_name: str
    route: Route
    cost: float
    state: QuotaState


def admit(context: RouterContext, request: CallerRequest) -> Admitted | Refusal:
    """Decide whether to take a request; its cost is spent if it is taken."""
    facts = parse_request_headers(request.headers)
    if isinstance(facts, InvalidHeaders):
        return Refusal(400, f"bad-headers: {facts.detail}", None, b"")
    now = context.clock()
    path = request.target.decode("latin-1")
    access = context.configuration.check(facts.host, path, facts.api_key, now)
    if isinstance(access, Denied):
        retry_after_s = RETRY_AFTER_UNREADY_S if access.status == 503 else None
        return Refusal(access.status, access.reason, retry_after_s, facts.request_id)
    admitted = _admitted(request, facts, access)
    match context.quarantine.status(admitted.identity, context.clock()):
        case QuarantineStatus.BLAMED:
            return quarantine_refusal(context, admitted)
        case QuarantineStatus.TRIAL:
            admitted = replace(admitted, is_trial=True)
    if admitted.account is None:
        return admitted
    account, route, cost = admitted.account, admitted.route, admitted.cost
    wait_s = context.quotas.take(account, cost, route.priority, now)
    state = context.quotas.state(account, now)
    charge = Charge(account.name, route, cost, state)
    if wait_s > 0:
        return Refusal(429, "allowance-spent", wait_s, facts.request_id, charge)
    return replace(admitted, charge=charge) if account.rate_per_s > 0 else admitted


def quarantine_refusal(context: RouterContext, admitted: Admitted) -> Refusal:
    """Return the refusal of a request under which targets ended.

    It has not run and never will under this id. A status by which clients don't come
    back would say that the request is not proper, which a router can't tell.
    """
    now = context.clock()
    retry_after_s = context.quarantine.retry_after_s(admitted.identity, now)
    return Refusal(
        503,
        QUARANTINED,
        retry_after_s,
        admitted.request_id,
        identity=admitted.identity,
    )


def _admitted(
    request: CallerRequest, facts: RequestHeaders, access: Allowed
) -> Admitted:
    route = access.route
    limit_s = route.timeout_s
    if facts.time_limit_s is not None:
        limit_s = min(limit_s, facts.time_limit_s - TIMEOUT_MARGIN_S)
    return Admitted(
        request=request,
        facts=facts,
        route=route,
        account=access.account,
        rank=access.rank,
        service=route.service_for(random()),
        cost=_cost(access.account, facts),
        ends_at=request.arrived_at + limit_s,
        identity=request_identity(
            None if access.account is None else access.account.name,
            request.method,
            request.target,
            request.body_digest,
        ),
    )


def _cost(account: Account | None, facts: RequestHeaders) -> float:
    if account is None:
        return 0.0
    if not account.counts_tokens:
        return 1.0
    return float(facts.total_tokens or account.plain_cost)
