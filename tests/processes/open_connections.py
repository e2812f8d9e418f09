"""A caller that goes on using its open connection, whatever it is told."""

from asyncio import IncompleteReadError, StreamReader, StreamWriter, open_connection
from dataclasses import dataclass, field
from typing import Self
from urllib.parse import urlsplit

import msgspec

from berylwalk.localfleet import ChatCall

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
NO_HEAD = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """A response; its status is `NO_HEAD` if the connection ended before it."""

    status: int = NO_HEAD
    headers: dict[str, str] = field(default_factory=dict)
    is_whole: bool = False

    @property
    def outcome(self) -> str:
        """The outcome that the router states."""
        return self.headers.get("berylwalk-outcome", "")

    @property
    def ends_connection(self) -> bool:
        """Whether the caller was told that the connection ends."""
        return self.headers.get("connection", "") == "close"


class OpenConnection:
    """One connection to the caller API of a router."""

    def __init__(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._reader = reader
        self.writer = writer

    @classmethod
    async def to(cls, url: str) -> Self:
        """Connect to a router."""
        address = urlsplit(url)
        return cls(*await open_connection(address.hostname, address.port))

    def send(self, *calls: ChatCall) -> None:
        """Send requests, one directly behind the other."""
        self.writer.write(b"".join(map(encoded, calls)))

    async def head(self) -> Reply:
        """Read the head of a response."""
        try:
            head = await self._reader.readuntil(HEAD_END)
        except (IncompleteReadError, ConnectionError):
            return Reply()
        status, *lines = head.decode().strip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        return Reply(int(status.split(" ")[1]), headers)

    async def rest(self, head: Reply) -> Reply:
        """Read the body of a response whose head has been read."""
        try:
            if "content-length" in head.headers:
                await self._reader.readexactly(int(head.headers["content-length"]))
            while "transfer-encoding" in head.headers:
                size = int(await self._reader.readuntil(LINE_END), 16)
                await self._reader.readexactly(size + len(LINE_END))
                if not size:
                    break
        except (IncompleteReadError, ConnectionError):
            return head
        return Reply(head.status, head.headers, is_whole=bool(head.status))

    async def reply(self) -> Reply:
        """Read a response."""
        return await self.rest(await self.head())


def encoded(call: ChatCall) -> bytes:
    """Return a request as it is sent."""
    body = msgspec.json.encode(call.body())
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: router",
        f"Authorization: Bearer {call.token}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in call.headers.items()),
    ]
    return "\r\n".join(lines).encode() + HEAD_END + body
