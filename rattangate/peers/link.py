"""The connections between entry instances on which they send updates to each other.

An instance sends updates on the connections that it opens and receives them on those that it
accepts. A peer that closes all of them and refuses new ones is gone: its process has ended.
"""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.listeners import listen
from rattangate.log_events import LogEvent, log
from rattangate.peers.codec import decode_update, encode_update
from rattangate.peers.framing import (
    CONNECTION_ERRORS,
    FrameReader,
    PeerProtocolError,
    decode_frame,
    pack_frame,
)
from rattangate.peers.handshake import (
    HANDSHAKE_TIMEOUT_S,
    Purpose,
    authenticate_client,
    authenticate_to_server,
)
from rattangate.sockets import set_socket_options

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection, Iterable

    from rattangate.peers.codec import PeerUpdate
    from rattangate.peers.handshake import Client, PeerIdentity

    ServeTunnel = Callable[[str, FrameReader, trio.SocketStream], Awaitable[None]]

SEND_TIMEOUT_S = 2.0
# Least time between the starts of two attempts to connect to a peer.
RECONNECT_INTERVAL_S = 0.25
# Updates that waited longer are outdated, and a relay holds one queue for each peer that lags
# behind.
MAX_QUEUED_WRITES = 32
# The first update on a connection may be long.
INITIAL_UPDATE_TIMEOUT_S = 10.0
# A peer that lags gets the first update again no more often than at this interval.
INITIAL_UPDATE_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class ReceivedUpdate:
    """Hold an update, the name of the peer that sent it, and its frame, to forward as it is."""

    via: str
    update: PeerUpdate
    frame: bytes


@dataclass(slots=True)
class DroppedWrites:
    """Count the writes that were dropped because the queues of their peers were full.

    `peers` is the number of peers whose queues are full, and `queued_bytes` what those hold.
    """

    writes: int = 0
    peers: int = 0
    queued_bytes: int = 0


class PeerLinks:
    """Send updates to peers and receive theirs.

    `peers` maps the names of the peers to their addresses. `receive` is called with each update
    that arrives; with `accepts_relayed`, a peer may forward updates of other instances.
    `make_initial_update` returns the first update on each connection. `serve_tunnel` serves a
    connection on which a peer asks for a tunnel to an endpoint; without it none is served.
    `on_gone` is called with the name of a peer that is gone, at each attempt to connect to it.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        peers: dict[str, str],
        receive: Callable[[ReceivedUpdate], None],
        make_initial_update: Callable[[], PeerUpdate],
        accepts_relayed: bool = False,
        serve_tunnel: ServeTunnel | None = None,
        on_gone: Callable[[str], None] | None = None,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._on_update = receive
        self._make_initial_update = make_initial_update
        self._accepts_relayed = accepts_relayed
        self._serve_tunnel = serve_tunnel
        self._on_gone = on_gone
        # The numbers of connections that the peers have open to this instance.
        self._accepted: Counter[str] = Counter()
        self._connected = frozenset(peers)
        self._queues: dict[str, trio.MemorySendChannel[bytes]] = {}
        self._cancel_scopes: dict[str, trio.CancelScope] = {}
        self._reconnect_events: dict[str, trio.Event] = {}
        # Peers for which updates were dropped, so that they need the first update again.
        self._lagging: set[str] = set()
        self._next_initial_at: dict[str, float] = {}
        self._dropped_writes: Counter[str] = Counter()
        self._queued_bytes: Counter[str] = Counter()
        self._nursery: trio.Nursery | None = None

    def send(self, update: PeerUpdate) -> None:
        """Queue an update for every connected peer; drop it for a peer whose queue is full."""
        self.send_frames(self._queues, (encode_update(update),))

    def send_to(self, name: str, update: PeerUpdate) -> None:
        """Queue an update for one peer; drop it if the peer is unknown or its queue is full."""
        self.send_frames((name,), (encode_update(update),))

    def send_frames(self, names: Iterable[str], frames: Iterable[bytes]) -> None:
        """Queue encoded updates for some peers, to be sent in one write.

        They are dropped for a peer that is unknown or whose queue is full.
        """
        data = b"".join(map(pack_frame, frames))
        for name in names:
            queue = self._queues.get(name)
            if queue is None:
                continue
            try:
                queue.send_nowait(data)
                self._queued_bytes[name] += len(data)
            except trio.WouldBlock:
                self._lagging.add(name)
                self._dropped_writes[name] += 1

    def take_dropped(self) -> DroppedWrites:
        """Return what was dropped since the last call."""
        dropped, self._dropped_writes = self._dropped_writes, Counter()
        queued_bytes = sum(self._queued_bytes[name] for name in dropped)
        return DroppedWrites(dropped.total(), len(dropped), queued_bytes)

    def resend_initial_update(self, names: Iterable[str]) -> None:
        """Send the first update again to some peers, after the next frame for each."""
        self._lagging.update(names)

    def set_peers(self, peers: dict[str, str], connected: Collection[str] | None = None) -> None:
        """Replace the peers whose connections are accepted; connect to those in `connected`.

        By default, connect to all of them. Connections to peers that were removed, have another
        address or are not in `connected` are closed.
        """
        previous, self._peers = self._peers, peers
        self._connected = frozenset(peers if connected is None else connected)
        for name, address in previous.items():
            is_kept = peers.get(name) == address and name in self._connected
            if not is_kept and name in self._cancel_scopes:
                self._cancel_scopes.pop(name).cancel()
                del self._queues[name]
        for name in peers:
            if name in self._connected and name not in self._queues:
                self._connect(name)

    async def run(self, address: str) -> None:
        """Accept connections on an address and connect to the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name in self._peers:
                if name in self._connected:
                    self._connect(name)
            await trio.serve_listeners(self._serve_peer, await listen(address))

    def _connect(self, name: str) -> None:
        if self._nursery is None:
            return
        sender, receiver = trio.open_memory_channel[bytes](MAX_QUEUED_WRITES)
        self._queued_bytes[name] = 0
        self._queues[name] = sender
        self._cancel_scopes[name] = scope = trio.CancelScope()
        address = self._peers[name]
        self._nursery.start_soon(self._run_sender, name, address, receiver, scope)

    async def _run_sender(
        self,
        name: str,
        address: str,
        frames: trio.MemoryReceiveChannel[bytes],
        scope: trio.CancelScope,
    ) -> None:
        with scope:
            await self._send_with_reconnects(name, address, frames)

    async def _send_with_reconnects(
        self, name: str, address: str, frames: trio.MemoryReceiveChannel[bytes]
    ) -> None:
        while True:
            retry_at = trio.current_time() + RECONNECT_INTERVAL_S
            try:
                await self._connect_and_send(name, address, frames)
            except CONNECTION_ERRORS as exc:
                if _is_refused(exc):
                    self._report_gone(name)
            except Exception as exc:  # noqa: BLE001 - one connection must not end the others
                _log_fault(exc)
            _discard_queued(frames)
            self._queued_bytes[name] = 0
            self._reconnect_events[name] = trio.Event()
            with trio.move_on_at(retry_at):
                await self._reconnect_events[name].wait()

    async def _connect_and_send(
        self, name: str, address: str, frames: trio.MemoryReceiveChannel[bytes]
    ) -> None:
        host, port = address.rsplit(":", 1)
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            set_socket_options(stream.socket)
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                await authenticate_to_server(self._identity, FrameReader(stream), stream)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_at_close, stream, nursery.cancel_scope)
                with suppress(*CONNECTION_ERRORS):
                    await self._send_updates(name, stream, frames)
                nursery.cancel_scope.cancel()

    async def _send_updates(
        self, name: str, stream: trio.SocketStream, frames: trio.MemoryReceiveChannel[bytes]
    ) -> None:
        await self._send_initial_update(name, stream)
        async for data in frames:
            self._queued_bytes[name] -= len(data)
            with trio.fail_after(SEND_TIMEOUT_S):
                await stream.send_all(data)
            if self._needs_initial_update(name):
                await self._send_initial_update(name, stream)

    def _report_gone(self, name: str) -> None:
        """Report a peer that refuses a connection, unless it has one open to this instance.

        A cut link may refuse connections in one direction only.
        """
        if self._on_gone is not None and not self._accepted[name]:
            self._on_gone(name)

    def _needs_initial_update(self, name: str) -> bool:
        return name in self._lagging and trio.current_time() >= self._next_initial_at[name]

    async def _send_initial_update(self, name: str, stream: trio.SocketStream) -> None:
        self._lagging.discard(name)
        self._next_initial_at[name] = trio.current_time() + INITIAL_UPDATE_INTERVAL_S
        with trio.fail_after(INITIAL_UPDATE_TIMEOUT_S):
            await stream.send_all(pack_frame(encode_update(self._make_initial_update())))

    async def _serve_peer(self, stream: trio.SocketStream) -> None:
        set_socket_options(stream.socket)
        reader = FrameReader(stream)
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                client = await self._authenticate_client(reader, stream)
            name = client.instance
            if client.purpose == Purpose.TUNNEL:
                await self._serve_tunnel_to(name, reader, stream)
                return
            await self._receive_updates(name, reader)
        except (PeerProtocolError, trio.TooSlowError) as exc:
            log(LogEvent.PEER_REFUSED, address=f"{_remote_address(stream)} {exc}")
        except (OSError, trio.BrokenResourceError, EOFError):
            return
        except Exception as exc:  # noqa: BLE001 - one connection must not end the others
            _log_fault(exc)

    async def _receive_updates(self, name: str, reader: FrameReader) -> None:
        self._accepted[name] += 1
        try:
            # A peer that connects can be reached again: the delay before reconnecting to it ends.
            self._reconnect(name)
            while True:
                self._receive_frame(name, await reader.read())
        finally:
            self._accepted[name] -= 1
            self._reconnect(name)

    def _reconnect(self, name: str) -> None:
        """Let the next attempt to connect to a peer begin at once."""
        if name in self._reconnect_events:
            self._reconnect_events[name].set()

    async def _authenticate_client(self, reader: FrameReader, stream: trio.SocketStream) -> Client:
        client = await authenticate_client(self._identity, reader, stream)
        if client.instance not in self._peers:
            raise PeerProtocolError(f"instance {client.instance!r} is not a configured peer")
        return client

    async def _serve_tunnel_to(
        self, name: str, reader: FrameReader, stream: trio.SocketStream
    ) -> None:
        if self._serve_tunnel is None:
            raise PeerProtocolError(f"tunnel for {name!r}, which this instance does not serve")
        await self._serve_tunnel(name, reader, stream)

    def _receive_frame(self, name: str, frame: bytes) -> None:
        update = decode_frame(decode_update, frame)
        if name not in self._peers:
            raise PeerProtocolError(f"instance {name!r} is no longer a configured peer")
        if update.instance != name and not self._accepts_relayed:
            raise PeerProtocolError(
                f"update of {update.instance!r} received from {name!r}, expected only its own"
            )
        self._on_update(ReceivedUpdate(name, update, frame))


async def _cancel_at_close(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    """Cancel a scope once the other side closes a connection on which it sends nothing."""
    with suppress(*CONNECTION_ERRORS):
        await stream.receive_some(1)
    scope.cancel()


def _is_refused(exc: BaseException) -> bool:
    """Tell whether no process listens at the address to which a connection was tried."""
    tried = exc.__cause__
    return isinstance(tried, BaseExceptionGroup) and all(
        isinstance(one, ConnectionRefusedError) for one in tried.exceptions
    )


def _log_fault(exc: Exception) -> None:
    log(LogEvent.INTERNAL_FAULT, where="peer connection", error=repr(exc))


def _discard_queued(frames: trio.MemoryReceiveChannel[bytes]) -> None:
    while True:
        try:
            frames.receive_nowait()
        except trio.WouldBlock:
            return


def _remote_address(stream: trio.SocketStream) -> str:
    try:
        host, port, *_ = stream.socket.getpeername()
    except OSError:
        return "unknown"
    return f"{host}:{port}"
