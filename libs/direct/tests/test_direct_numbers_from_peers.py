"""Numbers in messages of other routers must not end what all requests share."""

from asyncio import get_running_loop
from copy import deepcopy
from itertools import product
from json import loads
from socket import AF_INET, SOCK_DGRAM, socket

import pytest
from anyio import sleep
from msgspec import msgpack

from berylwalk.direct._flow_control import SignalsUpdate
from berylwalk.direct._peer_messages import (
    DomainMessage,
    LoadMessage,
    PeerMessage,
    RouterUpdate,
)
from berylwalk.quarantine import QuarantineUpdate
from berylwalk.reading import PrefixDelta, StoreSyncReply, StoreSyncRequest
from berylwalk.rollout import RolloutUpdate
from direct_fleet import HOST, answers

pytestmark = pytest.mark.anyio
ODD_NUMBERS = (
    -1,
    2**31,
    -(2**63),
    2**64 - 1,
    0.5,
    1e308,
    float("inf"),
    float("nan"),
)
KINDS = ("peer", "domain", "load", "request", "reply")
UNUSED_PORT = 9
FAILURES = ("loop-failed", "peer-message-failed", "exchange-failed")


def update(name, incarnation, sequence):
    """Return the state of a router, with a number in each field that may have one."""
    rollout = RolloutUpdate(
        "s", 3, 1.5, number=1, reported_number=1, crashed_old=1, period_s=9.0
    )
    return RouterUpdate(
        name,
        HOST,
        UNUSED_PORT,
        incarnation,
        "fd-a",
        1.5,
        sequence,
        {"t": 7},
        {"t": (0, 7)},
        2.5,
        [rollout],
        {"s": (1, 7)},
        {"s": 2.5},
        1,
        refused={"t": 7},
        awaited={"t": 7},
    )


def message(kind, incarnation, sequence):
    """Return a message, with a number in each field that may have one."""
    loads_by_id = {"i-0": (1, 7)}
    shared = {
        "placements": [(5, "i-0")],
        "quarantine": QuarantineUpdate([], {"i-0": 0.5}),
        "signals": [SignalsUpdate("i-0", 0.5, 9.0)],
        "streams": [(5, "v1")],
        "usage": {"s": {"t": 100}},
    }
    match kind:
        case "peer":
            return PeerMessage(
                update("edge-2", incarnation, sequence),
                loads_by_id,
                spending_history={"t": [7.0, 7.0]},
                retry_history={"s": [(1.0, 7.0)]},
                known_routers=2,
                refused=[(5, 100, 1000)],
                **shared,
            )
        case "domain":
            routers = [update("edge-3", incarnation, sequence)]
            return DomainMessage("fd-b", routers, loads_by_id, **shared)
        case "load":
            return LoadMessage("edge-2", incarnation, sequence, loads_by_id)
        case "request":
            revisions = {"configuration": 1}
            return StoreSyncRequest("edge-2", HOST, UNUSED_PORT, 1, revisions)
        case "reply":
            delta = PrefixDelta("configuration", 3, 0.5, 2, 1, [], 7)
            return StoreSyncReply("edge-2", 1, [delta])


def number_paths(value, path=()):
    """Yield the path of each number in a decoded message, without its tag."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = list(enumerate(value))[0 if path else 1 :]
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield path
    for key, each in items:
        yield from number_paths(each, (*path, key))


def with_number(decoded, path, number):
    """Return a copy of a decoded message with another number at a path."""
    changed = deepcopy(decoded)
    place = changed
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = number
    return changed


def decoded(*args):
    """Return a message as lists and maps."""
    return msgpack.decode(msgpack.encode(message(*args)))


def odd_messages(kind):
    """Yield datagrams, each odd one between two others of the same router."""
    paths = number_paths(decoded(kind, "x", 2))
    for number, (path, odd) in enumerate(product(paths, ODD_NUMBERS)):
        incarnation = f"x{number}"
        usual = "domain" if kind == "domain" else "peer"
        yield msgpack.encode(message(usual, incarnation, 1))
        yield msgpack.encode(with_number(decoded(kind, incarnation, 2), path, odd))
        yield msgpack.encode(message(usual, incarnation, 3))


def limited(fleet):
    """Limit the account of the callers."""
    fleet.tenants[0].update({"rate-per-s": 100, "burst": 100, "unit": "tokens"})


class TestNumbersFromPeers:
    """Messages with numbers that no router counts."""

    @pytest.mark.parametrize("kind", KINDS)
    async def test_odd_number_ends_a_loop_or_closes_the_socket(
        self, running, beside, capfd, kind
    ):
        """An impossible port closed the socket for messages until the process ended."""
        errors = []
        get_running_loop().set_exception_handler(lambda _, each: errors.append(each))
        async with (
            running(answers("ok"), prepare=limited) as fleet,
            beside({"name": "edge-9"}) as (second,),
        ):
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.alive_count(clock()) >= 2)
            settings, peering = fleet.settings, fleet.router._peering
            address = (settings.caller_address.host, settings.peer_port)
            with socket(AF_INET, SOCK_DGRAM) as sender:
                for data in odd_messages(kind):
                    sender.sendto(data, address)
                    await sleep(0.001)
                    peering._send_to_domains({"fd-x"}, clock())
                    peering._last_sent = None
                    peering._send_if_due()
            told = peers.by_name["edge-1"].sequence
            await fleet.until(lambda: peers.by_name["edge-1"].sequence > told + 2)
        lines = [loads(line) for line in capfd.readouterr().out.splitlines()]
        assert [each for each in lines if each["event"] in FAILURES] == []
        assert errors == []

    async def test_closed_socket_is_opened_again(self, running, beside):
        """A router without its socket would neither hear the others nor be heard."""
        async with (
            running(answers("ok")) as fleet,
            beside({"name": "edge-9"}) as (second,),
        ):
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.alive_count(clock()) >= 2)
            fleet.router._peering._transport.abort()
            told = peers.by_name["edge-1"].sequence
            await fleet.until(lambda: peers.by_name["edge-1"].sequence > told + 2)
