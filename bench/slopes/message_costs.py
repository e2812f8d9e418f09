"""CPU time and size of control datagrams on real sockets."""

import socket
from collections.abc import Callable
from functools import partial
from time import process_time

import anyio

from berylwalk.agent import DatagramArrived as AgentDatagramArrived
from berylwalk.model import RequestId
from berylwalk.router import DatagramArrived as RouterDatagramArrived
from berylwalk.transport import DatagramEndpoint
from berylwalk.wire import (
    ControlMessage,
    Datagram,
    FleetKey,
    Hello,
    Reserve,
    decode_datagram,
    encode_datagram,
)
from slopes.agents import SimulatedAgent
from slopes.costs import US_PER_S, cpu_time_us
from slopes.fitting import Slope, measure_slope
from slopes.routers import ROUTER, SimulatedRouter, digest_of
from slopes.scale import Scale

HOST = "127.0.0.1"
KEY = FleetKey(b"a key for measurements only")
DATAGRAM_COUNTS = (250, 500, 1000, 2000)
MESSAGE_COUNTS = (1, 2, 4, 6)
WAKEUP_COUNTS = (25, 50, 100, 200)
WAKEUP_INTERVAL_S = 0.005
BURST_SIZE = 50
DATAGRAMS_PER_MESSAGE_COUNT = 500
RECEIVE_BUFFER_BYTES = 1 << 20


def measure(scale: Scale) -> list[Slope]:
    """Measure the sending, receiving, handling and size of datagrams."""
    sizes = [scale.count(size) for size in DATAGRAM_COUNTS]
    per_datagram = partial(
        measure_slope, per="datagram", unit="us", sizes=sizes, repeats=scale.repeats
    )
    return [
        measure_slope(
            _wake_up,
            name="event loop: wake-up by a timer",
            per="wake-up",
            unit="us",
            sizes=WAKEUP_COUNTS,
            repeats=scale.repeats,
        ),
        per_datagram(_send_hellos, name="datagram sent: heartbeat"),
        per_datagram(_send_digests, name="datagram sent: digest"),
        per_datagram(
            _receive_digests, name="router: digest received, opened and handled"
        ),
        per_datagram(
            _receive_hellos,
            name="agent: heartbeat received, opened, handled; digest built",
        ),
        measure_slope(
            _send_messages,
            name="datagram sent, by messages in it",
            per="message",
            unit="us",
            sizes=MESSAGE_COUNTS,
            repeats=scale.repeats,
        ),
        measure_slope(
            _reserve_bytes,
            name="reservation datagram, by reservations",
            per="message",
            unit="bytes",
            sizes=MESSAGE_COUNTS,
            repeats=1,
        ),
        measure_slope(
            _digest_bytes,
            name="digest datagram, by resources",
            per="resource",
            unit="bytes",
            sizes=MESSAGE_COUNTS,
            repeats=1,
        ),
    ]


def _wake_up(count: int) -> float:
    return anyio.run(_wake_up_async, count)


async def _wake_up_async(count: int) -> float:
    start = process_time()
    for _ in range(count):
        await anyio.sleep(WAKEUP_INTERVAL_S)
    return (process_time() - start) * US_PER_S


def _send_hellos(count: int) -> float:
    return _send(count, partial(_encoded, Hello()))


def _send_digests(count: int) -> float:
    return _send(count, partial(_encoded, digest_of(0, 1)))


def _send_messages(messages: int) -> float:
    reserves = tuple(_reserve(number) for number in range(messages))
    return (
        _send(DATAGRAMS_PER_MESSAGE_COUNT, partial(_encoded, *reserves))
        / DATAGRAMS_PER_MESSAGE_COUNT
    )


def _send(count: int, encode: Callable[[], bytes]) -> float:
    return anyio.run(_send_async, count, encode)


async def _send_async(count: int, encode: Callable[[], bytes]) -> float:
    endpoint = DatagramEndpoint(HOST, 0, seal=KEY.seal, open_=KEY.open)
    await endpoint.start()
    sink = _open_sink()
    address = sink.getsockname()

    def work() -> None:
        for _ in range(count):
            endpoint.send(encode(), address)

    cost = cpu_time_us(work)
    sink.close()
    await endpoint.close()
    return cost


def _receive_digests(count: int) -> float:
    router = SimulatedRouter(16)
    agents = router.agents
    payloads = [
        encode_datagram(Datagram(agents[n % 16], 1, 1, (digest_of(n % 16, 1000 + n),)))
        for n in range(count)
    ]

    def handle(payload: bytes) -> None:
        datagram = decode_datagram(payload)
        router.machine.handle(RouterDatagramArrived(datagram), router.now)

    return anyio.run(_receive_async, payloads, handle)


def _receive_hellos(count: int) -> float:
    agent = SimulatedAgent()
    payloads = [_encoded(Hello())] * count

    def handle(payload: bytes) -> None:
        datagram = decode_datagram(payload)
        agent.machine.handle(AgentDatagramArrived(datagram), agent.now)

    return anyio.run(_receive_async, payloads, handle)


async def _receive_async(
    payloads: list[bytes], handle: Callable[[bytes], None]
) -> float:
    endpoint = DatagramEndpoint(HOST, 0, seal=KEY.seal, open_=KEY.open)
    await endpoint.start()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    cost = 0.0
    source = aiter(endpoint)
    for start in range(0, len(payloads), BURST_SIZE):
        burst = payloads[start : start + BURST_SIZE]
        for payload in burst:
            sender.sendto(KEY.seal(payload), endpoint.address)
        cost += await _receive_cost_us(source, len(burst), handle)
    sender.close()
    await endpoint.close()
    return cost


async def _receive_cost_us(
    source: object, count: int, handle: Callable[[bytes], None]
) -> float:
    start = process_time()
    for _ in range(count):
        received = await anext(source)
        handle(received.payload)
    return (process_time() - start) * US_PER_S


def _reserve_bytes(messages: int) -> float:
    return float(len(KEY.seal(_encoded(*map(_reserve, range(messages))))))


def _digest_bytes(resources: int) -> float:
    digest = digest_of(0, 1000)
    names = tuple(f"model:model-{n:02}" for n in range(resources))
    fields = {name: getattr(digest, name) for name in digest.__struct_fields__}
    fields["resources"] = names
    return float(len(KEY.seal(_encoded(type(digest)(**fields)))))


def _reserve(number: int) -> Reserve:
    request_id = RequestId(ROUTER, 1, number)
    return Reserve(request_id, 1, "model:model-00", "/account-1", 1, 1.0, 500, 300, 9)


def _encoded(*messages: ControlMessage) -> bytes:
    return encode_datagram(Datagram(ROUTER, 1, 1, messages))


def _open_sink() -> socket.socket:
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sink.bind((HOST, 0))
    return sink
