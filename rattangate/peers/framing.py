"""The frames between entry instances: a length of 4 bytes, big-endian, and a thrift struct."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

import trio

from rattangate.turns import TurnGiver

if TYPE_CHECKING:
    from collections.abc import Callable

FRAME_HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 1_000_000


class PeerProtocolError(Exception):
    """Report a frame or proof that violates the peer protocol."""


CONNECTION_ERRORS = (
    OSError,
    EOFError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    PeerProtocolError,
)


class FrameReader:
    """Read length-prefixed frames from a stream; raise EOFError at its end."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._turn_giver = TurnGiver()

    @property
    def has_buffered(self) -> bool:
        """Tell whether bytes were received that no frame was read from yet."""
        return bool(self._buffer)

    async def read(self, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
        """Return the contents of the next frame; one that was cancelled can be read again."""
        await self._turn_giver.count_item()
        await self._fill(FRAME_HEADER.size)
        (size,) = FRAME_HEADER.unpack_from(self._buffer)
        if size > max_bytes:
            raise PeerProtocolError(f"frame of {size} bytes, expected at most {max_bytes}")
        end = FRAME_HEADER.size + size
        await self._fill(end)
        frame = bytes(self._buffer[FRAME_HEADER.size : end])
        del self._buffer[:end]
        return frame

    async def _fill(self, size: int) -> None:
        while len(self._buffer) < size:
            data = await self._stream.receive_some()
            if not data:
                raise EOFError
            self._buffer += data


def pack_frame(contents: bytes) -> bytes:
    """Return a frame as it is sent."""
    return FRAME_HEADER.pack(len(contents)) + contents


def decode_frame(decode: Callable[[bytes], Any], frame: bytes) -> Any:
    """Decode the contents of a frame; raise PeerProtocolError if that fails."""
    try:
        message = decode(frame)
    except Exception as exc:  # noqa: BLE001 - the codec raises many types on bad input
        raise PeerProtocolError(f"frame cannot be decoded: {type(exc).__name__}") from exc
    return message
