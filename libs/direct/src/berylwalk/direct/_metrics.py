"""Counters, gauges and latency histograms of a direct router."""

from contextlib import suppress

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
WAIT_BUCKETS_S = (0.001, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8)
RATIO_BUCKETS = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0)


class RouterMetrics:
    """Metrics with bounded labels, exported in the text format.

    Labels are route kinds, ranks, outcomes, reasons, services and targets, whose
    number the configuration bounds. Request ids are never used as labels.
    """

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.requests = Counter(
            "berylwalk_requests",
            "Requests ended, by route kind, rank, status and reason.",
            ("kind", "priority", "status", "reason"),
            registry=registry,
        )
        self.first_event_s = Histogram(
            "berylwalk_first_event_seconds",
            "Time from arrival to the answer, or to its first event.",
            ("kind", "priority"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.input_delay_s = Histogram(
            "berylwalk_input_delay_seconds",
            "Longest time until a request, or the end of its connection, was read.",
            ("input",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.waited_s = Histogram(
            "berylwalk_waited_seconds",
            "Time that a request waited for a place at a target.",
            ("service",),
            buckets=WAIT_BUCKETS_S,
            registry=registry,
        )
        self.first_event_ratio = Histogram(
            "berylwalk_first_event_ratio",
            "Actual over expected time from the send to the first event.",
            ("service",),
            buckets=RATIO_BUCKETS,
            registry=registry,
        )
        self.returns = Counter(
            "berylwalk_returns",
            "Requests whose callers had been refused before, by outcome.",
            ("outcome",),
            registry=registry,
        )
        self.streams_taken_up = Counter(
            "berylwalk_streams_taken_up",
            "Streams that callers take up, by how their version is known.",
            ("source",),
            registry=registry,
        )
        self.stream_records = Counter(
            "berylwalk_stream_records",
            "Records of streams for the store, by outcome of their write.",
            ("outcome",),
            registry=registry,
        )
        self.refused_for_reserve = Counter(
            "berylwalk_refused_for_reserve",
            "Requests refused for units that were kept for more urgent ones.",
            ("account",),
            registry=registry,
        )
        self.attempts = Counter(
            "berylwalk_attempts",
            "Ends of attempts at targets.",
            ("service", "end"),
            registry=registry,
        )
        self.response_ends = Counter(
            "berylwalk_response_ends",
            "Responses of targets by what ended them.",
            ("service", "end"),
            registry=registry,
        )
        self.retry_decisions = Counter(
            "berylwalk_retry_decisions",
            "Decisions of the retry budget on one more target for a request.",
            ("service", "outcome"),
            registry=registry,
        )
        self.ends_under_requests = Counter(
            "berylwalk_target_ends_under_requests",
            "Requests that ran at a target when it seemed to end.",
            ("service",),
            registry=registry,
        )
        self.ends_with_full_cache = Counter(
            "berylwalk_target_ends_with_full_cache",
            "Requests that ran at a target when it ended with a nearly full KV cache.",
            ("service",),
            registry=registry,
        )
        self.target_signals = Counter(
            "berylwalk_target_statements",
            "Times that a target stated something else of itself than before.",
            ("service",),
            registry=registry,
        )
        self.target_reports = Counter(
            "berylwalk_target_reports",
            "Reports of target monitors, by what became of them.",
            ("outcome",),
            registry=registry,
        )
        self.suspended_s = Counter(
            "berylwalk_suspended_seconds",
            "Time for which the VM was suspended.",
            registry=registry,
        )
        self.exchanges_failed = Counter(
            "berylwalk_exchanges_failed",
            "Requests that were cut by a fault of the router itself.",
            registry=registry,
        )
        self.loops_failed = Counter(
            "berylwalk_loops_failed",
            "Loops of the router that ended with an error and were begun again.",
            registry=registry,
        )
        self.slow_readers_ended = Counter(
            "berylwalk_slow_readers_ended",
            "Responses ended because their callers read too slowly.",
            registry=registry,
        )
        self.connections_turned_away = Counter(
            "berylwalk_connections_turned_away",
            "Connections of callers that were closed unread to spare the VM.",
            registry=registry,
        )
        self.vm_share = self._gauge(
            "vm_share", "Used share of a limit of the VM.", "resource"
        )
        self.vm_refused_share = self._gauge(
            "vm_refused_share", "Share of requests refused to spare the VM."
        )
        self.vm_unready = self._gauge(
            "vm_unready", "Whether the router is not ready, to spare the VM."
        )
        self.response_bytes_held = self._gauge(
            "response_bytes_held", "Bytes of responses that callers have not read."
        )
        self.response_readers = self._gauge(
            "response_readers", "Callers that have not read all of their responses."
        )
        self.request_bytes_held = self._gauge(
            "request_bytes_held", "Bytes of request bodies, received and unanswered."
        )
        self.request_bodies_refused = self._gauge(
            "request_bodies_refused",
            "Requests refused since the start for the bound on all bodies.",
        )
        self.connections = Counter(
            "berylwalk_target_connections_opened",
            "Connections to targets that were opened.",
            registry=registry,
        )
        self.store_era = Gauge(
            "berylwalk_store_era",
            "Era of the store since its last restore; 0 if it was not restored.",
            registry=registry,
        )
        self.store_calls = Counter(
            "berylwalk_store_calls",
            "Calls of the platform's store, by purpose and outcome.",
            ("purpose", "outcome"),
            registry=registry,
        )
        self.store_deltas = Counter(
            "berylwalk_store_words",
            "What other routers told of the store, by items and outcome.",
            ("items", "outcome"),
            registry=registry,
        )
        self.reads_store = self._gauge(
            "reads_store",
            "Whether this router reads the store (1), also for others (2), or goes by "
            "the word of others (0).",
        )
        self.unusable_items = Counter(
            "berylwalk_unusable_items",
            "Times that an item of the store could not be used, by kind and problem.",
            ("kind", "problem"),
            registry=registry,
        )
        self.configuration_version = self._gauge(
            "configuration_version", "Version in force."
        )
        self.configuration_age_s = self._gauge(
            "configuration_age_seconds", "Time since the last confirming read."
        )
        self.targets_age_s = self._gauge(
            "targets_age_seconds",
            "Time since the store last told what targets there are.",
        )
        self.waiting = self._gauge(
            "waiting_requests", "Requests that wait for a place.", "service"
        )
        self.in_flight = self._gauge(
            "target_in_flight", "Own requests at a target.", "target"
        )
        self.peer_in_flight = self._gauge(
            "target_peer_in_flight", "Requests of other routers.", "target"
        )
        self.target_load = self._gauge(
            "target_load",
            "Requests at a target: by its last report if there is one, else as told.",
            "target",
        )
        self.target_report_age_s = self._gauge(
            "target_report_age_seconds",
            "Age of the last report of a target; -1 without one.",
            "target",
        )
        self.target_token_s = self._gauge(
            "target_token_s", "Time for an output token, in seconds.", "target"
        )
        self.target_cache_share = self._gauge(
            "target_cache_share",
            "Part of the KV cache that all requests are expected to use.",
            "target",
        )
        self.target_errors = self._gauge(
            "target_error_share", "Moving share of failed answers.", "target"
        )
        self.target_heard_age_s = self._gauge(
            "target_heard_age_seconds", "Time since bytes came from it.", "target"
        )
        self.target_limit_per_s = self._gauge(
            "target_limit_per_s",
            "Requests a second of all routers that a target names; -1 for no limit.",
            "target",
        )
        self.target_limit_share = self._gauge(
            "target_limit_share", "This router's part of that limit.", "target"
        )
        self.target_rest_s = self._gauge(
            "target_rest_seconds",
            "For how long a target still wants nothing of this router.",
            "target",
        )
        self.target_leaving = self._gauge(
            "target_leaving", "Whether a target's answers say that it leaves.", "target"
        )
        self.retries_left = self._gauge(
            "retries_left", "Repeated sends allowed now.", "service"
        )
        self.allowance_spent = self._gauge(
            "allowance_spent", "Units spent in the window, all routers.", "account"
        )
        self.account_places = self._gauge(
            "account_places",
            "Places that a client account has had lately, all routers.",
            "service",
            "account",
        )
        self.quarantine = self._gauge(
            "quarantined_requests",
            "Requests and prompt parts under which targets ended, by standing.",
            "standing",
        )
        self.rollout_phase = self._gauge(
            "rollout_phase",
            "Phase of a roll-out: 1 for the present one of a service.",
            "service",
            "version",
            "phase",
        )
        self.rollout_answers = self._gauge(
            "rollout_answers",
            "Answers of a version that is rolled out, as all routers saw them.",
            "service",
            "kind",
        )
        self.peers_heard = self._gauge("routers_heard", "Routers heard, with this one.")
        self.peers_known = self._gauge("routers_known", "Routers known, with this one.")
        self.log_lines_dropped = self._gauge(
            "log_lines_dropped", "Log lines dropped since the start."
        )

    def forget_target(self, target_id: str) -> None:
        """Remove the labels of a target that was removed."""
        for gauge in (
            self.in_flight,
            self.peer_in_flight,
            self.target_load,
            self.target_report_age_s,
            self.target_token_s,
            self.target_errors,
            self.target_cache_share,
            self.target_heard_age_s,
            self.target_limit_per_s,
            self.target_limit_share,
            self.target_rest_s,
            self.target_leaving,
        ):
            with suppress(KeyError):
                gauge.remove(target_id)

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"berylwalk_{name}", text, labels, registry=self._registry)
