"""The list gets one entry whose bytes can't be read; the instances must go on serving."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

INSTANCES = 2
CLIENTS = 8
# What a serializer writes for a value that contains itself, cut off.
ENTRY = b'{"labels":' * 2000
RESTART_S = 0.5


async def send_bookings(
    rig: r.Rig, instance: r.Instance, number: int, answers: list[r.Answer]
) -> None:
    client = r.Client(instance.front, rig.record)
    count = 0
    while True:
        count += 1
        attempt = f"{instance.name}.{number}.{count}"
        answers.append(await client.send("POST", "/book/1", attempt, r.plain_headers(), b"x"))
        await asyncio.sleep(0.1)


async def restart_when_ended(rig: r.Rig, instance: r.Instance) -> None:
    """Start an instance again after a short delay, as the platform does."""
    while True:
        assert instance.process is not None
        code = await instance.process.wait()
        rig.record.write(f"instance {instance.name} ended by itself with {code}")
        await asyncio.sleep(RESTART_S)
        await instance.launch()


async def play(rig: r.Rig) -> list[str]:
    rig.add_replica("lm-1", "lm-pool", model=r.MODEL, events=13, event_s=0.02)
    rig.add_replica("desk-1", "pass-desk", work_s=0.15)
    rig.add_replica("desk-2", "pass-desk", work_s=0.15)
    await rig.start(r.make_config(1), INSTANCES)
    answers: list[r.Answer] = []
    for instance in rig.instances:
        rig.start_task(restart_when_ended(rig, instance))
        for number in range(CLIENTS):
            rig.start_task(send_bookings(rig, instance, number, answers))
    # No disruption for `contact_ms` before the entry.
    await asyncio.sleep(4.0)
    if rig.has_trouble:
        rig.store.put("servers", "i-7f3a91c2", ENTRY)
        rig.record.write("another writer writes the entry i-7f3a91c2")
    await asyncio.sleep(10.0)
    runs = {run.attempt: run for one in rig.replicas.values() for run in one.runs}
    broken = []
    for instance in rig.instances:
        lost = [
            one
            for one in answers
            if one.attempt.startswith(instance.name + ".")
            and one.ended == "cut"
            and not one.status
            and one.attempt in runs
            and not runs[one.attempt].refused
        ]
        if len(lost) > 3:
            broken += [
                f"LOST: {one.attempt}, sent at {one.sent_at:.3f} on a kept connection, was passed"
                f" on to {runs[one.attempt].replica} and got no answer"
                for one in lost
            ]
        served = [one for one in answers if one.attempt.startswith(instance.name + ".")
                  and one.status == 200 and one.sent_at > rig.record.now() - 6.0]  # fmt: skip
        rig.record.write(f"{instance.name} answered {len(served)} bookings in the last 6 s")
    return broken


r.run_case(Path(__file__).resolve().parent, play)
