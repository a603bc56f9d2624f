"""Splits a stream of bytes into events, in time that grows linearly with the bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from re import Pattern


class EventBuffer:
    """Buffer the bytes of an event until its end has come.

    `end` matches the end of an event, in at most `max_end_bytes` bytes.
    """

    def __init__(self, end: Pattern[bytes], max_end_bytes: int) -> None:
        self._end = end
        self._max_end_bytes = max_end_bytes
        self._buffer = bytearray()

    def __len__(self) -> int:
        return len(self._buffer)

    @property
    def is_blank(self) -> bool:
        """Tell whether nothing but white space is buffered."""
        return not self._buffer.strip()

    def clear(self) -> None:
        """Discard what is buffered."""
        self._buffer.clear()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that the bytes complete, each with its end."""
        # Bytes in which no end was found are not searched again.
        searched = max(0, len(self._buffer) - self._max_end_bytes + 1)
        self._buffer += data
        ends = [match.end() for match in self._end.finditer(self._buffer, searched)]
        starts = [0, *ends]
        events = [bytes(self._buffer[start:end]) for start, end in zip(starts, ends, strict=False)]
        del self._buffer[: starts[-1]]
        return events
