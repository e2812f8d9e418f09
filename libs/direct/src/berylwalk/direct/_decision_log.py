"""Structured log in JSON lines, rate-limited and non-blocking."""

import os
import sys
from collections.abc import Callable
from time import time
from typing import Self

from msgspec.json import Encoder

MAX_LINES_PER_S = 400.0
BURST_LINES = 800.0
PROCESS_RESERVE_SHARE = 0.25
"""Part of the burst reserved for lines that are not about a request."""
MAX_PENDING_BYTES = 256 * 1024


class DecisionLog:
    """Writes JSON lines to a descriptor that may be slow.

    When the rate limit is exceeded, lines about requests are dropped first. The next
    line contains the number of dropped lines.

    Parameters
    ----------
    node : str
        Name of the VM in each line.
    write : callable
        Writes bytes without blocking; returns how many were written, or raises
        BlockingIOError.
    clock : callable
        Monotonic clock, in seconds.
    wall_clock : callable
        Time of day, in seconds since the epoch.
    """

    def __init__(
        self,
        node: str,
        *,
        write: Callable[[bytes], int],
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time,
    ) -> None:
        self._node = node
        self._write = write
        self._clock = clock
        self._wall_clock = wall_clock
        self._encoder = Encoder(enc_hook=str, decimal_format="number")
        self._budget = BURST_LINES
        self._updated_at = clock()
        self._pending = b""
        self._unreported = 0
        self.dropped = 0

    @classmethod
    def to_stdout(cls, node: str, *, clock: Callable[[], float]) -> Self:
        """Return a log on standard output, which is made non-blocking."""
        descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        return cls(node, write=lambda data: os.write(descriptor, data), clock=clock)

    def request(self, event: str, request_id: bytes, **fields: object) -> None:
        """Log an event of a request."""
        if self._admit(BURST_LINES * PROCESS_RESERVE_SHARE):
            known = {"request_id": request_id.decode("latin-1")}
            self._emit(event, known | fields)

    def process(self, event: str, **fields: object) -> None:
        """Log an event of the process."""
        if self._admit(0.0):
            self._emit(event, fields)

    def flush(self) -> None:
        """Write buffered data."""
        if self._pending:
            self._send(b"")

    def _admit(self, reserve: float) -> bool:
        now = self._clock()
        earned = (now - self._updated_at) * MAX_LINES_PER_S
        self._budget = min(BURST_LINES, self._budget + earned)
        self._updated_at = now
        if self._budget - 1 < reserve or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._unreported += 1
            return False
        self._budget -= 1
        return True

    def _emit(self, event: str, fields: dict[str, object]) -> None:
        line: dict[str, object] = {
            "time": round(self._wall_clock(), 4),
            "node": self._node,
            "event": event,
        }
        line.update(fields)
        if self._unreported:
            line["lines_dropped"] = self._unreported
            self._unreported = 0
        self._send(self._encoder.encode(line) + b"\n")

    def _send(self, data: bytes) -> None:
        data = self._pending + data
        try:
            taken = self._write(data)
        except BlockingIOError:
            taken = 0
        except OSError:
            # The reader has closed the log, so the data is discarded.
            taken = len(data)
        self._pending = data[taken:]
