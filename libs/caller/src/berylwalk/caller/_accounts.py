"""Authentication of callers and lookup of the settings that apply to a call."""

from hashlib import sha256

from berylwalk.caller._errors import (
    FORBIDDEN,
    NOT_FOUND,
    ErrorResponse,
    ErrorType,
    Problem,
    invalid,
)
from berylwalk.caller._headers import SERVICE, CallOptions, ValuesByName
from berylwalk.caller._interfaces import ServicePolicySource
from berylwalk.caller._routes import Endpoint, Route
from berylwalk.model import Finding, ServicePolicy

UNAUTHORIZED = 401
AUTHORIZATION = "Authorization"

_SCHEME = "bearer "
_CHALLENGE = (("www-authenticate", "Bearer"),)


def authenticate(
    values: ValuesByName, service_policies: ServicePolicySource
) -> str | ErrorResponse:
    """Return the path of the client account that the bearer token belongs to."""
    found = values.get(AUTHORIZATION.lower(), ())
    if len(found) != 1:
        return _unauthorized("must be given exactly once")
    if not found[0].lower().startswith(_SCHEME):
        return _unauthorized("must be a bearer token")
    token = found[0][len(_SCHEME) :].strip()
    account = service_policies.by_token(sha256(token.encode("latin-1")).hexdigest())
    if account is None:
        return _unauthorized("names no client account")
    return account


def find_service_policy(
    account: str,
    route: Route,
    options: CallOptions,
    service_policies: ServicePolicySource,
) -> ServicePolicy | ErrorResponse | Problem:
    """Return the settings for a call.

    The header ``Berylwalk-Service`` selects the service node. Without it, the node
    with the name of the called service applies if there is one, else the account.
    """
    if options.service:
        named = service_policies.service_policy(account, options.service)
        if named is None:
            finding = Finding(f"header {SERVICE}", "names no service of the account")
            return Problem(NOT_FOUND, finding)
        return named
    found = None
    if route.endpoint is Endpoint.SERVICE:
        found = service_policies.service_policy(account, route.name)
    found = found or service_policies.service_policy(account, "")
    return found or _unauthorized("names no client account")


def may_use_model(service_policy: ServicePolicy, model: str) -> bool:
    """Return whether an account may use a model."""
    return not service_policy.models or model in service_policy.models


def model_problem(
    service_policy: ServicePolicy, model: str, known: frozenset[str], place: str
) -> Problem | None:
    """Return why an account cannot use a model, or None.

    While no resources are known, as shortly after a start, every model is assumed
    to exist.
    """
    if not may_use_model(service_policy, model):
        finding = Finding(place, f"the account may not use model {model!r}")
        return Problem(FORBIDDEN, finding)
    if known and f"model:{model}" not in known:
        return Problem(NOT_FOUND, Finding(place, f"there is no model {model!r}"))
    return None


def _unauthorized(problem: str) -> ErrorResponse:
    finding = Finding(f"header {AUTHORIZATION}", problem)
    return invalid(
        UNAUTHORIZED,
        "unauthorized",
        [finding],
        error_type=ErrorType.AUTHENTICATION,
        headers=_CHALLENGE,
    )
