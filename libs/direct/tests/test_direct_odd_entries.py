"""Odd entries that other programs leave in the store, beside usual ones."""

from json import dumps, loads

import pytest
from msgspec import msgpack
from msgspec.structs import asdict

from berylwalk.direct._peer_messages import VersionsQuery
from berylwalk.reading import StoreSyncRequest
from direct_fleet import HOST, answers

pytestmark = pytest.mark.anyio
FAILURES = (
    "loop-failed",
    "exchange-failed",
    "peer-message-failed",
    "peer-message-invalid",
    "peer-socket-closed",
)
QUERIES = [
    lambda host: StoreSyncRequest("odd", host, 9, 1, {}),
    lambda host: VersionsQuery("odd", host, 9, 1, "s"),
]
NO_HOSTS = [
    "fe80::1%a\x00b",
    "fe80::1%\u00e9" + "x" * 70,
    "fe80::1%eth0",
    "0.0.0.0",
    "255.255.255.255",
    "224.0.0.1",
]
"""Texts that are IP addresses by their form, but not of a host."""


def odd_target(**changes):
    """Return the entry of a target that nobody has started."""
    value = {
        "service": "s",
        "address": f"{HOST}:9",
        "zone": "fd-a",
        "slots": 4,
        "state": "ready",
    }
    return dumps({**value, **changes}).encode()


def engine(fleet):
    """Make the targets engines, which have monitors."""
    fleet.services[0]["engine"] = {"slots": 4, "kv-capacity": 1000}


class Logged:
    """Lines that the routers have logged."""

    def __init__(self, capfd):
        self._capfd = capfd
        self._lines = []

    def lines(self, *events):
        """Return the lines of some events so far."""
        written = self._capfd.readouterr().out.splitlines()
        self._lines += [loads(line) for line in written if line.startswith("{")]
        return [line for line in self._lines if line["event"] in events]

    def failures(self):
        """Return what failed so far."""
        return [(each["event"], each.get("detail")) for each in self.lines(*FAILURES)]


@pytest.fixture
def logged(capfd):
    """Return the lines that the routers log."""
    return Logged(capfd)


async def is_told_of(fleet, logged, event, key):
    """Wait until an odd entry is logged, and return the line."""
    found = []

    def is_logged():
        found[:] = [line for line in logged.lines(event) if key in line["key"]]
        return bool(found)

    await fleet.until(is_logged)
    return found[0]


class TestAddresses:
    """Addresses that name no host."""

    @pytest.mark.parametrize("host", NO_HOSTS)
    async def test_entry_of_no_host_closes_the_socket_for_reports(
        self, running, logged, host, free_port
    ):
        """Asyncio closes a datagram socket for good after some errors of a send."""
        odd = odd_target(address=f"{host}:9")
        async with running(
            answers("ok"), prepare=engine, monitor_port=free_port()
        ) as fleet:
            fleet.platform.store.put(b"servers/i-odd", odd)
            line = await is_told_of(fleet, logged, "target-invalid", "i-odd")
            assert (line["problem"], line["detail"]) == ("out-of-range", "address")
            assert "i-odd" not in fleet.router._context.targets.by_id
            fleet.router._report_feed._subscribe()
            assert not fleet.router._report_feed._transport.is_closing()
            assert (await fleet.call("/idempotent/")).status == 200
            assert logged.failures() == []

    @pytest.mark.parametrize("host", NO_HOSTS)
    async def test_member_of_no_host_closes_the_socket_for_messages(
        self, running, beside, logged, host
    ):
        """Each message goes to all listed routers."""
        member = {"host": host, "port": 9, "life": "x", "failure_domain": "fd-a"}

        def put_member(fleet):
            key = b"berylwalk/routers/odd"
            fleet.platform.store.put(key, dumps(member).encode())

        async with (
            running(answers("ok"), prepare=put_member) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            await is_told_of(fleet, logged, "member-invalid", "odd")
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.alive_count(clock()) == 2)
            assert "odd" not in fleet.router._context.peers.by_name
            assert logged.failures() == []

    @pytest.mark.parametrize("ask", QUERIES)
    @pytest.mark.parametrize("host", NO_HOSTS)
    async def test_message_of_no_host_closes_the_socket_for_messages(
        self, running, logged, host, ask
    ):
        """The reply to a query goes to the address in it."""
        query = msgpack.encode(ask(host))
        async with running(answers("ok")) as fleet:
            peering = fleet.router._peering
            peering._receive(query)
            assert not peering._transport.is_closing()
            await is_told_of_message(fleet, logged)


async def is_told_of_message(fleet, logged):
    """Wait until a message is logged as invalid."""
    await fleet.until(lambda: logged.lines("peer-message-invalid"))


class TestTargets:
    """Entries of targets that are odd, but of the right types."""

    @pytest.mark.parametrize(
        "born", [10**13, 10**20, 10**400], ids=["10^13", "10^20", "10^400"]
    )
    async def test_start_time_far_ahead_hides_what_the_target_writes_later(
        self, running, logged, born
    ):
        """An entry with an earlier start is taken to be of a process that has ended."""
        async with running(answers("ok")) as fleet:
            target, by_id = fleet.targets[0], fleet.router._context.targets.by_id
            fleet.put_target(target, born=born)
            await is_told_of(fleet, logged, "target-invalid", "i-0")
            fleet.put_target(target, born=1796254082258)
            await fleet.until(lambda: "i-0" in by_id)
            assert (await fleet.call("/idempotent/")).status == 200
            fleet.put_target(target, born=1796254082258, state="draining")
            await fleet.until(lambda: by_id["i-0"].entry.state == "draining")
            assert logged.failures() == []

    @pytest.mark.parametrize("listener", ["caller_address", "readiness_address"])
    async def test_entry_with_the_address_of_the_router_gets_requests(
        self, running, logged, listener
    ):
        """The router would call itself, and itself again."""
        async with running(answers("ok")) as fleet:
            own = getattr(fleet.settings, listener)
            odd = odd_target(address=f"{own.host}:{own.port}")
            fleet.platform.store.put(b"servers/i-odd", odd)
            line = await is_told_of(fleet, logged, "target-invalid", "i-odd")
            assert line["problem"] == "out-of-range"
            assert "i-odd" not in fleet.router._context.targets.by_id
            assert (await fleet.call("/idempotent/")).status == 200

    @pytest.mark.parametrize("field", ["version", "service", "zone"])
    @pytest.mark.parametrize(
        "text",
        ["y" * 1_000_000, "y" * 129, "a\r\nHold: 1"],
        ids=["megabyte", "long", "lines"],
    )
    async def test_text_without_bound_reaches_logs_records_and_messages(
        self, running, logged, field, text
    ):
        """A version is written into the history of its service, and told to others."""
        odd = odd_target(**{field: text})
        async with running(answers("ok")) as fleet:
            fleet.platform.store.put(b"servers/i-odd", odd)
            line = await is_told_of(fleet, logged, "target-invalid", "i-odd")
            assert (line["problem"], line["detail"]) == ("out-of-range", field)
            assert "i-odd" not in fleet.router._context.targets.by_id
            assert text not in str(logged.lines("target-listed", "versions-noted"))

    async def test_key_of_a_megabyte_fills_the_log(self, running, logged):
        """A line names the start of the key."""
        async with running(answers("ok")) as fleet:
            fleet.platform.store.put(b"servers/" + b"k" * 1_000_000, b"{}")
            line = await is_told_of(fleet, logged, "target-invalid", "kkk")
            assert line["problem"] == "bad-id"
            assert len(str(line)) < 1_000


class TestNesting:
    """Datagrams that are nested deeper than a decoder follows."""

    NESTED = b"\x91" * 60_000 + b"\x01"

    async def test_nested_message_is_not_logged(self, running, logged):
        """A field that is appended is skipped, which follows its nesting."""
        async with running(answers("ok")) as fleet:
            odd = b"\x96\x05\xa1a\xa1b\x01\x80" + self.NESTED
            fleet.router._peering._receive(odd)
            await is_told_of_message(fleet, logged)

    async def test_nested_report_is_not_logged(self, running, logged):
        """A report of a target's monitor, in the same way."""
        async with running(answers("ok")) as fleet:
            odd = b"\x98\x02\xa1a\x01\x01\xc0\xa0\x00" + self.NESTED
            fleet.router._report_feed._receive(odd)
            await fleet.until(lambda: logged.lines("target-report-invalid"))


class TestRolloutRecords:
    """Records of roll-outs, whose content is told to the other routers."""

    ORDER = {"service": "s", "target": "v2", "period-s": 30}

    @pytest.mark.parametrize(
        "changes",
        [
            {"number": 10**20},
            {"number": 2**64 - 1},
            {"version": "v" * 201},
            {"phase": "reverted", "barred": ["v" * 201]},
            {"order_revision": -1},
            {"period_s": -1},
            {"reason": "r" * 1_000_000},
        ],
        ids=["20-digits", "64-bits", "version", "barred", "order", "period", "reason"],
    )
    async def test_odd_record_makes_messages_that_none_can_read(
        self, running, beside, logged, changes
    ):
        """Routers tell each other the record in force, and count its phases on."""

        def order(fleet):
            store = fleet.platform.store
            store.put(b"op/rollout/s", dumps(self.ORDER).encode())
            fleet.put_target(fleet.targets[0], version="v1")

        async with (
            running(answers("ok"), prepare=order) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.alive_count(clock()) == 2)
            rollouts = fleet.router._context.rollouts
            await fleet.until(lambda: rollouts.progress("s").record is not None)
            known = asdict(rollouts.progress("s").record)
            odd = {**known, "number": known["number"] + 1, **changes}
            key = b"berylwalk/rollouts/s"
            fleet.platform.store.put(key, dumps(odd).encode())
            await is_told_of(fleet, logged, "rollout-record-invalid", "rollouts/s")
            sequence = peers.by_name["edge-1"].sequence
            await fleet.until(lambda: peers.by_name["edge-1"].sequence > sequence + 4)
            assert logged.failures() == []
            assert (await fleet.call("/idempotent/")).status == 200
