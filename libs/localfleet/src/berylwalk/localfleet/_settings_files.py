"""Settings files of the routers and agents of a local fleet."""

from configparser import ConfigParser
from hashlib import sha256
from pathlib import Path

from berylwalk.localfleet._addresses import PLATFORM_PORT, TARGET_PORT, Subnet
from berylwalk.localfleet._spec import (
    EngineSpec,
    FleetSpec,
    RouterSpec,
    TargetSpec,
)

FLEET_KEY = "a-local-fleet-only-secret"
ADMIN_TOKEN = "local-admin-token"
REGION = "local"

Sections = dict[str, dict[str, str]]


def _common_sections(
    spec: FleetSpec, subnet: Subnet, vm_id: str, address: str, domain: str
) -> Sections:
    peers = ", ".join(subnet.router(index) for index in range(len(spec.routers)))
    platform = f"http://{subnet.platform}:{PLATFORM_PORT}"
    return {
        "node": {
            "id": vm_id,
            "address": address,
            "failure_domain": domain,
            "region": REGION,
        },
        "fleet": {"key": FLEET_KEY, "peers": peers},
        "platform": {
            "endpoints": platform,
            "vm_list_url": platform,
            "timeout_s": "1.0",
            "poll_s": "1.0",
        },
        "telemetry": {},
    }


def _write_sections(sections: Sections, overrides: Sections, path: Path) -> Path:
    for section, keys in overrides.items():
        if section in sections:
            sections[section] |= keys
    parser = ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w") as file:
        parser.write(file)
    return path


def _enable_traces(sections: Sections, directory: Path, vm_id: str) -> None:
    sections["telemetry"] |= {
        "trace_exporter": "file",
        "trace_path": str(directory / f"{vm_id}.spans.jsonl"),
    }


def write_router_file(
    spec: FleetSpec,
    subnet: Subnet,
    router: RouterSpec,
    directory: Path,
    *,
    traces: bool,
) -> Path:
    """Write the settings file of a router and return its path."""
    address = subnet.router(spec.routers.index(router))
    sections = _common_sections(
        spec, subnet, router.vm_id, address, router.failure_domain
    )
    sections["admin"] = {
        "credential_sha256": sha256(ADMIN_TOKEN.encode()).hexdigest(),
    }
    sections["routing"] = {}
    sections["caller"] = {}
    sections["stop"] = {}
    if traces:
        _enable_traces(sections, directory, router.vm_id)
    return _write_sections(sections, spec.overrides, directory / f"{router.vm_id}.ini")


def write_agent_file(
    spec: FleetSpec,
    subnet: Subnet,
    target: TargetSpec,
    directory: Path,
    *,
    traces: bool,
) -> Path:
    """Write the settings file of an agent and return its path."""
    address = subnet.target(spec.targets.index(target))
    sections = _common_sections(
        spec, subnet, target.vm_id, address, target.failure_domain
    )
    sections["target"] = {"url": f"http://{address}:{TARGET_PORT}"}
    sections["admission"] = {}
    if isinstance(target, EngineSpec):
        sections["target"]["models"] = ", ".join(target.models)
        sections["target"]["prefill_tokens_per_s"] = str(target.prefill_tokens_per_s)
        sections["target"]["decode_tokens_per_s"] = str(1000.0 / target.step_ms)
    else:
        sections["target"]["services"] = ", ".join(target.services)
    if traces:
        _enable_traces(sections, directory, target.vm_id)
    return _write_sections(sections, spec.overrides, directory / f"{target.vm_id}.ini")
