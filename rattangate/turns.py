"""Gives the other tasks of the event loop their turn during work on bytes that came at once."""

from __future__ import annotations

import trio

# Items after which other tasks get their turn, since one read may bring thousands.
ITEMS_PER_TURN = 32


class TurnGiver:
    """Let other tasks run after each `ITEMS_PER_TURN` items that were handled without waiting."""

    def __init__(self) -> None:
        self._items = 0

    async def count_item(self) -> None:
        """Count an item; other tasks may run and the caller be cancelled meanwhile."""
        self._items += 1
        if self._items % ITEMS_PER_TURN == 0:
            await trio.lowlevel.checkpoint()
