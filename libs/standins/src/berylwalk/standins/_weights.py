"""A rate-limited weight store."""

from math import ceil
from time import monotonic

from berylwalk.standins._serving import Exchange

WEIGHTS_PREFIX = "/weights/"
DEFAULT_WEIGHT_RATE = 2.0
DEFAULT_WEIGHT_BYTES = 65536


class WeightStore:
    """Answers so many calls a second and refuses the others.

    Parameters
    ----------
    rate : float
        Files per second.
    size : int
        Size of a file, in bytes.
    """

    def __init__(self, *, rate: float, size: int) -> None:
        self._interval_s = 1.0 / rate
        self._size = size
        self._next_at = 0.0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange; a file repeats its name."""
        now = monotonic()
        wait_s = self._next_at - now
        if wait_s > 0:
            headers = {"retry-after": str(ceil(wait_s))}
            await exchange.respond_json(429, {"message": "rate limited"}, headers)
            return
        self._next_at = now + self._interval_s
        name = exchange.path.removeprefix(WEIGHTS_PREFIX).encode() or b"-"
        content = (name * (self._size // len(name) + 1))[: self._size]
        await exchange.respond(200, content, "application/octet-stream")
