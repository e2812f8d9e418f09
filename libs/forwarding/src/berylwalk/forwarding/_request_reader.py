"""Reads the requests that a caller sends on one connection."""

from collections.abc import Callable

import httptools

from berylwalk.forwarding._caller_requests import (
    CallerRequest,
    ConnectionLimits,
    InvalidRequestError,
    PartialRequest,
    RestOfConnectionError,
)
from berylwalk.forwarding._heads import header_value, is_encoded, request_head
from berylwalk.forwarding._request_bodies import RequestBodies

OFFERS = frozenset({b"upgrade", b"http2-settings"})
"""Headers that offer to go on in another protocol."""
CONTINUE = b"100-continue"
"""Expectation of a caller that waits before it sends the body of its request."""


class RequestReader:
    """Parses requests one after another, within the limits.

    Parameters
    ----------
    limits : callable
        Returns the current limits.
    clock : callable
        Clock of the event loop.
    bodies : RequestBodies or None
        Bounds the bodies that are held for all callers; None for no bound.
    on_request : callable
        Called with each complete request.

    Attributes
    ----------
    partial : PartialRequest or None
        The request that is not received to its end.
    is_last_read : bool
        Whether no request is read any more, as the last one offers another protocol.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], ConnectionLimits],
        clock: Callable[[], float],
        bodies: RequestBodies | None,
        on_request: Callable[[CallerRequest], None],
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._bodies = bodies
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._input_since = 0.0
        self._head_bytes = 0
        self._held_bytes = 0
        self._has_offer = False
        self.partial: PartialRequest | None = None
        self.is_last_read = False

    def feed(self, data: bytes, input_since: float) -> None:
        """Parse received data.

        Parameters
        ----------
        data : bytes
            The data.
        input_since : float
            Earliest time at which it can have arrived, in seconds.

        Raises
        ------
        InvalidRequestError
            If it is no request, or one beyond the limits.
        RestOfConnectionError
            If it follows the last request.
        """
        self._input_since = input_since
        if self.partial is None or not self.partial.head_done:
            self._head_bytes += len(data)
        try:
            self._parse(data)
            self._check_head_size()
        except httptools.HttpParserCallbackError as error:
            if self.is_last_read:
                raise RestOfConnectionError from error
            cause = error.__context__
            known = isinstance(cause, InvalidRequestError)
            raise InvalidRequestError(cause.status if known else 400) from error
        except httptools.HttpParserError as error:
            raise InvalidRequestError(400) from error

    def forget(self) -> None:
        """Drop what was read and release all bodies."""
        self.partial = None
        self.release_all()

    def release(self, body_bytes: int) -> None:
        """Release bytes of the bodies of complete requests."""
        if self._bodies is not None:
            self._bodies.release(body_bytes)
            self._held_bytes -= body_bytes

    def release_all(self) -> None:
        """Release the bodies of all requests, also of the partial one."""
        self.release(self._held_bytes)

    def _parse(self, data: bytes) -> None:
        """Parse data; an offer to upgrade the connection is ignored.

        The parser drops the body of a request that makes such an offer, so the request
        is parsed again without it. It is the last one on its connection: what follows
        may be in the other protocol.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            partial, self.partial = self.partial, None
            if partial is None or self._parser.get_method() == b"CONNECT":
                raise InvalidRequestError(400) from error
            head = request_head(
                self._parser.get_method(),
                bytes(partial.target),
                [each for each in partial.headers if each[0].lower() not in OFFERS],
                version=self._parser.get_http_version().encode(),
            )
            self._parser = httptools.HttpRequestParser(self)
            self._has_offer = True
            self._parse(head + data[error.args[0] :])

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new request."""
        if self.is_last_read:
            raise RestOfConnectionError
        self.partial = PartialRequest(self._clock(), self._input_since)

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self.partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self.partial.head_done:
            self.partial.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head of the request."""
        partial = self.partial
        partial.head_done = True
        hosts = [1 for name, _ in partial.headers if name.lower() == b"host"]
        if len(hosts) != 1 or not partial.target.startswith(b"/"):
            raise InvalidRequestError(400)
        self._check_head_size()
        self._head_bytes = 0
        length = header_value(partial.headers, b"content-length")
        if length is not None and int(length) > self._limits().max_body_bytes:
            raise InvalidRequestError(413)
        expected = header_value(partial.headers, b"expect") or b""
        is_old = self._parser.get_http_version() == "1.0"
        partial.awaits_continue = expected.lower() == CONTINUE and not is_old

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        partial = self.partial
        partial.body_bytes += len(data)
        if partial.body_bytes > self._limits().max_body_bytes:
            raise InvalidRequestError(413)
        if self._bodies is not None:
            if not self._bodies.take(len(data)):
                raise InvalidRequestError(503)
            self._held_bytes += len(data)
        partial.body.append(data)
        partial.body_hash.add(data)

    def on_message_complete(self) -> None:
        """Report the complete request."""
        if self._parser.should_upgrade():
            # The parser has skipped its body.
            return
        self.is_last_read = self._has_offer
        partial, self.partial = self.partial, None
        self._head_bytes = 0
        is_old = self._parser.get_http_version() == "1.0"
        is_ambiguous = is_old and is_encoded(partial.headers)
        is_last = self._has_offer or is_ambiguous
        now = self._clock()
        self._on_request(
            CallerRequest(
                method=self._parser.get_method(),
                target=bytes(partial.target),
                headers=partial.headers,
                body=b"".join(partial.body),
                body_digest=partial.body_hash.digest(),
                arrived_at=now,
                keep_alive=self._parser.should_keep_alive() and not is_last,
                http_1_0=is_old,
                read_delay_s=max(0.0, now - partial.ready_since),
            )
        )

    def _check_head_size(self) -> None:
        partial = self.partial
        if partial is not None and partial.head_done:
            sizes = (len(name) + len(value) + 4 for name, value in partial.headers)
            size = len(partial.target) + sum(sizes)
        else:
            size = self._head_bytes if partial is not None else 0
        if size > self._limits().max_header_bytes:
            raise InvalidRequestError(431)
