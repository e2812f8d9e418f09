"""Request and response headers: options of a call, and headers to forward."""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from berylwalk.caller._errors import BAD_REQUEST, Problem
from berylwalk.caller._limits import CallerLimits
from berylwalk.model import Finding

ValuesByName = Mapping[str, list[str]]
RawHeaders = Iterable[tuple[bytes, bytes]]

SERVICE = "Berylwalk-Service"
IDEMPOTENT = "Berylwalk-Idempotent"
IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE_MS = "Berylwalk-Deadline-Ms"
TRACEPARENT = "traceparent"
RESERVED_PREFIX = "berylwalk-"

REPLAYED = "berylwalk-replayed"

_SINGLE_VALUE_HEADERS = (SERVICE, IDEMPOTENT, IDEMPOTENCY_KEY, DEADLINE_MS, TRACEPARENT)
_KNOWN_HEADERS = frozenset(name.lower() for name in _SINGLE_VALUE_HEADERS)
_MAX_SHOWN_NAME = 64
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The token must not be disclosed to targets; the agent sets traceparent.
_NOT_FOR_TARGET = frozenset(
    {"authorization", "content-length", "expect", "host", "traceparent"}
)
_MODEL_CALL_HEADERS = ("accept", "tracestate")
_SERVICE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_VISIBLE_ASCII = re.compile(r"[\x21-\x7e]+")
_DECIMAL = re.compile(r"[0-9]{1,15}")
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
_BOOLEANS = {"true": True, "false": False}


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Options that a caller sets by headers.

    Parameters
    ----------
    service : str
        Service node under the client account, or empty.
    idempotent : bool or None
        Whether the caller declares the call idempotent; None if not stated.
    idempotency_key : str
        The key, or empty.
    deadline_s : float or None
        Seconds from the arrival of the request until its response is complete.
    traceparent : str
        W3C trace context, or empty.
    """

    service: str = ""
    idempotent: bool | None = None
    idempotency_key: str = ""
    deadline_s: float | None = None
    traceparent: str = ""


def values_by_name(raw_headers: RawHeaders) -> dict[str, list[str]]:
    """Return all values of each header by lower-case name."""
    values: dict[str, list[str]] = {}
    for raw_name, raw_value in raw_headers:
        name = raw_name.decode("latin-1").lower()
        values.setdefault(name, []).append(raw_value.decode("latin-1"))
    return values


def call_options(
    values: ValuesByName, limits: CallerLimits
) -> tuple[CallOptions, list[Problem]]:
    """Parse the options of a call; return them with all problems."""
    problems = _unknown_names(values)
    texts = {name: _single(values, name, problems) for name in _SINGLE_VALUE_HEADERS}
    options = CallOptions(
        service=_service(texts[SERVICE], problems),
        idempotent=_boolean(texts[IDEMPOTENT], problems),
        idempotency_key=_key(texts[IDEMPOTENCY_KEY], limits, problems),
        deadline_s=_deadline(texts[DEADLINE_MS], limits, problems),
        traceparent=_traceparent(texts[TRACEPARENT]),
    )
    return options, problems


def service_call_headers(values: ValuesByName) -> tuple[tuple[str, str], ...]:
    """Return the headers that a plain service receives."""
    connection_options = _connection_options(values)
    return tuple(
        (name, value)
        for name, all_values in values.items()
        for value in all_values
        if _is_for_target(name, connection_options)
    )


def model_call_headers(values: ValuesByName) -> tuple[tuple[str, str], ...]:
    """Return the headers that a model target receives.

    ``Accept-Encoding`` is left out, because the event stream is parsed.
    """
    forwarded = [
        (name, value) for name in _MODEL_CALL_HEADERS for value in values.get(name, ())
    ]
    return (("content-type", "application/json"), *forwarded)


def response_headers(raw_headers: RawHeaders) -> list[tuple[bytes, bytes]]:
    """Return the headers of a target's response that the caller receives.

    Leaves out ``content-length`` and the headers that only this API sets. The core
    sets ``Berylwalk-Replayed`` on a stored response for the same idempotency key.
    """
    headers = [(name.lower(), value) for name, value in raw_headers]
    connection_options = _connection_options(values_by_name(headers))
    return [
        (name, value)
        for name, value in headers
        if _is_for_caller(name.decode("latin-1"), connection_options)
    ]


def _is_for_target(name: str, connection_options: frozenset[str]) -> bool:
    if name in _HOP_BY_HOP or name in connection_options:
        return False
    return name not in _NOT_FOR_TARGET and not name.startswith(RESERVED_PREFIX)


def _is_for_caller(name: str, connection_options: frozenset[str]) -> bool:
    if name in _HOP_BY_HOP or name in connection_options:
        return False
    if name.startswith(RESERVED_PREFIX):
        return name == REPLAYED
    return name != "content-length"


def _connection_options(values: ValuesByName) -> frozenset[str]:
    names = ",".join(values.get("connection", ())).split(",")
    return frozenset(name.strip().lower() for name in names)


def _problem(name: str, text: str) -> Problem:
    return Problem(BAD_REQUEST, Finding(f"header {name}", text))


def _unknown_names(values: ValuesByName) -> list[Problem]:
    # A misspelled Berylwalk-Idempotent must not be ignored: the call could be retried.
    return [
        _problem(name[:_MAX_SHOWN_NAME], "is not known")
        for name in values
        if name.startswith(RESERVED_PREFIX) and name not in _KNOWN_HEADERS
    ]


def _single(values: ValuesByName, name: str, problems: list[Problem]) -> str | None:
    found = values.get(name.lower())
    if not found:
        return None
    if len(found) > 1:
        problems.append(_problem(name, "is given more than once"))
        return None
    return found[0].strip()


def _service(text: str | None, problems: list[Problem]) -> str:
    if text is None:
        return ""
    if not _SERVICE_NAME.fullmatch(text):
        problems.append(_problem(SERVICE, "is not the name of a service"))
        return ""
    return text


def _boolean(text: str | None, problems: list[Problem]) -> bool | None:
    if text is None:
        return None
    value = _BOOLEANS.get(text.lower())
    if value is None:
        problems.append(_problem(IDEMPOTENT, "must be true or false"))
    return value


def _key(text: str | None, limits: CallerLimits, problems: list[Problem]) -> str:
    if text is None:
        return ""
    if not _VISIBLE_ASCII.fullmatch(text) or len(text) > limits.max_key_length:
        problem = f"must be 1 to {limits.max_key_length} visible ASCII characters"
        problems.append(_problem(IDEMPOTENCY_KEY, problem))
        return ""
    return text


def _deadline(
    text: str | None, limits: CallerLimits, problems: list[Problem]
) -> float | None:
    if text is None:
        return None
    largest_ms = int(limits.max_deadline_s * 1000)
    if not _DECIMAL.fullmatch(text) or not 1 <= int(text) <= largest_ms:
        problem = f"must be a whole number from 1 to {largest_ms}"
        problems.append(_problem(DEADLINE_MS, problem))
        return None
    return int(text) / 1000


def _traceparent(text: str | None) -> str:
    # The W3C trace context standard requires receivers to ignore a malformed value.
    if text is None or not _TRACEPARENT.fullmatch(text):
        return ""
    return text
