"""Simulation of callers that take up streams at targets of several versions."""

import re
from asyncio import get_running_loop
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

from anyio import sleep

from berylwalk.dispatch import RouteKind
from stating_targets import LATENCY_S, SERVICE
from virtual_retries import FailingTarget, RetrySimulation

EVENTS = 8
MAX_TRIES = 3
COMEBACK_S = 0.1
IN_TOUCH_S = 3.0
"""Age of a router from which a stream that it does not continue is counted."""
VERSION = re.compile(rb"data: (\S+)")


class StreamingTarget(FailingTarget):
    """A target that streams events naming its version, and breaks some streams.

    Attributes
    ----------
    cut_share : float
        Share of the streams that break after half of their events.
    event_s : float
        Time between two events of a stream, in seconds.
    """

    version = "v1"
    cut_share = 0.0
    event_s = 0.08

    def entry(self, **changes):
        """Return its entry."""
        return replace(super().entry(**changes), version=self.version)

    def _arrive(self, transport, headers):
        if self.is_gone:
            transport.abort()
            return
        self._record(headers)
        first = int(headers.get("last-event-id", "0")) + 1
        is_cut = self.simulation.random.random() < self.cut_share
        last = (first + EVENTS) // 2 if is_cut else EVENTS
        head = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {headers['attempt-id']}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        if self.is_leaving:
            head.append("Server-Leaving: 1")
        transport.deliver(("\r\n".join(head) + "\r\n\r\n").encode())
        self._send_event(transport, first, last)

    def _send_event(self, transport, number, last):
        loop = get_running_loop()
        if self.is_gone:
            transport.abort()
            return
        if number > last:
            end = transport.abort if last < EVENTS else self._end_of(transport)
            loop.call_later(LATENCY_S, end)
            return
        data = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
        transport.deliver(b"%x\r\n%s\r\n" % (len(data), data))
        loop.call_later(self.event_s, self._send_event, transport, number + 1, last)

    def _end_of(self, transport):
        return lambda: transport.deliver(b"0\r\n\r\n")


@dataclass(eq=False)
class Stream:
    """One stream of a caller over all its tries.

    Attributes
    ----------
    first_id : bytes
        Id of the request that brought the first event; empty before.
    began_at : float or None
        When that request was sent.
    wait : object
        What a simulation notes of the tries since the last event.
    on_begun : callable
        Called with it when the caller gets the first event.
    versions : set of bytes
        Versions of the targets whose events the caller got.
    """

    first_id: bytes = b""
    last_event_id: int = 0
    versions: set = field(default_factory=set)
    began_at: float | None = None
    wait: object = None
    on_begun: Callable = lambda stream: None
    is_complete: bool = False


class StreamCaller:
    """The caller's connection of one try."""

    is_writable = True
    on_writable = None

    def __init__(self, stream, request_id):
        self._stream = stream
        self._request_id = request_id
        self.had_events = False
        self.status = None

    def respond(self, status, headers, body):
        """Receive a complete response."""
        self.status = status

    def start_stream(self, status, headers):
        """Receive the head of a stream."""
        self.status = status

    def write(self, data):
        """Receive events."""
        stream = self._stream
        if not stream.first_id:
            stream.first_id = self._request_id
            stream.on_begun(stream)
        stream.versions.update(VERSION.findall(data))
        stream.last_event_id += data.count(b"id: ")
        self.had_events = True

    def end_stream(self):
        """Receive the end."""
        self._stream.is_complete = True

    def truncate_response(self):
        """Receive a truncated end."""


class StreamSimulation(RetrySimulation):
    """Callers that take their streams up at any router.

    Attributes
    ----------
    streams : list of Stream
        All streams.
    taken_up, gone_on : int
        Streams taken up at routers that have run for a while, and those of them that
        went on.
    max_tries : int
        Requests that a caller makes for one stream.
    """

    max_tries = MAX_TRIES

    def __init__(self, seed, **options):
        super().__init__(seed, **options)
        self.route = replace(
            self.route, kind=RouteKind.STREAMING, resumable=True, max_attempts=2
        )
        self.streams = []
        self.taken_up = self.gone_on = 0
        for number, target in enumerate(self.targets):
            target.version = ("v1", "v2")[number % 2]
            target.cut_share = 0.25

    def make_target(self, number, *, run_s, slots):
        """Return a target."""
        return StreamingTarget(self, number, run_s=run_s, slots=slots)

    def make_router(self, name, domain, incarnation):
        """Return a new process of a router."""
        router = super().make_router(name, domain, incarnation)
        service = SimpleNamespace(tokens_per_event=1)
        router.context.configuration.current = SimpleNamespace(
            version=1,
            services_by_name={SERVICE: service},
            routes_by_host={"h": {"/": self.route}},
        )
        return router

    def make_stream(self):
        """Return a stream of a caller."""
        return Stream()

    def _call(self, router):
        stream = self.make_stream()
        self.streams.append(stream)
        self._try(router, stream, self.max_tries)

    def _try(self, router, stream, tries_left):
        self.requests += 1
        self.sent_at.append(self.clock())
        request_id = b"q%d" % self.requests
        caller = StreamCaller(stream, request_id)
        headers = []
        if stream.last_event_id:
            headers = [
                (b"Last-Event-Id", b"%d" % stream.last_event_id),
                (b"Resumes", stream.first_id),
            ]
        sent_at = self.clock()
        on_ended = self.judge_try(router, stream)

        async def serve():
            try:
                await router.serve(request_id, caller=caller, headers=headers)
            finally:
                self.results.statuses[caller.status] += 1
                if stream.first_id and stream.began_at is None:
                    stream.began_at = sent_at
                on_ended(caller)
                if not stream.is_complete and tries_left > 1:
                    self.tasks.start_soon(self._come_back, stream, tries_left - 1)

        self.tasks_by_name[router.name].start_soon(serve)

    def judge_try(self, router, stream):
        """Return what counts a try that begins, called with its caller at the end."""
        is_taken_up = stream.last_event_id > 0
        is_counted = is_taken_up and self.clock() - router.started_at > IN_TOUCH_S

        def on_ended(caller):
            self.taken_up += is_counted
            self.gone_on += is_counted and caller.had_events

        return on_ended

    async def _come_back(self, stream, tries_left):
        await sleep(COMEBACK_S)
        routers = list(self.routers_by_name.values())
        if routers:
            self._try(self.random.choice(routers), stream, tries_left)

    def joined(self):
        """Return the number of streams with events of several versions."""
        return sum(len(stream.versions) > 1 for stream in self.streams)
