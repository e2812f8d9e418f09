"""Components of a router that handle requests."""

from dataclasses import dataclass
from random import Random
from typing import Self

from berylwalk.platform import KeyValueStore
from berylwalk.process import tracing_from_settings
from berylwalk.router._config import RouterConfig
from berylwalk.router._idempotency import IdempotencyRecords
from berylwalk.router._machine import RouterMachine
from berylwalk.router._observing import RequestObserver
from berylwalk.router._record_leases import RecordLeases
from berylwalk.router._shell import RouterShell
from berylwalk.settings import RouterSettings
from berylwalk.telemetry import RouterMetrics, Tracing


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestParts:
    """The state machine, its shell and the observer of requests.

    Parameters
    ----------
    machine : RouterMachine
        The state machine.
    shell : RouterShell
        Runs the machine; must be connected to senders before use.
    records : IdempotencyRecords
        Claims idempotency keys.
    observer : RequestObserver
        Records the ends of requests in metrics, logs and spans.
    metrics : RouterMetrics
        Counters and histograms.
    tracing : Tracing
        Spans.
    """

    machine: RouterMachine
    shell: RouterShell
    records: IdempotencyRecords
    observer: RequestObserver
    metrics: RouterMetrics
    tracing: Tracing

    @classmethod
    def from_config(
        cls, settings: RouterSettings, *, incarnation: int, store: KeyValueStore
    ) -> Self:
        """Build the components.

        Parameters
        ----------
        settings : RouterSettings
            Settings of the node.
        incarnation : int
            Wall-clock milliseconds at the start of the process.
        store : KeyValueStore
            Holds the records of idempotency keys.

        Raises
        ------
        OSError
            If the span file cannot be opened.
        """
        metrics = RouterMetrics.create()
        tracing = tracing_from_settings("router", settings.node.id, settings.telemetry)
        records = _records(settings, store)
        config = RouterConfig.from_settings(settings, incarnation=incarnation)
        machine = RouterMachine(config, rng=Random())
        observer = RequestObserver(metrics)
        shell = RouterShell(
            machine,
            router=settings.node.id,
            incarnation=incarnation,
            records=records,
            observer=observer,
            tracing=tracing,
            next_due=machine.next_due,
        )
        return cls(
            machine=machine,
            shell=shell,
            records=records,
            observer=observer,
            metrics=metrics,
            tracing=tracing,
        )


def _records(settings: RouterSettings, store: KeyValueStore) -> IdempotencyRecords:
    lifetime_s = settings.routing.idempotency_lifetime_s
    return IdempotencyRecords(store, RecordLeases(store, lifetime_s=lifetime_s))
