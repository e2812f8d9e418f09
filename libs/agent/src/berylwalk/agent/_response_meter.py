"""Cheap measures of a target's answer: tokens and wholeness."""

import re

EVENT_STREAM = "text/event-stream"
EVENT_START = b"data:"
STREAM_ENDS = (b"\ndata: [DONE]", b"\ndata:[DONE]")
TAIL_BYTES = 512
COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')


class ResponseMeter:
    """Follow the raw bytes of an answer without parsing them.

    Parameters
    ----------
    content_type : str
        The answer's content type.
    is_model : bool
        Whether a model answers, whose streams end with an end marker.
    """

    def __init__(self, content_type: str, *, is_model: bool) -> None:
        self.is_stream = content_type.lower().startswith(EVENT_STREAM)
        self._needs_marker = self.is_stream and is_model
        # Stands for the line break that precedes the first event.
        self._tail = b"\n"

    def feed(self, chunk: bytes) -> int:
        """Take a piece of the answer; return its number of tokens.

        The events of a stream count as one token each; other answers give 0.
        An event whose first bytes are split between two pieces isn't counted.
        """
        self._tail = (self._tail + chunk[-TAIL_BYTES:])[-TAIL_BYTES:]
        return chunk.count(EVENT_START) if self.is_stream else 0

    @property
    def is_complete(self) -> bool:
        """Whether an answer that ended cleanly here is whole."""
        if not self._needs_marker:
            return True
        return self._tail.rstrip().endswith(STREAM_ENDS)

    @property
    def reported_tokens(self) -> int:
        """Output tokens that the end of an unstreamed answer names, or 0."""
        found = COMPLETION_TOKENS.findall(self._tail)
        return int(found[-1]) if found else 0
