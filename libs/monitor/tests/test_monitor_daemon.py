"""A target monitor with a scripted engine and a subscriber, over loopback."""

import asyncio
import json
from asyncio import get_running_loop
from contextlib import asynccontextmanager
from itertools import pairwise
from os import getpid

import pytest
from anyio import create_memory_object_stream, create_task_group, fail_after, sleep

from berylwalk.monitor import Subscription, decode_report, encode
from berylwalk.monitor._daemon import READ_TIMEOUT_S, TargetMonitor
from berylwalk.platform import MonitorSettings, decode_monitor_settings

pytestmark = pytest.mark.anyio

HOST = f"127.76.{1 + getpid() // 250 % 250}.{1 + getpid() % 250}"
"""Derived from the process id, so that parallel runs don't collide."""
ENGINE_PORT = 8000
MONITOR_PORT = 7602
TIMEOUT_S = 20.0
CHANGES = ("target-silent", "target-answers")
"""Events that have to alternate: each silence is logged once, however long it is."""


class ScriptedEngine:
    """An engine that tells a state set by the test, or nothing."""

    def __init__(self):
        self.state = {"running": 0, "waiting": 0, "kv-used": 0, "kv-total": 100}
        self.is_silent = False
        self.connections = 0
        self.calls = 0
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, ENGINE_PORT)

    async def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await sleep(0)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                while self.is_silent:
                    await sleep(0.01)
                body = json.dumps(self.state).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Router(asyncio.DatagramProtocol):
    """Subscribes to a monitor and collects its reports."""

    def __init__(self):
        self.reports = []

    async def start(self):
        self.transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )

    def subscribe(self, *, ttl_s=30.0):
        now = get_running_loop().time()
        data = encode(Subscription("edge-1", now, ttl_s, 0.05))
        self.transport.sendto(data, (HOST, MONITOR_PORT))

    def datagram_received(self, data, addr):
        self.reports.append(decode_report(data))

    async def until(self, condition):
        """Wait for a report that fulfils a condition, and return it."""
        with fail_after(TIMEOUT_S):
            while True:
                while self.reports:
                    message = self.reports.pop(0)
                    if condition(message):
                        return message
                await sleep(0.005)


@asynccontextmanager
async def running():
    """Run a monitor with an engine and a router; yields them, the log and a stop."""
    settings = decode_monitor_settings(
        json.dumps(
            {
                "node-name": "side-1",
                "ip": HOST,
                "port-range": [MONITOR_PORT - 2, MONITOR_PORT],
                "app": f"{HOST}:{ENGINE_PORT}",
                "service": "s",
                "zone": "fd-a",
            }
        ).encode()
    )
    events = []
    engine, router = ScriptedEngine(), Router()
    await engine.start()
    await router.start()
    send_stop, stops = create_memory_object_stream(1)
    monitor = TargetMonitor(settings, lambda event, **fields: events.append(event))
    try:
        async with create_task_group() as tasks:
            tasks.start_soon(monitor.run, stops)
            with fail_after(TIMEOUT_S):
                while "started" not in events:
                    await sleep(0.005)
            yield engine, router, events
            send_stop.send_nowait(None)
    finally:
        router.transport.close()
        await engine.close()
    assert events[-1] == "stopped"


class TestReports:
    async def test_state_reaches_the_subscriber(self):
        async with running() as (engine, router, _):
            router.subscribe()
            idle = await router.until(lambda message: message.reading is not None)
            assert idle.reading.running == 0
            assert idle.target == f"{HOST}:{ENGINE_PORT}"
            engine.state |= {
                "running": 3,
                "waiting": 2,
                "kv-used": 700,
                "kv-total": 900,
                "runs": [["a", 100, 5, 1], ["b", 200, 1, 1]],
                "next": 50,
                "new-field": {},
            }
            busy = await router.until(lambda message: message.reading.running == 3)
            assert busy.reading.waiting == 2
            assert busy.reading.unread_tokens == 400 + 100
            assert (busy.reading.cache_used, busy.reading.cache_total) == (700, 900)
            now = get_running_loop().time()
            assert now - 1 < busy.observed_at <= now
            assert engine.connections == 1

    async def test_target_is_not_asked_without_subscribers(self):
        async with running() as (engine, _, _):
            await sleep(0.2)
            assert engine.calls == 0

    async def test_router_that_is_gone(self):
        async with running() as (engine, router, events):
            router.subscribe(ttl_s=0.2)
            await router.until(lambda message: True)
            with fail_after(TIMEOUT_S):
                while "subscription-expired" not in events:
                    await sleep(0.01)
            calls = engine.calls
            await sleep(0.2)
            assert engine.calls == calls

    async def test_invalid_subscriptions(self):
        async with running() as (_, router, events):
            for data in (b"", b"\xc1", encode([1, 2]), encode([1, "r", "x", 1, 1])):
                router.transport.sendto(data, (HOST, MONITOR_PORT))
            router.subscribe()
            await router.until(lambda message: message.reading is not None)
            assert events.count("subscription-invalid") == 1


class TestTargetFailures:
    async def test_target_that_does_not_answer_is_reported(self):
        async with running() as (engine, router, events):
            router.subscribe()
            await router.until(lambda message: message.reading is not None)
            engine.is_silent = True
            silent = await router.until(lambda message: message.reading is None)
            assert silent.target_ends == 0
            await sleep(3 * READ_TIMEOUT_S)
            engine.is_silent = False
            await router.until(lambda message: message.reading is not None)
            changes = [each for each in events if each in CHANGES]
            assert "target-silent" in changes
            assert all(one != other for one, other in pairwise(changes))

    async def test_target_that_restarts(self):
        """The monitor goes on, and its reports tell that the target had ended."""
        async with running() as (engine, router, _):
            router.subscribe()
            first = await router.until(lambda message: message.reading is not None)
            await engine.close()
            gone = await router.until(lambda message: message.reading is None)
            await engine.start()
            back = await router.until(lambda message: message.reading is not None)
            assert (first.target_ends, back.target_ends) == (0, 1)
            assert first.life == back.life == gone.life

    async def test_unreadable_state(self):
        async with running() as (engine, router, _):
            for state in ({}, {"running": -1, "waiting": 0}, {"running": "x"}, []):
                engine.state = state
                router.reports.clear()
                router.subscribe()
                message = await router.until(lambda message: True)
                message = await router.until(lambda message: True)
                assert message.reading is None


class TestNoTarget:
    async def test_monitor_waits_for_the_stop(self):
        """It must not end by itself."""
        fields = {"node-name": "side-1", "ip": HOST, "port-range": [7600, 7615]}
        settings = decode_monitor_settings(json.dumps(fields).encode())
        events = []
        send_stop, stops = create_memory_object_stream(1)
        monitor = TargetMonitor(settings, lambda event, **fields: events.append(event))
        async with create_task_group() as tasks:
            tasks.start_soon(monitor.run, stops)
            await sleep(0.05)
            assert events == ["no-target"]
            send_stop.send_nowait(None)


class TestSettings:
    def test_invalid_settings(self):
        valid = {
            "node-name": "side-1",
            "ip": HOST,
            "port-range": [7600, 7615],
            "app": f"{HOST}:80",
        }
        settings = decode_monitor_settings(json.dumps(valid).encode())
        assert isinstance(settings, MonitorSettings)
        assert settings.address.port == 7602
        for changes in ({"app": "x"}, {"port-range": [7600, 7601]}, {"ip": None}):
            with pytest.raises(ValueError, match=r"port|str"):
                decode_monitor_settings(json.dumps(valid | changes).encode())
