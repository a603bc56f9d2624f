"""Four of six machines are lost for good; then new weights are named."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import (  # noqa: E402
    BROKEN,
    HELD,
    INSTANCE_PREFIX,
    INSTANCE_TABLE,
    MODEL,
    NOT_RUN,
    Deployment,
    Instance,
    Replica,
    call,
    encode_request,
    has_trouble,
    make_config,
    new_attempt_id,
    run_case,
    stream_answer,
)

INSTANCES = 6
LOST = 4
REPLICAS = 6
STEADY_S = 8.0
VERSION_S = 12.0
# The rule counts the replicas that still have old weights after 1.5 times the bound.
TRAFFIC_S = 1.5 * VERSION_S + 2.0
REQUEST_GAP_S = 0.2


def choose_lost(deployment: Deployment) -> list[Instance]:
    """Choose the machine that sends the orders now and the three that were started last."""
    rows = deployment.store.rows
    lease = json.loads(rows["rattangate", "leases/orders"][1])
    holder = lease["holder"]["instance"].partition("@")[0]
    started = {
        key.removeprefix(INSTANCE_PREFIX): json.loads(value)["incarnation"]
        for (table, key), (_, value) in rows.items()
        if table == INSTANCE_TABLE and key.startswith(INSTANCE_PREFIX)
    }
    others = sorted(set(started) - {holder}, key=started.__getitem__, reverse=True)
    names = {holder, *others[: LOST - 1]}
    return [instance for instance in deployment.instances if instance.name in names]


async def case(deployment: Deployment) -> int:
    record = deployment.record
    store = deployment.store
    store.put("op", "config", make_config(1))
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    answer = stream_answer(3, 0.05)
    for number in range(REPLICAS):
        await deployment.add_replica(Replica(f"i-llm{number}", "llm", answer, record))
    for number in range(INSTANCES):
        deployment.add_instance(f"front-riverside-{number + 1}")
    await deployment.wait_ready()
    await asyncio.sleep(STEADY_S)

    lost = choose_lost(deployment)
    if has_trouble():
        for instance in lost:
            instance.send(signal.SIGKILL)
            instance.end()
    calm = [instance for instance in deployment.instances if instance not in lost]
    await asyncio.sleep(1.0)
    named_at = deployment.name_weights(2)

    beats = asyncio.create_task(beat(deployment))
    answered: list[tuple[float, int]] = []
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while time.monotonic() < named_at + TRAFFIC_S:
            number += 1
            tasks.create_task(ask(deployment, calm[number % len(calm)], number, answered))
            await asyncio.sleep(REQUEST_GAP_S)
    beats.cancel()

    old = [item for item in deployment.replicas if item.models[0]["version"] < 2]
    orders = sum(len(item.orders) for item in deployment.replicas)
    late = [status for at, status in answered if at > named_at + VERSION_S]
    served = sum(status == 200 for status in late)
    early = [status for at, status in answered if at <= named_at + VERSION_S]
    record(f"{orders} orders were sent; {len(old)} of {REPLICAS} replicas have old weights")
    record(
        f"served before 12 s: {early.count(200)} of {len(early)}; after: {served} of {len(late)}"
    )
    if early.count(200) < len(early) / 2:
        return NOT_RUN
    return BROKEN if len(old) > 1 and len(old) > REPLICAS / 10 else HELD


async def beat(deployment: Deployment) -> None:
    """Write the entries of the replicas as they change, and as their heartbeat."""
    while True:
        for replica in deployment.replicas:
            deployment.list_replica(replica)
        await asyncio.sleep(1.2)


async def ask(
    deployment: Deployment, instance: Instance, number: int, answered: list[tuple[float, int]]
) -> None:
    headers = {"X_Model": MODEL, "X_Token_Counts": "826,70"}
    headers |= {"X_Prefix_Hash": f"aa{number % 8:02x}:198,bb{number % 50:02x}:628"}
    attempt_id = new_attempt_id()
    request = encode_request("POST", "/lepu270/2f/ask", attempt_id, 3000, b"hello", **headers)
    sent_at = time.monotonic()
    got = await call((instance.ip, instance.port), request, 3.5)
    deployment.record(f"{attempt_id} at {instance.name}: {got.status or 'no answer'}")
    answered.append((sent_at, got.status if got.is_whole else 0))


run_case(FOLDER, case)
