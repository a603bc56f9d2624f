"""SIGTERM comes while requests wait in the queue; each must get an answer, be it a refusal."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

# High load: about twice what one model replica reads of such prompts (36.7 tokens in a ms).
REQUESTS_PER_S = 10
LOAD_S = 12


async def ask(rig: r.Rig, number: int) -> r.Answer:
    client = r.Client(rig.instances[0].front, rig.record)
    headers = r.prompt_headers(f"5c1e07a2:2520,91bd{number:04x}:3780,ffff{number:04x}:2890")
    return await client.send("POST", "/ask/1", f"ask-{number}", headers, b"x")


async def play(rig: r.Rig) -> list[str]:
    replica = rig.add_replica("lm-1", "lm-pool", model=r.MODEL, events=13, event_s=0.02)
    rig.add_replica("desk-1", "pass-desk")
    await rig.start(r.make_config(1))
    instance = rig.instances[0]
    await asyncio.sleep(3.5)
    sent = []
    for number in range(REQUESTS_PER_S * LOAD_S):
        sent.append(asyncio.ensure_future(ask(rig, number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    stopped_at = rig.record.now()
    if rig.has_trouble:
        instance.signal(signal.SIGTERM)
    answers = await asyncio.gather(*sent)
    ran = {run.attempt for run in replica.runs}
    rig.record.write(
        f"{len(ran)} requests reached the replica; answers: "
        + ", ".join(f"{one.attempt}={one.status or one.ended}" for one in answers)
    )
    return [
        f"LOST: {one.attempt} was read, sent to no replica, and its connection ended"
        f" {one.ended_at - one.sent_at:.3f} s after it was sent, without an answer"
        for one in answers
        if one.ended == "cut" and one.attempt not in ran and one.sent_at < stopped_at
    ]


r.run_case(Path(__file__).resolve().parent, play)
