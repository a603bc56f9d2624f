"""The store's client tells every failure as an outcome that says what may have happened."""

from __future__ import annotations

from contextlib import asynccontextmanager

import trio

from rattangate.platform.client import Unavailable
from rattangate.platform.store import (
    HistoryLost,
    Store,
    StoreConflict,
    StoreRow,
    StoreRows,
    Written,
)
from rattangate.standins.rows_store import RowsStore, run_store
from tests.small_deployment import free_addresses


@asynccontextmanager
async def connected():
    """Run a stand-in store and a client of it."""
    (address,) = free_addresses(1)
    standin = RowsStore()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery, Store(address) as store:
            nursery.start_soon(run_store, address, standin)
            while not isinstance(await store.read_table("t"), StoreRows):
                await trio.sleep(0.02)
            yield standin, store
            nursery.cancel_scope.cancel()


def test_rows_are_written_under_a_condition_and_read_back():
    async def main() -> None:
        async with connected() as (_, store):
            written = await store.write_row("t", "k", b"one", expected_version=0)
            assert isinstance(written, Written)
            clash = await store.write_row("t", "k", b"two", expected_version=0)
            assert clash == StoreConflict((StoreRow("k", written.version, b"one"),))
            assert await store.read_row("t", "k") == StoreRow("k", written.version, b"one")
            assert await store.read_row("t", "none") == StoreRow("none", 0, None)

    trio.run(main)


def test_a_watch_returns_with_a_change_and_with_a_removal():
    async def main() -> None:
        async with connected() as (standin, store):
            start = await store.read_table("t")
            assert isinstance(start, StoreRows)
            standin.put("t", "k", b"one")
            seen = await store.watch_table("t", start.version, 5.0)
            assert isinstance(seen, StoreRows)
            assert [(row.key, row.value) for row in seen.rows] == [("k", b"one")]
            standin.drop("t", "k")
            gone = await store.watch_table("t", seen.version, 5.0)
            assert isinstance(gone, StoreRows)
            assert [(row.key, row.value) for row in gone.rows] == [("k", None)]

    trio.run(main)


def test_dropped_history_is_told():
    async def main() -> None:
        async with connected() as (standin, store):
            standin.put("t", "k", b"one")
            standin.forget_history()
            assert await store.watch_table("t", 1, 0.1) == HistoryLost()

    trio.run(main)


def test_a_lost_answer_may_have_applied_and_a_refusal_has_not():
    async def main() -> None:
        async with connected() as (standin, store):
            standin.faults.loses_answers = True
            lost = await store.write_row("t", "k", b"one")
            assert isinstance(lost, Unavailable)
            assert lost.may_have_applied
            assert ("t", "k") in standin.rows
            standin.faults.is_down = True
            refused = await store.write_row("t", "k2", b"one")
            assert isinstance(refused, Unavailable)
            assert not refused.may_have_applied

    trio.run(main)


def test_nobody_listening_is_an_outcome():
    async def main() -> None:
        (address,) = free_addresses(1)
        async with Store(address) as store:
            outcome = await store.read_table("t")
            assert isinstance(outcome, Unavailable)
            assert not outcome.may_have_applied

    trio.run(main)
