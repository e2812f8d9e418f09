"""Processes of a local fleet."""

import signal
import subprocess
import sys
from pathlib import Path
from typing import Self

STOP_TIMEOUT_S = 30.0


class FleetProcess:
    """A Python process whose output is appended to a file.

    Parameters
    ----------
    name : str
        Name of the process.
    arguments : tuple of str
        Arguments of the Python interpreter.
    output : Path
        File for standard output and standard error.
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
        """Start the process, or restart it after it exited."""
        with self.output.open("ab") as file:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                # Ctrl-C in the terminal must reach only the parent, which stops the
                # processes in order.
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Process id of the last start."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit code, or None while the process runs."""
        return self._process.poll()

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self._signal(signal.SIGKILL)
        self._process.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self._signal(signal.SIGCONT)

    def close(self) -> int:
        """Terminate the process and return its exit code."""
        self.thaw()
        self.terminate()
        return self.wait_for_exit()

    def wait_for_exit(self) -> int:
        """Wait for the exit after `terminate`; return the exit code.

        A process that does not exit within `STOP_TIMEOUT_S` is killed.
        """
        try:
            return self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
