"""Writes the response to one request of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from rattangate.front.caller_conn import CallerConn
    from rattangate.platform.requests import Header


class CallerDisconnected(Exception):  # noqa: N818
    """Report that the caller closed its connection."""


class Responder:
    """Write one response; `is_started` tells whether sending its head has begun.

    `has_caller_left` tells whether the caller disconnected before the response was complete.
    """

    def __init__(self, conn: CallerConn) -> None:
        self.is_started = False
        self.is_complete = False
        self.has_caller_left = False
        self._conn = conn

    async def ensure_connected(self) -> None:
        """Raise CallerDisconnected if the caller has closed its connection."""
        if not await self._conn.is_caller_connected():
            self.has_caller_left = True
            raise CallerDisconnected

    async def start(self, status: int, headers: list[Header]) -> None:
        """Send the head of the response."""
        closing = [(b"Connection", b"close")] if self._conn.is_closing() else []
        head = h11.Response(status_code=status, headers=[*headers, *closing], reason=b"")
        self.is_started = True
        await self._send(head)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end of the response."""
        await self._send(h11.EndOfMessage())
        self.is_complete = True

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response."""
        length = (b"Content-Length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        if body:
            await self.send(body)
        await self.finish()

    async def _send(self, event: h11.Event) -> None:
        try:
            await self._conn.send(event)
        except CallerDisconnected:
            self.has_caller_left = True
            raise
