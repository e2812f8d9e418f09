"""Command line of the engine stand-in."""

from argparse import ArgumentParser

from berylwalk.standins._batching import Speed
from berylwalk.standins._target_signals import add_signal_options

DEFAULT_PORT = 9000
DEFAULT_MAX_BATCH = 16
DEFAULT_CACHE_BLOCKS = 512
DEFAULT_REPORT_LAG_S = 1.0


def build_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = ArgumentParser(prog="python -m berylwalk.standins.engine")
    parser.description = "Stand-in of a model engine, for tests and the demo."
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=DEFAULT_PORT)
    parser.add_argument(
        "--model", action="append", help="a model that is served; may be repeated"
    )
    speed = Speed()
    parser.add_argument("--step-ms", type=float, default=speed.step_s * 1000)
    parser.add_argument(
        "--batch-slope",
        type=float,
        default=speed.batch_slope,
        help="increase of the step duration per running sequence, as a ratio",
    )
    parser.add_argument(
        "--prefill-tokens-per-s", type=float, default=speed.prefill_tokens_per_s
    )
    parser.add_argument("--max-batch", type=int, default=DEFAULT_MAX_BATCH)
    parser.add_argument(
        "--cache-blocks",
        type=int,
        default=DEFAULT_CACHE_BLOCKS,
        help="capacity of the prefix cache, in blocks of 64 tokens",
    )
    parser.add_argument("--report-lag-s", type=float, default=DEFAULT_REPORT_LAG_S)
    parser.add_argument(
        "--stream-interval", type=int, default=1, help="tokens per stream event"
    )
    parser.add_argument(
        "--load-ms", type=float, default=0.0, help="duration of an order"
    )
    parser.add_argument(
        "--check-fencing",
        action="store_true",
        help="reject orders without a fencing token, or with an outdated one",
    )
    add_signal_options(parser)
    return parser
