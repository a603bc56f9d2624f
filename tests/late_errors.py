"""A connection on which the error of sending is passed on only after receiving has seen the end."""

from __future__ import annotations

import trio


class LateErrorStream(trio.abc.Stream):
    """Let sending meet a reset first, and report it once receiving has returned an end.

    The library may do both in this order: it passes an error of sending on after other tasks ran.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._has_received = False
        self._send_failed = trio.Event()
        self._end_received = trio.Event()

    @property
    def socket(self) -> trio.socket.SocketType:
        return self._stream.socket

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self._send_failed.set()
            with trio.CancelScope(shield=True):
                await self._end_received.wait()
            raise

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        if self._has_received:
            await self._send_failed.wait()
        self._has_received = True
        data = await self._stream.receive_some(max_bytes)
        if not data:
            self._end_received.set()
        return data

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self._stream.aclose()
