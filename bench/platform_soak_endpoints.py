"""The endpoints of the platform soak: they break streams off, fall silent, and restart under their id."""

from __future__ import annotations

import socket
import struct
import time
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, cast

import trio

from bench.platform_soak_operator import ENGINE_SERVICES
from tests.front.deployment import MODEL, Replica

if TYPE_CHECKING:
    import random

    from rattangate.standins.rows_store import RowsStore
    from tests.front.deployment import Call

HEARTBEAT_S = 1.2
EVENTS = 30
EVENT_S = 0.06
WORK_S = 0.02
AWAY_S = 0.7
BREAK_SHARE = 0.3
VERSIONS = ("v1", "v2")
# Closing a connection with this option resets it.
NO_LINGER = struct.pack("ii", 1, 0)
CLOSED_FILENO = -1


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
    keeps_software: bool = False
    software: str = VERSIONS[0]
    is_up: bool = False
    silent_until: float = 0.0
    _scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Run one incarnation after the other until cancelled."""
        while True:
            with trio.CancelScope() as self._scope:
                await self._run_incarnation()
            self.is_up = False
            await trio.sleep(AWAY_S)
            if not self.keeps_software:
                self.software = self.rng.choice(VERSIONS)

    @property
    def is_engine(self) -> bool:
        """Tell whether the endpoint streams."""
        return self.service in ENGINE_SERVICES

    @property
    def software_label(self) -> str:
        """Return what each event says of its origin."""
        return f"{self.service}/{self.software}"

    async def wait_while_silent(self) -> None:
        """Wait until the endpoint writes again."""
        while trio.current_time() < self.silent_until:
            await trio.sleep_until(self.silent_until)

    def restart(self) -> None:
        """End the incarnation; the next one starts soon, under the same id."""
        if self._scope is not None:
            self._scope.cancel()

    async def _run_incarnation(self) -> None:
        born = time.time_ns() // 1_000_000
        handler = partial(self._answer, born)
        replica = _SoakReplica(self.name, self.address, handler, born=born, endpoint=self)
        self.is_up = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replica.run)
            while True:
                self.store.put("servers", self.name, self._entry(born))
                await trio.sleep(HEARTBEAT_S)

    def _entry(self, born: int) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": "riverside",
            "version": self.software,
            "slots": 64 if self.is_engine else 6,
            "state": "ready",
            "born": born,
            "models": [{"name": MODEL, "version": 1}] if self.is_engine else [],
        }

    async def _answer(self, born: int, call: Call) -> None:
        attempt = call.headers["x-attempt-id"]
        if call.headers.get("x-target-instance", self.name) != self.name:
            await call.refuse(421)
            return
        self.ran[attempt] = self.ran.get(attempt, 0) + 1
        if self.is_engine:
            await self._stream(call)
            return
        await trio.sleep(WORK_S)
        await call.respond(200, attempt.encode())

    async def _stream(self, call: Call) -> None:
        """Stream the events that are left, each with service and software, or break off."""
        first = int(call.headers.get("last-event-id", "0")) + 1
        breaks_off = self.breaks_streams and self.rng.random() < BREAK_SHARE
        last = self.rng.randint(first, EVENTS) if breaks_off and first < EVENTS else None
        label = self.software_label
        await call.start_stream()
        for number in range(first, EVENTS + 1):
            await trio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {label}\n\n".encode()
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


@dataclass
class _SoakReplica(Replica):
    """Write nothing while the endpoint is silent, and reset all connections at its end."""

    endpoint: SoakEndpoint | None = None

    async def _serve(self, stream: trio.SocketStream) -> None:
        assert self.endpoint is not None
        try:
            await super()._serve(cast("trio.SocketStream", _SilentStream(stream, self.endpoint)))
        except trio.Cancelled:
            if stream.socket.fileno() != CLOSED_FILENO:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            raise


@dataclass(frozen=True)
class _SilentStream:
    """Pass a connection on, but for writes and the end while the endpoint is silent."""

    stream: trio.SocketStream
    endpoint: SoakEndpoint

    async def receive_some(self) -> bytes:
        return bytes(await self.stream.receive_some())

    async def send_all(self, data: bytes) -> None:
        await self.endpoint.wait_while_silent()
        await self.stream.send_all(data)

    async def aclose(self) -> None:
        await self.endpoint.wait_while_silent()
        await self.stream.aclose()
