"""The driver of bookings: carries out the effects of `core.once` for calls to plain services."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from rattangate.core.once import Booking
from rattangate.core.once_messages import (
    AttemptId,
    BookingRequest,
    CallerGone,
    HolderLost,
    KeptAnswer,
    ReadRecord,
    RefuseCaller,
    ReplyToCaller,
    SendBooking,
    SendEnded,
    SendResult,
    Start,
    SwapRecord,
    WakeUp,
)
from rattangate.plain_http import EMPTY_TRUST
from rattangate.records.booking_table import BookingTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.config.model import EndpointCfg
    from rattangate.core.once_messages import BookingEffect, BookingMessage, RecordKey
    from rattangate.platform.store import Store

CONNECT_TIMEOUT_S = 1.0
ANSWER_GRACE_S = 30.0
FIRST_BYTE_EVENT = "http11.send_request_headers.started"


@dataclass(frozen=True, slots=True)
class BookingCall:
    """Describe one call; `path` includes the query."""

    key: RecordKey
    digest: bytes
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    retention_s: float


@dataclass(slots=True)
class _Run:
    call: BookingCall
    booking: Booking
    inbox: list[BookingMessage] = field(default_factory=list)
    arrived: trio.Event = field(default_factory=trio.Event)
    answered: trio.Event = field(default_factory=trio.Event)
    answer: ReplyToCaller | RefuseCaller | None = None
    tried: set[str] = field(default_factory=set)

    def tell(self, msg: BookingMessage) -> None:
        self.inbox.append(msg)
        self.arrived.set()


class _Withdrawn(Exception):  # noqa: N818
    """Stop a send before its first byte."""


class Bookings:
    """Run bookings to their last write, also after their callers went away.

    `choose` returns a live endpoint that is not among those tried; `holder_lost` tells whether
    the process that made an attempt is known to be lost.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        store: Store,
        holder_lost: Callable[[AttemptId], bool],
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._table = BookingTable(store)
        self._holder_lost = holder_lost
        self._numbers = count(1)
        self._running: set[int] = set()
        self._idle = trio.Event()
        self._nursery: trio.Nursery | None = None
        # A new connection for each send, since a kept one may be closed by the other side
        # while the request is written, which would leave its outcome unknown.
        self._http = httpx.AsyncClient(
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
            trust_env=False,
            verify=EMPTY_TRUST,
        )

    async def run(self) -> None:
        """Carry out bookings until cancelled."""
        async with self._http, trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def wait_idle(self) -> None:
        """Wait until no booking runs."""
        while self._running:
            self._idle = trio.Event()
            await self._idle.wait()

    async def call(
        self, call: BookingCall, choose: Callable[[set[str]], EndpointCfg | None]
    ) -> ReplyToCaller | RefuseCaller:
        """Run one booking and return what its caller is told."""
        assert self._nursery is not None
        attempt = AttemptId(self._instance, self._incarnation, next(self._numbers))
        req = BookingRequest(call.key, call.digest, attempt, call.deadline, call.retention_s)
        run = _Run(call, Booking(req))
        self._running.add(attempt.number)
        self._nursery.start_soon(self._drive, run, choose)
        try:
            await run.answered.wait()
        except trio.Cancelled:
            run.tell(CallerGone())
            raise
        assert run.answer is not None
        return run.answer

    async def _drive(self, run: _Run, choose: Callable[[set[str]], EndpointCfg | None]) -> None:
        try:
            async with trio.open_nursery() as nursery:
                run.tell(Start())
                while not run.booking.done:
                    for effect in await self._step(run):
                        self._carry_out(run, effect, nursery, choose)
                nursery.cancel_scope.cancel()
        finally:
            self._running.discard(run.booking.req.attempt.number)
            self._idle.set()

    async def _step(self, run: _Run) -> list[BookingEffect]:
        wake_at = run.booking.wake_at
        with trio.move_on_at(float("inf") if wake_at is None else wake_at):
            await run.arrived.wait()
        run.arrived = trio.Event()
        msgs = [*run.inbox]
        run.inbox.clear()
        holder = run.booking.waits_for
        if holder is not None and self._holder_lost(holder):
            msgs.append(HolderLost(holder.instance, holder.incarnation))
        if not msgs:
            msgs.append(WakeUp())
        now = trio.current_time()
        return [effect for msg in msgs for effect in run.booking.handle(msg, now)]

    def _carry_out(
        self,
        run: _Run,
        effect: BookingEffect,
        nursery: trio.Nursery,
        choose: Callable[[set[str]], EndpointCfg | None],
    ) -> None:
        match effect:
            case SwapRecord():
                nursery.start_soon(self._swap, run, effect)
            case ReadRecord():
                nursery.start_soon(self._read, run, effect)
            case SendBooking():
                nursery.start_soon(self._send, run, effect, choose(run.tried))
            case ReplyToCaller() | RefuseCaller():
                run.answer = effect
                run.answered.set()

    async def _swap(self, run: _Run, effect: SwapRecord) -> None:
        run.tell(await self._table.swap(effect))

    async def _read(self, run: _Run, effect: ReadRecord) -> None:
        run.tell(await self._table.read(effect))

    async def _send(self, run: _Run, effect: SendBooking, endpoint: EndpointCfg | None) -> None:
        if endpoint is None:
            run.tell(SendEnded(effect.call_id, SendResult.UNSENT))
            return
        run.tried.add(endpoint.name)
        begun = False

        async def permit(event: str, info: dict[str, Any]) -> None:
            nonlocal begun
            if event != FIRST_BYTE_EVENT:
                return
            if not run.booking.begin_send(effect.call_id, trio.current_time()):
                raise _Withdrawn
            begun = True

        call = run.call
        time_left_s = max(0.0, call.deadline - trio.current_time()) + ANSWER_GRACE_S
        try:
            resp = await self._http.request(
                call.method,
                f"http://{endpoint.address}{call.path}",
                content=call.body,
                headers=call.headers,
                timeout=httpx.Timeout(time_left_s, connect=CONNECT_TIMEOUT_S),
                extensions={"trace": permit},
            )
        except (httpx.HTTPError, _Withdrawn):
            result = SendResult.LOST if begun else SendResult.UNSENT
            run.tell(SendEnded(effect.call_id, result))
            return
        if _is_refused(resp):
            run.tell(SendEnded(effect.call_id, SendResult.REFUSED))
            return
        content_type = resp.headers.get("Content-Type", "text/plain")
        answer = KeptAnswer(resp.status_code, (("Content-Type", content_type),), resp.content)
        run.tell(SendEnded(effect.call_id, SendResult.ANSWERED, answer))


def _is_refused(resp: httpx.Response) -> bool:
    """Tell whether the endpoint says that it did not run the request."""
    if resp.status_code != httpx.codes.SERVICE_UNAVAILABLE:
        return False
    try:
        body = msgspec.json.decode(resp.content)
    except msgspec.DecodeError:
        return False
    return isinstance(body, dict) and body.get("not_run") is True
