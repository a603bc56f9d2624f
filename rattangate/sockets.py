"""Socket options and states of the TCP connections that instances open and accept."""

from __future__ import annotations

import select
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

# A connection is closed if sent data stays unacknowledged for this time. On Linux it also decides
# when keep-alive probes give up: at the first one that is due after it, whatever their number.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# The value of SO_LINGER for lingering on close for no time: on, 0 s.
_LINGER_NONE = struct.pack("ii", 1, 0)


def set_socket_options(sock: trio.socket.SocketType) -> None:
    """Disable Nagle's algorithm and detect an unresponsive peer within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset_on_close(sock: trio.socket.SocketType) -> None:
    """Let the close of a connection reset it, which drops the bytes that were not delivered."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)


def is_readable(sock: trio.socket.SocketType) -> bool:
    """Tell whether a socket has bytes to receive, was closed by the other side or failed."""
    return _has_event(sock, select.POLLIN)


def has_hung_up(sock: trio.socket.SocketType) -> bool:
    """Tell whether the other side closed the connection, even behind bytes that are not received."""
    return _has_event(sock, select.POLLRDHUP)


def _has_event(sock: trio.socket.SocketType, event: int) -> bool:
    """Tell whether an event, an error or a hang-up is pending on a socket."""
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return bool(poll.poll(0))
