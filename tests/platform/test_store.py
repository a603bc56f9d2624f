"""The store's client tells every failure as an outcome that says what may have happened."""

from __future__ import annotations

from contextlib import asynccontextmanager

import trio

from rattangate.platform.outcomes import (
    BlobFound,
    BlobStored,
    Expected,
    HistoryLost,
    NewRow,
    StoreConflict,
    StoreRow,
    StoreRows,
    Unavailable,
    Written,
)
from rattangate.platform.store import Store
from rattangate.standins.platform import Platform, run_platform
from tests.small_deployment import free_addresses


@asynccontextmanager
async def connected():
    """Run a stand-in store and a client of it."""
    (address,) = free_addresses(1)
    standin = Platform()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery, Store(address) as store:
            nursery.start_soon(run_platform, address, standin)
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
            standin.store.put("t", "k", b"one")
            seen = await store.watch_table("t", start.version, 5.0)
            assert isinstance(seen, StoreRows)
            assert [(row.key, row.value) for row in seen.rows] == [("k", b"one")]
            standin.store.drop("t", "k")
            gone = await store.watch_table("t", seen.version, 5.0)
            assert isinstance(gone, StoreRows)
            assert [(row.key, row.value) for row in gone.rows] == [("k", None)]

    trio.run(main)


def test_dropped_history_is_told():
    async def main() -> None:
        async with connected() as (standin, store):
            standin.store.put("t", "k", b"one")
            standin.store.forget_history()
            assert await store.watch_table("t", 1, 0.1) == HistoryLost()

    trio.run(main)


def test_a_lost_answer_may_have_applied_and_a_refusal_has_not():
    async def main() -> None:
        async with connected() as (standin, store):
            standin.faults.lose_replies = 1
            lost = await store.write_row("t", "k", b"one")
            assert isinstance(lost, Unavailable)
            assert lost.may_have_applied
            assert ("t", "k") in standin.store.rows
            standin.faults.refuses = True
            refused = await store.write_row("t", "k2", b"one")
            assert isinstance(refused, Unavailable)
            assert not refused.may_have_applied

    trio.run(main)


def test_rows_are_written_together_or_not_at_all():
    async def main() -> None:
        async with connected() as (_, store):
            first = await store.write_row("t", "a", b"one")
            assert isinstance(first, Written)
            rows = [NewRow("a", b"two"), NewRow("b", b"two")]
            clash = await store.write_rows("t", [Expected("a", first.version + 9)], rows)
            assert isinstance(clash, StoreConflict)
            assert clash.row("a").value == b"one"
            assert clash.row("b") == StoreRow("b", 0, None)
            assert await store.read_row("t", "b") == StoreRow("b", 0, None)
            both = await store.write_rows("t", [Expected("a", first.version)], rows)
            assert isinstance(both, Written)
            found = await store.read_rows("t", ["b", "a"])
            assert found == tuple(StoreRow(key, both.version, b"two") for key in ("b", "a"))

    trio.run(main)


def test_blobs_are_written_once_unless_replaced():
    async def main() -> None:
        async with connected() as (_, store):
            assert await store.get_blob("a/1") == BlobFound(None)
            assert await store.put_blob("a/1", b"one") == BlobStored(existed=False)
            assert await store.put_blob("a/1", b"two") == BlobStored(existed=True)
            assert await store.get_blob("a/1") == BlobFound(b"one")
            assert await store.put_blob("a/1", b"two", replaces=True) == BlobStored(existed=False)
            assert await store.get_blob("a/1") == BlobFound(b"two")
            await store.put_blob("b", b"")
            assert await store.list_blobs("a/") == ("a/1",)

    trio.run(main)


def test_nobody_listening_is_an_outcome():
    async def main() -> None:
        (address,) = free_addresses(1)
        async with Store(address) as store:
            outcome = await store.read_table("t")
            assert isinstance(outcome, Unavailable)
            assert not outcome.may_have_applied

    trio.run(main)
