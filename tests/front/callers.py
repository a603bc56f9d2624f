"""Callers that write their requests to a socket themselves, to leave at a chosen moment."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import trio

from tests.front.deployment import HOST, KEY, MODEL

if TYPE_CHECKING:
    from rattangate.platform.boot import BootSettings

# Closing a socket with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def encode_request(
    path: str, attempt: str, body: bytes = b"hello", deadline_ms: int = 3_000
) -> bytes:
    """Return the bytes of one request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        f"X-Model: {MODEL}",
        "X-Token-Counts: 900,20",
        "X-Prefix-Hash: aa:600,bb:300",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def connect(boot: BootSettings) -> socket.socket:
    """Connect to an instance as a caller, without letting its tasks run meanwhile."""
    return connect_to(boot.caller_address)


def connect_to(address: str) -> socket.socket:
    """Connect to an address, without letting other tasks run meanwhile."""
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)))


async def receive(sock: socket.socket) -> bytes:
    """Return the next bytes of a connection, while other tasks run."""
    await trio.lowlevel.wait_readable(sock)
    return sock.recv(65_536)


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
