"""Count the turns that other tasks get while some work runs."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio


@dataclass
class Turns:
    """Hold the number of turns."""

    count: int = 0


@asynccontextmanager
async def counting_turns():
    """Yield the turns that a task got since it began, which wants as many as it can get."""
    turns = Turns()

    async def take_turns() -> None:
        while True:
            await trio.lowlevel.checkpoint()
            turns.count += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_turns)
        yield turns
        nursery.cancel_scope.cancel()
