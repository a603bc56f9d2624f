"""Watches one table of the store: one full read, then long polls for changes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.clock import boottime_now
from rattangate.core.store_version import era_of
from rattangate.log_events import LogEvent, log
from rattangate.peers.codec import TableDelta
from rattangate.platform.outcomes import HistoryLost, StoreRows, Unavailable
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

RETRY_DELAY_S = 0.2
# Requests must fail for at least this long to count as an outage of the store.
MIN_OUTAGE_S = 1.0
# How often an instance that delegates reading checks whether it must read for the others now.
DELEGATION_CHECK_INTERVAL_S = 1.0
# While the relay is silent and reads fail, an instance reads again after at least this time, but
# the first time at once.
FAILING_READ_INTERVAL_S = 1.0
# Replaces `wait_s` while the store fails or the peer that reads the table is silent: a lost
# response then delays the next read for less time.
SHORT_WAIT_S = 0.25


@dataclass(frozen=True, slots=True)
class TableWatcherCfg:
    """Hold the intervals of a table watcher, in seconds.

    A long poll waits up to `wait_s` for changes; after one that returned changes, the next starts
    no sooner than `min_interval_s` after its start. An instance that gets the table from a peer
    reads it itself after `peer_timeout_s` without an update.
    """

    table: str
    wait_s: float
    min_interval_s: float = 0.0
    peer_timeout_s: float = math.inf


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """Hold all rows after a full read (`is_snapshot`), otherwise the changed rows.

    `asked_at` is when the read was sent, in seconds of CLOCK_BOOTTIME; `is_after_outage` tells that
    the store did not respond for at least `MIN_OUTAGE_S` before this read. `is_after_return` says
    that the store has returned from an older copy since the last read.
    """

    rows: tuple[StoreRow, ...]
    is_snapshot: bool
    asked_at: float
    is_after_outage: bool = False
    is_after_return: bool = False


class TableWatcher:
    """Call `on_update` with the changes of a table after each read, also if there are none.

    While `is_delegated` returns true, a peer reads the table and its updates come in through
    `apply_peer_update`; if none comes for `peer_timeout_s`, this instance reads the table itself.
    `publish` gets the changes that this instance has read, to send them to its peers.
    """

    def __init__(
        self,
        store: Store,
        cfg: TableWatcherCfg,
        on_update: Callable[[TableUpdate], None],
        is_delegated: Callable[[], bool] = lambda: False,
        publish: Callable[[TableDelta], None] | None = None,
    ) -> None:
        self._store = store
        self._cfg = cfg
        self._on_update = on_update
        self._is_delegated = is_delegated
        self._publish = publish
        self._version: int | None = None
        self._last_era: int | None = None
        self._failures = 0
        self._has_gap = False
        self._failing_since: float | None = None
        self._is_after_outage = False
        self._peer_update = trio.Event()
        # Added to a time of the store's clock, gives the local time or an earlier one: a key lease
        # that is counted from it never ends too late.
        self._store_offset_s = -math.inf

    async def run(self) -> None:
        """Watch the table until cancelled."""
        while True:
            if not await self._wait_for_peer():
                await self._read()

    def apply_peer_update(self, update: TableDelta) -> None:
        """Apply what a peer has read, unless it leaves a gap after the version known here."""
        if self._version is None or update.version < self._version:
            return
        if update.after > self._version:
            table = self._cfg.table
            log(
                LogEvent.TABLE_UPDATES_MISSED,
                table=table,
                version=self._version,
                after=update.after,
            )
            self._has_gap = True
            self._peer_update.set()
            return
        self._version = update.version
        self._on_update(TableUpdate(update.rows, False, update.asked_at + self._store_offset_s))
        self._peer_update.set()

    async def _wait_for_peer(self) -> bool:
        """Wait for a peer's update while reading is delegated; tell whether one came."""
        if self._version is None or not self._is_delegated():
            return False
        self._peer_update = trio.Event()
        wait_s = self._peer_wait_s()
        deadline = trio.current_time() + wait_s
        while (
            self._is_delegated()
            and trio.current_time() < deadline
            and not self._peer_update.is_set()
        ):
            with trio.move_on_at(min(deadline, trio.current_time() + DELEGATION_CHECK_INTERVAL_S)):
                await self._peer_update.wait()
        if not self._peer_update.is_set() and self._is_delegated() and not self._failures:
            silent_ms = round(wait_s * MS_PER_S)
            log(LogEvent.TABLE_RELAY_SILENT, table=self._cfg.table, silent_ms=silent_ms)
        return self._peer_update.is_set() and not self._has_gap

    def _peer_wait_s(self) -> float:
        """Return how long to wait for a peer's update before the next read."""
        if self._has_gap or self._failures == 1:
            return 0.0
        return FAILING_READ_INTERVAL_S if self._failures else self._cfg.peer_timeout_s

    async def _read(self) -> None:
        after = self._version
        asked_at = boottime_now()
        next_at = trio.current_time() + self._cfg.min_interval_s
        outcome = await self._request()
        self._record_outcome(outcome)
        if isinstance(outcome, StoreRows):
            self._apply_read(outcome, after, asked_at)
            if outcome.rows:
                await trio.sleep_until(next_at)
        elif isinstance(outcome, HistoryLost):
            log(LogEvent.HISTORY_LOST, table=self._cfg.table, version=self._version)
            self._version = None
        else:
            await trio.sleep(RETRY_DELAY_S)

    def _apply_read(self, outcome: StoreRows, after: int | None, asked_at: float) -> None:
        self._store_offset_s = max(self._store_offset_s, asked_at - outcome.answered_at)
        # An update from a peer that came during the read may be newer.
        if self._version is not None and outcome.version < self._version:
            return
        era = era_of(outcome.version)
        has_returned = self._last_era is not None and era > self._last_era
        self._version = outcome.version
        self._last_era = era
        self._on_update(
            TableUpdate(outcome.rows, after is None, asked_at, self._is_after_outage, has_returned)
        )
        if self._publish is not None and after is not None:
            table = self._cfg.table
            asked_at_store = outcome.answered_at - (boottime_now() - asked_at)
            self._publish(TableDelta(table, after, outcome.version, asked_at_store, outcome.rows))

    def _record_outcome(self, outcome: StoreRows | HistoryLost | Unavailable) -> None:
        now = trio.current_time()
        self._has_gap = False
        self._failures = self._failures + 1 if isinstance(outcome, Unavailable) else 0
        since = self._failing_since
        self._is_after_outage = since is not None and now >= since + MIN_OUTAGE_S
        if not self._failures:
            self._failing_since = None
        elif since is None:
            self._failing_since = now

    async def _request(self) -> StoreRows | HistoryLost | Unavailable:
        if self._version is None:
            return await self._store.read_table(self._cfg.table)
        # The peer that reads for this instance may be silent because it fails, not because nothing
        # changed.
        is_short = self._failures > 0 or self._is_delegated()
        wait_s = min(SHORT_WAIT_S, self._cfg.wait_s) if is_short else self._cfg.wait_s
        return await self._store.watch_table(self._cfg.table, self._version, wait_s)
