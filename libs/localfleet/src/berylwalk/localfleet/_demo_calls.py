"""Calls of the demo."""

import os
import time
from dataclasses import dataclass

import httpcore
import msgspec

TIMEOUT_S = 60.0
STREAM_END = b"data: [DONE]"


@dataclass(frozen=True, slots=True)
class Call:
    """A call of the demo.

    Parameters
    ----------
    client_account, service : str
        Client account and service node of the call.
    method, path : str
        HTTP method, and path of the caller API.
    body : bytes
        JSON body, or empty.
    stream : bool
        Whether the response is a stream of server-sent events.
    """

    client_account: str
    service: str
    method: str
    path: str
    body: bytes = b""
    stream: bool = False


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call.

    Parameters
    ----------
    router : str
        Host and port of the router.
    service : str
        Name of the service node.
    status : int
        HTTP status.
    outcome, agent : str
        Outcome, and name of the agent, from the response headers.
    first_byte_ms, whole_ms : float
        Time to the first byte and to the end of the body, in milliseconds.
    complete : bool
        Whether the response is complete.
    trace_id : str
        Trace id of the call.
    """

    router: str
    service: str
    status: int
    outcome: str
    agent: str
    first_byte_ms: float
    whole_ms: float
    complete: bool
    trace_id: str

    def line(self) -> str:
        """Return a line of text for the terminal."""
        return (
            f"{self.service:<18} via {self.router:<28} at {self.agent or '-':<10} "
            f"{self.status} {self.outcome:<9} first {self.first_byte_ms:7.1f} ms  "
            f"whole {self.whole_ms:8.1f} ms"
        )


def _chat(text: str, max_tokens: int, *, stream: bool) -> bytes:
    body = {
        "model": "m1",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return msgspec.json.encode(body)


CHAT = "/v1/chat/completions"
CALLS = (
    Call("parkovisko", "sign-drafts", "POST", CHAT, _chat("A sign", 12, stream=False)),
    Call(
        "parkovisko",
        "fault-summaries",
        "POST",
        CHAT,
        _chat("Faults of the night: " * 200, 200, stream=True),
        stream=True,
    ),
    Call("parkovisko", "signs", "GET", "/services/signs/occupancy"),
    Call(
        "arsivsan",
        "box-lookups",
        "POST",
        CHAT,
        _chat("Where is box 1?", 16, stream=True),
        stream=True,
    ),
    Call(
        "arsivsan",
        "retention-reviews",
        "POST",
        CHAT,
        _chat("Review the deeds: " * 400, 150, stream=True),
        stream=True,
    ),
)


async def run_call(
    pool: httpcore.AsyncConnectionPool, url: str, call: Call, token: str
) -> CallResult:
    """Send a call to a router and measure the response times."""
    trace_id = os.urandom(16).hex()
    headers = {
        "Authorization": f"Bearer {token}",
        "Berylwalk-Service": call.service,
        "Content-Type": "application/json",
        "traceparent": f"00-{trace_id}-{os.urandom(8).hex()}-01",
    }
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    started = time.perf_counter()
    first = None
    body = bytearray()
    async with pool.stream(
        call.method,
        url + call.path,
        headers=headers,
        content=call.body,
        extensions={"timeout": timeouts},
    ) as response:
        async for chunk in response.aiter_stream():
            first = first or time.perf_counter()
            body += chunk
    ended = time.perf_counter()
    complete = response.status == 200 and (not call.stream or STREAM_END in body[-32:])
    received = {name.lower(): value.decode() for name, value in response.headers}
    return CallResult(
        router=url.removeprefix("http://"),
        service=call.service,
        status=response.status,
        outcome=received.get(b"berylwalk-outcome", "-"),
        agent=received.get(b"berylwalk-agent", ""),
        first_byte_ms=1000 * ((first or ended) - started),
        whole_ms=1000 * (ended - started),
        complete=complete,
        trace_id=trace_id,
    )
