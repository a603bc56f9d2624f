"""One stream of a faulty replica gets bytes without end; all other callers must still be answered."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

TIMEOUT_S = 1.0
LATE_S = 0.5
CLIENTS = 8
PAUSE_S = 0.25
WATCHED_S = 15.0


async def look_up(rig: r.Rig, number: int, answers: list[r.Answer]) -> None:
    """Send lookups over a kept connection; go on 3 s after one that was not answered."""
    client = r.Client(rig.instances[0].front, rig.record)
    count = 0
    while True:
        count += 1
        attempt = f"look-{number}.{count}"
        answer = r.Answer(attempt, rig.record.now())
        answers.append(answer)
        try:
            async with asyncio.timeout(3.0):
                done = await client.send("GET", "/look/1", attempt, r.plain_headers(deadline_ms=5000))
            answer.ended, answer.ended_at, answer.status = done.ended, done.ended_at, done.status
        except TimeoutError:
            client.close()
            rig.record.write(f"client has no answer to {attempt} after 3 s and closes")
        await asyncio.sleep(PAUSE_S)


async def play(rig: r.Rig) -> list[str]:
    model = rig.add_replica("lm-1", "lm-pool", model=r.MODEL, events=13, event_s=0.02)
    rig.add_replica("desk-1", "pass-desk")
    rig.add_replica("desk-2", "pass-desk")
    config = r.make_config(1)
    for route in config["routes"]:
        if route["name"] == "look":
            route["timeout_ms"] = TIMEOUT_S * 1000
    await rig.start(config)
    answers: list[r.Answer] = []
    for number in range(CLIENTS):
        rig.start_task(look_up(rig, number, answers))
    await asyncio.sleep(4.0)
    if rig.has_trouble:
        model.endless.add("ask-1")
    client = r.Client(rig.instances[0].front, rig.record)
    headers = r.prompt_headers("aa:600,bb:300")
    rig.start_task(wait_for(client.send("POST", "/ask/1", "ask-1", headers, b"x")))
    await asyncio.sleep(WATCHED_S)
    now = rig.record.now()
    due = [one for one in answers if one.sent_at < now - TIMEOUT_S - LATE_S]
    open_at_timeout = [one for one in due if answered_after(one) > TIMEOUT_S]
    late = [one for one in open_at_timeout if answered_after(one) > TIMEOUT_S + LATE_S]
    rig.record.write(
        f"{len(due)} lookups, {len(open_at_timeout)} of them open at the route's timeout,"
        f" {len(late)} of these without an answer half a second later"
    )
    if 2 * len(late) <= len(open_at_timeout):
        return []
    return [f"CONFIG: {one.attempt}, sent at {one.sent_at:.3f}, has no answer" for one in late]


def answered_after(answer: r.Answer) -> float:
    """Return the seconds until a whole answer, infinity without one."""
    return answer.ended_at - answer.sent_at if answer.ended == "whole" else float("inf")


async def wait_for(sending) -> None:
    await sending


r.run_case(Path(__file__).resolve().parent, play)
