"""Keep-alive connections to endpoints, with one request and response at a time on each."""

from __future__ import annotations

import socket
from contextlib import AsyncExitStack, ExitStack, aclosing, suppress
from dataclasses import dataclass
from functools import partial, singledispatch
from typing import TYPE_CHECKING

import h11
import trio

from rattangate.answer_heads import find_head_fault
from rattangate.peers.tunnels import TunnelStream
from rattangate.platform.requests import Header, decode_answer
from rattangate.sockets import is_readable, reset_on_close, set_socket_options
from rattangate.turns import TurnGiver
from rattangate.uploads import Upload

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from rattangate.platform.requests import AnswerHead

    EndpointStream = trio.SocketStream | TunnelStream
    OpenStream = Callable[[], Awaitable[EndpointStream]]

CONNECT_TIMEOUT_S = 0.4
READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A connection is closed this long before the idle timeout that the endpoint has announced.
IDLE_MARGIN_S = 0.5
MAX_MISMATCHED_RESPONSES = 3
MAX_MISMATCHED_BYTES = 262_144
MAX_INTERIM_RESPONSES = 8
# A request up to this size is sent before its response is read.
SMALL_REQUEST_BYTES = 4_096
# A request up to this size is copied, so that it is sent at once; the body of a longer one is not.
JOINED_REQUEST_BYTES = 65_536


class ConnectFailed(Exception):  # noqa: N818
    """Report that no connection could be opened, so that no byte of the request was sent."""


class ExchangeLost(Exception):  # noqa: N818
    """Report a request that was sent, at least in part, and got no valid response."""


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """Hold a request as it goes to an endpoint."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    attempt_id: str


class EndpointConn:
    """Hold one connection to an endpoint; `exchanges` counts the requests on it.

    `is_identified` tells that the endpoint said on it that it is the incarnation of the pool.
    """

    def __init__(self, stream: EndpointStream) -> None:
        self.usable_until = trio.current_time() + DEFAULT_IDLE_TIMEOUT_S
        self.exchanges = 0
        self.is_identified = False
        self._stream = stream
        self._unread = b""

    def is_reusable(self) -> bool:
        """Tell whether the connection is open, has not timed out and has no unread bytes."""
        if self._unread or _is_used_up(self._stream) or trio.current_time() >= self.usable_until:
            return False
        return not is_readable(self._stream.socket)

    @property
    def is_direct(self) -> bool:
        """Tell whether the connection leads to the endpoint without a peer between."""
        return not isinstance(self._stream, TunnelStream)

    async def send(self, data: bytes) -> None:
        """Send bytes; raise one of `SEND_ERRORS` if the connection breaks."""
        await self._stream.send_all(data)

    async def receive(self) -> bytes:
        """Receive bytes; raise ExchangeLost if the connection breaks."""
        if self._unread:
            data, self._unread = self._unread, b""
            return data
        try:
            return await self._stream.receive_some(READ_BYTES)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ExchangeLost(f"receiving the response failed: {exc!r}") from exc

    def unread(self, data: bytes) -> None:
        """Keep bytes that were received beyond a response for the next `receive`."""
        self._unread = data

    async def report_rest(self, rest_s: float) -> None:
        """Tell the peer through which the connection leads of the endpoint's Retry-After."""
        if isinstance(self._stream, TunnelStream):
            await self._stream.report_rest(rest_s)

    async def abort(self) -> None:
        """Reset the connection, so that no byte that the network still holds arrives later."""
        with suppress(OSError):
            reset_on_close(self._stream.socket)
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connection."""
        with trio.CancelScope(shield=True), trio.move_on_after(0):
            await trio.aclose_forcefully(self._stream)


class EndpointPool:
    """Open and keep the connections to one incarnation of an endpoint.

    They are opened directly unless another path is set.
    """

    def __init__(self, address: str, nursery: trio.Nursery) -> None:
        self.address = address
        self.nursery = nursery
        self.opened = 0
        self._idle: list[EndpointConn] = []
        self._is_closed = False
        self._open_path: OpenStream | None = None

    def use_path(self, open_path: OpenStream | None) -> None:
        """Open connections with `open_path` from now on, None for directly.

        Idle connections of another path are closed.
        """
        self._open_path = open_path
        idle, self._idle = self._idle, []
        for conn in idle:
            if conn.is_direct is (open_path is None):
                self._idle.append(conn)
            else:
                self.nursery.start_soon(conn.aclose)

    async def acquire(self) -> EndpointConn:
        """Return an idle connection or a new one; raise ConnectFailed if none can be opened."""
        while self._idle:
            conn = self._idle.pop()
            if conn.is_reusable():
                return conn
            await conn.aclose()
        return await self.open()

    async def probe(self) -> bool:
        """Open one direct connection for later use; tell whether that succeeded."""
        try:
            await self.release(EndpointConn(await open_directly(self.address)))
        except ConnectFailed:
            return False
        return True

    async def release(self, conn: EndpointConn) -> None:
        """Keep a connection for later requests, or close it if the pool is closed."""
        if self._is_closed:
            await conn.aclose()
        else:
            self._idle.append(conn)

    async def sweep(self) -> None:
        """Close the idle connections that timed out, were closed or got unexpected bytes."""
        unusable = [conn for conn in self._idle if not conn.is_reusable()]
        for conn in unusable:
            self._idle.remove(conn)
        for conn in unusable:
            await conn.aclose()

    async def aclose(self) -> None:
        """Close the idle connections; those in use close when they are released."""
        self._is_closed = True
        while self._idle:
            await self._idle.pop().aclose()

    async def open(self) -> EndpointConn:
        """Open a connection; raise ConnectFailed if that fails."""
        self.opened += 1
        if self._open_path is not None:
            return EndpointConn(await self._open_path())
        return EndpointConn(await open_directly(self.address))


async def open_directly(address: str) -> trio.SocketStream:
    """Connect to an endpoint; raise ConnectFailed if that fails or takes too long."""
    host, port = address.rsplit(":", 1)
    try:
        with ExitStack() as stack, trio.fail_after(CONNECT_TIMEOUT_S):
            sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stack.callback(sock.close)
            await sock.connect((host, int(port)))
            set_socket_options(sock)
            stream = trio.SocketStream(sock)
            stack.pop_all()
    except (OSError, trio.TooSlowError) as exc:
        raise ConnectFailed(f"connecting to {address} failed: {exc!r}") from exc
    return stream


@singledispatch
def _is_used_up(stream: EndpointStream) -> bool:
    """Tell whether a connection holds bytes already or must not be used again."""
    return False


@_is_used_up.register
def _is_tunnel_used_up(stream: TunnelStream) -> bool:
    return stream.has_buffered or stream.is_closing


class Exchange:
    """Send one request and read its response."""

    def __init__(self, pool: EndpointPool, conn: EndpointConn, req: OutboundRequest) -> None:
        self.response_head: AnswerHead
        self.headers: list[Header] = []
        self._pool = pool
        self._conn = conn
        self._req = req
        self._parser = _new_parser(req)
        self._is_send_started = False
        self._upload = Upload()
        self._is_response_complete = False

    async def read_head(self) -> None:
        """Read the status and headers of the response, skipping responses to other requests.

        Raise ExchangeLost if none comes.
        """
        for _ in range(MAX_MISMATCHED_RESPONSES):
            event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise ExchangeLost(f"expected a response head, got {type(event).__name__}")
            self.headers = list(event.headers.raw_items())
            self.response_head = decode_answer(event.status_code, event.headers)
            if self._answers_request(self.response_head.attempt_id):
                return
            await self._skip_mismatched_response()
        raise ExchangeLost(
            f"{MAX_MISMATCHED_RESPONSES} responses to other requests instead of the expected one"
        )

    def _answers_request(self, attempt_id: str) -> bool:
        """Tell whether a response is for this request.

        Without an id it may be for an earlier one on a kept connection, unless the request has none.
        """
        if attempt_id:
            return attempt_id == self._req.attempt_id
        if self._conn.exchanges > 1 and self._req.attempt_id:
            raise ExchangeLost("response on a kept connection does not name its request")
        return True

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the response body; raise ExchangeLost if it is truncated."""
        turn_giver = TurnGiver()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                await turn_giver.count_item()
            elif isinstance(event, h11.EndOfMessage):
                self._is_response_complete = True
                return
            else:
                raise ExchangeLost(f"expected response data, got {type(event).__name__}")

    async def send_request(self) -> None:
        """Send the whole request; send a long one in the background while the response is read.

        A connection that breaks during sending is detected when the response is read.
        """
        self._is_send_started = True
        self._conn.exchanges += 1
        parts = _encode(self._req)
        size = sum(map(len, parts))
        if size <= JOINED_REQUEST_BYTES:
            parts = [b"".join(parts)]
        if size <= SMALL_REQUEST_BYTES:
            await self._upload.run(partial(self._send, parts))
        else:
            self._pool.nursery.start_soon(self._upload.run, partial(self._send, parts))

    async def report_rest(self, rest_s: float) -> None:
        """Tell the peer through which the request went of the endpoint's Retry-After."""
        await self._conn.report_rest(rest_s)

    async def finish(self) -> None:
        """Release the connection if it can carry another exchange, else end it."""
        if not self._is_send_started:
            await self._pool.release(self._conn)
            return
        if not self._is_response_complete:
            await self._conn.abort()
            return
        if not self.is_conn_reusable():
            await self._conn.aclose()
            return
        idle_s = self.response_head.idle_timeout_s
        idle_s = DEFAULT_IDLE_TIMEOUT_S if idle_s is None else max(0.0, idle_s - IDLE_MARGIN_S)
        self._conn.usable_until = trio.current_time() + idle_s
        await self._pool.release(self._conn)

    def is_conn_reusable(self) -> bool:
        """Tell whether the connection can carry another exchange after this one."""
        if not self._upload.is_complete:
            return False
        trailing, is_closed = self._parser.trailing_data
        return not trailing and not is_closed and self._parser.their_state is h11.DONE

    async def _send(self, parts: list[bytes]) -> None:
        for part in parts:
            await self._conn.send(part)

    async def _receive(self) -> bytes:
        data = await self._conn.receive()
        if not data:
            await self._upload.stop()
            if self._upload.is_cut:
                raise ExchangeLost("the connection broke while the request was sent")
        return data

    async def _skip_mismatched_response(self) -> None:
        size = 0
        async with aclosing(self.chunks()) as chunks:
            async for data in chunks:
                size += len(data)
                if size > MAX_MISMATCHED_BYTES:
                    raise ExchangeLost(
                        f"response to another request exceeds {MAX_MISMATCHED_BYTES} bytes"
                    )
        self._is_response_complete = False
        trailing, _ = self._parser.trailing_data
        self._parser = _new_parser(self._req)
        self._conn.unread(trailing)

    async def _next_event(self) -> h11.Event:
        interim_count = 0
        while True:
            self._check_head()
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise ExchangeLost(f"malformed response: {exc}") from exc
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._receive())
            elif isinstance(event, h11.InformationalResponse):
                interim_count += 1
                if interim_count > MAX_INTERIM_RESPONSES:
                    raise ExchangeLost(f"more than {MAX_INTERIM_RESPONSES} interim responses")
            elif isinstance(event, h11.Event):
                return event
            else:
                raise ExchangeLost(f"expected a response, got parser state {event}")

    def _check_head(self) -> None:
        """Raise ExchangeLost if what has arrived of the head of a response is malformed."""
        if self._parser.their_state is not h11.SEND_RESPONSE:
            return
        fault = find_head_fault(self._parser.trailing_data[0])
        if fault is not None:
            raise ExchangeLost(f"malformed response: {fault}")


async def open_exchange(
    pool: EndpointPool, req: OutboundRequest, stack: AsyncExitStack
) -> Exchange:
    """Take a connection for a request, of which nothing is sent; raise ConnectFailed without one."""
    return begin_exchange(pool, await pool.acquire(), req, stack)


def begin_exchange(
    pool: EndpointPool, conn: EndpointConn, req: OutboundRequest, stack: AsyncExitStack
) -> Exchange:
    """Use a connection for a request; the stack ends the exchange."""
    exchange = Exchange(pool, conn, req)
    stack.push_async_callback(exchange.finish)
    return exchange


def _new_parser(req: OutboundRequest) -> h11.Connection:
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    _send_request(parser, req)
    return parser


def _encode(req: OutboundRequest) -> list[bytes]:
    """Return the parts of a request; its body is not copied."""
    return _send_request(h11.Connection(h11.CLIENT), req)


def _send_request(parser: h11.Connection, req: OutboundRequest) -> list[bytes]:
    events: list[h11.Event] = [
        h11.Request(method=req.method, target=req.target, headers=req.headers)
    ]
    if req.body:
        events.append(h11.Data(data=req.body))
    events.append(h11.EndOfMessage())
    return [part for event in events for part in parser.send_with_data_passthrough(event) or ()]
