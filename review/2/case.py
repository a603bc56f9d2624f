"""The store returns from an older copy, which lists a replica that has left; it must get nothing."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

INSTANCES = 2
WORK_S = 0.15
CLIENTS = 12
PAUSE_S = 0.2
DRAIN_S = r.BOUNDS["drain_ms"] / 1000
# The store is away for so long; its copy is of one second before the replica begins to leave.
AWAY_S = 0.5
# What replicas had written is written again within this time after the store's return.
REWRITE_S = 1.0


async def send_bookings(
    rig: r.Rig, instance: r.Instance, number: int, answers: dict[str, r.Answer]
) -> None:
    client = r.Client(instance.front, rig.record)
    count = 0
    await asyncio.sleep(random.uniform(0.0, WORK_S + PAUSE_S))
    while True:
        count += 1
        attempt = f"{instance.name}.{number}.{count}"
        headers = r.plain_headers()
        answers[attempt] = await client.send("POST", "/book/1", attempt, headers, b"x")
        await asyncio.sleep(random.uniform(0.0, 2 * PAUSE_S))


async def is_busy(rig: r.Rig, replica: r.Replica) -> bool:
    """Tell whether a replica has just begun a request of each instance."""
    now = rig.record.now()
    recent = [run.attempt for run in replica.runs if not run.ended and run.at > now - WORK_S / 2]
    return all(
        any(attempt.startswith(one.name + ".") for attempt in recent) for one in rig.instances
    )


async def play(rig: r.Rig) -> list[str]:
    leaving = rig.add_replica("desk-1", "pass-desk", work_s=WORK_S)
    rig.add_replica("desk-2", "pass-desk", work_s=WORK_S)
    rig.add_replica("desk-3", "pass-desk", work_s=WORK_S)
    await rig.start(r.make_config(1), INSTANCES)
    answers: dict[str, r.Answer] = {}
    for instance in rig.instances:
        for number in range(CLIENTS):
            rig.start_task(send_bookings(rig, instance, number, answers))
    await asyncio.sleep(4.0)
    copy = rig.store.make_copy()
    rig.record.write("a copy of the store is made")
    await asyncio.sleep(1.0)
    await rig.wait_until(lambda: is_busy(rig, leaving), 10.0, "no requests at the replica")
    # This replica never reports `draining`: its entry is removed, and it goes on serving.
    leaving.writes_entries = False
    leaving.is_leaving = True
    rig.store.remove("servers", leaving.name)
    left_at = rig.record.now()
    rig.record.write(f"replica {leaving.name} leaves: its entry is removed, its answers say so")
    await asyncio.sleep(DRAIN_S + 1.0)
    if rig.has_trouble:
        rig.store.go_down()
        rig.record.write("the store is away")
        await asyncio.sleep(AWAY_S)
        await rig.store.return_from(copy)
        rig.record.write("the store is back from the copy, in a new era")
    await asyncio.sleep(REWRITE_S)
    rig.store.remove("servers", leaving.name)
    rig.record.write(f"the removal of {leaving.name} is written again")
    await asyncio.sleep(2.0)
    broken = []
    for instance in rig.instances:
        told = [
            answers[run.attempt].ended_at
            for run in leaving.runs
            if run.attempt.startswith(instance.name + ".")
            and run.attempt in answers
            and run.ended == "answered"
            and answers[run.attempt].status == 200
            and answers[run.attempt].headers["x-attempt-id"] == run.attempt
            and answers[run.attempt].ended_at > left_at + 0.02
        ]
        if not told:
            raise r.CannotRun(f"no answer of the leaving replica passed through {instance.name}")
        rig.record.write(f"{instance.name} passed on the first Server-Leaving at {min(told):.3f}")
        broken += [
            f"DRAIN: {run.attempt}, sent at {answers[run.attempt].sent_at:.3f}, reached"
            f" {leaving.name} from {instance.name} at {run.at:.3f}"
            for run in leaving.runs
            if run.attempt.startswith(instance.name + ".")
            and not run.refused
            and run.attempt in answers
            and answers[run.attempt].sent_at > min(told) + DRAIN_S
        ]
    return broken


r.run_case(Path(__file__).resolve().parent, play)
