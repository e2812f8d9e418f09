"""The ASGI application of the caller API."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from berylwalk.caller._accounts import authenticate, find_service_policy
from berylwalk.caller._error_responses import RetryDelays, not_ready
from berylwalk.caller._errors import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    ErrorResponse,
    Problem,
    rejected,
)
from berylwalk.caller._exchange import Exchange, open_exchange, send_error
from berylwalk.caller._headers import call_options
from berylwalk.caller._interfaces import (
    Clock,
    KnownResources,
    PrefixHashes,
    ServicePolicySource,
)
from berylwalk.caller._known_resources import include_recent_resources
from berylwalk.caller._limits import ByteBudget, CallerLimits
from berylwalk.caller._models import get_model, list_models
from berylwalk.caller._relay import Relay
from berylwalk.caller._request_body import CallerDisconnected, receive_body
from berylwalk.caller._request_builder import ReceivedCall, RequestBuilder
from berylwalk.caller._routes import Endpoint, Route, find_route
from berylwalk.caller._submission import submit_and_relay
from berylwalk.model import Outcome, Submitter
from berylwalk.telemetry import SpanStatus, Tracing
from berylwalk.transport import Application, Receive, Scope, Send, send_json

OK = 200

_STREAMED_ENDPOINTS = frozenset({Endpoint.CHAT, Endpoint.COMPLETIONS})


@dataclass(frozen=True, slots=True)
class _Api:
    """Dependencies of the application."""

    submitter: Submitter
    service_policies: ServicePolicySource
    resources: KnownResources
    builder: RequestBuilder
    limits: CallerLimits
    retry_delays: RetryDelays
    byte_budget: ByteBudget
    clock: Clock
    tracing: Tracing
    is_ready: Callable[[], bool]


def caller_app(
    *,
    submitter: Submitter,
    service_policies: ServicePolicySource,
    resources: KnownResources,
    prefix_hashes: PrefixHashes,
    limits: CallerLimits | None = None,
    clock: Clock = time.monotonic,
    generator: Random | None = None,
    tracing: Tracing | None = None,
    is_ready: Callable[[], bool] = lambda: True,
) -> Application:
    """Return the ASGI application of the caller API.

    Parameters
    ----------
    submitter : Submitter
        The router's core.
    service_policies : ServicePolicySource
        The accepted settings.
    resources : callable
        Returns the resources known at present, ``model:NAME`` and
        ``service:NAME``. While there are none, no name is rejected as unknown, and
        the core decides.
    prefix_hashes : callable
        Hashes the leading blocks of a prompt.
    limits : CallerLimits, optional
        Limits of body sizes, response sizes and timeouts.
    clock : callable, optional
        Monotonic time in seconds; the clock of the router's core.
    generator : random.Random, optional
        Source of jitter.
    tracing : Tracing, optional
        Starts a span for each request.
    is_ready : callable, optional
        Whether the accepted settings are known. Until then requests get status
        503, because without settings every token would be rejected as unknown.

    Returns
    -------
    callable
        ASGI application for HTTP scopes. It raises
        `berylwalk.transport.AbortConnection` to cut off an incomplete response.
    """
    limits = limits or CallerLimits()
    retry_delays = RetryDelays(limits, generator or Random())
    existing = include_recent_resources(resources, clock)
    api = _Api(
        submitter=submitter,
        service_policies=service_policies,
        resources=resources,
        builder=RequestBuilder(service_policies, existing, prefix_hashes, limits),
        limits=limits,
        retry_delays=retry_delays,
        byte_budget=ByteBudget(limits.max_total_held_bytes),
        clock=clock,
        tracing=tracing or Tracing(None),
        is_ready=is_ready,
    )

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        await _serve(api, scope, receive, send)

    return application


async def _serve(api: _Api, scope: Scope, receive: Receive, send: Send) -> None:
    if scope["type"] != "http":
        raise RuntimeError(f"ASGI scope type {scope['type']} is not supported")
    exchange = open_exchange(
        scope,
        receive,
        send,
        request_id=api.submitter.new_request_id(),
        reservation=api.byte_budget.reservation(),
        tracing=api.tracing,
        arrived_at=api.clock(),
    )
    try:
        await _respond(api, exchange, scope)
        exchange.span.end()
    except BaseException as error:
        exchange.span.end(SpanStatus.ERROR, type(error).__name__)
        raise
    finally:
        exchange.reservation.close()


async def _respond(api: _Api, exchange: Exchange, scope: Scope) -> None:
    if not api.is_ready():
        await send_error(exchange, not_ready(api.retry_delays))
        return
    account = authenticate(exchange.values, api.service_policies)
    if isinstance(account, ErrorResponse):
        await send_error(exchange, account)
        return
    route = find_route(scope)
    if isinstance(route, ErrorResponse):
        await send_error(exchange, route)
    elif route.endpoint is Endpoint.MODELS:
        await _respond_to_models(api, exchange, account, route)
    else:
        await _respond_to_call(api, exchange, account, route)


async def _respond_to_models(
    api: _Api, exchange: Exchange, account: str, route: Route
) -> None:
    document = _models_document(api, exchange, account, route)
    if isinstance(document, ErrorResponse):
        await send_error(exchange, document)
        return
    headers = {
        REQUEST_ID_HEADER: str(exchange.request_id),
        OUTCOME_HEADER: Outcome.COMPLETE.value,
    }
    await send_json(exchange.send, OK, document, headers)


def _models_document(
    api: _Api, exchange: Exchange, account: str, route: Route
) -> object | ErrorResponse:
    options, problems = call_options(exchange.values, api.limits)
    service_policy = find_service_policy(account, route, options, api.service_policies)
    if isinstance(service_policy, ErrorResponse):
        return service_policy
    if isinstance(service_policy, Problem):
        return rejected([*problems, service_policy])
    if problems:
        return rejected(problems)
    known = api.resources()
    if route.name:
        return get_model(service_policy, route.name, known)
    return list_models(service_policy, known)


async def _respond_to_call(
    api: _Api, exchange: Exchange, account: str, route: Route
) -> None:
    body = await receive_body(
        exchange.receive,
        exchange.values,
        exchange.reservation,
        api.limits,
        api.retry_delays,
    )
    if isinstance(body, CallerDisconnected):
        return
    if isinstance(body, ErrorResponse):
        await send_error(exchange, body)
        return
    received = ReceivedCall(
        request_id=exchange.request_id,
        account=account,
        route=route,
        values=exchange.values,
        body=body,
        arrived_at=exchange.arrived_at,
        traceparent=exchange.span.traceparent,
    )
    request = api.builder.build(received)
    if isinstance(request, ErrorResponse):
        await send_error(exchange, request)
        return
    relay = Relay(
        exchange.send,
        request_id=str(request.request_id),
        method=exchange.method,
        needs_done=route.endpoint in _STREAMED_ENDPOINTS,
        limits=api.limits,
        reservation=exchange.reservation,
        clock=api.clock,
    )
    error = await submit_and_relay(
        api.submitter, request, relay, exchange.receive, api.limits, api.retry_delays
    )
    exchange.span.set_attributes({"status": relay.status})
    if error is not None:
        await send_error(exchange, error)
