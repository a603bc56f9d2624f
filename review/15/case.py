"""Two entries of another writer, of a service that no configuration names, stop all roll-outs."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_3 import (  # noqa: E402
    BOUNDS,
    MODEL,
    STREAM_PREFIX,
    BOOKING_PREFIX,
    Replica,
    Router,
    Store,
    ask,
    free_address,
    make_config,
    run_case,
)

FOREIGN_AT_S = 4.0
NAMED_AT_S = 6.0
# The rule counts 1.5 times the bound since the acknowledgement; two seconds more to be fair.
TRAFFIC_ENDS_S = NAMED_AT_S + 1.5 * BOUNDS["version_ms"] / 1000 + 2.0
INTERVAL_S = 0.25
CLIENT_DEADLINE_S = 5.0


async def send_traffic(routers, record, replies) -> None:
    tasks = []
    for number in itertools.count():
        if record.now() >= TRAFFIC_ENDS_S:
            break
        router = routers[number % len(routers)]
        prefix = (STREAM_PREFIX, BOOKING_PREFIX)[number % 2]

        async def one(number=number, router=router, prefix=prefix) -> None:
            sent_at = record.now()
            reply = await ask(router.front, prefix, f"a{number}", CLIENT_DEADLINE_S,
                              subject=str(number % 5))
            record(f"client a{number} {prefix} sent at {sent_at:.3f}: {reply.status} "
                   f"complete={reply.is_complete}")
            replies.append((sent_at, prefix, reply.status))

        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


async def main(record, trouble, scratch, routers) -> bool:
    store = Store(free_address(), record)
    await store.start()
    store.put("op", "config", make_config(3))
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    engines = [Replica(f"i-lm-{n}", "lm-pool", store, record, weights=1) for n in range(4)]
    desks = [Replica(f"i-desk-{n}", "pass-desk", store, record) for n in range(2)]
    tasks = [asyncio.create_task(one.run()) for one in (*engines, *desks)]
    await asyncio.sleep(0.3)
    for number in range(2):
        router = Router(number, store.address, scratch, record)
        router.start()
        routers.append(router)
    for router in routers:
        await router.wait_ready()
    record.started = record.started + record.now()  # times count from the start of traffic
    replies: list[tuple[float, str, int]] = []
    traffic = asyncio.create_task(send_traffic(routers, record, replies))
    await asyncio.sleep(FOREIGN_AT_S)
    if trouble:
        for number in range(2):
            # Another deployment's replicas: the same model, a service that isn't named here.
            entry = {"service": "guest-pool", "address": free_address(), "zone": "riverside",
                     "version": "1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1,
                     "born": engines[0].born, "stage": "combined",
                     "models": [{"name": MODEL, "version": 7, "adapters": []}]}
            store.put("servers", f"guest-{number}", entry)
            record(f"foreign entry guest-{number}: {entry}")
    await asyncio.sleep(NAMED_AT_S - FOREIGN_AT_S)
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
    acknowledged_at = record.now()
    record("the operator's version 2 is acknowledged")
    await traffic
    for task in tasks:
        task.cancel()
    old = [one.name for one in engines if one.weights < 2]
    late = [run for one in engines for run in one.runs
            if run[2] < 2 and run[0] > acknowledged_at + BOUNDS["version_ms"] / 1000]
    unnamed = [order for one in engines for _, order, _ in one.orders if order["version"] > 2]
    streams = [reply for reply in replies if reply[1] == STREAM_PREFIX]
    last = [status for sent_at, _, status in streams if sent_at > TRAFFIC_ENDS_S - 6]
    record(f"replicas on an older version at the end of traffic: {len(old)} of {len(engines)}: {old}")
    record(f"runs on the older version after the bound: {len(late)}")
    record(f"orders for a version that nobody named: {len(unnamed)}")
    record(f"streams of the last 6 s answered 200: {last.count(200)} of {len(last)}")
    return len(old) > 1 and len(old) > 0.1 * len(engines)


run_case(main, str(FOLDER))
