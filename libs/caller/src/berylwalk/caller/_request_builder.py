"""Builds a validated request from a call's route, headers, body and settings."""

from dataclasses import dataclass

from berylwalk.caller._accounts import find_service_policy
from berylwalk.caller._bodies import ModelCall, read_chat, read_completion
from berylwalk.caller._call_checks import (
    bad_request,
    model_call_problems,
    size_problems,
)
from berylwalk.caller._errors import NOT_FOUND, ErrorResponse, Problem, rejected
from berylwalk.caller._headers import (
    CallOptions,
    ValuesByName,
    call_options,
    model_call_headers,
    service_call_headers,
)
from berylwalk.caller._interfaces import (
    KnownResources,
    PrefixHashes,
    ServicePolicySource,
)
from berylwalk.caller._limits import CallerLimits
from berylwalk.caller._routes import Endpoint, Route
from berylwalk.model import (
    Finding,
    Request,
    RequestId,
    ServicePolicy,
    TargetCall,
    WorkEstimate,
)

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"})
_PLAIN_ENCODINGS = frozenset({"", "identity"})
_READERS = {Endpoint.CHAT: read_chat, Endpoint.COMPLETIONS: read_completion}


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call as received.

    Parameters
    ----------
    request_id : RequestId
        Identifier of the request.
    account : str
        Path of the client account.
    route : Route
        The endpoint.
    values : mapping
        Values of the headers by name.
    body : bytes
        The body.
    arrived_at : float
        Monotonic time in seconds.
    traceparent : str
        W3C trace context of the router's span.
    """

    request_id: RequestId
    account: str
    route: Route
    values: ValuesByName
    body: bytes
    arrived_at: float
    traceparent: str


@dataclass(frozen=True, slots=True)
class _CallDetails:
    """Request fields that differ between model calls and service calls."""

    call: TargetCall
    estimate: WorkEstimate
    idempotent: bool
    prefix: tuple[int, ...] = ()


class RequestBuilder:
    """Validates calls against the accepted settings and the limits.

    Parameters
    ----------
    service_policies : ServicePolicySource
        The accepted settings.
    resources : callable
        Returns the resources known at present.
    prefix_hashes : callable
        Hashes the leading blocks of a prompt.
    limits : CallerLimits
        Limits on calls.
    """

    def __init__(
        self,
        service_policies: ServicePolicySource,
        resources: KnownResources,
        prefix_hashes: PrefixHashes,
        limits: CallerLimits,
    ) -> None:
        self._service_policies = service_policies
        self._resources = resources
        self._prefix_hashes = prefix_hashes
        self._limits = limits

    def build(self, received: ReceivedCall) -> Request | ErrorResponse:
        """Return the request, or one error response with all problems."""
        options, problems = call_options(received.values, self._limits)
        service_policy = find_service_policy(
            received.account, received.route, options, self._service_policies
        )
        if isinstance(service_policy, ErrorResponse):
            return service_policy
        if isinstance(service_policy, Problem):
            problems.append(service_policy)
            service_policy = None
        known = self._resources()
        if received.route.endpoint is Endpoint.SERVICE:
            details = _service_call_details(received, service_policy, known, problems)
        else:
            details = self._model_call_details(
                received, service_policy, known, problems
            )
        if details is not None:
            problems.extend(size_problems(details.call, self._limits))
        if problems or service_policy is None or details is None:
            return rejected(problems)
        return _request(received, options, service_policy, details)

    def _model_call_details(
        self,
        received: ReceivedCall,
        service_policy: ServicePolicy | None,
        known: frozenset[str],
        problems: list[Problem],
    ) -> _CallDetails | None:
        encodings = received.values.get("content-encoding", [""])
        if not _PLAIN_ENCODINGS.issuperset(encodings):
            problems.append(bad_request("header Content-Encoding", "must be identity"))
            return None
        model_call = _READERS[received.route.endpoint](received.body)
        if isinstance(model_call, list):
            problems.extend(model_call)
            return None
        if service_policy is None:
            return None
        problems.extend(
            model_call_problems(model_call, service_policy, known, self._limits)
        )
        return _CallDetails(
            call=TargetCall(
                method=received.route.method,
                path=received.route.target_path,
                resource=f"model:{model_call.model}",
                headers=model_call_headers(received.values),
                body=received.body,
            ),
            estimate=_estimate(model_call, service_policy),
            idempotent=service_policy.idempotent,
            prefix=self._prefix_hashes(model_call.prompt),
        )


def _service_call_details(
    received: ReceivedCall,
    service_policy: ServicePolicy | None,
    known: frozenset[str],
    problems: list[Problem],
) -> _CallDetails | None:
    route = received.route
    name = _target_service(route, service_policy)
    resource = f"service:{name}"
    if known and resource not in known:
        problem = f"there is no service {name!r}"
        problems.append(Problem(NOT_FOUND, Finding("path", problem)))
    if service_policy is None:
        return None
    return _CallDetails(
        call=TargetCall(
            method=route.method,
            path=route.target_path,
            resource=resource,
            headers=service_call_headers(received.values),
            body=received.body,
        ),
        estimate=WorkEstimate(),
        idempotent=service_policy.idempotent and route.method in _IDEMPOTENT_METHODS,
    )


def _target_service(route: Route, service_policy: ServicePolicy | None) -> str:
    named = service_policy.target_service if service_policy is not None else ""
    return named or route.name


def _request(
    received: ReceivedCall,
    options: CallOptions,
    service_policy: ServicePolicy,
    details: _CallDetails,
) -> Request:
    declared = options.idempotent
    deadline_s = options.deadline_s or service_policy.deadline_s
    return Request(
        request_id=received.request_id,
        service_policy=service_policy,
        call=details.call,
        estimate=details.estimate,
        arrived_at=received.arrived_at,
        deadline_at=received.arrived_at + deadline_s,
        idempotent=details.idempotent if declared is None else declared,
        idempotency_key=options.idempotency_key,
        prefix=details.prefix,
        traceparent=received.traceparent,
    )


def _estimate(model_call: ModelCall, service_policy: ServicePolicy) -> WorkEstimate:
    output_tokens = service_policy.max_output_tokens
    if model_call.max_tokens is not None:
        output_tokens = min(output_tokens, model_call.max_tokens * model_call.choices)
    return WorkEstimate(model_call.prompt_tokens, output_tokens)
