"""Flow control headers in the responses of a target stand-in."""

from argparse import ArgumentParser, Namespace
from dataclasses import dataclass
from typing import Self

from berylwalk.standins._serving import Exchange, Handler

LIMIT_HEADER = "server-limit"
LEAVING_HEADER = "server-leaving"
RETRY_AFTER_HEADER = "retry-after"
NOT_EXECUTED_HEADER = "not-executed"


@dataclass(slots=True)
class TargetSignals:
    """Signals in the responses; may be changed at run time.

    Attributes
    ----------
    limit_per_s : float or None
        Advertised rate limit, in requests per second. It is not enforced, so that tests
        can check whether routers respect it.
    is_leaving : bool
        Whether the target advertises that it is leaving.
    backoff_s : float or None
        If set, all requests are rejected with this ``Retry-After``, in seconds.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    backoff_s: float | None = None

    @classmethod
    def from_args(cls, args: Namespace) -> Self:
        """Construct from parsed arguments."""
        return cls(args.limit_per_s, args.leaving, args.rest_s)

    def headers(self) -> dict[str, str]:
        """Return the headers that are added to each response."""
        headers = {}
        if self.limit_per_s is not None:
            headers[LIMIT_HEADER] = f"{self.limit_per_s:g}"
        if self.is_leaving:
            headers[LEAVING_HEADER] = "1"
        return headers


def add_signal_options(parser: ArgumentParser) -> None:
    """Add the options for signals."""
    parser.add_argument(
        "--limit-per-s",
        type=float,
        help="advertise this rate limit, in requests per second",
    )
    parser.add_argument(
        "--leaving", action="store_true", help="advertise that the target is leaving"
    )
    parser.add_argument(
        "--rest-s", type=float, help="reject all requests with this Retry-After"
    )


def with_signals(handle: Handler, signals: TargetSignals) -> Handler:
    """Return a handler that adds signals to the responses of another one."""

    async def handle_with_signals(exchange: Exchange) -> None:
        exchange.signal_headers = signals.headers()
        if signals.backoff_s is None:
            await handle(exchange)
            return
        await exchange.body()
        headers = {
            NOT_EXECUTED_HEADER: "1",
            RETRY_AFTER_HEADER: f"{signals.backoff_s:g}",
        }
        await exchange.respond_json(503, {"error": "temporarily unavailable"}, headers)

    return handle_with_signals
