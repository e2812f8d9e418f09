"""Admission of requests: headers, access, quarantine and quota."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import random

from xxhash import xxh64_intdigest

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import (
    Account,
    Allowed,
    Denied,
    QuotaReserve,
    QuotaState,
    Route,
    RouteKind,
    stream_key,
)
from berylwalk.forwarding import CallerRequest
from berylwalk.platform import (
    NO_EVENT,
    InvalidHeaders,
    RequestHeaders,
    parse_request_headers,
)
from berylwalk.quarantine import (
    FREE,
    Identity,
    QuarantineStatus,
    Verdict,
    is_part,
    part_identity,
    request_identity,
)

TIMEOUT_MARGIN_S = 0.03
"""How long before a caller's own deadline the response is due."""
QUARANTINED = "targets-ended-under-it"
"""Reason, in logs and metrics, for rejecting a quarantined request."""
PART_QUARANTINED = "targets-ended-under-prompt-part"
"""Reason, in logs and metrics, for rejecting a request with a quarantined part."""
RETRY_AFTER_UNREADY_S = 1.0
"""``Retry-After`` of requests that arrive while no configuration is in force."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request that was admitted.

    Parameters
    ----------
    request : CallerRequest
        The request as the caller sent it.
    parsed_headers : RequestHeaders
        Its parsed headers.
    route : Route
        The route that it matched.
    account : Account or None
        The client account charged for it; None if the route needs no key.
    rank : tuple of int
        Scheduling rank; lower ranks are served first.
    service : str
        The service that it is sent to.
    cost : float
        Its cost in quota units of the account.
    deadline : float
        Deadline of the response, on the router's clock.
    identity : bytes
        Digest that the request shares with its repetitions.
    prompt_parts : tuple of bytes
        Identities of the parts of its prompt that other requests may share.
    verdict : Verdict
        How it was treated by the quarantine when it was admitted.
    charge : Charge or None
        The charge to the account's quota; None if it has no limit.
    """

    request: CallerRequest
    parsed_headers: RequestHeaders
    route: Route
    account: Account | None
    rank: tuple[int, int]
    service: str
    cost: float
    deadline: float
    identity: Identity
    prompt_parts: tuple[Identity, ...] = ()
    verdict: Verdict = FREE
    charge: "Charge | None" = None

    @property
    def subjects(self) -> tuple[Identity, ...]:
        """Itself and the parts of its prompt: what may have crashed its target."""
        return (self.identity, *self.prompt_parts)

    @property
    def is_trial(self) -> bool:
        """Whether it is quarantined and needs trial permits."""
        return bool(self.verdict.trial_of)

    @property
    def request_id(self) -> bytes:
        """Id that the caller gave this request."""
        return self.parsed_headers.request_id

    @property
    def stream_key(self) -> int:
        """Key of the stream that it begins or takes up."""
        first = self.parsed_headers.resumes or self.request_id
        return stream_key(self.account_name, first)

    @property
    def gives_up_at(self) -> float | None:
        """When the caller gives up, in seconds; None if it named no time limit."""
        limit_s = self.parsed_headers.time_limit_s
        if limit_s is None:
            return None
        return self.request.arrived_at - self.request.read_delay_s + limit_s

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller has events of a stream that began before."""
        has_events = self.parsed_headers.last_event_id != NO_EVENT
        return has_events and self.route.resumable

    @property
    def may_be_taken_up(self) -> bool:
        """Whether its response is a stream that the caller may take up."""
        return self.route.kind is RouteKind.STREAMING and self.route.resumable

    @property
    def expects_stream(self) -> bool:
        """Whether a successful response is forwarded event by event."""
        return self.route.kind is RouteKind.STREAMING and not self.request.is_head

    @property
    def account_name(self) -> str | None:
        """Name of the account, or None."""
        return None if self.account is None else self.account.name


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was rejected.

    Parameters
    ----------
    status : int
        Status code of the response.
    reason : str
        Reason for logs and metrics.
    retry_after_s : float or None
        Value of ``Retry-After`` in seconds; None to send none.
    request_id : bytes
        Id of the request; empty if it has none.
    charge : Charge or None
        The charge that exceeded the account's quota.
    blocked_by : tuple of bytes
        Identities for which it is quarantined.
    awaiting : Admitted or None
        The request without a charge, if it takes up a stream and may wait.
    """

    status: int
    reason: str
    retry_after_s: float | None
    request_id: bytes
    charge: "Charge | None" = None
    blocked_by: tuple[Identity, ...] = ()
    awaiting: Admitted | None = None


@dataclass(frozen=True, slots=True)
class Charge:
    """A charge, accepted or not, to the quota of a client account.

    Parameters
    ----------
    account_name : str
        Name of the account.
    route : Route
        Route of the request.
    cost : float
        Cost in quota units.
    state : QuotaState
        State of the quota; includes the cost if the request was admitted.
    at : float
        When it was made, in seconds.
    reserve : QuotaReserve or None
        Units kept for more urgent requests; None if the request was admitted.
    """

    account_name: str
    route: Route
    cost: float
    state: QuotaState
    at: float = 0.0
    reserve: QuotaReserve | None = None

    @property
    def is_refused_for_reserve(self) -> bool:
        """Whether the quota has the units, but they are kept for other requests."""
        return self.reserve is not None and self.cost <= self.state.remaining


def admit(context: RouterContext, request: CallerRequest) -> Admitted | Refusal:
    """Admit or reject a request; an admitted one is charged to its account."""
    parsed_headers = parse_request_headers(request.headers)
    if isinstance(parsed_headers, InvalidHeaders):
        return Refusal(400, f"bad-headers: {parsed_headers.detail}", None, b"")
    now = context.clock()
    path = request.target.decode("latin-1")
    access = context.configuration.check(
        parsed_headers.host, path, parsed_headers.api_key, now
    )
    if isinstance(access, Denied):
        retry_after_s = RETRY_AFTER_UNREADY_S if access.status == 503 else None
        return Refusal(
            access.status, access.reason, retry_after_s, parsed_headers.request_id
        )
    admitted = _admitted(request, parsed_headers, access)
    verdict = context.quarantine.verdict(admitted.subjects, context.clock())
    if verdict.status is QuarantineStatus.BLAMED:
        return _quarantine_refusal(context, admitted, verdict)
    admitted = replace(admitted, verdict=verdict)
    if admitted.account is None:
        return admitted
    return _charged(context, admitted, admitted.account, now)


def _charged(
    context: RouterContext, admitted: Admitted, account: Account, now: float
) -> Admitted | Refusal:
    """Charge a request to its account, or reject it."""
    quotas, route, cost = context.quotas, admitted.route, admitted.cost
    takes_up = admitted.takes_up_stream
    wait_s = quotas.take(account, cost, route.priority, now, takes_up_stream=takes_up)
    charge = Charge(account.name, route, cost, quotas.state(account, now), at=now)
    if wait_s > 0:
        reserve = (
            quotas.awaited_reserve(account)
            if takes_up
            else quotas.reserve(account, cost, route.priority, now)
        )
        return Refusal(
            429,
            "allowance-spent",
            wait_s,
            admitted.request_id,
            replace(charge, reserve=reserve),
            awaiting=admitted if takes_up else None,
        )
    return replace(admitted, charge=charge) if account.rate_per_s > 0 else admitted


def quarantine_reason(blocked_by: Sequence[Identity]) -> str:
    """Return the reason for rejecting a request that is quarantined."""
    return PART_QUARANTINED if any(map(is_part, blocked_by)) else QUARANTINED


def _quarantine_refusal(
    context: RouterContext, admitted: Admitted, verdict: Verdict
) -> Refusal:
    """Return the rejection of a quarantined request.

    It uses 503 because clients treat a 4xx status as permanent, and the router can't
    tell whether the request itself is invalid.
    """
    return Refusal(
        503,
        quarantine_reason(verdict.blocked_by),
        context.quarantine.retry_after_s(verdict.blocked_by, context.clock()),
        admitted.request_id,
        blocked_by=verdict.blocked_by,
    )


def _admitted(
    request: CallerRequest, parsed_headers: RequestHeaders, access: Allowed
) -> Admitted:
    route = access.route
    service = route.service_for(_draw(route, parsed_headers))
    limit_s = route.timeout_s
    if parsed_headers.time_limit_s is not None:
        left_s = parsed_headers.time_limit_s - request.read_delay_s
        limit_s = min(limit_s, left_s - TIMEOUT_MARGIN_S)
    return Admitted(
        request=request,
        parsed_headers=parsed_headers,
        route=route,
        account=access.account,
        rank=access.rank,
        service=service,
        cost=_cost(access.account, parsed_headers),
        deadline=request.arrived_at + limit_s,
        identity=request_identity(
            None if access.account is None else access.account.name,
            request.method,
            request.target,
            request.body_digest,
        ),
        prompt_parts=tuple(
            part_identity(service, each) for each in parsed_headers.prompt_parts
        ),
    )


def _draw(route: Route, parsed_headers: RequestHeaders) -> float:
    """Return the number in [0, 1) that selects the service of a request.

    A stream that is taken up goes to the service at which it has begun.
    """
    if not route.resumable:
        return random()
    first = parsed_headers.resumes or parsed_headers.request_id
    return (xxh64_intdigest(first) >> 11) / 2**53


def _cost(account: Account | None, parsed_headers: RequestHeaders) -> float:
    if account is None:
        return 0.0
    if not account.counts_tokens:
        return 1.0
    return float(parsed_headers.total_tokens or account.plain_cost)
