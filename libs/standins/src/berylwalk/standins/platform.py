"""Stand-in of the platform with metadata store, VM list and weight store.

Run it with ``python -m berylwalk.standins.platform``.
"""

from argparse import Namespace
from collections import Counter
from collections.abc import Iterable
from time import monotonic
from typing import Any, Self

from anyio import sleep
from msgspec import Struct, convert
from msgspec.json import decode

from berylwalk.standins._delayed_value import DelayedValue
from berylwalk.standins._metadata_store import (
    PATH_PREFIX,
    TRANSACTION_PATH,
    WATCH_PATH,
    MetadataStore,
)
from berylwalk.standins._platform_options import VmMessage, build_parser
from berylwalk.standins._revisions import RevisionStore
from berylwalk.standins._serving import Exchange, serve_forever
from berylwalk.standins._weights import (
    DEFAULT_WEIGHT_BYTES,
    DEFAULT_WEIGHT_RATE,
    WEIGHTS_PREFIX,
    WeightStore,
)

LEASE_EXPIRY_INTERVAL_S = 0.1
CONTROL_PREFIX = "/control/"


class PlatformFaults(Struct):
    """Injected faults of the platform.

    Parameters
    ----------
    down : bool
        Whether all connections, including watches, are dropped without a response.
    key_value_down : bool
        Whether connections to the metadata store are dropped without a response.
    delay_ms : float
        Delay before a call is handled, in milliseconds.
    lose_answers : int
        Number of next transactions that are applied, but get no response.
    lose_writes : int
        Number of next transactions that are not applied and get no response.
    """

    down: bool = False
    key_value_down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0

    def drops(self, path: str) -> bool:
        """Return whether connections of calls to this path are dropped."""
        is_key_value = path.startswith(PATH_PREFIX)
        return self.down or (is_key_value and self.key_value_down)


class PlatformStandin:
    """The platform: handler of HTTP exchanges, and expiry of leases.

    Parameters
    ----------
    vms : iterable of VmMessage
        Initial VM list.
    vm_list_lag_s : float
        Delay of changes to the VM list, in seconds.
    weight_rate : float
        Maximum number of downloads from the weight store per second.
    weight_bytes : int
        Size of a weight file, in bytes.
    """

    def __init__(
        self,
        vms: Iterable[VmMessage] = (),
        *,
        vm_list_lag_s: float = 0.0,
        weight_rate: float = DEFAULT_WEIGHT_RATE,
        weight_bytes: int = DEFAULT_WEIGHT_BYTES,
    ) -> None:
        self.faults = PlatformFaults()
        self.counts: Counter[str] = Counter()
        self.store = RevisionStore(on_change=lambda: self._metadata.wake())
        self._copy = self.store.take_copy()
        self._metadata = MetadataStore(
            self.store, is_down=lambda: self.faults.drops(WATCH_PATH)
        )
        self._vms = DelayedValue(tuple(vms), lag_s=vm_list_lag_s)
        self._weights = WeightStore(rate=weight_rate, size=weight_bytes)

    @classmethod
    def from_args(cls, args: Namespace) -> Self:
        """Construct from parsed arguments."""
        vms = list(args.vm)
        if args.vm_file is not None:
            document = decode(args.vm_file.read_bytes())
            vms.extend(convert(document["vms"], list[VmMessage]))
        return cls(
            vms,
            vm_list_lag_s=args.vm_list_lag_s,
            weight_rate=args.weight_rate,
            weight_bytes=args.weight_bytes,
        )

    async def run(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await sleep(LEASE_EXPIRY_INTERVAL_S)
            self.store.expire(monotonic())

    async def handle(self, exchange: Exchange) -> None:
        """Handle one exchange."""
        if exchange.path.startswith(CONTROL_PREFIX):
            await self._control(exchange)
            return
        self.counts[exchange.path] += 1
        await sleep(self.faults.delay_ms / 1000)
        if self.faults.drops(exchange.path):
            await exchange.abort()
        elif exchange.path == "/v1/vms":
            vms = self._vms.read(monotonic())
            await exchange.respond_json(200, {"vms": vms})
        elif exchange.path.startswith(WEIGHTS_PREFIX):
            await self._weights.handle(exchange)
        elif exchange.path == TRANSACTION_PATH:
            await self._write(exchange)
        elif exchange.path.startswith(PATH_PREFIX):
            await self._metadata.handle(exchange)
        else:
            await exchange.respond_json(404, {"message": "unknown path"})

    async def _control(self, exchange: Exchange) -> None:
        body = await exchange.json()
        match exchange.path:
            case "/control/faults" if exchange.method == "POST":
                self.faults = convert(body, PlatformFaults)
                self._metadata.wake()
                await exchange.respond_json(200, self.faults)
            case "/control/vms" if exchange.method == "POST":
                self._set_vms(body)
                await exchange.respond_json(200, {})
            case "/control/compact" if exchange.method == "POST":
                self.store.compact()
                await exchange.respond_json(200, {})
            case "/control/copy" if exchange.method == "POST":
                self._copy = self.store.take_copy()
                await exchange.respond_json(200, {})
            case "/control/restore" if exchange.method == "POST":
                self.store.restore(self._copy, monotonic())
                await exchange.respond_json(200, {"era": self.store.era})
            case "/control/counts":
                await exchange.respond_json(200, dict(self.counts))
            case _:
                await exchange.respond_json(404, {"message": "unknown path"})

    def _set_vms(self, body: dict[str, Any]) -> None:
        if "vm_list_lag_s" in body:
            self._vms.lag_s = float(body["vm_list_lag_s"])
        if "vms" in body:
            vms = convert(body["vms"], tuple[VmMessage, ...])
            self._vms.record(monotonic(), vms)

    async def _write(self, exchange: Exchange) -> None:
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await exchange.abort()
        elif self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.drop_response = True
            await self._metadata.handle(exchange)
        else:
            await self._metadata.handle(exchange)


def main() -> None:
    """Run the stand-in."""
    args = build_parser().parse_args()
    standin = PlatformStandin.from_args(args)
    serve_forever(standin.handle, args.host, args.port, standin.run)


if __name__ == "__main__":
    main()
