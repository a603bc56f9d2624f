"""Tunnels: connections to endpoints that lead through a peer, for an instance without its own.

After the handshake the client asks for an endpoint, and the server connects to it. From there on the
server passes bytes in both directions, in frames, so that an endpoint's regular close can be told
from the loss of the tunnel. The client resets the connection to abandon what it has sent; whenever
it ends the tunnel before the endpoint does, the server resets the connection to the endpoint.
"""

from __future__ import annotations

from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import trio

from rattangate.peers.framing import (
    CONNECTION_ERRORS,
    FrameReader,
    PeerProtocolError,
    decode_frame,
    pack_frame,
)
from rattangate.peers.handshake import Purpose, authenticate_to_server
from rattangate.peers.tunnel_codec import (
    TunnelAnswer,
    TunnelFrame,
    TunnelOutcome,
    TunnelRequest,
    decode_answer,
    decode_request,
    encode_answer,
    encode_frame,
    encode_request,
)
from rattangate.peers.tunnel_codec import decode_frame as decode_tunnel_frame
from rattangate.sockets import has_hung_up, reset_on_close, set_socket_options
from rattangate.uploads import Upload

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rattangate.peers.handshake import PeerIdentity

    Connect = Callable[[str, TunnelRequest], Awaitable[trio.SocketStream | TunnelAnswer]]
    ReportRest = Callable[[TunnelRequest, float], None]

MAX_DATA_BYTES = 65_536
# A frame with that much data, and the rest of its fields.
MAX_TUNNEL_FRAME_BYTES = MAX_DATA_BYTES + 1_024
# Frames of a client that are read ahead of the endpoint.
MAX_QUEUED_FRAMES = 16
REQUEST_TIMEOUT_S = 2.0
# After an endpoint's regular close, the server waits so long for the client to close the tunnel:
# closing it with unread bytes would reset it and lose the end.
CLOSE_TIMEOUT_S = 2.0


class TunnelRefused(Exception):  # noqa: N818
    """Report that a peer opened no tunnel, with its answer."""

    def __init__(self, answer: TunnelAnswer) -> None:
        super().__init__(answer.outcome.name.lower())
        self.answer = answer


class TunnelStream(trio.abc.Stream):
    """Carry the bytes of one connection to an endpoint through a peer.

    `is_closing` says that the peer wants no further request on it.
    """

    def __init__(self, stream: trio.SocketStream, reader: FrameReader) -> None:
        self.is_closing = False
        self._stream = stream
        self._reader = reader
        self._has_ended = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket of the connection to the peer."""
        return self._stream.socket

    @property
    def has_buffered(self) -> bool:
        """Tell whether bytes were received that `receive_some` has not returned."""
        return self._reader.has_buffered

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the endpoint."""
        for start in range(0, len(data), MAX_DATA_BYTES):
            piece = bytes(data[start : start + MAX_DATA_BYTES])
            await self._send(TunnelFrame(data=piece))

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending might not block."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes of the endpoint, none after its regular close.

        Raise BrokenResourceError if the tunnel is lost before that. The bytes of a frame are
        returned at once, however large `max_bytes` is.
        """
        while not self._has_ended:
            frame = await self._read()
            if frame.is_cut:
                raise trio.BrokenResourceError("the peer's connection to the endpoint broke")
            self.is_closing = self.is_closing or frame.is_closing
            self._has_ended = frame.is_end
            if frame.data:
                return frame.data
        return b""

    async def report_rest(self, rest_s: float) -> None:
        """Tell the peer that the endpoint wants no requests from it for so many seconds."""
        with suppress(trio.BrokenResourceError):
            await self._send(TunnelFrame(rest_s=rest_s))

    async def aclose(self) -> None:
        """Close the tunnel."""
        await self._stream.aclose()

    async def _send(self, frame: TunnelFrame) -> None:
        await self._stream.send_all(pack_frame(encode_frame(frame)))

    async def _read(self) -> TunnelFrame:
        try:
            data = await self._reader.read(MAX_TUNNEL_FRAME_BYTES)
            frame: TunnelFrame = decode_frame(decode_tunnel_frame, data)
        except (EOFError, OSError, PeerProtocolError) as exc:
            raise trio.BrokenResourceError(f"tunnel lost: {exc!r}") from exc
        return frame


async def open_tunnel(identity: PeerIdentity, address: str, request: TunnelRequest) -> TunnelStream:
    """Open a tunnel through the peer at an address.

    Raise TunnelRefused if the peer opens none, and one of `CONNECTION_ERRORS` without an answer.
    """
    host, port = address.rsplit(":", 1)
    async with AsyncExitStack() as stack:
        stream = await trio.open_tcp_stream(host, int(port))
        stack.push_async_callback(trio.aclose_forcefully, stream)
        set_socket_options(stream.socket)
        reader = FrameReader(stream)
        await authenticate_to_server(identity, reader, stream, Purpose.TUNNEL)
        await stream.send_all(pack_frame(encode_request(request)))
        answer: TunnelAnswer = decode_frame(decode_answer, await reader.read())
        if answer.outcome is not TunnelOutcome.OPENED:
            raise TunnelRefused(answer)
        stack.pop_all()
    return TunnelStream(stream, reader)


class _Queue:
    """Hold the two ends of a queue of bytes."""

    def __init__(self, max_items: int) -> None:
        self.sender, self.receiver = trio.open_memory_channel[bytes](max_items)


@dataclass(slots=True)
class _ServedTunnel:
    """Hold one open tunnel of a peer.

    `queue` holds the client's bytes for the endpoint, and `upload` sends them; `has_ended` tells
    whether the endpoint sends no more.
    """

    request: TunnelRequest
    reader: FrameReader
    peer: trio.SocketStream
    endpoint: trio.SocketStream
    queue: _Queue = field(default_factory=lambda: _Queue(MAX_QUEUED_FRAMES))
    closing: trio.Event = field(default_factory=trio.Event)
    client_closed: trio.Event = field(default_factory=trio.Event)
    upload: Upload = field(default_factory=Upload)
    has_ended: bool = False
    send_lock: trio.Lock = field(default_factory=trio.Lock)

    async def send(self, frame: TunnelFrame) -> None:
        async with self.send_lock:
            await self.peer.send_all(pack_frame(encode_frame(frame)))


class TunnelServer:
    """Serve the tunnels that peers open through this instance.

    `connect` opens a connection to an endpoint for a peer, or says why not; `report_rest` is told
    when an endpoint wants no requests from this instance for some seconds.
    """

    def __init__(self, connect: Connect, report_rest: ReportRest) -> None:
        self._connect = connect
        self._report_rest = report_rest
        self._tunnels: dict[int, _ServedTunnel] = {}

    @property
    def open_count(self) -> int:
        """Return the number of open tunnels."""
        return len(self._tunnels)

    def close_to(self, endpoint: str, incarnation: int) -> None:
        """Ask for no further requests on the tunnels to an endpoint."""
        for tunnel in self._tunnels.values():
            if tunnel.request == TunnelRequest(endpoint, incarnation):
                tunnel.closing.set()

    def close_all(self) -> None:
        """Ask for no further requests on any tunnel."""
        for tunnel in self._tunnels.values():
            tunnel.closing.set()

    async def serve(self, name: str, reader: FrameReader, stream: trio.SocketStream) -> None:
        """Serve one tunnel of an authenticated peer until either side closes."""
        with trio.fail_after(REQUEST_TIMEOUT_S):
            request = decode_frame(decode_request, await reader.read())
            opened = await self._connect(name, request)
        if isinstance(opened, TunnelAnswer):
            await stream.send_all(pack_frame(encode_answer(opened)))
            return
        tunnel = _ServedTunnel(request, reader, stream, opened)
        self._tunnels[id(tunnel)] = tunnel
        try:
            answer = TunnelAnswer(TunnelOutcome.OPENED)
            await stream.send_all(pack_frame(encode_answer(answer)))
            await self._run(tunnel)
        finally:
            del self._tunnels[id(tunnel)]
            if not tunnel.has_ended:
                reset_on_close(opened.socket)
            await trio.aclose_forcefully(opened)

    async def _run(self, tunnel: _ServedTunnel) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_requests, tunnel, nursery.cancel_scope)
            nursery.start_soon(_pass_requests, tunnel)
            nursery.start_soon(_announce_closing, tunnel)
            if await _pass_responses(tunnel):
                with trio.move_on_after(CLOSE_TIMEOUT_S):
                    await tunnel.client_closed.wait()
                tunnel.has_ended = True
            nursery.cancel_scope.cancel()

    async def _read_requests(self, tunnel: _ServedTunnel, scope: trio.CancelScope) -> None:
        """Queue the client's bytes for the endpoint; end the tunnel when the client closes it.

        They are read ahead of an endpoint that is slow to read, to notice the end of the client.
        """
        while True:
            try:
                data = await tunnel.reader.read(MAX_TUNNEL_FRAME_BYTES)
                frame = decode_frame(decode_tunnel_frame, data)
            except CONNECTION_ERRORS:
                tunnel.client_closed.set()
                scope.cancel()
                return
            if frame.rest_s:
                self._report_rest(tunnel.request, frame.rest_s)
            if frame.data:
                await tunnel.queue.sender.send(frame.data)


async def _pass_requests(tunnel: _ServedTunnel) -> None:
    """Pass the queued bytes on until the endpoint takes no more or the client has left."""
    await tunnel.upload.run(partial(_send_queued, tunnel))
    # The endpoint may have answered before it closed, so the rest is read and dropped.
    async for _ in tunnel.queue.receiver:
        pass


async def _send_queued(tunnel: _ServedTunnel) -> None:
    async for data in tunnel.queue.receiver:
        # The client's end may not be read yet, as it lies behind the bytes that it sent before.
        if has_hung_up(tunnel.peer.socket):
            break
        await tunnel.endpoint.send_all(data)


async def _announce_closing(tunnel: _ServedTunnel) -> None:
    await tunnel.closing.wait()
    with suppress(*CONNECTION_ERRORS):
        await tunnel.send(TunnelFrame(is_closing=True))


async def _pass_responses(tunnel: _ServedTunnel) -> bool:
    """Pass the endpoint's bytes on and tell of their end; return whether the client was told."""
    try:
        while data := await tunnel.endpoint.receive_some(MAX_DATA_BYTES):
            await tunnel.send(TunnelFrame(data=bytes(data)))
        await tunnel.upload.stop()
        is_cut = tunnel.upload.is_cut
        await tunnel.send(TunnelFrame(is_end=not is_cut, is_cut=is_cut))
    except CONNECTION_ERRORS:
        return False
    return True
