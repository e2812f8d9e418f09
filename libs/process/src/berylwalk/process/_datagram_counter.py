"""Metric of control datagrams."""

from dataclasses import replace

from berylwalk.telemetry import RequestMetrics
from berylwalk.transport import DatagramCounts, DatagramEndpoint

DIRECTIONS = ("sent", "received", "dropped", "rejected")


class DatagramCounter:
    """Exporter of the datagram counts of the control socket to the metrics.

    Parameters
    ----------
    metrics : RequestMetrics
        Metrics with the datagram counter.
    endpoint : DatagramEndpoint
        The control socket.
    """

    def __init__(self, metrics: RequestMetrics, endpoint: DatagramEndpoint) -> None:
        self._metrics = metrics
        self._endpoint = endpoint
        self._reported = DatagramCounts()

    def update(self) -> None:
        """Add the datagrams since the last update to the counter."""
        totals = self._endpoint.counts
        for direction in DIRECTIONS:
            increment = getattr(totals, direction) - getattr(self._reported, direction)
            self._metrics.datagrams.labels(direction).inc(increment)
        self._reported = replace(totals)
