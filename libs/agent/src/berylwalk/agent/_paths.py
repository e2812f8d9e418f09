"""Routing of HTTP requests on the dispatch port."""

from collections.abc import Mapping

from berylwalk.transport import Application, Receive, Scope, Send, send_json

DISPATCH_PATH = "/v1/dispatch"


def by_path(applications_by_path: Mapping[str, Application]) -> Application:
    """Return an application that routes POST requests by path."""

    async def application(scope: Scope, receive: Receive, send: Send) -> None:
        chosen = applications_by_path.get(scope["path"])
        if chosen is None or scope["method"] != "POST":
            await send_json(send, 404, {"error": "not found"})
            return
        await chosen(scope, receive, send)

    return application
