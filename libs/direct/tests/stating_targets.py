"""Simulated targets that advertise limits, request backoffs and leave."""

from asyncio import get_running_loop
from dataclasses import dataclass

from berylwalk.dispatch import TargetEntry, TargetState
from virtual_play import DOMAINS
from virtual_time import SimulatedTransport, VirtualLoop

SERVICE = "s"
LATENCY_S = 0.002
"""Latency of a message between a router and a target."""


class FakeSocket:
    """Accepts socket options and is shut down with its transport."""

    def setsockopt(self, *_):
        """Do nothing."""

    def shutdown(self, *_):
        """Do nothing."""


class TargetTransport(SimulatedTransport):
    """Connection to a simulated target."""

    def get_extra_info(self, name):
        """Return the socket that the pool asks for."""
        return FakeSocket() if name == "socket" else None


class SimulatedLoop(VirtualLoop):
    """Event loop that connects to simulated targets."""

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
    """A request received by a target."""

    at: float
    router: str
    request_id: str = ""


class SignallingTarget:
    """A target that sends flow control signals.

    Attributes
    ----------
    limit : str or None
        Value of the header that advertises its limit.
    limits : list of (float, float or None)
        Times and values of the advertised limits; None if the limit was withdrawn.
    is_leaving : bool
        Whether it signals that it is leaving.
    backoff_s : float or None
        Requested backoff while it refuses all requests; None while it serves.
    """

    def __init__(self, simulation, number, *, run_s, slots):
        self.simulation = simulation
        self.target_id = f"i-{number}"
        self.host = f"10.0.0.{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.run_s = run_s
        self.slots = slots
        self.is_gone = False
        self.limit = None
        self.limits = []
        self.is_leaving = False
        self.backoff_s = None
        self.arrivals = []
        self._limit_forwarded_at = {}
        self._leaving_forwarded_at = {}
        self.backoffs = []
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

    def advertise_limit(self, limit):
        """Advertise a limit from now on; None withdraws it."""
        self.limit = None if limit is None else f"{limit:.2f}"
        self.limits.append((self.simulation.clock(), limit))

    def receive(self, transport, data):
        """Receive a request, whose head and body arrive together."""
        head = data.split(b"\r\n\r\n", 1)[0].decode()
        headers = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        loop = get_running_loop()
        loop.call_later(LATENCY_S, self._arrive, transport, headers)

    def _arrive(self, transport, headers):
        router = headers["x-router"]
        request_id = headers["attempt-id"]
        self.arrivals.append(Arrival(self.simulation.clock(), router, request_id))
        self.simulation.results.arrivals[self.target_id] += 1
        if self.backoff_s is not None:
            self._answer(transport, router, request_id, "503 Unavailable", b"")
            return
        self.running += 1
        load_factor = max(1.0, self.running / self.slots)
        duration_s = self.run_s * load_factor * self.simulation.random.uniform(0.5, 1.5)
        if self.simulation.random.random() < 0.5:
            # The head of a stream arrives with its first event.
            get_running_loop().call_later(
                0.2 * duration_s,
                self._stream,
                transport,
                router,
                request_id,
                duration_s,
            )
        else:
            get_running_loop().call_later(
                duration_s, self._end, transport, router, request_id
            )

    def _end(self, transport, router, request_id):
        self.running -= 1
        self._answer(transport, router, request_id, "200 OK", b"ok")

    def _stream(self, transport, router, request_id, duration_s):
        self._send_head(
            transport,
            router,
            request_id,
            "200 OK",
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            b"f\r\nid: 1\ndata: 1\n\n\r\n",
        )
        get_running_loop().call_later(0.8 * duration_s, self._end_stream, transport)

    def _end_stream(self, transport):
        self.running -= 1
        get_running_loop().call_later(LATENCY_S, transport.deliver, b"0\r\n\r\n")

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
            lines += ["Not-Executed: 1", f"Retry-After: {self.backoff_s}"]
        data = ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + body
        sent_signals = (self.limit is not None, self.is_leaving, self.backoff_s)
        get_running_loop().call_later(
            LATENCY_S, self._deliver, transport, router, data, status, sent_signals
        )

    def _deliver(self, transport, router, data, status, sent_signals):
        now = self.simulation.clock()
        has_limit, is_leaving, backoff_s = sent_signals
        if has_limit:
            self._limit_forwarded_at.setdefault(router, now)
        if is_leaving:
            self._leaving_forwarded_at.setdefault(router, now)
        if status.startswith("503"):
            self.backoffs.append((now, router, backoff_s))
        transport.deliver(data)

    def limit_forwarded_at(self, router):
        """Return when a router first forwarded a response with a limit."""
        return self._limit_forwarded_at.get(router, float("inf"))

    def leaving_forwarded_at(self, router):
        """Return when a router first forwarded a response that signals leaving."""
        return self._leaving_forwarded_at.get(router, float("inf"))

    def leaving_first_forwarded_at(self):
        """Return when any router first did so."""
        return min(self._leaving_forwarded_at.values())

    def arrived(self, since, until):
        """Return the number of requests received in a period."""
        return sum(since <= arrival.at < until for arrival in self.arrivals)
