"""What the stand-in of a target states of itself in its answers."""

from argparse import ArgumentParser, Namespace
from dataclasses import dataclass
from typing import Self

from berylwalk.standins._serving import Exchange, Handler

LIMIT_HEADER = "server-limit"
LEAVING_HEADER = "server-leaving"
REST_HEADER = "retry-after"
NOT_RUN_HEADER = "not-executed"


@dataclass(slots=True)
class Statements:
    """What it states; may be changed while it serves.

    Attributes
    ----------
    limit_per_s : float or None
        Requests a second that it names as its limit. It takes more all the same: that
        nobody sends more is for a test to see.
    is_leaving : bool
        Whether it says that it leaves.
    rest_s : float or None
        Rest in seconds that it asks for as it turns every request away; None while it
        serves.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None

    @classmethod
    def from_args(cls, args: Namespace) -> Self:
        """Build it from parsed arguments."""
        return cls(args.limit_per_s, args.leaving, args.rest_s)

    def headers(self) -> dict[str, str]:
        """Return the headers of each answer."""
        headers = {}
        if self.limit_per_s is not None:
            headers[LIMIT_HEADER] = f"{self.limit_per_s:g}"
        if self.is_leaving:
            headers[LEAVING_HEADER] = "1"
        return headers


def add_options(parser: ArgumentParser) -> None:
    """Add the options of what it states."""
    parser.add_argument(
        "--limit-per-s", type=float, help="names this limit of requests a second"
    )
    parser.add_argument(
        "--leaving", action="store_true", help="says in its answers that it leaves"
    )
    parser.add_argument(
        "--rest-s", type=float, help="turns all away and asks for this rest"
    )


def stating(handle: Handler, statements: Statements) -> Handler:
    """Return a handler whose answers state what a target takes."""

    async def handle_and_state(exchange: Exchange) -> None:
        exchange.stated_headers = statements.headers()
        if statements.rest_s is None:
            await handle(exchange)
            return
        await exchange.body()
        asks = {NOT_RUN_HEADER: "1", REST_HEADER: f"{statements.rest_s:g}"}
        await exchange.respond_json(503, {"error": "at rest"}, asks)

    return handle_and_state
