"""Engines that run two models never get the new weights of one of them."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_3 import (  # noqa: E402
    BOUNDS,
    MODEL,
    STREAM_PREFIX,
    Replica,
    Router,
    Store,
    ask,
    free_address,
    make_config,
    run_case,
)

OTHER_MODEL = "mabo120000"
MODELS = (MODEL, OTHER_MODEL)
NAMED_AT_S = 4.0
TRAFFIC_ENDS_S = NAMED_AT_S + 1.5 * BOUNDS["version_ms"] / 1000 + 2.0
INTERVAL_S = 0.25


class TwoModelReplica(Replica):
    """A replica that runs two models, each with a version of its own."""

    def __init__(self, name: str, store: Store, record) -> None:
        super().__init__(name, "lm-pool", store, record, weights=1)
        self.versions = dict.fromkeys(MODELS, 1)

    def entry(self) -> dict[str, object]:
        models = [{"name": name, "version": version, "adapters": []}
                  for name, version in self.versions.items()]
        return {**super().entry(), "models": models}

    def _order_status(self, req, order: dict) -> int:
        self.weights = self.versions.get(order["model"], 0)
        return super()._order_status(req, order) if self.weights else 400

    def _take_order(self, req) -> int:
        self._loading_model = json.loads(req.body)["model"]
        return super()._take_order(req)

    async def _load(self, version: int) -> None:
        model = self._loading_model
        while self._running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self._load_s)
        self.versions[model] = version
        self.is_loading = False
        self.write_entry()

    def refusal(self, req) -> int:
        self.weights = self.versions.get(req.headers.get("x-model", ""), 1)
        return super().refusal(req)


async def send_streams(routers, record, replies) -> None:
    tasks = []
    for number in itertools.count():
        if record.now() >= TRAFFIC_ENDS_S:
            break
        router, model = routers[number % 2], MODELS[number // 2 % 2]

        async def one(number=number, router=router, model=model) -> None:
            sent_at = record.now()
            reply = await ask(router.front, STREAM_PREFIX, f"a{number}", 5.0,
                              {"X-Model": model}, subject=str(number % 5))
            record(f"client a{number} {model} sent at {sent_at:.3f}: {reply.status}")
            replies.append((sent_at, reply.status))

        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


async def main(record, trouble, scratch, routers) -> bool:
    store = Store(free_address(), record)
    await store.start()
    config = make_config(3)
    config["services"][0]["engine"]["models"] = [{"name": name} for name in MODELS]
    store.put("op", "config", config)
    for model in MODELS:
        store.put("op", f"version/{model}", {"model": model, "version": 1})
    engines = [TwoModelReplica(f"i-lm-{n}", store, record) for n in range(6)]
    desks = [Replica(f"i-desk-{n}", "pass-desk", store, record) for n in range(3)]
    beats = [asyncio.create_task(one.run()) for one in (*engines, *desks)]
    await asyncio.sleep(0.3)
    for number in range(2):
        router = Router(number, store.address, scratch, record)
        router.start()
        routers.append(router)
    for router in routers:
        await router.wait_ready()
    record.started = record.started + record.now()  # times count from the start of traffic
    replies: list[tuple[float, int]] = []
    traffic = asyncio.create_task(send_streams(routers, record, replies))
    await asyncio.sleep(NAMED_AT_S)
    if trouble:
        store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
        record(f"version 2 of {MODEL} is acknowledged")
    await traffic
    for task in beats:
        task.cancel()
    newest = 2 if trouble else 1
    old = [one.name for one in engines if one.versions[MODEL] < newest]
    last = [status for sent_at, status in replies if sent_at > TRAFFIC_ENDS_S - 6]
    record(f"replicas on an older version at the end of traffic: {len(old)} of {len(engines)}: {old}")
    record(f"orders: {sum(len(one.orders) for one in engines)}")
    record(f"streams of the last 6 s answered 200: {last.count(200)} of {len(last)}")
    return len(old) > 1 and len(old) > 0.1 * len(engines)


run_case(main, str(FOLDER))
