"""Process that sends scheduled calls and writes their results to a file.

Run as ``python -m loadbench.sender JOB RESULTS``.
"""

import re
import sys
import time
from pathlib import Path

import anyio
import httpcore
import msgspec

from loadbench.fleets import bearer_token
from loadbench.request_bodies import model_body, response_digest
from loadbench.results import CallOutcome, Result
from loadbench.schedule import ScheduledCall
from loadbench.shapes import SHAPES_BY_NAME, TIERS, CallKind, ModelCallKind

DEADLINE_GRACE_S = 0.25
ROUTER_RETRY_DELAY_S = 1.0
STREAM_END = b"data: [DONE]\n\n"
EVENT_PREFIX = b"data: "
CACHED_TOKENS_PATTERN = re.compile(rb'"cached_tokens":(\d+)')
ERROR_CODE_PATTERN = re.compile(rb'"code":"([^"]+)"')
NON_TOKEN_EVENTS = 2
"""Events of a stream without a token: the usage and the end."""


class Job(msgspec.Struct):
    """Calls and parameters of one sender process.

    Parameters
    ----------
    shape : str
        Name of the shape.
    urls : list of str
        Base URLs of the routers' caller APIs.
    started_at : float
        Monotonic time of the scenario's start, in seconds.
    run : str
        Prefix that makes prompts and idempotency keys unique to the scenario.
    calls : list of ScheduledCall
        Calls in order of time.
    """

    shape: str
    urls: list[str]
    started_at: float
    run: str
    calls: list[ScheduledCall]


class Sender:
    """Sender of the calls of a job.

    Parameters
    ----------
    job : Job
        Calls and parameters.
    """

    def __init__(self, job: Job) -> None:
        self.results: list[Result] = []
        self._job = job
        self._kinds = SHAPES_BY_NAME[job.shape].kinds
        self._retry_at = [0.0] * len(job.urls)

    async def run(self) -> None:
        """Send each call at its scheduled time and wait for all responses."""
        async with anyio.create_task_group() as tasks:
            for call in self._job.calls:
                due_at = self._job.started_at + call.at
                await anyio.sleep(max(0.0, due_at - time.monotonic()))
                tasks.start_soon(self._send, call, due_at)

    async def _send(self, call: ScheduledCall, due_at: float) -> None:
        kind = self._kinds[call.kind]
        started = time.monotonic()
        result = Result(call.number, CallOutcome.GIVEN_UP, 0.0, 0.0, started - due_at)
        deadline_s = TIERS[kind.tier].deadline_s
        with anyio.move_on_after(deadline_s + DEADLINE_GRACE_S):
            try:
                await self._exchange(call, kind, result, started)
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                result.outcome = CallOutcome.UNKNOWN
                result.reason = type(error).__name__
        result.total_s = time.monotonic() - started
        self.results.append(result)

    async def _exchange(
        self, call: ScheduledCall, kind: CallKind, result: Result, started: float
    ) -> None:
        unique = f"{self._job.run}-{call.number} "
        for router in self._routers_in_order(call):
            try:
                await self._exchange_with(router, call, kind, unique, result, started)
                return
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                # Fail over to the next router, as a load balancer does.
                self._retry_at[router] = time.monotonic() + ROUTER_RETRY_DELAY_S
        result.outcome = CallOutcome.NO_ROUTER

    def _routers_in_order(self, call: ScheduledCall) -> list[int]:
        count = len(self._job.urls)
        order = [(call.router + step) % count for step in range(count)]
        now = time.monotonic()
        return sorted(order, key=lambda router: self._retry_at[router] > now)

    async def _exchange_with(
        self,
        router: int,
        call: ScheduledCall,
        kind: CallKind,
        unique: str,
        result: Result,
        started: float,
    ) -> None:
        method, path, headers, body = _request(call, kind, unique)
        url = self._job.urls[router] + path
        parts = []
        # One connection per call: a pool scans all its connections on each call,
        # which is slow with hundreds of pending calls.
        async with (
            httpcore.AsyncHTTPConnection(httpcore.URL(url).origin) as connection,
            connection.stream(method, url, headers=headers, content=body) as response,
        ):
            async for chunk in response.aiter_stream():
                if not parts:
                    result.first_token_s = time.monotonic() - started
                parts.append(chunk)
        content = b"".join(parts)
        if response.status == 200:
            _classify_response(call, kind, unique, content, result)
            return
        outcome_header = dict(response.headers).get(b"berylwalk-outcome", b"")
        result.outcome = (
            CallOutcome.NOT_RUN if outcome_header == b"not-run" else CallOutcome.UNKNOWN
        )
        code = ERROR_CODE_PATTERN.search(content)
        result.reason = code[1].decode() if code else str(response.status)


def _request(
    call: ScheduledCall, kind: CallKind, unique: str
) -> tuple[str, str, list[tuple[str, str]], bytes]:
    headers = [
        ("Authorization", f"Bearer {bearer_token(call.account)}"),
        ("Berylwalk-Service", kind.service),
    ]
    if isinstance(kind, ModelCallKind):
        headers.append(("Content-Type", "application/json"))
        body = model_body(kind, call.document, unique)
        return "POST", "/v1/chat/completions", headers, body
    path = f"/services/{kind.target_service}/items"
    if not kind.has_idempotency_key:
        return "GET", path, headers, b""
    headers.append(("Idempotency-Key", unique.strip()))
    return "POST", path, headers, b"{}"


def _classify_response(
    call: ScheduledCall, kind: CallKind, unique: str, content: bytes, result: Result
) -> None:
    if not isinstance(kind, ModelCallKind):
        result.outcome = (
            CallOutcome.COMPLETE if content.endswith(b"}") else CallOutcome.WRONG
        )
        return
    if not content.endswith(STREAM_END):
        result.outcome = CallOutcome.UNKNOWN
        code = ERROR_CODE_PATTERN.search(content)
        result.reason = code[1].decode() if code else "no-end"
        return
    is_complete = content.count(EVENT_PREFIX) == kind.output_tokens + NON_TOKEN_EVENTS
    is_own = response_digest(kind, call.document, unique) in content
    result.outcome = (
        CallOutcome.COMPLETE if is_complete and is_own else CallOutcome.WRONG
    )
    cached = CACHED_TOKENS_PATTERN.search(content)
    cached_tokens = int(cached[1]) if cached else 0
    result.uncached_tokens = kind.prompt_tokens - cached_tokens


def main() -> None:
    """Run the job given on the command line."""
    job = msgspec.msgpack.decode(Path(sys.argv[1]).read_bytes(), type=Job)
    sender = Sender(job)
    anyio.run(sender.run)
    Path(sys.argv[2]).write_bytes(msgspec.msgpack.encode(sender.results))


if __name__ == "__main__":
    main()
