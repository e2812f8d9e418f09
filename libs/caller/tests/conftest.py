"""Fake router core and helpers to call the application."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from itertools import count
from random import Random

import msgspec
import pytest
from anyio import sleep_forever

from berylwalk.caller import CallerLimits, caller_app
from berylwalk.model import (
    FinalResponse,
    Outcome,
    Request,
    RequestId,
    ResponseSink,
    ServicePolicy,
    TierPolicy,
)
from berylwalk.transport import AbortConnection, HttpServer

HOST = "127.79.4.1"
TOKEN = "field-token"
ACCOUNT = "/city/field"
TIER = TierPolicy("urgent", 0)
RESOURCES = frozenset(
    {"model:small", "model:large", "model:org/tuned", "service:signs"}
)
JSON_HEADERS = ((b"content-type", b"application/json"),)
MODELS = ("small", "org/tuned", "absent")

Respond = Callable[[Request, ResponseSink], Awaitable[FinalResponse]]


async def echo_body(request: Request, sink: ResponseSink) -> FinalResponse:
    """Respond with the body of the request."""
    await sink.start(200, JSON_HEADERS, "agent-1")
    await sink.chunk(request.call.body)
    return FinalResponse(Outcome.COMPLETE, started=True)


@dataclass
class FakeSubmitter:
    """Records the requests and responds by a function."""

    respond: Respond = echo_body
    requests: list[Request] = field(default_factory=list)
    serials: count = field(default_factory=lambda: count(1))

    def new_request_id(self) -> RequestId:
        """Return the next request id."""
        return RequestId("router-1", 255, next(self.serials))

    async def submit(self, request: Request, sink: ResponseSink) -> FinalResponse:
        """Record the request and respond to it."""
        self.requests.append(request)
        return await self.respond(request, sink)


@dataclass
class FakeServicePolicies:
    """Settings of one account with service nodes and access to all models but one."""

    idempotent: bool = True

    def by_token(self, sha256_hex: str) -> str | None:
        """Return the account if the token is the valid one."""
        return ACCOUNT if sha256_hex == sha256(TOKEN.encode()).hexdigest() else None

    def service_policy(self, account: str, service: str) -> ServicePolicy | None:
        """Return the settings of the account or of one of its service nodes.

        The calls of the node ``boards`` go to the service ``signs``.
        """
        if service not in ("", "signs", "boards"):
            return None
        return ServicePolicy(
            account,
            service,
            TIER,
            deadline_s=30.0,
            max_output_tokens=1000,
            models=MODELS,
            idempotent=self.idempotent,
            target_service="signs" if service == "boards" else "",
        )


@dataclass
class RecordedResponse:
    """A response as received by the ASGI server."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended: bool = False
    aborted: bool = False

    @property
    def error(self) -> dict:
        """The ``error`` object of the body."""
        return msgspec.json.decode(self.body)["error"]

    @property
    def outcome(self) -> str:
        """The outcome header."""
        return self.headers["berylwalk-outcome"]


@dataclass
class Caller:
    """Calls an application without a socket."""

    app: Callable
    submitter: FakeSubmitter

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        token: str = TOKEN,
    ) -> RecordedResponse:
        """Send one request and return the response."""
        response = RecordedResponse()
        target, _, query = path.partition("?")
        all_headers = (("authorization", f"Bearer {token}"), *headers)
        scope = {
            "type": "http",
            "method": method,
            "path": target,
            "raw_path": target.encode(),
            "query_string": query.encode(),
            "headers": [(name.encode(), text.encode()) for name, text in all_headers],
        }
        messages = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive() -> dict:
            if messages:
                return messages.pop()
            return await sleep_forever()

        async def send(message: dict) -> None:
            if message["type"] == "http.response.start":
                response.status = message["status"]
                names = [name for name, _ in message["headers"]]
                assert len(names) == len(set(names))
                response.headers = {
                    name.decode(): value.decode() for name, value in message["headers"]
                }
                return
            response.body += message.get("body", b"")
            response.ended = not message.get("more_body", False)

        try:
            await self.app(scope, receive, send)
        except AbortConnection:
            response.aborted = True
        return response

    async def chat(self, headers: tuple = (), **fields: object) -> RecordedResponse:
        """Send a chat call."""
        body = {"model": "small", "messages": [{"role": "user", "content": "hi"}]}
        encoded = msgspec.json.encode(body | fields)
        return await self.call("POST", "/v1/chat/completions", encoded, headers)


def make_app(
    submitter: FakeSubmitter,
    *,
    resources: frozenset[str] | Callable[[], frozenset[str]] = RESOURCES,
    idempotent: bool = True,
    is_ready: Callable[[], bool] = lambda: True,
    **limits: float,
) -> Callable:
    """Return the application with fake dependencies."""
    return caller_app(
        submitter=submitter,
        service_policies=FakeServicePolicies(idempotent=idempotent),
        resources=resources if callable(resources) else lambda: resources,
        prefix_hashes=lambda prompt: (len(prompt),),
        is_ready=is_ready,
        limits=CallerLimits(retry_jitter=0.0, **limits),
        generator=Random(0),
    )


@pytest.fixture
def make_caller() -> Callable[..., Caller]:
    """Return a factory of callers of an application with a fake core."""

    def make(respond: Respond = echo_body, **options: object) -> Caller:
        submitter = FakeSubmitter(respond)
        return Caller(make_app(submitter, **options), submitter)

    return make


@pytest.fixture
def serve() -> Callable[..., AbstractAsyncContextManager[tuple[str, int]]]:
    """Return a context manager that serves the application on a socket."""

    @asynccontextmanager
    async def serving(
        respond: Respond = echo_body, **options: object
    ) -> AsyncIterator[tuple[str, int]]:
        server = HttpServer(make_app(FakeSubmitter(respond), **options), HOST, 0)
        await server.start()
        try:
            yield server.address
        finally:
            await server.close()

    return serving
