"""Rate limit and non-blocking writes of the decision log."""

from msgspec.json import decode

from berylwalk.direct._decision_log import (
    BURST_LINES,
    MAX_LINES_PER_S,
    PROCESS_RESERVE_SHARE,
    DecisionLog,
)


class Pipe:
    """A descriptor whose reader may be slow or closed."""

    def __init__(self):
        self.data = b""
        self.room = 10**9
        self.gone = False

    def write(self, data):
        if self.gone:
            raise BrokenPipeError
        if not self.room:
            raise BlockingIOError
        taken = data[: self.room]
        self.data += taken
        self.room -= len(taken)
        return len(taken)

    def lines(self):
        return [decode(line) for line in self.data.splitlines()]


def log_to(pipe, now):
    """Return a log with a clock that the test controls."""
    return DecisionLog(
        "edge-1", write=pipe.write, clock=lambda: now[0], wall_clock=lambda: 5.0
    )


class TestLines:
    """Content of a line."""

    def test_fields(self):
        """A line contains time, node, event, request id and fields."""
        pipe = Pipe()
        log_to(pipe, [0.0]).request("request-ended", b"a1", status=503, version=7)
        assert pipe.lines() == [
            {
                "time": 5.0,
                "node": "edge-1",
                "event": "request-ended",
                "request_id": "a1",
                "status": 503,
                "version": 7,
            }
        ]


class TestOverload:
    """Overload and slow readers."""

    def test_request_lines_are_dropped_first(self):
        """Lines about the process are logged while those about requests are dropped."""
        pipe = Pipe()
        log = log_to(pipe, [0.0])
        for _ in range(int(BURST_LINES)):
            log.request("request-ended", b"a1")
        log.process("store-lost")
        lines = pipe.lines()
        assert log.dropped == BURST_LINES * PROCESS_RESERVE_SHARE
        assert lines[-1]["event"] == "store-lost"
        assert lines[-1]["lines_dropped"] == log.dropped

    def test_rate_is_bounded(self):
        """After the burst, the configured number of lines per second is logged."""
        pipe = Pipe()
        now = [0.0]
        log = log_to(pipe, now)
        for _ in range(3000):
            log.process("x")
        before = len(pipe.lines())
        now[0] = 1.0
        for _ in range(3000):
            log.process("x")
        assert before == BURST_LINES
        assert len(pipe.lines()) - before == MAX_LINES_PER_S

    def test_slow_reader_gets_whole_lines(self):
        """Buffered data is written later and in order."""
        pipe = Pipe()
        pipe.room = 10
        log = log_to(pipe, [0.0])
        log.process("first")
        log.process("second")
        pipe.room = 10**9
        log.flush()
        assert [line["event"] for line in pipe.lines()] == ["first", "second"]

    def test_blocked_reader_uses_bounded_memory(self):
        """Lines are dropped and counted once the buffer is full."""
        pipe = Pipe()
        pipe.room = 0
        now = [0.0]
        log = log_to(pipe, now)
        for number in range(5000):
            now[0] = float(number)
            log.process("x", detail="y" * 200)
        assert log.dropped > 0
        assert len(log._pending) < 300 * 1024

    def test_closed_reader_raises_no_error(self):
        """A closed pipe raises no error."""
        pipe = Pipe()
        pipe.gone = True
        log_to(pipe, [0.0]).process("x")
