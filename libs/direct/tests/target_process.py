"""A target that runs as a process of its own, so that a signal can end it.

Its responses have a length, chunks or neither. If it holds, it sends a part of each
response and nothing more; a request to go on after an event is answered to its end.
"""

import sys
from asyncio import Event, IncompleteReadError, StreamWriter, run, start_server
from pathlib import Path
from socket import create_connection
from subprocess import PIPE, Popen
from time import sleep

EVENTS = 6
"""Events of a stream."""
EVENTS_BEFORE_HOLD = 4
BODY = b"0123456789" * 100
BODY_BEFORE_HOLD = BODY[:400]
STATE_PATH = "/report"
HELD = b"held\n"
"""Line that the process writes when it holds a response."""
POLL_S = 0.01


def events_from(first: int) -> list[bytes]:
    """Return the events of a stream from a number on."""
    return [b"id: %d\ndata: %d\n\n" % (each, each) for each in range(first, EVENTS + 1)]


class TargetProcess:
    """Starts and ends the process.

    Parameters
    ----------
    target_id : str
        Id of the target.
    host, port : str and int
        Address that it listens to.
    framing : str
        ``closed``, ``chunked`` or ``length``.
    holds : bool
        Whether responses are not completed.
    """

    def __init__(self, target_id, host, port, *, framing="closed", holds=False):
        self.target_id = target_id
        self.port = port
        arguments = [target_id, host, str(port), framing, str(int(holds))]
        command = [sys.executable, "-S", str(Path(__file__)), *arguments]
        self.process = Popen(command, stdout=PIPE)
        self._wait_until_it_listens(host)

    def _wait_until_it_listens(self, host):
        while self.process.poll() is None:
            try:
                create_connection((host, self.port)).close()
            except OSError:
                sleep(POLL_S)
            else:
                return
        raise OSError(f"target exited with {self.process.returncode}")

    def wait_until_it_holds(self):
        """Block until the process has sent the part of a response."""
        assert self.process.stdout.readline() == HELD

    def end(self, signal):
        """End the process by a signal."""
        self.process.send_signal(signal)
        self.process.wait()

    def close(self):
        """End the process, if it runs."""
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


async def serve(target_id, host, port, framing, holds) -> None:
    """Serve until the process ends."""

    async def respond(headers: dict, first: str, writer: StreamWriter) -> None:
        is_stream = "/streaming/" in first
        last_id = int(headers.get("last-event-id", 0))
        parts = events_from(last_id + 1) if is_stream else [BODY]
        is_held = holds and not last_id
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {headers['attempt-id']}",
            "Server-Seal: sealed",
            f"Content-Type: {'text/event-stream' if is_stream else 'text/plain'}",
        ]
        if framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
        if framing == "length":
            lines.append(f"Content-Length: {sum(map(len, parts))}")
        if is_held:
            parts = parts[:EVENTS_BEFORE_HOLD] if is_stream else [BODY_BEFORE_HOLD]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for part in parts:
            is_chunk = framing == "chunked"
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunk else part)
        await writer.drain()
        if is_held:
            sys.stdout.buffer.write(HELD)
            sys.stdout.flush()
            await Event().wait()
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")

    def respond_to_state(headers: dict, writer: StreamWriter) -> None:
        is_expected = headers.get("expect-instance", target_id) == target_id
        status = "200 OK" if is_expected else "421 Misdirected Request"
        body = b'{"waiting": 0}' if is_expected else b""
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def on_connection(reader, writer: StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines)
                await reader.readexactly(int(headers.get("content-length", 0)))
                if f" {STATE_PATH} " in first:
                    respond_to_state(headers, writer)
                    continue
                await respond(headers, first, writer)
                if framing == "closed":
                    break
        except (IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await start_server(on_connection, host, port)
    await server.serve_forever()


if __name__ == "__main__":
    own_id, own_host, own_port, own_framing, own_holds = sys.argv[1:]
    run(serve(own_id, own_host, int(own_port), own_framing, own_holds == "1"))
