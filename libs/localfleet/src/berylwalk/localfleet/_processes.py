"""One process of a local fleet."""

import signal
import subprocess
import sys
from pathlib import Path
from typing import Self

STOP_TIMEOUT_S = 30.0


class FleetProcess:
    """A started process whose output goes to a file.

    Parameters
    ----------
    name : str
        Name of the process, also of its output file.
    arguments : tuple of str
        Arguments of the Python interpreter.
    output : Path
        File for standard output and error.
    """

    def __init__(self, name: str, arguments: tuple[str, ...], output: Path) -> None:
        self.name = name
        self.output = output
        self._arguments = arguments
        self._process: subprocess.Popen | None = None

    @classmethod
    def started(cls, name: str, arguments: tuple[str, ...], directory: Path) -> Self:
        """Create and start a process."""
        process = cls(name, arguments, directory / f"{name}.log")
        process.start()
        return process

    def start(self) -> None:
        """Start the process, or start it again after it ended."""
        with self.output.open("ab") as file:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                # The terminal's Ctrl-C is for the launcher, which then ends
                # its processes in order.
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Process identifier of the last start."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit code, or None while it runs."""
        return self._process.poll()

    def terminate(self) -> None:
        """Ask the process to end gracefully."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once and collect it."""
        self._signal(signal.SIGKILL)
        self._process.wait()

    def freeze(self) -> None:
        """Stop the process until `thaw`."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)

    def close(self) -> int:
        """End the process, gracefully at first, and return its exit code."""
        self.thaw()
        self.terminate()
        return self.wait_for_exit()

    def wait_for_exit(self) -> int:
        """Wait for the end after `terminate`; return the exit code.

        A process that has not ended within `STOP_TIMEOUT_S` is killed.
        """
        try:
            return self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
