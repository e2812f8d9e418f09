"""Demo: a small fleet serves requests of each tier through two routers.

Prints for each call the router, the agent and the response times, and the hops of one
trace per service. Runs until Ctrl-C, or for ``DEMO_SECONDS``.
"""

import os
import signal
import sys
import time
from hashlib import sha256

import anyio
import httpcore

from berylwalk.localfleet._demo_calls import CALLS, CallResult, run_call
from berylwalk.localfleet._demo_traces import hops_by_trace
from berylwalk.localfleet._fleet import LocalFleet
from berylwalk.localfleet._spec import (
    EngineSpec,
    FleetSpec,
    RouterSpec,
    ServiceSpec,
)

SECONDS_VARIABLE = "DEMO_SECONDS"
ROUND_PAUSE_S = 1.0

TOKENS_BY_ACCOUNT = {
    "parkovisko": "parkovisko-demo-token",
    "arsivsan": "arsivsan-demo-token",
}


def demo_spec() -> FleetSpec:
    """Return a fleet of 2 routers, 3 engines of different speeds, and a service."""
    return FleetSpec(
        routers=(
            RouterSpec("entry-1", "kosice-a"),
            RouterSpec("entry-2", "kosice-b"),
        ),
        targets=(
            EngineSpec("engine-1", "kosice-a", step_ms=4.0),
            EngineSpec("engine-2", "kosice-b", step_ms=8.0),
            EngineSpec("engine-3", "presov", step_ms=16.0),
            ServiceSpec("signs-1", "kosice-a", services=("signs",)),
        ),
        settings_tree=demo_tree(),
    )


def demo_tree() -> str:
    """Return the settings tree as INI text."""
    digests = {
        account: sha256(token.encode()).hexdigest()
        for account, token in TOKENS_BY_ACCOUNT.items()
    }
    return f"""
[tier urgent]
rank = 0
deadline_s = 10
headroom = 0.1

[tier standard]
rank = 1
deadline_s = 60

[tier unattended]
rank = 2
deadline_s = 600

[/]
tier = standard

[/parkovisko]
credential_sha256 = {digests["parkovisko"]}
weight = 2

[/parkovisko/sign-drafts]
tier = urgent

[/parkovisko/fault-summaries]
tier = unattended

[/parkovisko/signs]
tier = urgent
idempotent = false

[/arsivsan]
credential_sha256 = {digests["arsivsan"]}

[/arsivsan/box-lookups]
tier = urgent

[/arsivsan/retention-reviews]
tier = unattended
"""


async def run_rounds(fleet: LocalFleet, until: float) -> list[CallResult]:
    """Send rounds of calls to all routers until a time; print each result."""
    results: list[CallResult] = []
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            await _run_round(fleet, pool, results)
            if time.monotonic() >= until:
                return results
            await anyio.sleep(ROUND_PAUSE_S)


async def _run_round(
    fleet: LocalFleet, pool: httpcore.AsyncConnectionPool, results: list[CallResult]
) -> None:
    async def run_and_print(url: str, call) -> None:
        token = TOKENS_BY_ACCOUNT[call.client_account]
        result = await run_call(pool, url, call, token)
        results.append(result)
        print(result.line(), flush=True)

    async with anyio.create_task_group() as tasks:
        for url in fleet.caller_urls():
            for call in CALLS:
                tasks.start_soon(run_and_print, url, call)


def _print_traces(fleet: LocalFleet, results: list[CallResult]) -> None:
    hops = hops_by_trace(fleet.directory)
    print("\nhops of one trace per service:")
    printed = set()
    for result in results:
        if result.service in printed or result.trace_id not in hops:
            continue
        printed.add(result.service)
        print(f"  {result.service}: {' > '.join(hops[result.trace_id])}")


def _stop(*_args: object) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Run the demo and return the exit code.

    Returns
    -------
    int
        0 if all responses are complete and all routers and agents exit with 0.
    """
    signal.signal(signal.SIGTERM, _stop)
    seconds = os.environ.get(SECONDS_VARIABLE)
    until = time.monotonic() + (float(seconds) if seconds else float("inf"))
    fleet = LocalFleet.from_spec(demo_spec(), traces=True)
    results: list[CallResult] = []
    codes: dict[str, int] = {}
    try:
        fleet.start()
        print(f"fleet is ready; its files are in {fleet.directory}", flush=True)
        print(f"callers: {', '.join(fleet.caller_urls())}", flush=True)
        results = anyio.run(run_rounds, fleet, until)
    except KeyboardInterrupt:
        print("stopping", flush=True)
    finally:
        codes = fleet.close()
    if results:
        _print_traces(fleet, results)
    return _print_summary(fleet, results, codes)


def _print_summary(
    fleet: LocalFleet, results: list[CallResult], codes: dict[str, int]
) -> int:
    incomplete = [result for result in results if not result.complete]
    # Stand-ins are terminated by the signal. Routers and agents must exit cleanly.
    daemons = fleet.daemon_names()
    failed = [name for name in daemons if codes.get(name)]
    complete = len(results) - len(incomplete)
    print(f"{complete} of {len(results)} answers whole")
    print(f"routers and agents that did not end with 0: {failed or 'none'}")
    return 1 if incomplete or failed else 0


if __name__ == "__main__":
    sys.exit(main())
