"""Start and stop of a whole local fleet."""

import tempfile
import time
from pathlib import Path
from typing import Self

import httpcore

from berylwalk.localfleet._addresses import (
    ADMIN_PORT,
    CALLER_PORT,
    OPS_PORT,
    PLATFORM_PORT,
    TARGET_PORT,
    Subnet,
)
from berylwalk.localfleet._files import (
    write_agent_file,
    write_router_file,
)
from berylwalk.localfleet._processes import FleetProcess
from berylwalk.localfleet._requests import admin_request
from berylwalk.localfleet._spec import FleetSpec, TargetSpec
from berylwalk.localfleet._target_arguments import target_arguments

START_TIMEOUT_S = 60.0
POLL_S = 0.05
EMPTY_TREE_VERSION = "0"
PLATFORM = "platform"
NOT_READY_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.RemoteProtocolError,
)
"""What a request meets while a process is starting."""


class FleetStartError(RuntimeError):
    """A process of the fleet did not become ready in time."""


class LocalFleet:
    """A platform stand-in, target stand-ins, agents and routers as processes.

    Parameters
    ----------
    spec : FleetSpec
        What to start.
    subnet : Subnet
        Loopback addresses to use.
    directory : Path
        Where settings files and output go.
    traces : bool
        Whether each node writes its spans to a file.
    """

    def __init__(
        self, spec: FleetSpec, subnet: Subnet, directory: Path, *, traces: bool = False
    ) -> None:
        self.spec = spec
        self.subnet = subnet
        self.directory = directory
        self.processes_by_name: dict[str, FleetProcess] = {}
        self._traces = traces

    @classmethod
    def from_spec(
        cls, spec: FleetSpec, *, subnet_offset: int = 0, traces: bool = False
    ) -> Self:
        """Create a fleet with fresh addresses and a temporary directory."""
        directory = Path(tempfile.mkdtemp(prefix="berylwalk-"))
        return cls(spec, Subnet.for_process(subnet_offset), directory, traces=traces)

    def start(self) -> None:
        """Start every process, import the settings tree, wait until ready.

        Raises
        ------
        FleetStartError
            If a process ended or wasn't ready in time; the message holds the
            end of its output.
        """
        self._start_platform()
        for target in self.spec.targets:
            self.start_target(target)
            self.start_agent(target)
        for router in self.spec.routers:
            self.start_router(router.vm_id)
        self._wait_settings()
        self._import_tree()
        self.wait_ready()

    def close(self) -> dict[str, int]:
        """Stop every process, callers' side first, and return the exit codes."""
        order = self.daemon_names()
        order += [target_name(target.vm_id) for target in self.spec.targets]
        order.append(PLATFORM)
        started = [name for name in order if name in self.processes_by_name]
        for name in started:
            self.processes_by_name[name].thaw()
            self.processes_by_name[name].terminate()
        return {name: self.processes_by_name[name].wait_for_exit() for name in started}

    def daemon_names(self) -> list[str]:
        """Return the process names of the routers and agents."""
        names = [router.vm_id for router in self.spec.routers]
        names += [agent_name(target.vm_id) for target in self.spec.targets]
        return names

    def wait_ready(self) -> None:
        """Wait until each router and agent says that it is ready."""
        for index, router in enumerate(self.spec.routers):
            address = self.subnet.router(index)
            self._wait(f"http://{address}:{OPS_PORT}/readyz", router.vm_id)
        for index, target in enumerate(self.spec.targets):
            address = self.subnet.target(index)
            url = f"http://{address}:{OPS_PORT}/readyz"
            self._wait(url, agent_name(target.vm_id))

    def start_router(self, vm_id: str) -> None:
        """Start a router, or start it again after it ended."""
        if vm_id in self.processes_by_name:
            self.processes_by_name[vm_id].start()
            return
        router = next(router for router in self.spec.routers if router.vm_id == vm_id)
        path = write_router_file(
            self.spec, self.subnet, router, self.directory, traces=self._traces
        )
        arguments = ("-m", "berylwalk.cli", "router", "--settings", str(path))
        self._start(vm_id, arguments)

    def start_agent(self, target: TargetSpec) -> None:
        """Start the agent of a target, or start it again after it ended."""
        name = agent_name(target.vm_id)
        if name in self.processes_by_name:
            self.processes_by_name[name].start()
            return
        path = write_agent_file(
            self.spec, self.subnet, target, self.directory, traces=self._traces
        )
        arguments = ("-m", "berylwalk.cli", "agent", "--settings", str(path))
        self._start(name, arguments)

    def start_target(self, target: TargetSpec) -> None:
        """Start a stand-in target, or start it again after it ended."""
        name = target_name(target.vm_id)
        if name in self.processes_by_name:
            self.processes_by_name[name].start()
            return
        address = self.subnet.target(self.spec.targets.index(target))
        self._start(name, target_arguments(target, address))

    def caller_urls(self) -> tuple[str, ...]:
        """Return the caller API's URL of each router."""
        addresses = (self.subnet.router(i) for i in range(len(self.spec.routers)))
        return tuple(f"http://{address}:{CALLER_PORT}" for address in addresses)

    def platform_url(self) -> str:
        """Return the URL of the stand-in platform."""
        return f"http://{self.subnet.platform}:{PLATFORM_PORT}"

    def target_url(self, vm_id: str) -> str:
        """Return the URL of a stand-in target."""
        ids = [target.vm_id for target in self.spec.targets]
        return f"http://{self.subnet.target(ids.index(vm_id))}:{TARGET_PORT}"

    def _admin_url(self, index: int) -> str:
        return f"http://{self.subnet.router(index)}:{ADMIN_PORT}"

    def _start(self, name: str, arguments: tuple[str, ...]) -> None:
        process = FleetProcess.started(name, arguments, self.directory)
        self.processes_by_name[name] = process

    def _start_platform(self) -> None:
        vms = [
            f"{router.vm_id},{self.subnet.router(i)},{router.failure_domain},entry"
            for i, router in enumerate(self.spec.routers)
        ]
        vms += [
            f"{target.vm_id},{self.subnet.target(i)},{target.failure_domain},target"
            for i, target in enumerate(self.spec.targets)
        ]
        arguments = [
            *("-m", "berylwalk.standins.platform"),
            *("--host", self.subnet.platform, "--port", str(PLATFORM_PORT)),
        ]
        for vm in vms:
            arguments += ["--vm", vm]
        self._start(PLATFORM, tuple(arguments))
        self._wait(self.platform_url() + "/v1/vms", PLATFORM)

    def _wait_settings(self) -> None:
        # The admin API listens before the router has read the settings.
        url = self._admin_url(0) + "/admin/v1/settings/export"
        self._wait(url, self.spec.routers[0].vm_id)

    def _import_tree(self) -> None:
        response = admin_request(
            "POST",
            self._admin_url(0) + "/admin/v1/settings/import",
            self.spec.settings_tree.encode(),
            headers={"If-Match": EMPTY_TREE_VERSION},
        )
        if response.status != 200:
            text = response.content.decode(errors="replace")
            raise FleetStartError(f"settings import: {response.status} {text}")

    def _wait(self, url: str, name: str) -> None:
        process = self.processes_by_name[name]
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if process.returncode is not None:
                break
            try:
                if admin_request("GET", url).status == 200:
                    return
            except NOT_READY_ERRORS:
                pass
            time.sleep(POLL_S)
        tail = process.output.read_text(errors="replace")[-2000:]
        raise FleetStartError(f"{name} is not ready at {url}:\n{tail}")


def agent_name(vm_id: str) -> str:
    """Return the process name of a target VM's agent."""
    return f"{vm_id}-agent"


def target_name(vm_id: str) -> str:
    """Return the process name of a target VM's stand-in target."""
    return f"{vm_id}-target"
