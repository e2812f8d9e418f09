"""Operations endpoint."""

import anyio
import pytest

from berylwalk.model import Finding
from berylwalk.telemetry import AgentMetrics, RouterMetrics, ops_application


def get(application, path):
    """Return the status and body of a GET request."""
    sent = []

    async def send(message):
        sent.append(message)

    anyio.run(application, {"path": path, "method": "GET"}, None, send)
    return sent[0]["status"], sent[1]["body"]


class TestOpsApplication:
    def test_readiness_reports_findings(self):
        """``/readyz`` returns 503 with the reasons, while ``/healthz`` returns 200."""
        findings = [Finding("settings", "no version in force yet")]
        application = ops_application(RouterMetrics.create().registry, lambda: findings)
        status, body = get(application, "/readyz")
        assert status == 503
        assert b"no version in force yet" in body
        assert get(application, "/healthz")[0] == 200
        findings.clear()
        assert get(application, "/readyz")[0] == 200

    @pytest.mark.parametrize("metrics_class", [RouterMetrics, AgentMetrics])
    def test_metrics_are_rendered(self, metrics_class):
        """Metrics are rendered with their values, from one registry per daemon."""
        metrics = metrics_class.create()
        metrics_class.create()
        metrics.requests.labels(tier="urgent", outcome="done").inc()
        application = ops_application(metrics.registry, list)
        _, body = get(application, "/metrics")
        assert b'_requests_total{outcome="done",tier="urgent"} 1.0' in body
        resident = [
            line for line in body.splitlines() if line.startswith(b"process_resident")
        ]
        assert float(resident[0].split()[1]) > 0
