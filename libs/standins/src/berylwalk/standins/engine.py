"""Stand-in of a model engine with an OpenAI-compatible API.

Run it with ``python -m berylwalk.standins.engine``.
"""

from argparse import Namespace
from collections import Counter
from dataclasses import dataclass
from time import monotonic
from typing import Any, Self

from anyio import Event, sleep
from msgspec import DecodeError, Struct, ValidationError, convert

from berylwalk.standins._answers import Answer
from berylwalk.standins._batching import BatchingEngine, Speed
from berylwalk.standins._completions import CompletionKind, parse_completion
from berylwalk.standins._engine_options import DEFAULT_REPORT_LAG_S, build_parser
from berylwalk.standins._lagging import LaggingValue
from berylwalk.standins._orders import Orders
from berylwalk.standins._serving import REQUEST_ID_HEADER, Exchange, serve_forever
from berylwalk.standins._statements import Statements, stating

DEFAULT_MODEL = "stand-in"
KIND_BY_PATH = {
    "/v1/chat/completions": CompletionKind.CHAT,
    "/v1/completions": CompletionKind.TEXT,
}


class EngineFaults(Struct):
    """Faults of an engine.

    Parameters
    ----------
    slow_factor : float
        Steps take so many times their time.
    hang : bool
        No step is made, and a client that leaves is not noticed.
    break_after_tokens : int
        Connections are dropped after so many tokens; 0 for never.
    """

    slow_factor: float = 1.0
    hang: bool = False
    break_after_tokens: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the metrics show.

    Parameters
    ----------
    running, waiting : int
        Sequences.
    cache_usage : float
        Share of the prefix cache in use, from 0 to 1.
    """

    running: int = 0
    waiting: int = 0
    cache_usage: float = 0.0


class EngineStandin:
    """A model engine as one handler of HTTP exchanges and one step loop.

    Parameters
    ----------
    batching : BatchingEngine
        Runs the sequences.
    orders : Orders
        Takes orders that change models, adapters or the role.
    report_lag_s : float
        Age of the load that the metrics show, in seconds.
    stream_interval : int
        Tokens that a stream gathers for one event.
    """

    def __init__(
        self,
        batching: BatchingEngine,
        orders: Orders,
        *,
        report_lag_s: float = DEFAULT_REPORT_LAG_S,
        stream_interval: int = 1,
    ) -> None:
        self.faults = EngineFaults()
        self.batching = batching
        self.orders = orders
        self.seen_by_request_id: Counter[str] = Counter()
        self._report = LaggingValue(LoadReport(), lag_s=report_lag_s)
        self._stream_interval = stream_interval
        self._work = Event()

    @classmethod
    def from_args(cls, args: Namespace) -> Self:
        """Build it from parsed arguments."""
        speed = Speed(args.step_ms / 1000, args.batch_slope, args.prefill_tokens_per_s)
        return cls(
            BatchingEngine(
                speed, max_batch=args.max_batch, cache_blocks=args.cache_blocks
            ),
            Orders(
                args.model or [DEFAULT_MODEL],
                check_fencing=args.check_fencing,
                load_s=args.load_ms / 1000,
            ),
            report_lag_s=args.report_lag_s,
            stream_interval=args.stream_interval,
        )

    async def run(self) -> None:
        """Make one step after the other, for ever."""
        due = monotonic()
        while True:
            if self.batching.idle or self.faults.hang:
                self._record_load()
                await self._work.wait()
                due = monotonic()
                continue
            step_s = self.batching.begin_step() * self.faults.slow_factor
            self._record_load()
            # Steps are due at fixed times, so that late wake-ups of a busy
            # machine don't slow the engine down; long delays aren't made up.
            due = max(due, monotonic() - step_s) + step_s
            await sleep(max(0.0, due - monotonic()))
            self.batching.end_step()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        match exchange.path:
            case "/v1/chat/completions" | "/v1/completions":
                await self._complete(exchange)
            case "/v1/models":
                await exchange.respond_json(200, self.orders.models())
            case "/metrics":
                await self._metrics(exchange)
            case "/health":
                await exchange.respond_json(200, {})
            case "/control/faults":
                await self._set_faults(exchange)
            case "/control/seen":
                await exchange.respond_json(200, self.seen())
            case "/control/prefills":
                await exchange.respond_json(200, list(self.batching.prefills))
            case _:
                await self.orders.handle(exchange)

    def seen(self) -> dict[str, Any]:
        """Return what was received and done so far."""
        return {
            "requests": dict(self.seen_by_request_id),
            "totals": self.batching.totals,
            "running_prefill_tokens": sum(
                sequence.prefill_tokens for sequence in self.batching.running
            ),
            "orders": self.orders.received,
            "highest_fencing_token": self.orders.highest_token,
        }

    async def _set_faults(self, exchange: Exchange) -> None:
        self.faults = convert(await exchange.json(), EngineFaults)
        self._wake()
        await exchange.respond_json(200, self.faults)

    async def _complete(self, exchange: Exchange) -> None:
        request_id = exchange.headers.get(REQUEST_ID_HEADER)
        if request_id is not None:
            self.seen_by_request_id[request_id] += 1
        try:
            request = parse_completion(await exchange.json())
        except (DecodeError, ValidationError) as error:
            await _answer_error(exchange, 400, str(error))
            return
        if not self.orders.serves(request.model):
            await _answer_error(exchange, 404, f"no model {request.model!r}")
            return
        answer = Answer(
            KIND_BY_PATH[exchange.path],
            exchange,
            request,
            stream_interval=self._stream_interval,
            break_after=lambda: self.faults.break_after_tokens,
        )
        self.batching.submit(answer.sequence)
        self._wake()
        try:
            await answer.send()
        finally:
            self.batching.cancel(answer.sequence)

    async def _metrics(self, exchange: Exchange) -> None:
        report = self._report.read(monotonic())
        label = f'{{model_name="{self.orders.base_model}"}}'
        values = {
            "vllm:num_requests_running": report.running,
            "vllm:num_requests_waiting": report.waiting,
            "vllm:kv_cache_usage_perc": report.cache_usage,
        }
        lines = []
        for name, value in values.items():
            lines.append(f"# TYPE {name} gauge")
            lines.append(f"{name}{label} {float(value)}")
        text = "\n".join(lines) + "\n"
        await exchange.respond(200, text.encode(), "text/plain; version=0.0.4")

    def _record_load(self) -> None:
        batching = self.batching
        report = LoadReport(
            len(batching.running), len(batching.waiting), batching.cache_usage
        )
        self._report.record(monotonic(), report)

    def _wake(self) -> None:
        self._work.set()
        self._work = Event()


async def _answer_error(exchange: Exchange, status: int, message: str) -> None:
    error = {"message": message, "type": "invalid_request_error", "code": status}
    await exchange.respond_json(status, {"error": error})


def main() -> None:
    """Run the stand-in."""
    args = build_parser().parse_args()
    standin = EngineStandin.from_args(args)
    handle = stating(standin.handle, Statements.from_args(args))
    serve_forever(handle, args.host, args.port, standin.run)


if __name__ == "__main__":
    main()
