"""Stand-ins of the platform, of workers and of clients, and the processes of a case.

Standard library only. Names, messages and statuses follow the users' pages.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
"""The repository: built stand-ins lie in ``target/review``."""
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
ROUTER_COMMAND = ["python3", "-S", "-m", "berylwalk.direct"]
"""As in ``deploy/system.toml``."""
CHUNKED = "chunked"


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


# Messages of HTTP/1.1


class Message:
    """A request or response as read from a connection."""

    def __init__(self, first: str, headers: list[tuple[str, str]]) -> None:
        self.first = first
        self.headers = headers
        self.body = b""
        self.is_complete = False

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for each, value in self.headers:
            if each.lower() == name.lower():
                return value
        return None

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raises IncompleteReadError at the end of the connection."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw[:-4].split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    return Message(first, headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message; one that the connection cuts is not complete."""
    message = await read_head(reader)
    try:
        if (message.header("Transfer-Encoding") or "").lower() == CHUNKED:
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            length = int(message.header("Content-Length") or 0)
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return message
    message.is_complete = True
    return message


def encode(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encode a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


# The platform's metadata store


class Store:
    """Keys with revisions, leases and watches; one revision counter."""

    def __init__(self) -> None:
        self.revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[tuple[str, dict]] = []
        self._leases: dict[int, float] = {}
        self._ttl_s: dict[int, float] = {}
        self._lease_ids = itertools.count(77_001)
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key."""
        self.revision += 1
        before = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._note(key, item)
        return self.revision

    def put_json(self, key: str, value: object) -> int:
        """Write a key with a JSON value."""
        return self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self._note(key, event)

    def _note(self, key: str, event: dict) -> None:
        self._events.append((key, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def value(self, key: str) -> bytes | None:
        """Return a value, or None."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def expire_leases(self) -> None:
        """End leases forever."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [each for each, end in self._leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, each in self._items.items() if each["lease"] == lease]:
            self.delete(key)
        return True

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.first.split(" ")
                status, body = await self._answer(method, target, request.body)
                data = json.dumps(body).encode()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(data))),
                ]
                writer.write(encode(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path
        if call == "/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, {**item, "store-revision": self.revision}
        if call == "/kv-range":
            prefix, after = query["path-prefix"], query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            entries = [self._items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {
                "entries": entries,
                "has-more": more,
                "store-revision": self.revision,
            }
        if call == "/kv-watch":
            return 200, await self._watch(query)
        message = json.loads(body) if body else {}
        if call == "/kv-txn":
            return self._transact(message)
        if call == "/kv-lease":
            lease, ttl_s = next(self._lease_ids), message["ttl-ms"] / 1000
            self._leases[lease] = time.monotonic() + ttl_s
            self._ttl_s[lease] = ttl_s
            return 200, {"lease": lease, "ttl-ms": message["ttl-ms"]}
        name, _, text = unquote(call).rpartition("/")
        lease = int(text)
        if name == "/kv-keep" and lease in self._leases:
            self._leases[lease] = time.monotonic() + self._ttl_s[lease]
            return 200, {"ttl-ms": int(self._ttl_s[lease] * 1000)}
        if name == "/kv-lease-end" and self._end_lease(lease):
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict) -> dict:
        prefix, after = query["path-prefix"], int(query["after"])
        ends_at = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for key, event in self._events
                if event["revision"] > after and key.startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, message: dict) -> tuple[int, dict]:
        expected = message.get("expected-rev", [])
        for each in expected:
            item = self._items.get(each["key"])
            if (item["revision"] if item else 0) != each["revision"]:
                absent = {"value": "", "revision": 0, "created": 0, "lease": 0}
                entries = [
                    self._items.get(row["key"], {"key": row["key"], **absent})
                    for row in expected
                ]
                return 412, {"entries": entries}
        writes = message.get("writes", [])
        leases = [each.get("lease", 0) for each in writes]
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        for each, lease in zip(writes, leases, strict=True):
            self.put(each["key"], base64.b64decode(each["value"]), lease)
        for key in message.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


# Workers


class Run:
    """One request that arrived at a worker."""

    def __init__(self, worker: "Worker", request: Message, at: float) -> None:
        self.worker = worker
        self.request = request
        self.at = at
        self.attempt_id = request.header("Attempt-Id") or ""
        self.was_run = False


class Worker:
    """A worker; `behave` decides what it does with a request.

    ``behave`` is a coroutine function of the worker, the run and the connection, which
    is a dict that lives as long as the connection and holds its writer.
    """

    def __init__(self, rig: "Rig", name: str, ip: str, service: str, behave) -> None:
        self._rig = rig
        self.name = name
        self.ip = ip
        self.service = service
        self.behave = behave
        self.slots = 9
        self.zone = rig.zones[0]
        self.fields: dict = {}
        self.runs: list[Run] = []
        self.seal = f"{random.getrandbits(64):016x}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats = 0
        self._beat_task: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """Address in the list of workers."""
        return f"{self.ip}:{WORKER_PORT}"

    async def start(self) -> None:
        """Listen, register and report every heartbeat."""
        await self.listen()
        self._beat_task = asyncio.create_task(self._beat())

    async def listen(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, self.ip, WORKER_PORT)

    def crash(self) -> None:
        """End like a killed process: no listener, all connections gone, no reports."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop everything."""
        if self._beat_task is not None:
            self._beat_task.cancel()
        if self._server is not None:
            self.crash()

    def entry(self) -> dict:
        """Return its entry in the list of workers."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "seq-no": self._beats,
            **self.fields,
        }

    async def _beat(self) -> None:
        while True:
            if self._server is not None and self._server.is_serving():
                self._beats += 1
                self._rig.store.put_json(f"servers/{self.name}", self.entry())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        connection: dict = {"writer": writer, "served": 0}
        try:
            while True:
                request = await read_message(reader)
                run = Run(self, request, self._rig.record.now())
                if request.header("Expect-Instance") not in (None, self.name):
                    head = [("Instance-Id", self.name), ("Content-Length", "0")]
                    writer.write(encode("HTTP/1.1 421 Misdirected Request", head))
                    continue
                self.runs.append(run)
                await self.behave(self, run, connection)
                connection["served"] += 1
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def note(self, text: str) -> None:
        """Write a line about this worker."""
        self._rig.record.line(f"{self.name} {text}")

    def begin(self, run: Run) -> None:
        """Note that the worker begins to work on a request."""
        run.was_run = True
        self._rig.record.line(
            f"{self.name} runs {run.attempt_id}: {run.request.first}, "
            f"{len(run.request.body)} bytes of body"
        )

    def write_answer(
        self, run: Run, connection: dict, body: bytes, *, status: str = "200 OK"
    ) -> None:
        """Send a complete response."""
        headers = [
            ("Attempt-Id", run.attempt_id),
            ("Server-Seal", self.seal),
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(body))),
        ]
        connection["writer"].write(encode(f"HTTP/1.1 {status}", headers, body))

    def write_shed(self, run: Run, connection: dict) -> None:
        """Reject a request as ``fleetbench wire`` shows it."""
        self._rig.record.line(f"{self.name} answers 503 Not-Executed, {run.attempt_id}")
        connection["writer"].write(SHED)


SHED = encode(
    "HTTP/1.1 503 Service Unavailable", [("Not-Executed", "1"), ("Content-Length", "0")]
)
WORKER_PORT = 8308
HEARTBEAT_MS = 1200
FRONT_PORT, READINESS_PORT, CONTROL_PORT = 8221, 8224, 8229
STORE_PORT = 8225
PORT_RANGE = [7600, 7615]


def answer_after(seconds: float = 0.0, body: bytes = b"done"):
    """Return a behaviour: run each request and answer it."""

    async def behave(worker: Worker, run: Run, connection: dict) -> None:
        worker.begin(run)
        await asyncio.sleep(seconds)
        worker.write_answer(run, connection, body)

    return behave


# Processes of the project


class Router:
    """One process of the deploy file."""

    def __init__(self, rig: "Rig", name: str, ip: str, zone: str) -> None:
        self._rig = rig
        self.name = name
        self.ip = ip
        self.zone = zone
        self._starts = 0
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the settings that are in effect now."""
        rig = self._rig
        path = rig.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings(is_first=self._starts == 0)))
        self._starts += 1
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env = {
            **keep,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BERYLWALK_BOOT": str(path),
        }
        log = (rig.folder / f"{self.name}.{self._starts}.log").open("wb")
        self.process = subprocess.Popen(
            ROUTER_COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        rig.record.line(f"{self.name} starts")

    def kill(self) -> None:
        """Send SIGKILL."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._rig.record.line(f"{self.name} is killed")

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)
        self._rig.record.line(f"{self.name} gets SIGTERM")

    @property
    def runs(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        """Ask for the readiness."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READINESS_PORT)
        except OSError:
            return False
        try:
            writer.write(encode("GET /readyz HTTP/1.1", [("Host", "r")]))
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            writer.close()

    def _settings(self, *, is_first: bool) -> dict:
        rig = self._rig
        control = [f"{each.ip}:{CONTROL_PORT}" for each in rig.routers]
        return {
            "node-name": self.name,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "east-sk",
            "zones": dict.fromkeys(rig.zones, "east-sk"),
            "listen": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "readiness": f"{self.ip}:{READINESS_PORT}",
                "control": f"{self.ip}:{CONTROL_PORT}",
            },
            "port-range": PORT_RANGE,
            "seeds": control[:3],
            "bootstrap": is_first,
            "fault-counted": False,
            "limits": {
                "cpu-share": 0.817,
                "cores": 1,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": HEARTBEAT_MS,
            "contracts": CONTRACTS,
            "tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{rig.store_ip}:{STORE_PORT}",
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
        }


CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "quota",
    "platform",
]
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-ms": 2000,
    "rollback-slack-ms": 250,
    "outer-ms": 5000,
    "fail-closed": True,
    "revoke-ms": 5000,
    "retry-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 54,
    "quota-window-s": 8,
    "quota-excess": 0.1,
    "quota-slack": 140000,
    "recover-s": 12,
    "pass-ms": 120,
    "reuse-window-s": 10,
}
"""Those of the deployment ``pks-berylwalk``."""


class Rig:
    """Everything that a case starts."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = ["kosice-a", "kosice-b"]
        self._net = _free_net()
        self.store_ip = f"{self._net}.1"
        self.store = Store()
        self.routers: list[Router] = []
        self.workers: list[Worker] = []
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task] = []
        self.version = 0
        self.routes: list[dict] = []
        self.services: list[dict] = []
        self.tenants: list[dict] = []
        self._ids = itertools.count(1)

    def add_router(self, zone: int = 0) -> Router:
        """Add a router, named after its zone."""
        zone_name = self.zones[zone]
        number = 1 + sum(each.zone == zone_name for each in self.routers)
        ip = f"{self._net}.{10 + len(self.routers)}"
        router = Router(self, f"edge-{zone_name}-{number}", ip, zone_name)
        self.routers.append(router)
        return router

    def add_worker(self, service: str, behave) -> Worker:
        """Add a worker."""
        number = len(self.workers)
        worker = Worker(
            self, f"i-{number:08x}", f"{self._net}.{100 + number}", service, behave
        )
        self.workers.append(worker)
        return worker

    def add_route(self, name: str, kind: str, service: str, **changes: object) -> dict:
        """Add a route to the next version of the config."""
        route = {
            "name": name,
            "hostname": HOST,
            "path-prefix": f"/{name}/",
            "route-kind": kind,
            "timeout-ms": 12000,
            "goal-ms": 400,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            "public": False,
            "sticky": False,
            "resumable": False,
            "gap-target-ms": 400,
            **{key.replace("_", "-"): value for key, value in changes.items()},
        }
        self.routes.append(route)
        if service not in [each["name"] for each in self.services]:
            self.services.append(
                {
                    "name": service,
                    "health-path": "/healthz",
                    "max-conns": 230,
                    "protocol": "h1",
                    "tls": False,
                }
            )
        return route

    def put_config(self) -> None:
        """Write the next version; the write is its acknowledgement."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": self.tenants,
        }
        self.store.put_json("op/config", config)
        self.record.line(f"the store acknowledges config {self.version}")

    async def start(self) -> None:
        """Start the store, workers and routers; wait until all are ready."""
        self._servers.append(
            await asyncio.start_server(
                self.store.serve, self.store_ip, STORE_PORT, limit=2**24
            )
        )
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        self.put_config()
        for worker in self.workers:
            await worker.start()
        for router in self.routers:
            router.start()
        await self.until_ready()

    async def until_ready(self, within_s: float = 20.0) -> None:
        """Wait until all routers are ready."""
        ends_at = time.monotonic() + within_s
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > ends_at:
                    raise CaseError(f"{router.name} isn't ready")
                await asyncio.sleep(0.05)
            self.record.line(f"{router.name} is ready")

    def new_id(self) -> str:
        """Return an id of a client attempt."""
        return f"{random.getrandbits(32):08x}{next(self._ids):08x}"

    async def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for router in self.routers:
            if router.runs:
                router.process.kill()
                router.process.wait()
        for worker in self.workers:
            worker.stop()
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


HOST = "ficu95.example"


class Client:
    """A client with one kept connection to a router."""

    def __init__(self, rig: Rig, router: Router, key: str | None = None) -> None:
        self._rig = rig
        self._router = router
        self._key = key
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open a connection."""
        self._reader, self._writer = await asyncio.open_connection(
            self._router.ip, FRONT_PORT, limit=2**20
        )

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        attempt_id: str | None = None,
        headers: list[tuple[str, str]] | None = None,
        deadline_ms: int = 12000,
        is_logged: bool = True,
    ) -> Message | None:
        """Send a request and read the answer; None without any."""
        attempt_id = attempt_id or self._rig.new_id()
        if self._writer is None:
            try:
                await self.connect()
            except OSError:
                return None
        fields = [
            ("Host", HOST),
            ("Attempt-Id", attempt_id),
            ("Deadline-Ms", str(deadline_ms)),
            *([("X-Api-Key", self._key)] if self._key else []),
            *(headers or []),
        ]
        if body or method == "POST":
            fields.append(("Content-Length", str(len(body))))
        if is_logged:
            self._rig.record.line(
                f"client sends {attempt_id} to {self._router.name}: {method} {path}, "
                f"{len(body)} bytes of body"
            )
        try:
            self._writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            answer = await asyncio.wait_for(
                read_message(self._reader), deadline_ms / 1000
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.close()
            if is_logged:
                self._rig.record.line(
                    f"client gets no answer to {attempt_id}: {error!r}"
                )
            return None
        if is_logged:
            self._rig.record.line(
                f"client gets {answer.status} for {attempt_id}, seal "
                f"{answer.header('Server-Seal') or 'none'}, "
                f"body {'whole' if answer.is_complete else 'cut'}"
            )
        if not answer.is_complete or answer.header("Connection") == "close":
            self.close()
        return answer


def _free_net() -> str:
    """Return the first three numbers of a loopback network whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for host, ports in (
                (1, [STORE_PORT]),
                (10, [FRONT_PORT, READINESS_PORT, PORT_RANGE[0] + 1]),
                (100, [WORKER_PORT]),
            ):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
        except OSError:
            continue
        return net
    raise CaseError("no free loopback addresses")


def has_trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: Path, case) -> None:
    """Run a case and exit with its verdict.

    ``case`` is a coroutine function of the rig that returns whether the rule held.
    """

    async def run() -> int:
        try:
            rig = Rig(folder)
        except (CaseError, OSError) as error:
            print(f"could not run: {error}")
            return NOT_RUN
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                held = await case(rig)
        except (Exception, asyncio.CancelledError) as error:
            # An error of the case itself must not pass for a broken rule.
            rig.record.line(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await rig.stop()
        verdict = "the rule held" if held else "the rule was broken"
        rig.record.line(verdict)
        print(verdict)
        return HELD if held else BROKEN

    sys.exit(asyncio.run(run()))
