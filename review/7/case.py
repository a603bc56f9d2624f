"""All entry instances are killed while replicas of two software versions serve streams."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import (  # noqa: E402
    BROKEN,
    HELD,
    MODEL,
    NOT_RUN,
    Deployment,
    Instance,
    Replica,
    encode_request,
    has_trouble,
    make_config,
    new_attempt_id,
    read_chunks,
    read_head,
    run_case,
    stream_answer,
)

STREAMS = 24
EVENTS = 60
EVENT_GAP_S = 0.2
DEADLINE_S = 15.0
CONTACT_S = 3.0
RESTART_DELAY_S = 0.3
# When a caller tries to take its stream up, after its connection has broken.
TAKE_UP_AFTER_S = (0.2, 3.7)
MIN_TAKEN_UP = 12


@dataclass
class Stream:
    """Hold one stream of a caller over all its attempts."""

    number: int
    sent_at: float = 0.0
    first_attempt_id: str = ""
    last_id: int = 0
    software: list[str] = field(default_factory=list)
    is_whole: bool = False
    broke_at: float = 0.0
    taken_up_in_touch: bool = False
    goes_on: bool = False


class Callers:
    """Open streams and take them up again."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.drops_at = 0.0

    async def attempt(self, stream: Stream, instance: Instance, name: str) -> int:
        """Send one attempt and read its events; return its status."""
        attempt_id = new_attempt_id()
        left_ms = int((stream.sent_at + DEADLINE_S - time.monotonic()) * 1000)
        headers = {
            "X_Model": MODEL,
            "X_Token_Counts": "826,70",
            "X_Prefix_Hash": f"aa{stream.number:02x}:198,bb{stream.number:02x}:628",
        }
        if stream.last_id:
            headers |= {"Last_Event_Id": str(stream.last_id), "Resumes": stream.first_attempt_id}
        began_with = stream.last_id
        status = 0
        try:
            reader, writer = await asyncio.open_connection(instance.ip, instance.port)
        except OSError:
            self.record(f"{name} {stream.number}: no connection to {instance.name}")
            return 0
        try:
            path = "/lepu270/2f/ask"
            request = encode_request("POST", path, attempt_id, left_ms, b"hello", **headers)
            writer.write(request)
            self.record(
                f"{name} {stream.number}: {attempt_id} sent to {instance.name}"
                + (f" to go on after event {began_with}" if began_with else "")
            )
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            status = int(head.line.split(" ")[1])
            if status != 200:
                self.record(f"{name} {stream.number}: answered {status}")
                return status
            async for chunk in read_chunks(reader):
                self.take_events(stream, chunk, attempt_id)
                if self.drops_at and not stream.broke_at and time.monotonic() >= self.drops_at:
                    raise ConnectionError("closed by the caller's side")
            stream.is_whole = True
        except (OSError, asyncio.IncompleteReadError) as exc:
            if stream.last_id and not stream.broke_at:
                stream.broke_at = time.monotonic()
            self.record(f"{name} {stream.number}: broken after event {stream.last_id} ({exc})")
        finally:
            writer.close()
        stream.goes_on = stream.goes_on or (bool(began_with) and stream.last_id > began_with)
        return status

    def take_events(self, stream: Stream, chunk: bytes, attempt_id: str) -> None:
        for event in chunk.decode().split("\n\n"):
            if not event:
                continue
            lines = dict(line.split(": ", 1) for line in event.split("\n"))
            if not stream.last_id:
                stream.first_attempt_id = attempt_id
            stream.last_id = int(lines["id"])
            software = lines["data"].split(" ")[0]
            if software not in stream.software:
                stream.software.append(software)

    async def follow(self, stream: Stream, instances: list[Instance]) -> None:
        """Read a stream; after its connection has broken, take it up at other instances."""
        stream.sent_at = time.monotonic()
        await self.attempt(stream, instances[stream.number % len(instances)], "stream")
        for number, after_s in enumerate(TAKE_UP_AFTER_S, 1):
            if stream.is_whole or not stream.broke_at:
                return
            await asyncio.sleep(max(0.0, stream.broke_at + after_s - time.monotonic()))
            instance = instances[(stream.number + number) % len(instances)]
            if time.monotonic() > instance.started_at + CONTACT_S:
                stream.taken_up_in_touch = True
            await self.attempt(stream, instance, "stream")


async def case(deployment: Deployment) -> int:
    record = deployment.record
    deployment.store.put("op", "config", make_config(1))
    deployment.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    answer = stream_answer(EVENTS, EVENT_GAP_S)
    for number, software in enumerate(("1.8", "1.8", "1.9", "1.9"), 1):
        replica = Replica(f"i-llm{number}", "llm", answer, record, software)
        await deployment.add_replica(replica)
    instances = [deployment.add_instance(f"front-riverside-{number}") for number in (1, 2, 3)]
    await deployment.wait_ready()
    await asyncio.sleep(4.0)

    callers = Callers(deployment)
    streams = [Stream(number) for number in range(STREAMS)]
    async with asyncio.TaskGroup() as tasks:
        for stream in streams:
            tasks.create_task(callers.follow(stream, instances))
        await asyncio.sleep(2.0)
        if not all(stream.last_id for stream in streams):
            record("not every stream has begun")
            return NOT_RUN
        broken_at = time.monotonic()
        if has_trouble():
            for instance in instances:
                instance.send(signal.SIGKILL)
            await asyncio.sleep(RESTART_DELAY_S)
            for instance in instances:
                instance.end()
                instance.start()
        else:
            callers.drops_at = broken_at
        fresh = [Stream(100 + number) for number in range(STREAMS)]
        await asyncio.sleep(broken_at + TAKE_UP_AFTER_S[-1] + 0.1 - time.monotonic())
        for stream in fresh:
            tasks.create_task(callers.follow(stream, instances))

    taken_up = [stream for stream in streams if stream.taken_up_in_touch]
    go_on = sum(stream.goes_on for stream in taken_up)
    begin = sum(bool(stream.last_id) for stream in fresh)
    mixed = sum(len(stream.software) > 1 for stream in streams)
    record(f"of {len(taken_up)} streams taken up at machines in touch, {go_on} went on")
    record(f"of {len(fresh)} new streams at the same time, {begin} began")
    record(f"{mixed} streams hold events of two software versions")
    if len(taken_up) < MIN_TAKEN_UP or not begin:
        return NOT_RUN
    is_broken = go_on / len(taken_up) < 0.5 * begin / len(fresh)
    return BROKEN if is_broken or mixed > 2 else HELD


run_case(FOLDER, case)
