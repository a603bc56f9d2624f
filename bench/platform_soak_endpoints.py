"""The endpoints of the platform soak: they break streams off, and restart under their id."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from tests.front.deployment import MODEL, Replica

if TYPE_CHECKING:
    import random

    from rattangate.standins.rows_store import RowsStore
    from tests.front.deployment import Call

HEARTBEAT_S = 1.2
EVENTS = 30
EVENT_S = 0.02
WORK_S = 0.02
AWAY_S = 0.7
MS_PER_S = 1_000
BREAK_SHARE = 0.3


@dataclass
class SoakEndpoint:
    """Run one endpoint over its restarts; `ran` counts the runs of each attempt."""

    name: str
    service: str
    address: str
    store: RowsStore
    rng: random.Random
    ran: dict[str, int] = field(default_factory=dict)
    breaks_streams: bool = True
    software: str = "v1"
    _scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Run one incarnation after the other until cancelled."""
        while True:
            with trio.CancelScope() as self._scope:
                await self._run_incarnation()
            await trio.sleep(AWAY_S)
            self.software = self.rng.choice(["v1", "v2"])

    def restart(self) -> None:
        """End the incarnation; the next one starts soon, under the same id."""
        if self._scope is not None:
            self._scope.cancel()

    async def _run_incarnation(self) -> None:
        born = time.time_ns() // 1_000_000
        replica = Replica(self.name, self.address, partial(self._answer, born), born=born)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replica.run)
            while True:
                self.store.put("servers", self.name, self._entry(born))
                await trio.sleep(HEARTBEAT_S)

    def _entry(self, born: int) -> dict[str, Any]:
        is_engine = self.service == "llm"
        return {
            "service": self.service,
            "address": self.address,
            "zone": "riverside",
            "version": self.software,
            "slots": 64 if is_engine else 6,
            "state": "ready",
            "born": born,
            "models": [{"name": MODEL, "version": 1}] if is_engine else [],
        }

    async def _answer(self, born: int, call: Call) -> None:
        attempt = call.headers["x-attempt-id"]
        if call.headers.get("x-target-instance", self.name) != self.name:
            await call.refuse(421)
            return
        self.ran[attempt] = self.ran.get(attempt, 0) + 1
        if self.service == "llm":
            await self._stream(call)
            return
        await trio.sleep(WORK_S)
        await call.respond(200, attempt.encode())

    async def _stream(self, call: Call) -> None:
        """Stream the events that are left, each with the software version, or break off."""
        first = int(call.headers.get("last-event-id", "0")) + 1
        breaks_off = self.breaks_streams and self.rng.random() < BREAK_SHARE
        last = self.rng.randint(first, EVENTS) if breaks_off and first < EVENTS else None
        software = self.software
        await call.start_stream()
        for number in range(first, EVENTS + 1):
            await trio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {software}\n\n".encode()
            if number == last:
                await self._break_off(call, event)
                return
            await call.send_chunk(event)
        await call.send_chunk(b"")

    async def _break_off(self, call: Call, event: bytes) -> None:
        """End a stream before an event, within it or within its chunk."""
        how = self.rng.randrange(3)
        if how == 1:
            await call.send_chunk(event[:9])
        elif how == 2:
            await call.stream.send_all(b"%x\r\n%b" % (len(event), event[:9]))
        await call.stream.aclose()
