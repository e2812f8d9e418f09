"""Targets and routers that are killed in the midst of responses."""

import os
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from hashlib import sha256
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from urllib.parse import urlsplit

import pytest

from berylwalk.localfleet import (
    FleetSpec,
    LocalFleet,
    RouterSpec,
    ServiceSpec,
    agent_name,
)
from closing_target import BODY, PARTS, PAUSE_S, head_of

TOKEN = "parkovisko-test-token"
SERVICE = "closing-1"
TARGET = f"{SERVICE}-target"
ROUTER = "entry-1"
TREE = f"""
[tier urgent]
rank = 0
deadline_s = 60

[/]
tier = urgent

[/parkovisko]
credential_sha256 = {sha256(TOKEN.encode()).hexdigest()}

[/parkovisko/signs]
tier = urgent
idempotent = false
"""
SPEC = FleetSpec(
    routers=(RouterSpec(ROUTER, "kosice-a"),),
    targets=(ServiceSpec(SERVICE, "kosice-a"),),
    settings_tree=TREE,
    overrides={"admission": {"min_limit": "60", "initial_limit": "60"}},
)
SUBNET_OFFSET = 1
KINDS = ("events", "plain")
FRAMINGS = ("closed", "chunked", "length")
CALLS = 8
"""Calls of each framing and kind."""
HALF_S = len(PARTS) * PAUSE_S / 2
SERVED_S = 3.0
"""Time after which a connection to a target that was started has answered polls."""
CALL_TIMEOUT_S = 20.0
POLL_S = 0.01
RESPONSE_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Answer:
    """A response; its body is None unless it looks complete."""

    status: int
    body: bytes | None


WHOLE = Answer(200, BODY)


class ClosingFleet(LocalFleet):
    """A fleet whose target is `closing_target`."""

    def start_target(self, target):
        """Start the target, or restart it after it exited."""
        path = Path(__file__).with_name("closing_target.py")
        address = urlsplit(self.target_url(target.vm_id))
        arguments = (str(path), address.hostname, str(address.port))
        if TARGET in self.processes_by_name:
            self.target.start()
            return
        self._start(TARGET, arguments)

    @property
    def target(self):
        """The process of the target."""
        return self.processes_by_name[TARGET]

    @property
    def agent(self):
        """The process of the target's agent."""
        return self.processes_by_name[agent_name(SERVICE)]

    def restart_target(self):
        """Start the target again and wait until it listens."""
        self.start_target(SPEC.targets[0])
        address = urlsplit(self.target_url(SERVICE))

        def listens():
            with socket.socket() as probe:
                return probe.connect_ex((address.hostname, address.port)) == 0

        wait(listens)

    def wait_until_served(self):
        """Wait until the router gets responses of the target."""
        self.wait_ready()
        wait(lambda: self.call("length", "plain") == WHOLE)

    def call(self, framing, kind, query=""):
        """Return the response as its caller sees it."""
        address = urlsplit(self.caller_urls()[0])
        connection = HTTPConnection(
            address.hostname, address.port, timeout=CALL_TIMEOUT_S
        )
        headers = {"Authorization": f"Bearer {TOKEN}"}
        status = 0
        try:
            connection.request("POST", _path(framing, kind) + query, b"x", headers)
            response = connection.getresponse()
            status = response.status
            return Answer(status, response.read())
        except (OSError, HTTPException):
            return Answer(status, None)
        finally:
            connection.close()

    def call_http10(self, framing, kind):
        """Return what an HTTP/1.0 caller gets, and whether it was reset."""
        address = urlsplit(self.caller_urls()[0])
        received = b""
        with socket.create_connection((address.hostname, address.port)) as connection:
            connection.settimeout(CALL_TIMEOUT_S)
            connection.sendall(
                f"POST {_path(framing, kind)} HTTP/1.0\r\nHost: h\r\n"
                f"Authorization: Bearer {TOKEN}\r\nContent-Length: 1\r\n\r\nx".encode()
            )
            try:
                while part := connection.recv(65536):
                    received += part
            except ConnectionResetError:
                return received, True
        return received, False


def wait(condition):
    """Poll until a condition holds."""
    deadline = time.monotonic() + CALL_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_S)


def _path(framing, kind):
    return f"/services/signs/{framing}/{kind}"


@pytest.fixture(scope="module")
def closing_fleet():
    """Start the fleet."""
    fleet = ClosingFleet.from_spec(SPEC, subnet_offset=SUBNET_OFFSET)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def calls(closing_fleet):
    """Yield a function that starts calls of each framing and kind, in threads."""
    closing_fleet.wait_until_served()
    with ThreadPoolExecutor(CALLS * len(FRAMINGS) * len(KINDS)) as threads:

        def start(call):
            return {
                (framing, kind, number): threads.submit(call, framing, kind)
                for framing in FRAMINGS
                for kind in KINDS
                for number in range(CALLS)
            }

        yield start


def results(started):
    """Wait for calls and return their responses by call."""
    return {call: future.result() for call, future in started.items()}


def assert_all_are_cut(answers):
    """Assert that streams have begun and broke, and that the rest is unknown."""
    for call, answer in answers.items():
        _, kind, _ = call
        is_cut = (
            answer == Answer(200, None) if kind == "events" else answer.status == 502
        )
        assert (call, answer, is_cut) == (call, answer, True)


class TestLivingTarget:
    def test_all_responses_arrive_whole(self, closing_fleet, calls):
        """The end of a response without a length is confirmed by the target."""
        started = calls(closing_fleet.call)
        assert results(started) == dict.fromkeys(started, WHOLE)


class TestEndedTarget:
    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
    def test_no_cut_response_looks_complete(self, closing_fleet, calls, number):
        """The kernel closes the connections of a killed process in the usual way."""
        started = calls(closing_fleet.call)
        time.sleep(HALF_S)
        os.kill(closing_fleet.target.pid, number)
        closing_fleet.target.wait_for_exit()
        answers = results(started)
        closing_fleet.restart_target()
        assert_all_are_cut(answers)

    def test_another_process_at_its_address_confirms_nothing(
        self, closing_fleet, calls
    ):
        """A suspended agent sees the end when another process listens already."""
        time.sleep(SERVED_S)
        started = calls(closing_fleet.call)
        time.sleep(HALF_S)
        closing_fleet.agent.freeze()
        closing_fleet.target.kill()
        closing_fleet.restart_target()
        closing_fleet.agent.thaw()
        assert_all_are_cut(results(started))


class TestCutHeads:
    @pytest.mark.parametrize("end", ["close", "half-close", "reset"])
    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_no_response_begins(self, closing_fleet, framing, end):
        """The target has got the request, so the outcome is unknown."""
        closing_fleet.wait_until_served()
        cuts = [
            (kind, size)
            for kind in KINDS
            for size in range(len(head_of(framing, kind)))
        ]

        def call(cut):
            kind, size = cut
            return closing_fleet.call(framing, kind, f"?{end}={size}")

        with ThreadPoolExecutor(CALLS) as threads:
            answers = list(threads.map(call, cuts))
        seen = [
            (cut, answer.status, answer.body is not None)
            for cut, answer in zip(cuts, answers, strict=True)
        ]
        assert seen == [(cut, 502, True) for cut in cuts]


class TestHttp10Callers:
    def test_whole_stream_has_no_chunks(self, closing_fleet, calls):
        """HTTP/1.0 has no chunks; the connection ends with the body."""
        answers = results(calls(closing_fleet.call_http10))
        for call, (received, is_reset) in answers.items():
            head, _, body = received.partition(RESPONSE_END)
            assert (call, body, is_reset) == (call, BODY, False)
            assert b"transfer-encoding" not in head.lower()

    def test_killed_router_resets_its_connections(self, closing_fleet, calls):
        """The end of the connection would look like the end of the stream."""
        started = calls(closing_fleet.call_http10)
        time.sleep(HALF_S)
        closing_fleet.processes_by_name[ROUTER].kill()
        answers = results(started)
        closing_fleet.start_router(ROUTER)
        for (framing, kind, number), (received, is_reset) in answers.items():
            # A plain response is buffered by the router, so nothing has arrived.
            is_cut = (
                is_reset and PARTS[0] in received if kind == "events" else not received
            )
            assert (framing, kind, number, is_cut) == (framing, kind, number, True)
