"""A fake core of the router, and ways to call the application."""

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


async def whole_answer(request: Request, sink: ResponseSink) -> FinalResponse:
    """Answer with the target call's own body."""
    await sink.start(200, JSON_HEADERS, "agent-1")
    await sink.chunk(request.call.body)
    return FinalResponse(Outcome.COMPLETE, started=True)


@dataclass
class FakeSubmitter:
    """Keeps the requests and lets a function answer them."""

    respond: Respond = whole_answer
    requests: list[Request] = field(default_factory=list)
    serials: count = field(default_factory=lambda: count(1))

    def new_request_id(self) -> RequestId:
        """Return the next identifier."""
        return RequestId("router-1", 255, next(self.serials))

    async def submit(self, request: Request, sink: ResponseSink) -> FinalResponse:
        """Keep the request and answer it."""
        self.requests.append(request)
        return await self.respond(request, sink)


@dataclass
class FakeServicePolicies:
    """One account with service nodes, which may use all models but one."""

    idempotent: bool = True

    def by_token(self, sha256_hex: str) -> str | None:
        """Return the account of the one known token."""
        return ACCOUNT if sha256_hex == sha256(TOKEN.encode()).hexdigest() else None

    def service_policy(self, account: str, service: str) -> ServicePolicy | None:
        """Return settings of the account and of its nodes.

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
class Answer:
    """A response as the ASGI server saw it."""

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
    ) -> Answer:
        """Send one request and return the response."""
        answer = Answer()
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
                answer.status = message["status"]
                names = [name for name, _ in message["headers"]]
                assert len(names) == len(set(names))
                answer.headers = {
                    name.decode(): value.decode() for name, value in message["headers"]
                }
                return
            answer.body += message.get("body", b"")
            answer.ended = not message.get("more_body", False)

        try:
            await self.app(scope, receive, send)
        except AbortConnection:
            answer.aborted = True
        return answer

    async def chat(self, headers: tuple = (), **fields: object) -> Answer:
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
    """Return the application over fakes."""
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
    """Return a function that builds a caller over a fake core."""

    def make(respond: Respond = whole_answer, **options: object) -> Caller:
        submitter = FakeSubmitter(respond)
        return Caller(make_app(submitter, **options), submitter)

    return make


@pytest.fixture
def serve() -> Callable[..., AbstractAsyncContextManager[tuple[str, int]]]:
    """Return a function that serves a fake core on a socket."""

    @asynccontextmanager
    async def serving(
        respond: Respond = whole_answer, **options: object
    ) -> AsyncIterator[tuple[str, int]]:
        server = HttpServer(make_app(FakeSubmitter(respond), **options), HOST, 0)
        await server.start()
        try:
            yield server.address
        finally:
            await server.close()

    return serving
