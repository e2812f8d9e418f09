"""Stand-in of a plain HTTP service.

Run it with ``python -m berylwalk.standins.service``.
"""

from argparse import ArgumentParser, Namespace
from collections import Counter
from hashlib import md5
from typing import Self

from anyio import sleep

from berylwalk.standins._serving import REQUEST_ID_HEADER, Exchange, serve_forever
from berylwalk.standins._statements import Statements, add_options, stating

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DEFAULT_PORT = 9000
SEEN_PATH = "/control/seen"
SLOW_PATH = "/slow"


class ServiceStandin:
    """A service that answers any call with what it received.

    Parameters
    ----------
    delay_s : float
        Time that each call takes, in seconds.
    """

    def __init__(self, *, delay_s: float = 0.0) -> None:
        self.started_by_request_id: Counter[str] = Counter()
        self.started_by_idempotency_key: Counter[str] = Counter()
        self.count = 0
        self.completed = 0
        self._delay_s = delay_s

    @classmethod
    def from_args(cls, args: Namespace) -> Self:
        """Build it from parsed arguments."""
        return cls(delay_s=args.delay_ms / 1000)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        if exchange.path == SEEN_PATH:
            await self._answer_seen(exchange)
            return
        self.count += 1
        count = self.count
        request_id = exchange.headers.get(REQUEST_ID_HEADER, "")
        if request_id:
            self.started_by_request_id[request_id] += 1
        key = exchange.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if key:
            self.started_by_idempotency_key[key] += 1
        body = await exchange.body()
        await sleep(self._delay_s + _slow_s(exchange))
        self.completed += 1
        answer = {
            "method": exchange.method,
            "path": exchange.path,
            "body_md5": md5(body, usedforsecurity=False).hexdigest(),
            "request_id": request_id,
            "count": count,
        }
        await exchange.respond_json(200, answer)

    async def _answer_seen(self, exchange: Exchange) -> None:
        seen = {
            "requests": dict(self.started_by_request_id),
            "idempotency_keys": dict(self.started_by_idempotency_key),
            "started": self.count,
            "completed": self.completed,
        }
        await exchange.respond_json(200, seen)


def _slow_s(exchange: Exchange) -> float:
    if exchange.path != SLOW_PATH:
        return 0.0
    return float(exchange.query().get("ms", "0")) / 1000


def build_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = ArgumentParser(prog="python -m berylwalk.standins.service")
    parser.description = "Stand-in of a plain service, for tests and the demo."
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=DEFAULT_PORT)
    parser.add_argument("--delay-ms", type=float, default=0.0)
    add_options(parser)
    return parser


def main() -> None:
    """Run the stand-in."""
    args = build_parser().parse_args()
    standin = ServiceStandin.from_args(args)
    handle = stating(standin.handle, Statements.from_args(args))
    serve_forever(handle, args.host, args.port)


if __name__ == "__main__":
    main()
