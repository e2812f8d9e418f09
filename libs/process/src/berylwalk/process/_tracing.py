"""Tracing configured from the settings of a node."""

from berylwalk.settings import TelemetrySection
from berylwalk.telemetry import Exporter, Tracing


def tracing_from_settings(
    service_name: str, node_id: str, telemetry: TelemetrySection
) -> Tracing:
    """Build the tracing of a daemon.

    Parameters
    ----------
    service_name : str
        ``router`` or ``agent``.
    node_id : str
        Node id of the process.
    telemetry : TelemetrySection
        Settings of logs and traces.

    Raises
    ------
    OSError
        If the span file cannot be opened.
    """
    path = telemetry.trace_path
    return Tracing.from_config(
        service_name,
        node_id,
        exporter=Exporter(telemetry.trace_exporter.value),
        file_path=None if path is None else str(path),
        endpoint=telemetry.trace_endpoint,
    )
