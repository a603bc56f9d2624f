"""Run bookings: calls to plain services that must not be executed twice.

The state machine of `core.at_most_once` decides; this module performs its effects: it reads and swaps
records in the platform's table, sends requests and returns answers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from rattangate.core.at_most_once import Booking
from rattangate.core.at_most_once_messages import (
    AttemptId,
    BookingRequest,
    CallerGone,
    HolderLost,
    ReadRecord,
    RefuseCaller,
    ReplyToCaller,
    SendBooking,
    SendEnded,
    SendResult,
    Start,
    StoredAnswer,
    SwapRecord,
    WakeUp,
)
from rattangate.json_decoding import decode_json
from rattangate.records.booking_table import BookingTable
from rattangate.strict_transport import StrictTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.config.model import EndpointCfg
    from rattangate.core.at_most_once_messages import BookingEffect, BookingMessage, RecordKey
    from rattangate.platform.store import Store

CONNECT_TIMEOUT_S = 1.0
ANSWER_GRACE_S = 30.0
FIRST_BYTE_EVENT = "http11.send_request_headers.started"


@dataclass(frozen=True, slots=True)
class BookingCall:
    """Describe one call; `path` includes the query string.

    `digest` identifies the content of the request. `deadline` is in seconds on the clock of trio
    and `retention_s` is how long the record must be kept.
    """

    key: RecordKey
    digest: bytes
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    retention_s: float


@dataclass(slots=True)
class _ActiveBooking:
    """Hold a running booking: its state machine, its pending messages and its result."""

    call: BookingCall
    booking: Booking
    inbox: list[BookingMessage] = field(default_factory=list)
    message_posted: trio.Event = field(default_factory=trio.Event)
    answered: trio.Event = field(default_factory=trio.Event)
    answer: ReplyToCaller | RefuseCaller | None = None
    tried_endpoints: set[str] = field(default_factory=set)

    def post(self, msg: BookingMessage) -> None:
        self.inbox.append(msg)
        self.message_posted.set()


class _SendCancelledError(Exception):
    """Cancel a request before its first byte is sent."""


class BookingRunner:
    """Run bookings until their record is final, even after their callers have disconnected.

    `is_holder_lost` tells whether the process that made an attempt is known to have ended.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        store: Store,
        is_holder_lost: Callable[[AttemptId], bool],
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._table = BookingTable(store)
        self._is_holder_lost = is_holder_lost
        self._attempt_numbers = count(1)
        self._active_attempts: set[int] = set()
        self._idle = trio.Event()
        self._nursery: trio.Nursery | None = None
        # Each request gets a new connection: the endpoint may close a kept-alive connection
        # while a request is written to it, which would leave the outcome unknown.
        self._http = httpx.AsyncClient(
            transport=StrictTransport(
                httpx.Limits(max_connections=None, max_keepalive_connections=0)
            ),
            trust_env=False,
        )

    async def run(self) -> None:
        """Run bookings until cancelled."""
        async with self._http, trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def wait_idle(self) -> None:
        """Wait until no booking is running."""
        while self._active_attempts:
            self._idle = trio.Event()
            await self._idle.wait()

    async def call(
        self, call: BookingCall, choose_endpoint: Callable[[set[str]], EndpointCfg | None]
    ) -> ReplyToCaller | RefuseCaller:
        """Run one booking and return the answer or failure for its caller.

        `choose_endpoint` returns a live endpoint that is not among those already tried.
        """
        assert self._nursery is not None
        attempt = AttemptId(self._instance, self._incarnation, next(self._attempt_numbers))
        req = BookingRequest(call.key, call.digest, attempt, call.deadline, call.retention_s)
        active = _ActiveBooking(call, Booking(req))
        self._active_attempts.add(attempt.number)
        self._nursery.start_soon(self._run_booking, active, choose_endpoint)
        try:
            await active.answered.wait()
        except trio.Cancelled:
            active.post(CallerGone())
            raise
        assert active.answer is not None
        return active.answer

    async def _run_booking(
        self, active: _ActiveBooking, choose_endpoint: Callable[[set[str]], EndpointCfg | None]
    ) -> None:
        try:
            async with trio.open_nursery() as nursery:
                active.post(Start())
                while not active.booking.done:
                    for effect in await self._process_messages(active):
                        self._execute(active, effect, nursery, choose_endpoint)
                nursery.cancel_scope.cancel()
        finally:
            self._active_attempts.discard(active.booking.req.attempt.number)
            self._idle.set()

    async def _process_messages(self, active: _ActiveBooking) -> list[BookingEffect]:
        wake_at = active.booking.wake_at
        with trio.move_on_at(float("inf") if wake_at is None else wake_at):
            await active.message_posted.wait()
        active.message_posted = trio.Event()
        msgs = [*active.inbox]
        active.inbox.clear()
        holder = active.booking.waits_for
        if holder is not None and self._is_holder_lost(holder):
            msgs.append(HolderLost(holder.instance, holder.incarnation))
        if not msgs:
            msgs.append(WakeUp())
        now = trio.current_time()
        return [effect for msg in msgs for effect in active.booking.handle(msg, now)]

    def _execute(
        self,
        active: _ActiveBooking,
        effect: BookingEffect,
        nursery: trio.Nursery,
        choose_endpoint: Callable[[set[str]], EndpointCfg | None],
    ) -> None:
        match effect:
            case SwapRecord():
                nursery.start_soon(self._swap, active, effect)
            case ReadRecord():
                nursery.start_soon(self._read, active, effect)
            case SendBooking():
                nursery.start_soon(
                    self._send, active, effect, choose_endpoint(active.tried_endpoints)
                )
            case ReplyToCaller() | RefuseCaller():
                active.answer = effect
                active.answered.set()

    async def _swap(self, active: _ActiveBooking, effect: SwapRecord) -> None:
        active.post(await self._table.swap(effect))

    async def _read(self, active: _ActiveBooking, effect: ReadRecord) -> None:
        active.post(await self._table.read(effect))

    async def _send(
        self, active: _ActiveBooking, effect: SendBooking, endpoint: EndpointCfg | None
    ) -> None:
        if endpoint is None:
            active.post(SendEnded(effect.call_id, SendResult.UNSENT))
            return
        active.tried_endpoints.add(endpoint.name)
        send_started = False

        async def check_permission(event: str, info: dict[str, Any]) -> None:
            nonlocal send_started
            if event != FIRST_BYTE_EVENT:
                return
            if not active.booking.begin_send(effect.call_id, trio.current_time()):
                raise _SendCancelledError
            send_started = True

        call = active.call
        timeout_s = max(0.0, call.deadline - trio.current_time()) + ANSWER_GRACE_S
        try:
            resp = await self._http.request(
                call.method,
                f"http://{endpoint.address}{call.path}",
                content=call.body,
                headers=call.headers,
                timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
                extensions={"trace": check_permission},
            )
        except (httpx.HTTPError, _SendCancelledError):
            result = SendResult.LOST if send_started else SendResult.UNSENT
            active.post(SendEnded(effect.call_id, result))
            return
        if _is_refused(resp):
            active.post(SendEnded(effect.call_id, SendResult.REFUSED))
            return
        content_type = resp.headers.get("Content-Type", "text/plain")
        answer = StoredAnswer(resp.status_code, (("Content-Type", content_type),), resp.content)
        active.post(SendEnded(effect.call_id, SendResult.ANSWERED, answer))


def _is_refused(resp: httpx.Response) -> bool:
    """Tell whether the endpoint states that it did not execute the request."""
    if resp.status_code != httpx.codes.SERVICE_UNAVAILABLE:
        return False
    try:
        body = decode_json(resp.content)
    except msgspec.DecodeError:
        return False
    return isinstance(body, dict) and body.get("not_run") is True
