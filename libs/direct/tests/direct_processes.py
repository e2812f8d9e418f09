"""Processes of the direct router, as a platform starts them."""

import sys
from json import dumps
from subprocess import DEVNULL, Popen

from direct_fleet import HOST, STORE


class Routers:
    """Processes of the direct router."""

    def __init__(self, settings_files):
        self._files = settings_files
        self.processes = [self._start(path) for path in settings_files]

    @classmethod
    def from_settings(cls, settings, folder, **fields):
        """Write the settings files to a folder and start a process for each.

        ``fields`` are added to those of the settings files.
        """
        # Routers find each other through the store; the metrics port follows the peer
        # port.
        files = []
        for number, each in enumerate(settings):
            ports = [22_000 + 10 * number, 22_001 + 10 * number]
            path = folder / f"{each.name}.json"
            path.write_text(dumps(settings_document(each, ports) | fields))
            files.append(str(path))
        return cls(files)

    def _start(self, path):
        command = [sys.executable, "-m", "berylwalk.direct", "--settings", path]
        return Popen(command, stdout=DEVNULL)

    def restart(self, number, signal):
        """Terminate a process by a signal and start it again."""
        self.check()
        process = self.processes[number]
        process.send_signal(signal)
        process.wait()
        self.processes[number] = self._start(self._files[number])

    def restart_all(self, signal):
        """Terminate all processes by a signal, then start them again."""
        self.check()
        for process in self.processes:
            process.send_signal(signal)
        for process in self.processes:
            process.wait()
        self.processes = [self._start(path) for path in self._files]

    def check(self):
        """Fail if a router process has exited unexpectedly."""
        exit_codes = [process.poll() for process in self.processes]
        assert exit_codes == [None] * len(exit_codes), "a router ended by itself"

    def close(self):
        """Kill all processes."""
        for process in self.processes:
            process.kill()
            process.wait()


def settings_document(settings, ports):
    """Return the content of the settings file that a platform provides."""
    caller, readiness = settings.caller_address, settings.readiness_address
    return {
        "node-name": settings.name,
        "ip": HOST,
        "zone": settings.failure_domain,
        "listen": {
            "front": f"{caller.host}:{caller.port}",
            "readiness": f"{readiness.host}:{readiness.port}",
        },
        "port-range": ports,
        "platform": {"address": f"{STORE[0]}:{STORE[1]}"},
        "bounds": {"grace-s": 4, "quota-window-s": 1},
    }
