"""Requests as routers and agents see them, and how each is to be treated."""

from dataclasses import dataclass, field
from typing import NamedTuple


class RequestId(NamedTuple):
    """Name of a request, unique across routers and their restarts.

    Parameters
    ----------
    router : str
        Identifier of the router that accepted the request.
    incarnation : int
        Incarnation of that router.
    serial : int
        Counts up from 1 within the incarnation.
    """

    router: str
    incarnation: int
    serial: int

    def __str__(self) -> str:
        return f"{self.router}.{self.incarnation:x}.{self.serial}"


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Expected size of a request, in tokens.

    Plain services count one output token and no prompt.
    """

    prompt_tokens: int = 0
    output_tokens: int = 1


@dataclass(frozen=True, slots=True)
class TierPolicy:
    """How requests of one tier are treated.

    Parameters
    ----------
    name : str
        Name of the tier.
    rank : int
        Order of the tier; 0 is the highest and is served first.
    deadline_s : float
        Time from arrival to the whole answer when the caller names none.
    headroom : float
        Share of an agent's slots, from 0 to 1, that only this tier and
        higher ones may take.
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
        Whose settings these are; ``service`` is empty for the account itself.
    tier : TierPolicy
        The tier of the work.
    weight : float
        Share of the account among accounts of the same tier.
    deadline_s : float
        Default time from arrival to the whole answer.
    max_waiting, max_running : int
        Limits of the account at one router.
    max_output_tokens : int
        Largest accepted ``max_tokens``; also assumed when the caller names none.
    models : tuple of str
        Models the account may use; empty allows all.
    idempotent : bool
        Whether requests may be repeated when the caller does not say.
    target_service : str
        Plain service that the calls of a service node go to; the service that
        the call names when empty.
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
    """The HTTP call that the target receives.

    Parameters
    ----------
    method, path : str
        As sent to the target.
    resource : str
        ``model:NAME`` or ``service:NAME``: what the target must serve.
    headers : tuple of (str, str)
        Headers passed on to the target.
    body : bytes
        Passed on unchanged.
    """

    method: str
    path: str
    resource: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Request:
    """A validated request that waits for placement.

    Parameters
    ----------
    request_id : RequestId
        Its name.
    service_policy : ServicePolicy
        Effective settings at arrival.
    call : TargetCall
        What the target will receive.
    estimate : WorkEstimate
        Expected size.
    arrived_at, deadline_at : float
        Router's monotonic clock, in seconds.
    idempotent : bool
        Whether a repeat by the caller is harmless.
    idempotency_key : str
        The caller's key, or empty.
    prefix : tuple of int
        Hashes of the leading prompt blocks, longest prefix last.
    traceparent : str
        W3C trace context of the hop, or empty.
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
