"""Requests and the policies that apply to them."""

from dataclasses import dataclass, field
from typing import NamedTuple


class RequestId(NamedTuple):
    """Identifier of a request, unique across routers and their restarts.

    Parameters
    ----------
    router : str
        Identifier of the router that accepted the request.
    incarnation : int
        Incarnation of that router.
    serial : int
        Sequence number within the incarnation, starting at 1.
    """

    router: str
    incarnation: int
    serial: int

    def __str__(self) -> str:
        return f"{self.router}.{self.incarnation:x}.{self.serial}"


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Expected size of a request in tokens.

    A request to a plain service counts as one output token without a prompt.
    """

    prompt_tokens: int = 0
    output_tokens: int = 1


@dataclass(frozen=True, slots=True)
class TierPolicy:
    """Policy for requests of one tier.

    Parameters
    ----------
    name : str
        Name of the tier.
    rank : int
        Priority of the tier; 0 is the highest and is served first.
    deadline_s : float
        Default deadline, from arrival to the complete response, in seconds.
    headroom : float
        Fraction of an agent's slots, from 0 to 1, that is reserved for this tier and
        higher ones.
    """

    name: str
    rank: int
    deadline_s: float = 60.0
    headroom: float = 0.0


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Effective settings of one client account and service.

    Parameters
    ----------
    client_account, service : str
        Scope of the settings; ``service`` is empty for the account itself.
    tier : TierPolicy
        Tier of the requests.
    weight : float
        Fair-share weight among the accounts of the same tier.
    deadline_s : float
        Default deadline, from arrival to the complete response, in seconds.
    max_waiting, max_running : int
        Limits of the account per router.
    max_output_tokens : int
        Largest accepted ``max_tokens``, and its default.
    models : tuple of str
        Models that the account may use; empty allows all.
    idempotent : bool
        Whether requests may be repeated if the caller does not specify it.
    target_service : str
        Plain service that receives the calls of a service node; if empty, the
        service named in the call.
    """

    client_account: str
    service: str
    tier: TierPolicy
    weight: float = 1.0
    deadline_s: float = 60.0
    max_waiting: int = 1000
    max_running: int = 1000
    max_output_tokens: int = 4096
    models: tuple[str, ...] = ()
    idempotent: bool = True
    target_service: str = ""


@dataclass(frozen=True, slots=True)
class TargetCall:
    """HTTP call as the target receives it.

    Parameters
    ----------
    method, path : str
        From the request line.
    resource : str
        Resource that the target must serve: ``model:NAME`` or ``service:NAME``.
    headers : tuple of (str, str)
        Headers forwarded to the target.
    body : bytes
        Body, forwarded unchanged.
    """

    method: str
    path: str
    resource: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Request:
    """Validated request that is to be placed.

    Parameters
    ----------
    request_id : RequestId
        Identifier of the request.
    service_policy : ServicePolicy
        Effective settings at arrival.
    call : TargetCall
        HTTP call for the target.
    estimate : WorkEstimate
        Expected size of the request.
    arrived_at, deadline_at : float
        Times on the router's monotonic clock, in seconds.
    idempotent : bool
        Whether the request can safely be repeated.
    idempotency_key : str
        Idempotency key of the caller, or empty.
    prefix : tuple of int
        Hashes of the leading prompt blocks, longest prefix last.
    traceparent : str
        W3C trace context, or empty.
    """

    request_id: RequestId
    service_policy: ServicePolicy
    call: TargetCall
    estimate: WorkEstimate
    arrived_at: float
    deadline_at: float
    idempotent: bool = True
    idempotency_key: str = ""
    prefix: tuple[int, ...] = field(default=())
    traceparent: str = ""
