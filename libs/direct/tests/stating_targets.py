"""Targets that state limits, ask for rest and leave, played in virtual time."""

from asyncio import get_running_loop
from dataclasses import dataclass

from berylwalk.dispatch import TargetEntry, TargetState
from virtual_play import DOMAINS
from virtual_time import SimulatedTransport, VirtualLoop

SERVICE = "s"
WAY_S = 0.002
"""Time of a message between a router and a target."""


class SocketStandin:
    """Takes options."""

    def setsockopt(self, *_):
        """Do nothing."""


class TargetTransport(SimulatedTransport):
    """A connection to a played target."""

    def get_extra_info(self, name):
        """Return what the pool asks for."""
        return SocketStandin() if name == "socket" else None


class PlayedLoop(VirtualLoop):
    """Opens connections to played targets."""

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        """Open a connection, unless the target is gone."""
        target = self._server.targets_by_host.get(host)
        if target is None or target.is_gone:
            raise ConnectionRefusedError
        protocol = protocol_factory()
        transport = TargetTransport(self, protocol, self._server, host)
        protocol.connection_made(transport)
        return transport, protocol


@dataclass(frozen=True)
class Arrival:
    """A request that reached a target."""

    at: float
    router: str


class StatingTarget:
    """A target, and what it states of itself.

    Attributes
    ----------
    limit : str or None
        Value of the header that names its limit.
    limits : list of (float, float or None)
        When it named which limit, or none any more.
    is_leaving : bool
        Whether it says that it leaves.
    rest_s : float or None
        Rest that it asks for as it refuses all requests; None while it serves.
    """

    def __init__(self, play, number, *, run_s, slots):
        self.play = play
        self.target_id = f"i-{number}"
        self.host = f"10.0.0.{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.run_s = run_s
        self.slots = slots
        self.is_gone = False
        self.limit = None
        self.limits = []
        self.is_leaving = False
        self.rest_s = None
        self.arrivals = []
        self._told_limit_at = {}
        self._told_leaving_at = {}
        self.rests = []
        self.running = 0

    def entry(self, state=TargetState.READY):
        """Return its entry."""
        return TargetEntry(
            target_id=self.target_id,
            service=SERVICE,
            host=self.host,
            port=1,
            failure_domain=self.domain,
            slots=self.slots,
            state=state,
        )

    def name_limit(self, limit):
        """Name a limit from now on; None for no longer."""
        self.limit = None if limit is None else f"{limit:.2f}"
        self.limits.append((self.play.clock(), limit))

    def receive(self, transport, data):
        """Take a request: its head and body come at once."""
        head = data.split(b"\r\n\r\n", 1)[0].decode()
        headers = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        loop = get_running_loop()
        loop.call_later(WAY_S, self._arrive, transport, headers)

    def _arrive(self, transport, headers):
        router = headers["x-router"]
        self.arrivals.append(Arrival(self.play.clock(), router))
        self.play.figures.arrivals[self.target_id] += 1
        request_id = headers["attempt-id"]
        if self.rest_s is not None:
            self._answer(transport, router, request_id, "503 Unavailable", b"")
            return
        self.running += 1
        crowd = max(1.0, self.running / self.slots)
        takes_s = self.run_s * crowd * self.play.random.uniform(0.5, 1.5)
        if self.play.random.random() < 0.5:
            # The head of a stream comes with its first event.
            get_running_loop().call_later(
                0.2 * takes_s, self._stream, transport, router, request_id, takes_s
            )
        else:
            get_running_loop().call_later(
                takes_s, self._end, transport, router, request_id
            )

    def _end(self, transport, router, request_id):
        self.running -= 1
        self._answer(transport, router, request_id, "200 OK", b"ok")

    def _stream(self, transport, router, request_id, takes_s):
        self._send_head(
            transport,
            router,
            request_id,
            "200 OK",
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            b"f\r\nid: 1\ndata: 1\n\n\r\n",
        )
        get_running_loop().call_later(0.8 * takes_s, self._end_stream, transport)

    def _end_stream(self, transport):
        self.running -= 1
        get_running_loop().call_later(WAY_S, transport.deliver, b"0\r\n\r\n")

    def _answer(self, transport, router, request_id, status, body):
        self._send_head(
            transport,
            router,
            request_id,
            status,
            f"Content-Length: {len(body)}\r\n",
            body,
        )

    def _send_head(self, transport, router, request_id, status, more, body):
        lines = [
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {request_id}",
            "Keep-Alive: timeout=5",
        ]
        if self.limit is not None:
            lines.append(f"Server-Limit: {self.limit}")
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
        if status.startswith("503"):
            lines += ["Not-Executed: 1", f"Retry-After: {self.rest_s}"]
        data = ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + body
        said = (self.limit is not None, self.is_leaving, self.rest_s)
        get_running_loop().call_later(
            WAY_S, self._deliver, transport, router, data, status, said
        )

    def _deliver(self, transport, router, data, status, said):
        now = self.play.clock()
        names_limit, is_leaving, rest_s = said
        if names_limit:
            self._told_limit_at.setdefault(router, now)
        if is_leaving:
            self._told_leaving_at.setdefault(router, now)
        if status.startswith("503"):
            self.rests.append((now, router, rest_s))
        transport.deliver(data)

    def told_limit_at(self, router):
        """Return when a router first passed on an answer with a limit."""
        return self._told_limit_at.get(router, float("inf"))

    def told_leaving_at(self, router):
        """Return when a router first passed on that the target leaves."""
        return self._told_leaving_at.get(router, float("inf"))

    def first_told_leaving_at(self):
        """Return when the first router did so."""
        return min(self._told_leaving_at.values())

    def arrived(self, since, until):
        """Return the requests that reached it in a time."""
        return sum(since <= arrival.at < until for arrival in self.arrivals)
