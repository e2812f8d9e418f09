"""The store turns the leading router away, and then all routers are killed at once."""

import asyncio
import sys
from json import dumps
from pathlib import Path
from time import monotonic

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "target" / "review-2"))

from fleet import (  # noqa: E402
    Router,
    Worker,
    address,
    answer,
    call,
    free_port,
    main,
)
from store import Store  # noqa: E402

RATE_PER_S, BURST = 36_000, 36_000
WINDOW_S, EXCESS, SLACK = 8, 0.1, 140_000
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
"""Tokens of a tenant that may run in a window, as RULES.md has it."""
PROMPT, OUTPUT = 6_610, 390
TOKENS = PROMPT + OUTPUT
FIRST_S = 10.0
"""How long the routers are at work before the tenant comes."""
BEFORE_S = 4.0
"""How long the tenant sends before the kill; its allowance is spent by then."""
PAUSE_S = 1 / 17
"""Time between two requests of the tenant: 17 a second, 3.3 times its allowance."""
AFTER_S = 6.0
AWAY_S = 9.0
"""How long the store turns the first router away, as in the site file."""
AWAY_FIRST_S = 1.0
"""How long it does so before the tenant comes."""
DOWN_S = 0.3
WORK_S = 0.05
TENANT = "t1"


def configuration():
    """Return the config of the operator."""
    route = {
        "name": "draft",
        "hostname": "h",
        "path-prefix": "/draft/",
        "route-kind": "non_idempotent",
        "timeout-ms": 5000,
        "goal-ms": 400,
        "priority": 0,
        "service": "lm",
        "max-attempts": 1,
    }
    tenant = {
        "name": TENANT,
        "api-keys": ["key-1"],
        "unit": "tokens",
        "plain-tokens": 200,
        "rate-per-s": RATE_PER_S,
        "burst": BURST,
    }
    service = {"name": "lm", "max-conns": 230}
    return dumps(
        {
            "version": 7,
            "routes": [route],
            "services": [service],
            "tenants": [tenant],
            "limits": {},
        }
    ).encode()


async def case(record, trouble):
    """Return whether QUOTA held."""
    sent = {}
    ran = []

    async def run(request, writer):
        ran.append((request.request_id, request.at))
        record.add("worker runs", request.request_id)
        await asyncio.sleep(WORK_S)
        writer.write(answer(request, 200, b"done"))

    first_port = free_port(address(1), 3)
    # One port for each router, by which the store turns it away.
    ports = [first_port + number for number in range(3)]
    away_until = 0.0

    def fault(port, method, path):
        is_away = port == ports[0] and monotonic() < away_until
        return "busy" if is_away else None

    store = Store(fault)
    await store.start(address(1), *ports)
    workers = [Worker("lm", 20 + n, record, run) for n in range(3)]
    routers = [
        Router(f"edge-{n}", 10 + n, (address(1), port), record)
        for n, port in enumerate(ports)
    ]

    async def send(number):
        request_id = f"r{number}"
        sent[request_id] = monotonic()
        status, _, _, _ = await call(
            routers[1 + number % 2].front,
            "/draft/x",
            Attempt_Id=request_id,
            X_Api_Key="key-1",
            Deadline_Ms="4000",
            Token_Count=f"{PROMPT},{OUTPUT}",
        )
        record.add("client sent", request_id, "and got", status)

    try:
        for worker in workers:
            await worker.start()
            store.put(f"servers/{worker.worker_id}", worker.entry())
        store.put("op/config", configuration())
        for router in routers:
            await router.start(first=True)
        for router in routers:
            await router.until_ready()
        await asyncio.sleep(FIRST_S)
        number = 0
        if trouble:
            away_until = monotonic() + AWAY_S
            record.add("the store turns", routers[0].name, "away for", AWAY_S, "s")
        await asyncio.sleep(AWAY_FIRST_S)
        until = monotonic() + BEFORE_S
        calls = []
        while monotonic() < until:
            calls.append(asyncio.create_task(send(number)))
            number += 1
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*calls)
        record.say(f"{len(ran)} of the first {number} requests have run")
        if trouble:
            for router in routers:
                await router.kill()
            await asyncio.sleep(DOWN_S)
            for router in routers:
                await router.start()
            for router in routers[1:]:
                await router.until_ready()
        until = monotonic() + AFTER_S
        calls = []
        while monotonic() < until:
            calls.append(asyncio.create_task(send(number)))
            number += 1
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*calls)
        for router in routers:
            notes = ("spending-", "stood-still")
            for line in router.log().splitlines():
                if any(note in line for note in notes):
                    record.add("log of", router.name, line)
    finally:
        for router in routers:
            await router.end()
        for worker in workers:
            await worker.stop()
        await store.stop()
    most = most_in_window(sent, ran)
    record.say(f"most tokens in {WINDOW_S} s: {most}; the bound is {BOUND:.0f}")
    return most <= BOUND


def most_in_window(sent, ran):
    """Return the most tokens that were sent and ran within a window."""
    pairs = [(sent[request_id], at) for request_id, at in ran]
    return max(
        sum(
            TOKENS
            for sent_at, at in pairs
            if begin <= sent_at and at <= begin + WINDOW_S
        )
        for begin, _ in pairs
    )


if __name__ == "__main__":
    main(case, HERE)
