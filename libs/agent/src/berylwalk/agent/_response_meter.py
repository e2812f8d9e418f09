"""Token count and completeness of a response, without parsing it."""

import re

EVENT_STREAM = "text/event-stream"
EVENT_START = b"data:"
STREAM_ENDS = (b"\ndata: [DONE]", b"\ndata:[DONE]")
MAX_TAIL_BYTES = 512
COMPLETION_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d+)')


class ResponseMeter:
    """Count tokens and detect the end marker in the raw bytes of a response.

    Parameters
    ----------
    content_type : str
        Content type of the response.
    is_model : bool
        Whether the response is of a model, whose streams end with a marker.
    """

    def __init__(self, content_type: str, *, is_model: bool) -> None:
        self.is_stream = content_type.lower().startswith(EVENT_STREAM)
        self._needs_marker = self.is_stream and is_model
        # Line break before the first event, as `STREAM_ENDS` requires one.
        self._tail = b"\n"

    def feed(self, chunk: bytes) -> int:
        """Process a chunk of the response and return its number of tokens.

        Each event of a stream counts as one token; other responses give 0. An
        event whose prefix is split between two chunks is not counted.
        """
        self._tail = (self._tail + chunk[-MAX_TAIL_BYTES:])[-MAX_TAIL_BYTES:]
        return chunk.count(EVENT_START) if self.is_stream else 0

    @property
    def is_complete(self) -> bool:
        """Whether the response is complete if its body ends here."""
        return self.has_end_marker or not self._needs_marker

    @property
    def has_end_marker(self) -> bool:
        """Whether the body so far says itself that it ends here."""
        return self._needs_marker and self._tail.rstrip().endswith(STREAM_ENDS)

    @property
    def reported_tokens(self) -> int:
        """Output tokens reported at the end of a response that is no stream, or 0."""
        found = COMPLETION_TOKENS.findall(self._tail)
        return int(found[-1]) if found else 0
