"""Transport layer of the daemons: UDP datagrams, HTTP and the peer sync channel."""

from berylwalk.transport._asgi import (
    AbortConnection,
    Application,
    BodyFailure,
    Header,
    Message,
    Receive,
    Scope,
    Send,
    read_body,
    read_headers,
    send_chunk,
    send_end,
    send_json,
    send_start,
)
from berylwalk.transport._chunk_sender import ChunkSender, chunk_sender
from berylwalk.transport._datagrams import (
    Datagram,
    DatagramCounts,
    DatagramEndpoint,
)
from berylwalk.transport._http_client import HttpClient
from berylwalk.transport._http_results import (
    HttpResponse,
    RequestFailed,
    SendState,
)
from berylwalk.transport._http_server import HttpLimits, HttpServer
from berylwalk.transport._kept_connection import KeptConnection
from berylwalk.transport._response_stream import HttpStream, StreamBrokenError
from berylwalk.transport._sync import (
    SyncClient,
    SyncFailed,
    SyncFailure,
    SyncServer,
)

__all__ = [
    "AbortConnection",
    "Application",
    "BodyFailure",
    "ChunkSender",
    "Datagram",
    "DatagramCounts",
    "DatagramEndpoint",
    "Header",
    "HttpClient",
    "HttpLimits",
    "HttpResponse",
    "HttpServer",
    "HttpStream",
    "KeptConnection",
    "Message",
    "Receive",
    "RequestFailed",
    "Scope",
    "Send",
    "SendState",
    "StreamBrokenError",
    "SyncClient",
    "SyncFailed",
    "SyncFailure",
    "SyncServer",
    "chunk_sender",
    "read_body",
    "read_headers",
    "send_chunk",
    "send_end",
    "send_json",
    "send_start",
]
