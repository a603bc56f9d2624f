"""One caller's connection: reads requests, writes responses and detects its disconnect."""

from __future__ import annotations

import email.utils
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

import h11
import trio

from rattangate.front.body_buffer import BodyBuffer
from rattangate.front.responder import CallerDisconnected, Responder
from rattangate.sockets import has_hung_up, is_readable
from rattangate.turns import TurnGiver

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from rattangate.connection_budget import ConnectionBudget, Reservation
    from rattangate.core.routes import ConnectionLimits
    from rattangate.platform.requests import Header

READ_BYTES = 65_536
# Of what follows a request: less, as each connection may keep as much.
AHEAD_BYTES = 8_192
BODY_TIMEOUT_S = 10.0
# After a refusal the rest of a request is read for so long, since closing the connection with unread
# bytes would reset it and lose the refusal.
LINGER_S = 2.0
LINGER_BYTES = 524_288
# For a caller whose connection was evicted: other requests are done by then.
EVICTED_RETRY_AFTER_S = 1.0
SEND_TIMEOUT_S = 10.0
# How often a connection from which nothing is read for now is checked for its end.
HANG_UP_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one complete request; `raw_headers` keep the case of the header names.

    `is_body_dropped` says that the body was read but not kept, as the head was not admitted.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    raw_headers: tuple[Header, ...]
    body: bytes
    has_body: bool
    arrived_at: float
    is_body_dropped: bool = False


class RequestRefused(Exception):  # noqa: N818
    """Report a request that is refused while it is read, with the `status` of the response.

    The caller may come back after `retry_after_s` seconds, if that is set.
    """

    def __init__(self, status: int, detail: str, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.status = status
        self.retry_after_s = retry_after_s


def _want_all(req: CallerRequest) -> bool:
    return True


@dataclass(frozen=True, slots=True)
class CallerHandler:
    """Handle the requests of a listener's connections, which count in `budget`.

    `wants_body` tells by the head whether the body of a request is needed.
    """

    handle: Callable[[CallerRequest, Responder], Awaitable[None]]
    budget: ConnectionBudget
    wants_body: Callable[[CallerRequest], bool] = _want_all


class CallerConn:
    """Serve the requests of one connection in sequence."""

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: CallerHandler,
        limits: Callable[[], ConnectionLimits],
        is_closing: Callable[[], bool],
    ) -> None:
        self.is_closing = is_closing
        self._idle_scope: trio.CancelScope | None = None
        self._reading_scope: trio.CancelScope | None = None
        self._is_evicted = False
        self._is_unread = False
        self._reservation: Reservation | None = None
        self._body: BodyBuffer | None = None
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().header_bytes + READ_BYTES
        )

    async def run(self) -> None:
        """Serve until either side closes the connection."""
        try:
            with self._handler.budget.reserve(self._evict) as self._reservation:
                while await self._serve_request():
                    self._parser.start_next_cycle()
            await self._linger()
        except (CallerDisconnected, OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(self._stream)

    def close_if_idle(self) -> None:
        """Close the connection if it waits for its next request."""
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    def _evict(self) -> None:
        """Read no further: all connections together use too much memory."""
        self._is_evicted = True
        if self._body is not None:
            self._body.drop()
        if self._reading_scope is not None:
            self._reading_scope.cancel()

    async def is_caller_connected(self) -> bool:
        """Tell whether the caller has closed the connection, also if no task has noticed yet."""
        while self._has_room_ahead():
            if not is_readable(self._stream.socket):
                return True
            if not await self._read_ahead():
                return False
        return not has_hung_up(self._stream.socket)

    async def send(self, event: h11.Event) -> None:
        """Send one h11 event of a response; raise CallerDisconnected if that fails or times out."""
        data = self._parser.send(event)
        if data:
            try:
                with trio.fail_after(SEND_TIMEOUT_S):
                    await self._stream.send_all(data)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
                raise CallerDisconnected from exc

    async def _serve_request(self) -> bool:
        try:
            req = await self._read_unless_evicted()
        except RequestRefused as exc:
            self._is_unread = True
            await self._refuse(exc)
            return False
        if req is None:
            return False
        with self._not_evictable():
            self._report_usage(len(req.body))
            is_reusable = await self._handle_request(req)
        del req
        self._report_usage(0)
        return is_reusable

    async def _handle_request(self, req: CallerRequest) -> bool:
        """Let the request be handled; tell whether the connection can carry another one."""
        responder = Responder(self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_disconnect, responder, nursery.cancel_scope)
            with suppress(CallerDisconnected):
                await self._handler.handle(req, responder)
            nursery.cancel_scope.cancel()
        if not responder.is_complete or self.is_closing():
            return False
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    @contextmanager
    def _not_evictable(self) -> Iterator[None]:
        """Keep the connection from being evicted: its request may have been passed on."""
        assert self._reservation is not None
        self._reservation.set_evictable(False)
        try:
            yield
        finally:
            self._reservation.set_evictable(True)

    def _report_usage(self, received_bytes: int) -> None:
        """Report the bytes that the connection keeps: `received_bytes` of a body, and what is unread."""
        assert self._reservation is not None
        self._reservation.update(received_bytes + len(self._parser.trailing_data[0]))

    async def _read_unless_evicted(self) -> CallerRequest | None:
        """Read a request; refuse it if the connection is evicted meanwhile."""
        with trio.CancelScope() as scope:
            self._reading_scope = scope
            if self._is_evicted:
                scope.cancel()
            try:
                return await self._read_request()
            finally:
                self._reading_scope = None
        if self._parser.their_state is h11.IDLE and not self._parser.trailing_data[0]:
            return None
        raise RequestRefused(503, "too many requests are being read", EVICTED_RETRY_AFTER_S)

    async def _read_request(self) -> CallerRequest | None:
        event = await self._read_head()
        if event is None:
            return None
        headers = dict(event.headers)
        has_body = b"content-length" in headers or b"transfer-encoding" in headers
        req = CallerRequest(
            event.method,
            event.target,
            tuple(event.headers),
            tuple(event.headers.raw_items()),
            b"",
            has_body,
            trio.current_time(),
        )
        if int(headers.get(b"content-length", 0)) > self._limits().body_bytes:
            raise _body_too_large()
        if self._parser.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        return await self._read_body(req)

    async def _read_head(self) -> h11.Request | None:
        """Read a request head; return None if the connection closes or idles out before it."""
        limits = self._limits()
        if not self._parser.trailing_data[0]:
            with trio.move_on_after(limits.idle_timeout_s) as scope:
                self._idle_scope = scope
                data = await self._stream.receive_some(READ_BYTES)
            self._idle_scope = None
            if scope.cancelled_caught or not data:
                return None
            self._parser.receive_data(data)
            self._report_usage(0)
        with trio.move_on_after(limits.header_timeout_s):
            event = await self._next_event(limits.header_bytes)
            return event if isinstance(event, h11.Request) else None
        raise RequestRefused(408, "the head of the request came too slowly")

    async def _read_body(self, req: CallerRequest) -> CallerRequest:
        """Return the request with its body, which is dropped if it is large and not wanted."""
        limits = self._limits()
        body = self._body = BodyBuffer(self._report_usage, partial(self._handler.wants_body, req))
        turn_giver = TurnGiver()
        with trio.move_on_after(BODY_TIMEOUT_S):
            while True:
                await turn_giver.count_item()
                event = await self._next_event(limits.header_bytes)
                if isinstance(event, h11.EndOfMessage):
                    self._body = None
                    return replace(req, body=body.take(), is_body_dropped=body.is_dropped)
                if not isinstance(event, h11.Data):
                    raise CallerDisconnected
                body.add(event.data)
                if body.size > limits.body_bytes:
                    raise _body_too_large()
        raise RequestRefused(408, "the body of the request came too slowly")

    async def _next_event(self, max_head_bytes: int) -> h11.Event:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise RequestRefused(exc.error_status_hint, str(exc)) from exc
            if event is h11.NEED_DATA:
                if self._head_size() > max_head_bytes:
                    raise RequestRefused(431, "the head of the request exceeds the limit")
                self._parser.receive_data(await self._stream.receive_some(READ_BYTES))
                if self._parser.their_state is h11.IDLE:
                    self._report_usage(0)
            elif isinstance(event, h11.Event):
                return event
            else:
                raise CallerDisconnected

    def _head_size(self) -> int:
        is_in_head = self._parser.their_state is h11.IDLE
        return len(self._parser.trailing_data[0]) if is_in_head else 0

    async def _watch_for_disconnect(self, responder: Responder, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller disconnects; buffer requests that it pipelines."""
        while await self._wait_ahead():
            pass
        responder.has_caller_left = not responder.is_complete
        scope.cancel()

    async def _wait_ahead(self) -> bool:
        """Wait for more from the caller; tell whether it is still connected."""
        if self._has_room_ahead():
            return await self._read_ahead()
        await trio.sleep(HANG_UP_POLL_S)
        return not has_hung_up(self._stream.socket)

    async def _read_ahead(self) -> bool:
        """Receive what follows the current request; tell whether the caller is still connected."""
        try:
            data = await self._stream.receive_some(AHEAD_BYTES)
        except (OSError, trio.BrokenResourceError):
            return False
        if data:
            self._parser.receive_data(data)
        return bool(data)

    def _has_room_ahead(self) -> bool:
        return len(self._parser.trailing_data[0]) <= AHEAD_BYTES

    async def _refuse(self, exc: RequestRefused) -> None:
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(exc).encode() + b"\n"
        headers = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
            (b"Date", email.utils.formatdate(usegmt=True).encode()),
        ]
        if exc.retry_after_s is not None:
            headers.append((b"Retry-After", f"{exc.retry_after_s:g}".encode()))
        await self.send(h11.Response(status_code=exc.status, headers=headers))
        await self.send(h11.Data(data=body))
        await self.send(h11.EndOfMessage())

    async def _linger(self) -> None:
        """Read the rest of a refused request for a while, so that the caller gets the refusal."""
        budget = self._handler.budget
        if not self._is_unread or self.is_closing() or budget.is_full:
            return
        await self._stream.send_eof()
        # What the parser has not read yet is needed no more.
        self._parser = h11.Connection(h11.SERVER)
        size = 0
        with trio.move_on_after(LINGER_S) as scope, budget.reserve(scope.cancel):
            while size < LINGER_BYTES and (data := await self._stream.receive_some(AHEAD_BYTES)):
                size += len(data)


def _body_too_large() -> RequestRefused:
    return RequestRefused(413, "the body exceeds the limit of its size")
