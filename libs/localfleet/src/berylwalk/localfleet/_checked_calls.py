"""Calls whose responses are compared with the expected ones."""

from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from enum import StrEnum

import httpcore
import msgspec

from berylwalk.localfleet._chat_responses import (
    ChatText,
    error_code,
    parse_chat_response,
)
from berylwalk.standins import expected_text

CHAT_PATH = "/v1/chat/completions"
DEFAULT_MODEL = "m1"
TIMEOUT_S = 120.0
MAX_CALLS = 128
OK = 200


class AnswerEnd(StrEnum):
    """Result of a call from the point of view of the caller."""

    WHOLE = "whole"
    """The complete expected response."""

    NOT_RUN = "not-run"
    """The response states that the request was not executed."""

    UNKNOWN = "unknown"
    """The response states that the outcome is unknown."""

    BROKEN = "broken"
    """A prefix of the expected response, and a connection error."""

    INVALID = "invalid"
    """The request was rejected as invalid."""

    NO_CONNECTION = "no-connection"
    """The connection failed before the response began."""

    WRONG = "wrong"
    """Any other response: incomplete without an error, or with unexpected content."""


_END_BY_OUTCOME = {
    "complete": AnswerEnd.WHOLE,
    "streaming": AnswerEnd.WHOLE,
    "not-run": AnswerEnd.NOT_RUN,
    "unknown": AnswerEnd.UNKNOWN,
    "invalid": AnswerEnd.INVALID,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatCall:
    """A chat completion request.

    Parameters
    ----------
    token : str
        Bearer token of the client account.
    service : str
        Service node under the client account, or empty.
    text : str
        Content of the message; it should differ between calls, so that mixed-up
        responses are detected.
    max_tokens : int
        Number of tokens of the response.
    stream : bool
        Whether to request a stream of events.
    headers : mapping of str to str
        Additional headers.
    """

    token: str
    service: str
    text: str
    max_tokens: int
    stream: bool = True
    headers: Mapping[str, str] = field(default_factory=dict)

    def body(self) -> dict[str, object]:
        """Return the body as an object for JSON encoding."""
        return {
            "model": DEFAULT_MODEL,
            "messages": [{"role": "user", "content": self.text}],
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        }


@dataclass(frozen=True, slots=True)
class CheckedAnswer:
    """A response and the result of its check.

    Parameters
    ----------
    end : AnswerEnd
        Result of the call.
    status : int
        HTTP status, or 0 if no response was received.
    request_id : str
        Id that the router assigned to the request, or empty.
    code : str
        ``error.code`` of an error response or error event, or empty.
    headers : dict of str to str
        Response headers by lower-case name.
    body : bytes
        Received part of the body.
    """

    end: AnswerEnd
    status: int = 0
    request_id: str = ""
    code: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def retry_after(self) -> str:
        """Value of ``Retry-After``, or an empty string."""
        return self.headers.get("retry-after", "")


class CheckedCaller:
    """Client that sends concurrent calls and checks their responses.

    Parameters
    ----------
    max_calls : int
        Maximum number of concurrent calls; each uses a thread.
    """

    def __init__(self, *, max_calls: int = MAX_CALLS) -> None:
        self._threads = ThreadPoolExecutor(max_calls)
        self._timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)

    def close(self) -> None:
        """Wait for all calls to end."""
        self._threads.shutdown()

    def start_chat(self, url: str, call: ChatCall) -> "Future[CheckedAnswer]":
        """Send a chat completion request to the caller API of a router."""
        return self._threads.submit(self._chat, url, call)

    def start_request(
        self,
        method: str,
        url: str,
        *,
        token: str,
        content: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> "Future[CheckedAnswer]":
        """Send a request without checking the body of its response."""
        fields = {"Authorization": f"Bearer {token}"} | dict(headers or {})
        return self._threads.submit(self._request, method, url, content, fields)

    def _chat(self, url: str, call: ChatCall) -> CheckedAnswer:
        headers = {
            "Authorization": f"Bearer {call.token}",
            "Content-Type": "application/json",
            **call.headers,
        }
        if call.service:
            headers["Berylwalk-Service"] = call.service
        body = call.body()
        answer = self._request(
            "POST", url + CHAT_PATH, msgspec.json.encode(body), headers
        )
        if answer.status != OK:
            return answer
        text = parse_chat_response(answer.body, stream=call.stream)
        end = _classify_chat_end(answer.end, text, expected_text(body))
        return replace(answer, end=end, code=text.error_code)

    def _request(
        self, method: str, url: str, content: bytes, headers: Mapping[str, str]
    ) -> CheckedAnswer:
        received = bytearray()
        status = 0
        fields: dict[str, str] = {}
        clean = True
        try:
            with httpcore.stream(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": self._timeout},
            ) as response:
                status = response.status
                fields = _headers_by_name(response)
                for chunk in response.iter_stream():
                    received += chunk
        except (httpcore.NetworkError, httpcore.RemoteProtocolError):
            clean = False
        return CheckedAnswer(
            end=_classify_end(status, fields, clean=clean),
            status=status,
            request_id=fields.get("berylwalk-request-id", ""),
            code=error_code(bytes(received)) if status != OK else "",
            headers=fields,
            body=bytes(received),
        )


def _headers_by_name(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }


def _classify_end(status: int, headers: Mapping[str, str], *, clean: bool) -> AnswerEnd:
    if not status:
        return AnswerEnd.NO_CONNECTION
    if not clean:
        return AnswerEnd.BROKEN
    outcome = headers.get("berylwalk-outcome", "")
    return _END_BY_OUTCOME.get(outcome, AnswerEnd.WRONG)


def _classify_chat_end(end: AnswerEnd, text: ChatText, expected: str) -> AnswerEnd:
    if end is AnswerEnd.WHOLE:
        complete = text.done and not text.error_code and text.text == expected
        return AnswerEnd.WHOLE if complete else AnswerEnd.WRONG
    # A broken response must not look complete, and must begin as expected.
    if end is AnswerEnd.BROKEN and not text.done and expected.startswith(text.text):
        return AnswerEnd.BROKEN
    return AnswerEnd.WRONG
