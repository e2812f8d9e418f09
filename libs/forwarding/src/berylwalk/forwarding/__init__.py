"""HTTP/1.1 connections to callers and targets that stream data as it arrives."""

from berylwalk.forwarding._caller_buffers import CallerBuffers
from berylwalk.forwarding._caller_connection import CallerConnection
from berylwalk.forwarding._caller_requests import CallerRequest, ConnectionLimits
from berylwalk.forwarding._connection_ending import ConnectionEnding
from berylwalk.forwarding._events import Event, EventSplitter
from berylwalk.forwarding._heads import (
    Headers,
    end_to_end,
    header_value,
    request_head,
)
from berylwalk.forwarding._lingering_connections import LingeringConnections
from berylwalk.forwarding._request_bodies import RequestBodies
from berylwalk.forwarding._response_buffers import (
    DEFAULT_EACH_BYTES,
    BufferBounds,
    HeldResponse,
    ResponseBuffers,
)
from berylwalk.forwarding._target_connection import (
    ResponseEnd,
    ResponseSink,
    TargetConnection,
)
from berylwalk.forwarding._target_pool import ConnectFailure, TargetPool
from berylwalk.forwarding._traffic import TrafficCounter

__all__ = [
    "DEFAULT_EACH_BYTES",
    "BufferBounds",
    "CallerBuffers",
    "CallerConnection",
    "CallerRequest",
    "ConnectFailure",
    "ConnectionEnding",
    "ConnectionLimits",
    "Event",
    "EventSplitter",
    "Headers",
    "HeldResponse",
    "LingeringConnections",
    "RequestBodies",
    "ResponseBuffers",
    "ResponseEnd",
    "ResponseSink",
    "TargetConnection",
    "TargetPool",
    "TrafficCounter",
    "end_to_end",
    "header_value",
    "request_head",
]
