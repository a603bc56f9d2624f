"""A table is read in full once and then by its changes, also while the store fails."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
import trio
import trio.testing

from rattangate.front.store_watchers import (
    CONFIG_WAIT_SHARE,
    KEYS_WAIT_SHARE,
    PEER_TIMEOUT_SLACK_S,
)
from rattangate.front.table_watcher import (
    SHORT_WAIT_S,
    TableUpdate,
    TableWatcher,
    TableWatcherCfg,
)
from rattangate.peers.codec import TableDelta
from rattangate.platform.outcomes import HistoryLost, StoreRow, StoreRows, Unavailable

ROW = StoreRow("k", 4, b"one")
LATER = StoreRow("k", 6, b"two")
UNAVAILABLE = Unavailable("no response", may_have_applied=False)
TIMEOUT_S = 1.0
PEER_TIMEOUT_S = 1.3


@dataclass
class ScriptedStore:
    """Return scripted responses; `Unavailable` comes `TIMEOUT_S` after the read's wait."""

    responses: list[StoreRows | HistoryLost | Unavailable]
    reads: list[tuple[float, int | None, float]] = field(default_factory=list)

    async def read_table(self, table: str) -> StoreRows | HistoryLost | Unavailable:
        """Respond to a full read."""
        return await self._respond(None, 0.0)

    async def watch_table(
        self, table: str, after: int, wait_s: float
    ) -> StoreRows | HistoryLost | Unavailable:
        """Respond to a read of changes."""
        return await self._respond(after, wait_s)

    async def _respond(
        self, after: int | None, wait_s: float
    ) -> StoreRows | HistoryLost | Unavailable:
        self.reads.append((trio.current_time(), after, wait_s))
        if not self.responses:
            await trio.sleep_forever()
        response = self.responses.pop(0)
        if isinstance(response, Unavailable):
            await trio.sleep(wait_s + TIMEOUT_S)
        return response


def watch_to_end(
    *responses: StoreRows | HistoryLost | Unavailable,
) -> tuple[ScriptedStore, list[TableUpdate]]:
    """Watch a table of a scripted store to the end of the script."""
    store = ScriptedStore(list(responses))
    updates: list[TableUpdate] = []

    async def main() -> None:
        watcher = TableWatcher(
            store, TableWatcherCfg("t", wait_s=2.0, min_interval_s=0.5), updates.append
        )
        with trio.move_on_after(60.0):
            await watcher.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return store, updates


def test_a_full_read_is_followed_by_reads_of_changes():
    store, updates = watch_to_end(StoreRows((ROW,), 5), StoreRows((LATER,), 6), StoreRows((), 6))
    assert [(update.rows, update.is_snapshot) for update in updates] == [
        ((ROW,), True),
        ((LATER,), False),
        ((), False),
    ]
    assert [after for _, after, _ in store.reads] == [None, 5, 6, 6]


def test_after_a_read_with_changes_the_next_one_waits_for_the_minimum_interval():
    store, _ = watch_to_end(StoreRows((ROW,), 5), StoreRows((LATER,), 6), StoreRows((), 6))
    times = [at for at, _, _ in store.reads]
    assert [later - at for at, later in zip(times, times[1:], strict=False)] == [0.5, 0.5, 0.0]


def test_lost_history_causes_a_full_read():
    store, updates = watch_to_end(StoreRows((ROW,), 5), HistoryLost(), StoreRows((LATER,), 9))
    assert [after for _, after, _ in store.reads] == [None, 5, None, 9]
    assert [update.is_snapshot for update in updates] == [True, True]


@pytest.mark.parametrize("failures", [1, 3])
def test_a_failing_store_is_polled_with_short_waits_until_it_responds(failures):
    failing = [UNAVAILABLE] * failures
    store, _ = watch_to_end(StoreRows((ROW,), 5), *failing, StoreRows((), 5), StoreRows((), 5))
    waits = [wait_s for _, _, wait_s in store.reads]
    assert waits == [0.0, 2.0, *[SHORT_WAIT_S] * failures, 2.0, 2.0]


def test_with_delegation_the_table_is_read_only_after_the_peer_timeout():
    store = ScriptedStore([StoreRows((ROW,), 5), StoreRows((), 9)])
    updates: list[TableUpdate] = []

    async def main() -> None:
        cfg = TableWatcherCfg("t", wait_s=2.0, peer_timeout_s=PEER_TIMEOUT_S)
        watcher = TableWatcher(store, cfg, updates.append, is_delegated=lambda: True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            for version in (6, 7, 8):
                await trio.sleep(1.0)
                watcher.apply_peer_update(TableDelta("t", version - 1, version, 0.1, (LATER,)))
            await trio.sleep(PEER_TIMEOUT_S + 0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert [(at, after) for at, after, _ in store.reads] == [(0.0, None), (3.0 + PEER_TIMEOUT_S, 8)]
    assert [update.is_snapshot for update in updates] == [True, False, False, False, False]


def test_a_peer_update_that_leaves_a_gap_is_ignored():
    store = ScriptedStore([StoreRows((ROW,), 5)])
    updates: list[TableUpdate] = []

    async def main() -> None:
        watcher = TableWatcher(
            store, TableWatcherCfg("t", wait_s=2.0), updates.append, is_delegated=lambda: True
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(0.5)
            watcher.apply_peer_update(TableDelta("t", 6, 9, 0.0, (LATER,)))
            watcher.apply_peer_update(TableDelta("t", 2, 4, 0.0, (LATER,)))
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(updates) == 1


def test_a_change_is_known_in_time_though_the_relay_is_silent_and_one_read_is_lost():
    """The change comes right after the relay's last update; the bound is that of large sites."""
    config_apply_s, keys_s, changed_at = 4.0, 4.0, 1.0
    wait_s = min(CONFIG_WAIT_SHARE * config_apply_s, KEYS_WAIT_SHARE * keys_s)
    store = ScriptedStore([StoreRows((ROW,), 5), UNAVAILABLE, StoreRows((LATER,), 7)])
    changes: list[float] = []

    def note_change(update: TableUpdate) -> None:
        if LATER in update.rows:
            changes.append(trio.current_time())

    async def main() -> None:
        cfg = TableWatcherCfg("t", wait_s, peer_timeout_s=wait_s + PEER_TIMEOUT_SLACK_S)
        watcher = TableWatcher(store, cfg, note_change, is_delegated=lambda: True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(changed_at)
            watcher.apply_peer_update(TableDelta("t", 5, 6, 0.0, ()))
            await trio.sleep(10.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    (known_at,) = changes
    assert known_at <= changed_at + config_apply_s


def test_a_store_that_stays_away_is_not_read_without_pause_by_all_whose_relay_is_silent():
    store = ScriptedStore([StoreRows((ROW,), 5), *[UNAVAILABLE] * 100])

    async def main() -> None:
        cfg = TableWatcherCfg("t", wait_s=2.0, peer_timeout_s=PEER_TIMEOUT_S)
        watcher = TableWatcher(store, cfg, lambda update: None, is_delegated=lambda: True)
        with trio.move_on_after(20.0):
            await watcher.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(store.reads) <= 12


def test_the_table_is_read_at_once_after_an_update_that_leaves_a_gap():
    store = ScriptedStore([StoreRows((ROW,), 5), StoreRows((LATER,), 9)])

    async def main() -> None:
        cfg = TableWatcherCfg("t", wait_s=2.0, peer_timeout_s=PEER_TIMEOUT_S)
        watcher = TableWatcher(store, cfg, lambda update: None, is_delegated=lambda: True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(0.5)
            watcher.apply_peer_update(TableDelta("t", 6, 9, 0.0, (LATER,)))
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert [(at, after) for at, after, _ in store.reads] == [(0.0, None), (0.5, 5)]


def test_changes_read_after_the_snapshot_are_published():
    store = ScriptedStore([StoreRows((ROW,), 5), StoreRows((LATER,), 6)])
    published: list[TableDelta] = []

    async def main() -> None:
        cfg = TableWatcherCfg("t", wait_s=2.0)
        watcher = TableWatcher(store, cfg, lambda update: None, publish=published.append)
        with trio.move_on_after(1.0):
            await watcher.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert [(update.after, update.version, update.rows) for update in published] == [
        (5, 6, (LATER,))
    ]


def test_the_table_is_read_soon_after_delegation_ends():
    store = ScriptedStore([StoreRows((ROW,), 5), StoreRows((), 5)])
    is_delegated = True

    async def main() -> None:
        nonlocal is_delegated
        cfg = TableWatcherCfg("t", wait_s=10.0, peer_timeout_s=15.0)
        watcher = TableWatcher(store, cfg, lambda update: None, is_delegated=lambda: is_delegated)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(4.5)
            is_delegated = False
            await trio.sleep(2.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert [(at, wait_s) for at, _, wait_s in store.reads][:2] == [(0.0, 0.0), (5.0, 10.0)]


def test_the_read_after_the_peer_timeout_has_a_short_wait():
    store = ScriptedStore([StoreRows((ROW,), 5)])

    async def main() -> None:
        cfg = TableWatcherCfg("t", wait_s=2.0, peer_timeout_s=PEER_TIMEOUT_S)
        watcher = TableWatcher(store, cfg, lambda update: None, is_delegated=lambda: True)
        with trio.move_on_after(PEER_TIMEOUT_S + 0.1):
            await watcher.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert store.reads[1] == (PEER_TIMEOUT_S, 5, SHORT_WAIT_S)


def test_the_age_of_a_peer_update_is_taken_from_the_store_clock(monkeypatch):
    """The peer sent its read at 120 s of the store's clock, which is 20 s here: 100 s ahead."""
    monkeypatch.setattr("rattangate.front.table_watcher.boottime_now", trio.current_time)
    store = ScriptedStore([StoreRows((ROW,), 5, answered_at=100.0)])
    updates: list[TableUpdate] = []

    async def main() -> None:
        cfg = TableWatcherCfg("t", wait_s=2.0, peer_timeout_s=60.0)
        watcher = TableWatcher(store, cfg, updates.append, is_delegated=lambda: True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(30.0)
            watcher.apply_peer_update(TableDelta("t", 5, 6, 120.0, ()))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert [update.asked_at for update in updates] == [0.0, 20.0]


@pytest.mark.parametrize(("failures", "expected"), [(0, False), (1, False), (3, True)])
def test_the_first_update_after_an_outage_is_marked(failures, expected):
    _, updates = watch_to_end(
        StoreRows((ROW,), 5), *[UNAVAILABLE] * failures, StoreRows((), 5), StoreRows((), 5)
    )
    assert [update.is_after_outage for update in updates] == [False, expected, False]
