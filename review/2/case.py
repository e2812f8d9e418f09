"""Requests far over an allowance end the process, and with it all that it answers.

See ``claim.txt``.
"""

import asyncio
from collections import Counter
from pathlib import Path

from rig import Client, Rig, answer_after, has_trouble, main

HERE = Path(__file__).resolve().parent

KEY, OTHER_KEY = "i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"
LARGEST = 2**63 - 1
"""Maximum number of output tokens of a client that sets none of its own: the largest
signed number of 64 bits."""
REQUESTS_OVER = 2
WORK_S = 1.5
CLIENTS = 12
ROUNDS = 3
MOST_LOST = 3
"""By the rule, at one machine."""


async def case(rig: Rig) -> bool:
    """Send requests over kept connections, and two of another tenant over its limit."""
    tenant = {
        "priority": 1,
        "unit": "tokens",
        "plain-tokens": 200,
        "rate-per-s": 160234,
        "burst": 160234,
    }
    rig.tenants = [
        {"name": "hule930", "api-keys": [KEY], **tenant},
        {"name": "bave112", "api-keys": [OTHER_KEY], **tenant},
    ]
    rig.add_route("lohu930", "non_idempotent", "lm-pool", timeout_ms=15000)
    for _ in range(3):
        rig.add_worker("lm-pool", answer_after(WORK_S))
    routers = [rig.add_router(0), rig.add_router(1)]
    await rig.start()
    await asyncio.sleep(4)
    lost: Counter[str] = Counter()

    async def kept(router) -> None:
        client = Client(rig, router, KEY)
        for _ in range(ROUNDS):
            attempt_id = rig.new_id()
            answer = await client.call(
                "POST",
                "/lohu930/2f",
                attempt_id=attempt_id,
                headers=[("Token-Count", "1460,80")],
            )
            was_run = any(
                run.attempt_id == attempt_id and run.was_run
                for worker in rig.workers
                for run in worker.runs
            )
            if answer is None and was_run:
                lost[router.name] += 1
                rig.record.line(f"LOST: {attempt_id} ran, its connection was closed")
                return
        client.close()

    async def over() -> None:
        await asyncio.sleep(1.5 * WORK_S)
        for router in routers:
            for _ in range(REQUESTS_OVER):
                client = Client(rig, router, OTHER_KEY)
                size = LARGEST if has_trouble() else 80
                rig.record.line(f"the next has Token-Count 1460,{size}")
                await client.call(
                    "POST", "/lohu930/2f", headers=[("Token-Count", f"1460,{size}")]
                )
                client.close()

    tasks = [kept(routers[number % len(routers)]) for number in range(CLIENTS)]
    await asyncio.gather(*tasks, over())
    await asyncio.sleep(0.5)
    for router in routers:
        if not router.runs:
            rig.record.line(
                f"{router.name} has ended by itself, status {router.process.returncode}"
            )
    rig.record.line(
        f"LOST: {lost.total()} requests, {dict(lost)}, at most {MOST_LOST} may be"
    )
    return max(lost.values(), default=0) <= MOST_LOST


main(HERE, case)
