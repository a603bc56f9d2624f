"""SIGHUP reaches an instance that drains after SIGTERM; its requests must still be answered."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

STREAMS = 8
BOOKINGS = 4
# Each stream lasts 3 s, well before the last sixth of the grace period of 8 s.
EVENTS, EVENT_S = 75, 0.04


async def play(rig: r.Rig) -> list[str]:
    rig.add_replica("lm-1", "lm-pool", model=r.MODEL, events=EVENTS, event_s=EVENT_S)
    rig.add_replica("desk-1", "pass-desk", work_s=1.5)
    await rig.start(r.make_config(1))
    instance = rig.instances[0]
    # No disruption for `contact_ms` before the requests.
    await asyncio.sleep(3.5)
    sent = [
        asyncio.ensure_future(
            r.Client(instance.front, rig.record).send(
                "POST", "/ask/1", f"ask-{number}", r.prompt_headers(f"aa:600,b{number}:300"), b"x"
            )
        )
        for number in range(STREAMS)
    ] + [
        asyncio.ensure_future(
            r.Client(instance.front, rig.record).send(
                "POST", "/book/1", f"book-{number}", r.plain_headers(deadline_ms=4000), b"x"
            )
        )
        for number in range(BOOKINGS)
    ]
    await asyncio.sleep(0.5)
    instance.signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    if rig.has_trouble:
        instance.signal(signal.SIGHUP)
    answers = await asyncio.gather(*sent)
    assert instance.process is not None
    async with asyncio.timeout(10.0):
        code = await instance.process.wait()
    rig.record.write(f"instance {instance.name} ended with {code}")
    ran = {run.attempt for one in rig.replicas.values() for run in one.runs if not run.refused}
    return [
        f"LOST: {answer.attempt} was passed on to a replica and its connection ended without a"
        f" complete answer ({answer.ended}, {len(answer.body)} bytes)"
        for answer in answers
        if answer.ended != "whole" and answer.attempt in ran
    ]


r.run_case(Path(__file__).resolve().parent, play)
