"""Shared parts of the daemons: connections, startup, supervision and shutdown."""

from berylwalk.process._background import keep_running
from berylwalk.process._connections import NodeConnections, SyncHandler
from berylwalk.process._datagram_counter import DatagramCounter
from berylwalk.process._running import Daemon, drain_unless_interrupted, run_daemon
from berylwalk.process._settings_reply_builder import SettingsReplyBuilder
from berylwalk.process._ticking import NEVER, TickLoop
from berylwalk.process._tracing import tracing_from_settings

__all__ = [
    "NEVER",
    "Daemon",
    "DatagramCounter",
    "NodeConnections",
    "SettingsReplyBuilder",
    "SyncHandler",
    "TickLoop",
    "drain_unless_interrupted",
    "keep_running",
    "run_daemon",
    "tracing_from_settings",
]
