"""An instance that reads the endpoint list for others passes on what they need."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from rattangate.core.key_lease import KeyLease
from rattangate.core.store_version import make_version
from rattangate.front.store_watchers import KEYS_WAIT_SHARE, EndpointListWatcher
from rattangate.front.table_watcher import TableWatcher, TableWatcherCfg
from rattangate.platform.boot import BootSettings, Bounds
from rattangate.platform.outcomes import HistoryLost, StoreRow, StoreRows
from tests.front.test_table_watcher import ScriptedStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rattangate.core.fleet import ListedEndpoint
    from rattangate.peers.codec import TableDelta

ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:8000",
    "zone": "riverside",
    "slots": 4,
    "state": "ready",
    "born": 1000,
}


@dataclass
class RelayPeers:
    """Record what a relay publishes to its peers."""

    published: list[TableDelta] = field(default_factory=list)
    table_update_handlers: dict[str, Callable[[TableDelta], None]] = field(default_factory=dict)

    def delegates_endpoint_list(self) -> bool:
        """Tell that this instance reads the list itself."""
        return False

    def publish_rows(self, update: TableDelta) -> None:
        """Record an update."""
        self.published.append(update)


@dataclass
class ListState:
    """Record the names of the endpoints that were listed last."""

    boot: BootSettings
    names: list[str] = field(default_factory=list)

    def apply_endpoint_list(self, listed: Iterable[ListedEndpoint], asked_at: float) -> None:
        """Record a list."""
        self.names = [item.endpoint for item in listed]


def _entry_row(number: int, era: int = 0, **changes: object) -> StoreRow:
    value = json.dumps({**ENTRY, **changes}).encode()
    return StoreRow("desk-0", make_version(era, number), value)


def _published_rows(*responses: StoreRows | HistoryLost) -> list[tuple[StoreRow, ...]]:
    """Return the rows of the updates that a relay publishes while it reads these responses."""
    peers = RelayPeers()
    state = ListState(
        BootSettings("a", "riverside", "127.0.0.1", "", "", 0, "", Bounds(drain_s=2.0))
    )

    async def main() -> None:
        watcher = EndpointListWatcher(ScriptedStore(list(responses)), state, peers)
        with trio.move_on_after(60.0):
            await watcher.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert state.names == ["desk-0"]
    return [update.rows for update in peers.published]


def test_an_entry_that_only_repeats_itself_is_not_published():
    heartbeat = _entry_row(6)
    drained = _entry_row(7, state="draining")
    assert _published_rows(
        StoreRows((_entry_row(5),), 5), StoreRows((heartbeat,), 6), StoreRows((drained,), 7)
    ) == [(), (drained,)]


def test_an_entry_that_is_written_again_after_a_return_of_the_store_is_published():
    written_again = _entry_row(2, era=1)
    heartbeat = _entry_row(3, era=1)
    assert _published_rows(
        StoreRows((_entry_row(5),), 5),
        HistoryLost(),
        StoreRows((), make_version(1, 1)),
        StoreRows((written_again,), make_version(1, 2)),
        StoreRows((heartbeat,), make_version(1, 3)),
    ) == [(written_again,), ()]


@dataclass
class QuietStore:
    """Answer each read without changes after its wait, and count the reads."""

    reads: int = 0

    async def read_table(self, table: str) -> StoreRows:
        """Return the whole table."""
        self.reads += 1
        return StoreRows((_entry_row(5),), 5)

    async def watch_table(self, table: str, after: int, wait_s: float) -> StoreRows:
        """Wait in vain for changes."""
        self.reads += 1
        await trio.sleep(wait_s)
        return StoreRows((), after)


@dataclass
class FollowerPeers(RelayPeers):
    """Stand for the peers of an instance whose relay reads the list for it."""

    def delegates_endpoint_list(self) -> bool:
        """Tell that a relay reads the list."""
        return True


@pytest.mark.parametrize("drain_s", [2.0, 3.0, 4.0])
def test_a_list_that_does_not_change_is_read_by_the_relay_only(drain_s):
    boot = BootSettings("a", "riverside", "127.0.0.1", "", "", 0, "", Bounds(drain_s=drain_s))
    follower, relay = FollowerPeers(), RelayPeers()
    follower_store, relay_store = QuietStore(), QuietStore()

    async def main() -> None:
        following = EndpointListWatcher(follower_store, ListState(boot), follower)
        reading = EndpointListWatcher(relay_store, ListState(boot), relay)
        (apply_update,) = follower.table_update_handlers.values()
        relay.publish_rows = apply_update
        with trio.move_on_after(60.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(following.run)
                nursery.start_soon(reading.run)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert follower_store.reads == 1
    assert relay_store.reads <= 1 + 60.0 / (0.4 * drain_s)


@dataclass
class SlowStore(QuietStore):
    """Take time for each answer, besides its wait."""

    delay_s: float = 0.0

    async def read_table(self, table: str) -> StoreRows:
        """Return the whole table, slowly."""
        await trio.sleep(self.delay_s)
        return await super().read_table(table)

    async def watch_table(self, table: str, after: int, wait_s: float) -> StoreRows:
        """Wait in vain for changes, and answer slowly."""
        await trio.sleep(self.delay_s)
        return await super().watch_table(table, after, wait_s)


@pytest.mark.parametrize("delay_s", [0.004, 0.376])
def test_keys_hold_while_the_store_answers_slowly(delay_s, monkeypatch):
    monkeypatch.setattr("rattangate.front.table_watcher.boottime_now", trio.current_time)
    keys = KeyLease(revoke_s=5.0)
    wait_s = KEYS_WAIT_SHARE * keys.duration_s
    lapsed_at: list[float] = []

    async def main() -> None:
        watcher = TableWatcher(
            SlowStore(delay_s=delay_s),
            TableWatcherCfg("op", wait_s),
            lambda update: keys.renew(update.asked_at),
        )
        with trio.move_on_after(30.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.run)
                await trio.sleep(1.0)
                while True:
                    await trio.sleep(0.05)
                    if not keys.holds(trio.current_time()):
                        lapsed_at.append(trio.current_time())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert lapsed_at == []
