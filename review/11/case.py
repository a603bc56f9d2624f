"""An answer without a length that is reset during an upload is given to the client as whole."""

from __future__ import annotations

import asyncio
import itertools
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_3 import (  # noqa: E402
    BOOKING_PREFIX,
    LINGER_NONE,
    Head,
    MODEL,
    Replica,
    Router,
    Store,
    ask,
    encode,
    free_address,
    make_config,
    read_head,
    run_case,
)

BODY_BYTES = 110_000  # the largest of the sheet; `max_body_bytes` is 4,194,304
REPLICAS, FAULTY = 5, 3  # share 0.6
SPOILED_SHARE = 0.03
SPELL_S, PAUSE_S = 5.0, 1.0
TRAFFIC_S = 85.0
INTERVAL_S = 0.017
ANSWER = b"booked, place %b, fee paid: " + b"." * 1_500 + b" end of the confirmation"
PART_BYTES = 1_400


class Desk(Replica):
    """A plain replica; a faulty one cuts a share of its answers while the upload is on its way."""

    def __init__(self, name: str, store: Store, record, is_faulty: bool, in_spell) -> None:
        super().__init__(name, "pass-desk", store, record)
        self._is_faulty, self._in_spell = is_faulty, in_spell
        self._answers = self.cut = 0

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                size = int(head[1].get("content-length", "0"))
                if head[0].startswith(f"POST {BOOKING_PREFIX}") and self._cuts_next():
                    await self._cut_answer(head[1], writer)
                    return
                body = await reader.readexactly(size) if size else b""
                if not await self.handle(Head(*head, body), reader, writer):
                    return
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            if not asyncio.get_running_loop().is_closed():
                writer.close()

    def _cuts_next(self) -> bool:
        if not (self._is_faulty and self._in_spell()):
            return False
        self._answers += 1
        return (self.cut + 1) / self._answers <= SPOILED_SHARE

    async def answer(self, req, headers, writer) -> None:
        writer.write(encode(200, ANSWER % self.name.encode(), headers))
        await writer.drain()

    async def _cut_answer(self, headers, writer) -> None:
        """Answer a long request at once with a part of an answer without a length, then reset."""
        self.cut += 1
        attempt = headers["x-attempt-id"]
        lines = f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: {self.name}.{attempt}\r\n"
        part = (ANSWER % self.name.encode())[:PART_BYTES]
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + part)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        writer.transport.abort()
        self.record(f"{self.name} runs {attempt} and resets its answer after {PART_BYTES} bytes")


async def main(record, trouble, scratch, routers) -> bool:
    store = Store(free_address(), record)
    await store.start()
    store.put("op", "config", make_config(3))
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    traffic_from = float("inf")

    def in_spell() -> bool:
        since = record.now() - traffic_from
        return trouble and since >= 0 and since % (SPELL_S + PAUSE_S) < SPELL_S

    engines = [Replica(f"i-lm-{n}", "lm-pool", store, record, weights=1) for n in range(3)]
    desks = [Desk(f"i-desk-{n}", store, record, n < FAULTY, in_spell) for n in range(REPLICAS)]
    beats = [asyncio.create_task(one.run()) for one in (*engines, *desks)]
    await asyncio.sleep(0.3)
    for number in range(2):
        router = Router(number, store.address, scratch, record)
        router.start()
        routers.append(router)
    for router in routers:
        await router.wait_ready()
    traffic_from = record.now()
    short: list[str] = []
    counts: dict[tuple[int, bool], int] = {}
    tasks = set()

    async def one(number: int) -> None:
        attempt = f"b{number}"
        body = f"booking {number} ".encode().ljust(BODY_BYTES, b"x")
        reply = await ask(routers[number % 2].front, BOOKING_PREFIX, attempt, 1.0, body=body,
                          subject=str(number % 90))
        kind = (reply.status, reply.is_complete)
        counts[kind] = counts.get(kind, 0) + 1
        if reply.status == 200 and reply.is_complete and not reply.body.endswith(ANSWER[-24:]):
            short.append(attempt)
            record(f"client {attempt}: 200, whole with {len(reply.body)} bytes, its end is missing; "
                   f"seal {reply.headers.get('x-server-seal')}")

    for number in itertools.count():
        if record.now() >= traffic_from + TRAFFIC_S:
            break
        task = asyncio.create_task(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(INTERVAL_S)
    if tasks:
        await asyncio.wait(tasks, timeout=6.0)
    for task in beats:
        task.cancel()
    record(f"answers (status, end received): {counts}")
    record(f"answers that replicas cut with a reset: {sum(one.cut for one in desks)} of "
           f"{sum(len(one.runs) + one.cut for one in desks)}; "
           f"given to clients as whole: {len(short)}: {short}")
    return bool(short)


run_case(main, str(FOLDER))
