"""Routing of requests to endpoints by path and method."""

from dataclasses import dataclass
from enum import StrEnum

from berylwalk.caller._errors import ErrorResponse, ErrorType, invalid
from berylwalk.model import Finding
from berylwalk.transport import Scope

METHOD_NOT_ALLOWED = 405
NOT_FOUND = 404

_SERVICES = "/services/"
_MODELS = "/v1/models"


class Endpoint(StrEnum):
    """Endpoints of the caller API."""

    CHAT = "/v1/chat/completions"
    COMPLETIONS = "/v1/completions"
    MODELS = "/v1/models"
    SERVICE = "/services"


_METHODS = {
    Endpoint.CHAT: ("POST",),
    Endpoint.COMPLETIONS: ("POST",),
    Endpoint.MODELS: ("GET", "HEAD"),
}


@dataclass(frozen=True, slots=True)
class Route:
    """The endpoint of a request, with the parameters in its path.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    method : str
        HTTP method.
    name : str
        Name of the service or model, or empty.
    target_path : str
        Path and query for the target.
    """

    endpoint: Endpoint
    method: str
    name: str = ""
    target_path: str = ""


def find_route(scope: Scope) -> Route | ErrorResponse:
    """Return the endpoint that a request addresses.

    Parameters
    ----------
    scope : mapping
        ASGI HTTP scope.

    Returns
    -------
    Route or ErrorResponse
        A response with status 404 or 405 when there is no such endpoint.
    """
    route = _match(scope)
    if route is None:
        finding = Finding("path", "there is no such endpoint")
        code, kind = "no-such-endpoint", ErrorType.NOT_FOUND
        return invalid(NOT_FOUND, code, [finding], error_type=kind)
    allowed = _METHODS.get(route.endpoint)
    if allowed is None or route.method in allowed:
        return route
    names = ", ".join(allowed)
    finding = Finding("method", f"must be one of {names}")
    headers = (("allow", names),)
    return invalid(METHOD_NOT_ALLOWED, "bad-method", [finding], headers=headers)


def _match(scope: Scope) -> Route | None:
    path, method = scope["path"], scope["method"]
    if path in (Endpoint.CHAT, Endpoint.COMPLETIONS):
        return Route(Endpoint(path), method, target_path=path)
    if path == _MODELS:
        return Route(Endpoint.MODELS, method)
    if path.startswith(_MODELS + "/"):
        return Route(Endpoint.MODELS, method, path.removeprefix(_MODELS + "/"))
    return _match_service(scope)


def _match_service(scope: Scope) -> Route | None:
    raw_path = _raw_path(scope)
    if not raw_path.startswith(_SERVICES):
        return None
    name, _, rest = raw_path.removeprefix(_SERVICES).partition("/")
    if not name:
        return None
    query = scope.get("query_string", b"").decode("latin-1")
    target_path = f"/{rest}?{query}" if query else f"/{rest}"
    return Route(Endpoint.SERVICE, scope["method"], name, target_path)


def _raw_path(scope: Scope) -> str:
    # The target receives the path as sent by the caller, with its percent-encoding.
    raw_path = scope.get("raw_path")
    if raw_path is None:
        return scope["path"]
    return raw_path.decode("latin-1").partition("?")[0]
