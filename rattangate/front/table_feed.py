"""Follows one table of the store: read whole once, then by its changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.front.state import boot_time
from rattangate.log_events import LogEvent, log
from rattangate.platform.outcomes import HistoryLost, StoreRows, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

RETRY_S = 0.2
# While the store is in trouble: a read whose answer was lost holds up the next one for less long.
DOUBT_WAIT_S = 0.25


@dataclass(frozen=True, slots=True)
class FeedCfg:
    """Say how long a read waits for changes and how soon the next follows one that brought some."""

    table: str
    wait_s: float
    least_interval_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TableNews:
    """Hold all rows after a whole read (`is_whole`), else those that changed.

    `asked_at` is when the read was sent, on the clock that goes on while the instance is suspended.
    """

    rows: tuple[StoreRow, ...]
    is_whole: bool
    asked_at: float


class TableFeed:
    """Give what changes in a table to a function, also when nothing did."""

    def __init__(self, store: Store, cfg: FeedCfg, take: Callable[[TableNews], None]) -> None:
        self._store = store
        self._cfg = cfg
        self._take = take
        self._version: int | None = None
        self._is_doubted = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            is_whole = self._version is None
            asked_at = boot_time()
            next_at = trio.current_time() + self._cfg.least_interval_s
            outcome = await self._ask()
            self._is_doubted = isinstance(outcome, Unavailable)
            if isinstance(outcome, StoreRows):
                self._version = outcome.version
                self._take(TableNews(outcome.rows, is_whole, asked_at))
                if outcome.rows:
                    await trio.sleep_until(next_at)
            elif isinstance(outcome, HistoryLost):
                log(LogEvent.HISTORY_LOST, table=self._cfg.table, version=self._version)
                self._version = None
            else:
                await trio.sleep(RETRY_S)

    async def _ask(self) -> StoreRows | HistoryLost | Unavailable:
        if self._version is None:
            return await self._store.read_table(self._cfg.table)
        wait_s = min(DOUBT_WAIT_S, self._cfg.wait_s) if self._is_doubted else self._cfg.wait_s
        return await self._store.watch_table(self._cfg.table, self._version, wait_s)
