"""Collects the body of a request, unless it is large and the request will be refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# From this size on a body is kept only if the request would be admitted by its head.
CHECKED_BYTES = 65_536
# The size is reported each time it has grown by so much.
REPORTED_GROWTH_BYTES = 4_096
# Parts below this size are put together; one large buffer that grows would leave gaps in the heap.
BLOCK_BYTES = 16_384


class BodyBuffer:
    """Collect a body; `size` is what has arrived of it, `is_dropped` whether it is not kept.

    `report` gets the bytes that are held as they grow. `is_wanted` is asked once, when the body has
    become large.
    """

    def __init__(self, report: Callable[[int], None], is_wanted: Callable[[], bool]) -> None:
        self.size = 0
        self.is_dropped = False
        self._report = report
        self._is_wanted = is_wanted
        self._is_checked = False
        self._blocks: list[bytes | bytearray] = []
        self._reported = 0

    def add(self, data: bytes | bytearray) -> None:
        """Take the next part of the body."""
        self.size += len(data)
        if self.is_dropped:
            return
        self._append(data)
        if not self._is_checked and self.size > CHECKED_BYTES:
            self._is_checked = True
            if not self._is_wanted():
                self.drop()
                self._report(0)
        elif self.size >= self._reported + REPORTED_GROWTH_BYTES:
            self._reported = self.size
            self._report(self.size)

    def take(self) -> bytes:
        """Return the body and keep nothing of it."""
        blocks, self._blocks = self._blocks, []
        return b"".join(blocks)

    def drop(self) -> None:
        """Keep nothing of the body, nor of what follows."""
        self.is_dropped = True
        self._blocks = []

    def _append(self, data: bytes | bytearray) -> None:
        last = self._blocks[-1] if self._blocks else None
        if isinstance(last, bytearray) and len(last) < BLOCK_BYTES:
            last += data
        else:
            self._blocks.append(bytearray(data))
