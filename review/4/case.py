"""The store returns from an older copy while the holder of the orders is cut off from it."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

INSTANCES = 3
# `TROUBLE=cut` partitions the holder and leaves the store as it is.
HAS_DRILL = os.environ.get("TROUBLE") != "cut"
LEASE_S = r.BOUNDS["lease_ms"] / 1000
AWAY_S = 0.3
CUT_S = 5.0
# Streams of 14 s: an order waits until they have finished.
EVENTS, EVENT_S = 350, 0.04


async def keep_busy(rig: r.Rig, number: int) -> None:
    instance = rig.instances[number % INSTANCES]
    client = r.Client(instance.front, rig.record)
    headers = r.prompt_headers(f"aa{number:02x}:600,bb{number:02x}:300")
    await client.send("POST", "/ask/1", f"ask-{number}", headers, b"x")


def holder_of(rig: r.Rig) -> r.Instance:
    """Return the instance that has given the last order."""
    orders = [order for one in rig.replicas.values() for order in one.orders]
    if not orders:
        raise r.CannotRun("no instance has given an order")
    name = max(orders, key=lambda order: order.at).holder
    return next(one for one in rig.instances if one.name == name)


async def has_repeated(rig: r.Rig) -> bool:
    """Tell whether a replica has answered 409 to an order."""
    return any(order.status == 409 for one in rig.replicas.values() for order in one.orders)


async def play(rig: r.Rig) -> list[str]:
    for number in range(2):
        rig.add_replica(f"lm-{number}", "lm-pool", model=r.MODEL, events=EVENTS, event_s=EVENT_S)
    rig.add_replica("desk-1", "pass-desk")
    await rig.start(r.make_config(1))
    await asyncio.sleep(1.0)
    # Added machines: the one that started last is the first to follow the holder.
    await rig.add_instances(INSTANCES - 1)
    await asyncio.sleep(3.5)
    for number in range(6):
        rig.start_task(keep_busy(rig, number))
    await asyncio.sleep(0.5)
    rig.store.name_version(r.MODEL, 2)
    rig.record.write("version 2 is named")
    await asyncio.sleep(6.0)
    copy = rig.store.make_copy()
    rig.record.write("a copy of the store is made")
    # The holder waits for the end of the load for about 8 s, then repeats its order.
    await rig.wait_until(lambda: has_repeated(rig), 10.0, "the holder did not repeat its order")
    holder = holder_of(rig)
    if rig.has_trouble:
        holder.store_link.is_cut = True
        rig.record.write(f"{holder.name} is partitioned from the store")
        if HAS_DRILL:
            rig.store.go_down()
            rig.record.write("the store is away")
            await asyncio.sleep(AWAY_S)
            await rig.store.return_from(copy)
            rig.record.write("the store is back from the copy")
        await asyncio.sleep(CUT_S)
        holder.store_link.is_cut = False
        rig.record.write("the partition heals")
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(4.0)
    broken = []
    for replica in rig.replicas.values():
        for before, order in zip(replica.orders, replica.orders[1:]):
            if order.holder == before.holder:
                continue
            if order.fence <= before.fence:
                broken.append(f"ONE: {replica.name} got fence {order.fence} after {before.fence}")
            if order.at - before.at < LEASE_S:
                broken.append(
                    f"ONE: {replica.name} got an order of {before.holder} at {before.at:.3f} and"
                    f" one of {order.holder} at {order.at:.3f}, {order.at - before.at:.3f} s later"
                )
    return broken


r.run_case(Path(__file__).resolve().parent, play)
