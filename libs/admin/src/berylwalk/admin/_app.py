"""The ASGI application of the administration API."""

from collections.abc import Iterable, Mapping
from urllib.parse import parse_qsl

from absl import logging

from berylwalk.admin._calls import (
    BODY_TIMEOUT_S,
    MAX_BODY_BYTES,
    AdminCall,
    Application,
    Handler,
    Receive,
    Response,
    RouteKey,
    Scope,
    Send,
)
from berylwalk.admin._credentials import author_from_header
from berylwalk.admin._fleet_routes import fleet_routes
from berylwalk.admin._orders import OrderService
from berylwalk.admin._problems import Problem, ProblemError, ProblemKind
from berylwalk.admin._services import FleetView, SettingsService
from berylwalk.admin._settings_routes import SUBMIT_TIMEOUT_S, settings_routes
from berylwalk.transport import (
    AbortConnection,
    BodyFailure,
    read_body,
    read_headers,
    send_end,
    send_json,
    send_start,
)

ROOT_PATH = "/admin/v1/"
_STATUS_BY_BODY_FAILURE = {
    BodyFailure.TOO_LARGE: (413, ProblemKind.TOO_LARGE),
    BodyFailure.TIMED_OUT: (408, ProblemKind.TIMED_OUT),
}


def admin_app(
    *,
    settings: SettingsService,
    fleet: FleetView,
    credentials: Iterable[str],
    orders: OrderService | None = None,
    submit_timeout_s: float = SUBMIT_TIMEOUT_S,
) -> Application:
    """Return the administration API, to be served on a separate listener.

    Parameters
    ----------
    settings : SettingsService
        The operators' settings.
    fleet : FleetView
        The state of the fleet as known to this router.
    credentials : iterable of str
        SHA-256 hex digests of the operators' bearer tokens.
    orders : OrderService, optional
        Without it, orders get status 501.
    submit_timeout_s : float
        Timeout for submitting a change, in seconds.

    Returns
    -------
    callable
        ASGI application for HTTP scopes.
    """
    accepted = tuple(credentials)
    handlers_by_route = {
        **settings_routes(settings, submit_timeout_s=submit_timeout_s),
        **fleet_routes(fleet, orders),
    }

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        headers = read_headers(scope)
        try:
            author = _authenticate(headers, accepted)
            handler, argument = _find_handler(scope, handlers_by_route)
            body = await _read_whole_body(receive)
            query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
            response = await handler(AdminCall(author, argument, query, headers, body))
        except ProblemError as error:
            await send_json(send, error.status, error.problem, error.headers)
        except AbortConnection:
            raise
        except Exception:
            logging.exception("%s %s failed", scope["method"], scope["path"])
            problem = Problem(ProblemKind.INTERNAL, "an internal error; see the logs")
            await send_json(send, 500, problem)
        else:
            await _send_response(send, response)

    return application


def _authenticate(headers: Mapping[str, str], credentials: tuple[str, ...]) -> str:
    author = author_from_header(headers.get("authorization", ""), credentials)
    if author is None:
        problem = Problem(ProblemKind.DENIED, "the bearer token is missing or wrong")
        raise ProblemError(401, problem, {"WWW-Authenticate": "Bearer"})
    return author


def _find_handler(
    scope: Scope, handlers_by_route: Mapping[RouteKey, Handler]
) -> tuple[Handler, str]:
    path, argument = _split_path(scope["path"], handlers_by_route)
    handler = handlers_by_route.get((scope["method"], path))
    if handler is not None:
        return handler, argument
    allowed = sorted(method for method, known in handlers_by_route if known == path)
    if not allowed:
        problem = Problem(ProblemKind.NOT_FOUND, f"there is no {scope['path']}")
        raise ProblemError(404, problem)
    detail = f"{scope['path']} takes {', '.join(allowed)}"
    problem = Problem(ProblemKind.METHOD_NOT_ALLOWED, detail)
    raise ProblemError(405, problem, {"Allow": ", ".join(allowed)})


def _split_path(
    path: str, handlers_by_route: Mapping[RouteKey, Handler]
) -> tuple[str, str]:
    """Split off the last segment if it is a parameter of the route."""
    if not path.startswith(ROOT_PATH):
        return "", ""
    relative = path.removeprefix(ROOT_PATH)
    head, slash, last = relative.rpartition("/")
    parent = head + slash
    is_variable = any(known == parent for _, known in handlers_by_route)
    if not is_variable:
        return relative, ""
    return (parent, last) if last else ("", "")


async def _read_whole_body(receive: Receive) -> bytes:
    body = await read_body(receive, MAX_BODY_BYTES, BODY_TIMEOUT_S)
    if body is BodyFailure.DISCONNECTED:
        raise AbortConnection
    if isinstance(body, BodyFailure):
        status, kind = _STATUS_BY_BODY_FAILURE[body]
        raise ProblemError(status, Problem(kind, f"the body was {kind}"))
    return body


async def _send_response(send: Send, response: Response) -> None:
    if not isinstance(response.document, str):
        await send_json(send, 200, response.document, response.headers)
        return
    body = response.document.encode()
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
    ]
    headers += [
        (name.lower().encode(), value.encode())
        for name, value in response.headers.items()
    ]
    await send_start(send, 200, headers)
    await send_end(send, body)
