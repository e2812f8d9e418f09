"""Counts the bytes on the link of a VM."""

from dataclasses import dataclass

PACKET_OVERHEAD_BYTES = 52
"""Headers of a TCP packet over IPv4, with timestamps."""
MAX_PACKET_BYTES = 1448
"""Payload of a full packet."""


@dataclass(slots=True)
class TrafficCounter:
    """Bytes sent and received, with the headers of packets.

    Attributes
    ----------
    sent_bytes, received_bytes : int
        Bytes since the start.
    control_bytes : int
        Those of messages between routers, sent and received.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    control_bytes: int = 0

    def note_message_sent(self, size: int) -> None:
        """Count a message to another router."""
        self.note_sent(size)
        self.control_bytes += _on_link(size)

    def note_message_received(self, size: int) -> None:
        """Count a message of another router."""
        self.note_received(size)
        self.control_bytes += _on_link(size)

    def note_sent(self, size: int) -> None:
        """Count data that was sent at once."""
        self.sent_bytes += _on_link(size)

    def note_received(self, size: int) -> None:
        """Count data that was received at once."""
        self.received_bytes += _on_link(size)


def _on_link(size: int) -> int:
    return size + (1 + size // MAX_PACKET_BYTES) * PACKET_OVERHEAD_BYTES
