"""A target whose responses have a length, chunks, or end with their connection.

It runs as a process of its own; arguments: host and port. A path ``/.../FRAMING/KIND``
selects the framing (``length``, ``chunked`` or ``closed``) and the kind of the response
(``events`` or ``plain``). A query ``END=BYTES`` ends the response in its head, after
this number of bytes, by ``close``, ``half-close`` or ``reset``.
"""

import socket
import struct
import sys
from asyncio import IncompleteReadError, run, sleep, start_server

PARTS = tuple(b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(1, 21))
BODY = b"".join(PARTS)
PAUSE_S = 0.05
CONTENT_TYPES = {"events": "text/event-stream", "plain": "application/json"}
FRAMINGS = {
    "length": f"Content-Length: {len(BODY)}",
    "chunked": "Transfer-Encoding: chunked",
    "closed": "Connection: close",
}
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def head_of(framing, kind):
    """Return the head of a response."""
    lines = ["HTTP/1.1 200 OK", f"Content-Type: {CONTENT_TYPES[kind]}"]
    return "\r\n".join([*lines, FRAMINGS[framing], "", ""]).encode()


async def cut_head(head, end, reader, writer):
    """Send a part of a head and end the connection."""
    writer.write(head)
    await writer.drain()
    if end == "half-close":
        writer.write_eof()
        await reader.read()
    elif end == "reset":
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def respond(framing, kind, writer):
    """Send the parts one by one."""
    writer.write(head_of(framing, kind))
    for part in PARTS:
        is_chunk = framing == "chunked"
        writer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunk else part)
        await writer.drain()
        await sleep(PAUSE_S)
    if framing == "chunked":
        writer.write(b"0\r\n\r\n")


async def serve(reader, writer):
    """Serve the requests of one connection."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = head.split(" ")[1]
            lines = head.strip().split("\r\n")[1:]
            headers = dict(line.lower().split(": ", 1) for line in lines)
            await reader.readexactly(int(headers.get("content-length", 0)))
            if path == "/healthz":
                writer.write(HEALTHY)
                continue
            path, _, cut = path.partition("?")
            framing, kind = path.split("/")[-2:]
            if cut:
                end, size = cut.split("=")
                part = head_of(framing, kind)[: int(size)]
                await cut_head(part, end, reader, writer)
                return
            await respond(framing, kind, writer)
            if framing == "closed":
                return
    except (IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main(host, port):
    """Serve until the process is ended."""
    server = await start_server(serve, host, port)
    await server.serve_forever()


if __name__ == "__main__":
    run(main(sys.argv[1], int(sys.argv[2])))
