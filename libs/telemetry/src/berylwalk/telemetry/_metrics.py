"""Prometheus metrics of the daemons, with one registry per process."""

from dataclasses import dataclass
from pathlib import Path
from resource import getpagesize
from typing import Any, Self

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

SECONDS_BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
)
STATM_PATH = Path("/proc/self/statm")
RESIDENT_PAGES_FIELD = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMetrics:
    """Metrics shared by routers and agents.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry of all metrics of the process.
    requests : Counter
        Finished requests; labels ``tier``, ``outcome``.
    refusals : Counter
        Refused requests; labels ``tier``, ``reason``.
    waiting, running : Gauge
        Queued and running requests; label ``tier``.
    first_token_seconds, dispatch_seconds : Histogram
        Durations, defined by the subclasses; label ``tier``.
    wasted_prefill_tokens : Counter
        Prompt tokens processed for responses that no caller received.
    datagrams : Counter
        Control datagrams; label ``direction``.
    settings_version : Gauge
        Current settings version.
    """

    registry: CollectorRegistry
    requests: Counter
    refusals: Counter
    waiting: Gauge
    running: Gauge
    first_token_seconds: Histogram
    dispatch_seconds: Histogram
    wasted_prefill_tokens: Counter
    datagrams: Counter
    settings_version: Gauge


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterMetrics(RequestMetrics):
    """Metrics of a router.

    ``first_token_seconds`` and ``dispatch_seconds`` are the times from the arrival
    of a request to its first token and to its dispatch.
    """

    @classmethod
    def create(cls) -> Self:
        """Construct with a registry of its own."""
        return cls(
            **_shared_metrics(
                "berylwalk_router",
                first_token="Arrival to first token.",
                dispatch="Arrival to dispatch.",
            )
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentMetrics(RequestMetrics):
    """Metrics of an agent.

    ``first_token_seconds`` and ``dispatch_seconds`` are the times from a dispatch to
    its first token and to its end.

    Parameters
    ----------
    limit : Gauge
        Current concurrency limit.
    """

    limit: Gauge

    @classmethod
    def create(cls) -> Self:
        """Construct with a registry of its own."""
        prefix = "berylwalk_agent"
        shared = _shared_metrics(
            prefix,
            first_token="Dispatch to first token.",
            dispatch="Dispatch to its end.",
        )
        return cls(limit=_limit(prefix, shared["registry"]), **shared)


def render(registry: CollectorRegistry) -> bytes:
    """Return a registry in the Prometheus text format.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry of a daemon.

    Returns
    -------
    bytes
        Body of a ``/metrics`` response.
    """
    return generate_latest(registry)


def resident_bytes() -> float:
    """Return the resident memory of this process in bytes."""
    pages = STATM_PATH.read_text().split()[RESIDENT_PAGES_FIELD]
    return float(int(pages) * getpagesize())


def _shared_metrics(prefix: str, *, first_token: str, dispatch: str) -> dict[str, Any]:
    """Return the fields of `RequestMetrics` by name, in a new registry."""
    registry = CollectorRegistry()
    _add_resident_memory(registry)
    return {
        "registry": registry,
        "requests": _requests(prefix, registry),
        "refusals": _refusals(prefix, registry),
        "waiting": _waiting(prefix, registry),
        "running": _running(prefix, registry),
        "first_token_seconds": _duration_histogram(
            f"{prefix}_first_token_seconds", first_token, registry
        ),
        "dispatch_seconds": _duration_histogram(
            f"{prefix}_dispatch_seconds", dispatch, registry
        ),
        "wasted_prefill_tokens": _wasted_prefill_tokens(prefix, registry),
        "datagrams": _datagrams(prefix, registry),
        "settings_version": _settings_version(prefix, registry),
    }


def _requests(prefix: str, registry: CollectorRegistry) -> Counter:
    return Counter(
        f"{prefix}_requests",
        "Finished requests.",
        ["tier", "outcome"],
        registry=registry,
    )


def _refusals(prefix: str, registry: CollectorRegistry) -> Counter:
    return Counter(
        f"{prefix}_refusals",
        "Refused requests.",
        ["tier", "reason"],
        registry=registry,
    )


def _waiting(prefix: str, registry: CollectorRegistry) -> Gauge:
    return Gauge(f"{prefix}_waiting", "Requests waiting.", ["tier"], registry=registry)


def _running(prefix: str, registry: CollectorRegistry) -> Gauge:
    return Gauge(f"{prefix}_running", "Requests running.", ["tier"], registry=registry)


def _limit(prefix: str, registry: CollectorRegistry) -> Gauge:
    return Gauge(
        f"{prefix}_limit", "Largest number of requests at once.", registry=registry
    )


def _duration_histogram(name: str, text: str, registry: CollectorRegistry) -> Histogram:
    return Histogram(name, text, ["tier"], registry=registry, buckets=SECONDS_BUCKETS)


def _wasted_prefill_tokens(prefix: str, registry: CollectorRegistry) -> Counter:
    return Counter(
        f"{prefix}_wasted_prefill_tokens",
        "Prompt tokens processed for answers that no caller received.",
        registry=registry,
    )


def _datagrams(prefix: str, registry: CollectorRegistry) -> Counter:
    return Counter(
        f"{prefix}_datagrams",
        "Control datagrams: sent, received, dropped or rejected.",
        ["direction"],
        registry=registry,
    )


def _settings_version(prefix: str, registry: CollectorRegistry) -> Gauge:
    return Gauge(
        f"{prefix}_settings_version", "Settings version in force.", registry=registry
    )


def _add_resident_memory(registry: CollectorRegistry) -> None:
    gauge = Gauge(
        "process_resident_memory_bytes", "Resident memory.", registry=registry
    )
    gauge.set_function(resident_bytes)
