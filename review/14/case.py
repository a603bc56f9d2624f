"""Streams whose router is killed just after its zone's relay can't be taken up anywhere."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_3 import (  # noqa: E402
    MODEL,
    RESUMABLE_PREFIX,
    Replica,
    Router,
    Store,
    ask,
    free_address,
    make_config,
    run_case,
)

# The machines of the site: three, two and one. The clients are those of the second zone.
ZONES = ("riverside", "fairgrounds", "uptown")
ZONE_OF_ROUTER = ("riverside",) * 3 + ("fairgrounds",) * 2 + ("uptown",)
CLIENT_ZONE = "fairgrounds"
KILL_GAP_S = 1.6
DOWN_S = 3.0
STREAM_DEADLINE_S = 15.0
STREAM_INTERVAL_S = 0.07
TOKENS, TOKEN_S = 73, 0.02
MAX_TAKE_UPS = 3


class Tally:
    def __init__(self) -> None:
        self.new = self.begun = self.taken_up = self.gone_on = 0


def events_of(body: bytes) -> list[tuple[int, str]]:
    """Return the ids and the writers of the complete events of a stream."""
    events = []
    for text in body.decode().split("\n\n")[:-1]:
        first, second = text.split("\n")
        events.append((int(first.removeprefix("id: ")), second.removeprefix("data: ")))
    return events


async def one_stream(number, nearest, record, tally) -> None:
    """Read one stream; after a broken connection take it up at the nearest router that is up."""
    started = record.now()
    first_id, last_event, is_interrupted, is_resumed = f"s{number}", 0, False, False
    tally.new += 1
    for attempt in range(1 + MAX_TAKE_UPS):
        router = nearest()
        attempt_id = first_id if attempt == 0 else f"{first_id}-{attempt}"
        headers = {"Last-Event-Id": str(last_event), "Resumes": first_id} if last_event else {}
        left_s = STREAM_DEADLINE_S - (record.now() - started)
        reply = await ask(router.front, RESUMABLE_PREFIX, attempt_id, left_s, headers, subject="7")
        events = events_of(reply.body)
        record(f"client {attempt_id} at {router.name}: {reply.status} events="
               f"{[events[0][0], events[-1][0]] if events else []} after={last_event} "
               f"complete={reply.is_complete}")
        if attempt == 0 and events:
            tally.begun += 1
        if is_interrupted and events and not is_resumed:
            is_resumed = True
            tally.gone_on += 1
        if events:
            last_event = events[-1][0]
        if reply.is_complete and reply.status == 200:
            return
        if not last_event:
            return  # never begun: not a stream to take up
        if not is_interrupted:
            is_interrupted = True
            tally.taken_up += 1
        await asyncio.sleep(float(reply.headers.get("retry-after", "0.05")))


async def main(record, trouble, scratch, routers) -> bool:
    store = Store(free_address(), record)
    await store.start()
    store.put("op", "config", make_config(3))
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    replicas = [
        Replica(f"i-lm-{n}", "lm-pool", store, record, weights=1, zone=ZONES[n % 3],
                software=("1", "2")[n // 3])
        for n in range(6)
    ]
    for replica in replicas:
        replica.tokens, replica.token_s = TOKENS, TOKEN_S
    replicas += [Replica(f"i-desk-{n}", "pass-desk", store, record) for n in range(3)]
    beats = [asyncio.create_task(one.run()) for one in replicas]
    await asyncio.sleep(0.3)
    for number, zone in enumerate(ZONE_OF_ROUTER):
        router = Router(number, store.address, scratch, record, zone, ZONES)
        router.start()
        routers.append(router)
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(5.0)
    # The first by name is the relay of its zone, as all machines have as many cores.
    relay, other = (router for router in routers if CLIENT_ZONE in router.name)
    far = [router for router in routers if CLIENT_ZONE not in router.name]
    up = set(routers)
    turn = itertools.count()

    def nearest() -> Router:
        """Return a router of the clients' zone that is up, else one of the other zone."""
        near = [router for router in (other, relay) if router in up] or far
        return near[next(turn) % len(near)]

    tally, tasks = Tally(), []

    async def traffic() -> None:
        for number in itertools.count():
            tasks.append(asyncio.create_task(one_stream(number, nearest, record, tally)))
            await asyncio.sleep(STREAM_INTERVAL_S)

    async def kill(router: Router) -> None:
        up.discard(router)
        router.signal(signal.SIGKILL)
        await router.ended()
        await asyncio.sleep(DOWN_S)
        router.start()
        await router.wait_ready()
        up.add(router)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(5.0)
    if trouble:
        kills = [asyncio.create_task(kill(relay))]
        await asyncio.sleep(KILL_GAP_S)
        kills.append(asyncio.create_task(kill(other)))
        await asyncio.gather(*kills)
    await asyncio.sleep(3.0)
    sender.cancel()
    await asyncio.wait(tasks, timeout=STREAM_DEADLINE_S)
    for task in beats:
        task.cancel()
    begun, gone_on = tally.begun / max(1, tally.new), tally.gone_on / max(1, tally.taken_up)
    record(f"new streams that began: {tally.begun} of {tally.new}; streams taken up again that "
           f"went on: {tally.gone_on} of {tally.taken_up}")
    return tally.taken_up >= 12 and gone_on < begun / 2


run_case(main, str(FOLDER))
