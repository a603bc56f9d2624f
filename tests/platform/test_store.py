"""The store client returns failures as outcomes that say whether a write may have applied."""

from __future__ import annotations

from contextlib import asynccontextmanager, suppress
from functools import partial

import pytest
import trio

from rattangate.core.store_version import make_version, number_of
from rattangate.platform.outcomes import (
    BlobRead,
    BlobStored,
    ExpectedVersion,
    HistoryLost,
    RowUpdate,
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
async def connected_store():
    """Run a simulated platform and yield it with a connected store client."""
    (address,) = free_addresses(1)
    platform = Platform()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery, Store(address) as store:
            nursery.start_soon(run_platform, address, platform)
            while not isinstance(await store.read_table("t"), StoreRows):
                await trio.sleep(0.02)
            yield platform, store
            nursery.cancel_scope.cancel()


def test_write_requires_the_expected_version():
    async def main() -> None:
        async with connected_store() as (_, store):
            written = await store.write_row("t", "k", b"one", expected_version=0)
            assert isinstance(written, Written)
            conflict = await store.write_row("t", "k", b"two", expected_version=0)
            assert conflict == StoreConflict((StoreRow("k", written.version, b"one"),))
            assert await store.read_row("t", "k") == StoreRow("k", written.version, b"one")
            assert await store.read_row("t", "none") == StoreRow("none", 0, None)

    trio.run(main)


def test_watch_returns_changes_and_removals():
    async def main() -> None:
        async with connected_store() as (platform, store):
            start = await store.read_table("t")
            assert isinstance(start, StoreRows)
            platform.store.put("t", "k", b"one")
            change = await store.watch_table("t", start.version, 5.0)
            assert isinstance(change, StoreRows)
            assert [(row.key, row.value) for row in change.rows] == [("k", b"one")]
            platform.store.remove_row("t", "k")
            removal = await store.watch_table("t", change.version, 5.0)
            assert isinstance(removal, StoreRows)
            assert [(row.key, row.value) for row in removal.rows] == [("k", None)]

    trio.run(main)


def test_watch_from_a_discarded_version_reports_history_lost():
    async def main() -> None:
        async with connected_store() as (platform, store):
            platform.store.put("t", "k", b"one")
            platform.store.drop_history()
            assert await store.watch_table("t", 1, 0.1) == HistoryLost()

    trio.run(main)


def test_lost_answer_may_have_applied_a_write_but_a_refusal_has_not():
    async def main() -> None:
        async with connected_store() as (platform, store):
            platform.faults.lose_replies = 1
            lost = await store.write_row("t", "k", b"one")
            assert isinstance(lost, Unavailable)
            assert lost.may_have_applied
            assert ("t", "k") in platform.store.rows
            platform.faults.refuses = True
            refused = await store.write_row("t", "k2", b"one")
            assert isinstance(refused, Unavailable)
            assert not refused.may_have_applied

    trio.run(main)


def test_write_of_several_rows_is_atomic():
    async def main() -> None:
        async with connected_store() as (_, store):
            first = await store.write_row("t", "a", b"one")
            assert isinstance(first, Written)
            rows = [RowUpdate("a", b"two"), RowUpdate("b", b"two")]
            conflict = await store.write_rows("t", [ExpectedVersion("a", first.version + 9)], rows)
            assert isinstance(conflict, StoreConflict)
            assert conflict.row("a").value == b"one"
            assert conflict.row("b") == StoreRow("b", 0, None)
            assert await store.read_row("t", "b") == StoreRow("b", 0, None)
            written = await store.write_rows("t", [ExpectedVersion("a", first.version)], rows)
            assert isinstance(written, Written)
            found = await store.read_rows("t", ["b", "a"])
            assert found == tuple(StoreRow(key, written.version, b"two") for key in ("b", "a"))

    trio.run(main)


ODD_ANSWERS = {
    "a list": b"[]",
    "a number": b"1",
    "no rows": b'{"ver":1,"now_ms":1}',
    "no version": b'{"rows":[],"now_ms":1}',
    "a version that is a text": b'{"rows":[],"ver":"x","now_ms":1}',
    "no time": b'{"rows":[],"ver":1}',
    "a row without a key": b'{"rows":[{"ver":1,"value":"AA=="}],"ver":1,"now_ms":1}',
    "a value that is no base64": b'{"rows":[{"key":"k","ver":1,"value":"A"}],"ver":1,"now_ms":1}',
    "null": b"null",
    "a version above 40 bits": b'{"rows":[],"ver":1099511627776,"now_ms":1}',
    "a negative version": b'{"rows":[],"ver":-1,"now_ms":1}',
    "a time of many digits": b'{"rows":[],"ver":1,"now_ms":' + b"9" * 5_000 + b"}",
}


@asynccontextmanager
async def store_that_answers(body: bytes, headers: str = ""):
    """Yield a client of a store that answers all calls with a body and status 200."""
    (address,) = free_addresses(1)

    async def answer(stream: trio.SocketStream) -> None:
        while await stream.receive_some():
            head = f"HTTP/1.1 200 OK\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
            await stream.send_all(head.encode() + body)

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery, Store(address) as store:
            host, port = address.rsplit(":", 1)
            await nursery.start(partial(trio.serve_tcp, answer, int(port), host=host))
            yield store
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("body", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def test_an_answer_without_the_expected_fields_is_returned_as_unavailable(body):
    async def main() -> None:
        async with store_that_answers(body) as store:
            assert isinstance(await store.read_table("t"), Unavailable)
            assert isinstance(await store.watch_table("t", 1, 0.0), Unavailable)

    trio.run(main)


@pytest.mark.parametrize("body", [b"[]", b"null", b"{}", b'{"ver":"x"}', b'{"ver":-1}'])
def test_a_write_with_an_odd_answer_may_have_applied(body):
    async def main() -> None:
        async with store_that_answers(body) as store:
            written = await store.write_row("t", "k", b"v")
            assert isinstance(written, Unavailable)
            assert written.may_have_applied

    trio.run(main)


@pytest.mark.parametrize("body", [b"[]", b"{}", b'{"names":[1]}', b'{"names":["a"],"has_more":1}'])
def test_an_odd_list_of_blobs_is_returned_as_unavailable(body):
    async def main() -> None:
        async with store_that_answers(body) as store:
            assert isinstance(await store.list_blobs("a"), Unavailable)

    trio.run(main)


def test_a_next_page_that_repeats_the_last_one_ends_the_read():
    rows = b'{"rows":[{"key":"k","ver":1}],"ver":1,"now_ms":1,"has_more":true,"names":["k"]}'

    async def main() -> None:
        async with store_that_answers(rows) as store:
            assert isinstance(await store.read_table("t"), Unavailable)
            assert isinstance(await store.list_blobs(""), Unavailable)

    trio.run(main)


@pytest.mark.parametrize("era", ["x", "-1", "9" * 5_000, str(2**23), ""])
def test_an_answer_of_an_odd_era_is_returned_as_unavailable(era):
    rows = b'{"rows":[],"ver":1,"now_ms":1}'

    async def main() -> None:
        async with store_that_answers(rows, f"Store-Era: {era}\r\n") as store:
            assert isinstance(await store.read_table("t"), Unavailable)

    trio.run(main)


@pytest.mark.parametrize(("piece", "pause_s"), [(b"[" * 65_536, 0.0), (b" ", 0.2)])
def test_an_answer_without_end_is_given_up_at_a_bound(piece, pause_s):
    (address,) = free_addresses(1)

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        with suppress(trio.BrokenResourceError):
            await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                await stream.send_all(b"%x\r\n%b\r\n" % (len(piece), piece))
                await trio.sleep(pause_s)

    async def main() -> None:
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery, Store(address) as store:
                host, port = address.rsplit(":", 1)
                await nursery.start(partial(trio.serve_tcp, answer, int(port), host=host))
                assert isinstance(await store.read_table("t"), Unavailable)
                assert isinstance(await store.get_blob("b"), Unavailable)
                written = await store.write_row("t", "k", b"v")
                assert isinstance(written, Unavailable)
                assert written.may_have_applied
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_existing_blob_is_overwritten_only_with_replaces():
    async def main() -> None:
        async with connected_store() as (_, store):
            assert await store.get_blob("a/1") == BlobRead(None)
            assert await store.put_blob("a/1", b"one") == BlobStored(already_existed=False)
            assert await store.put_blob("a/1", b"two") == BlobStored(already_existed=True)
            assert await store.get_blob("a/1") == BlobRead(b"one")
            assert await store.put_blob("a/1", b"two", replaces=True) == BlobStored(
                already_existed=False
            )
            assert await store.get_blob("a/1") == BlobRead(b"two")
            await store.put_blob("b", b"")
            assert await store.list_blobs("a/") == ("a/1",)

    trio.run(main)


def test_refused_connection_is_returned_as_unavailable():
    async def main() -> None:
        (address,) = free_addresses(1)
        async with Store(address) as store:
            outcome = await store.read_table("t")
            assert isinstance(outcome, Unavailable)
            assert not outcome.may_have_applied

    trio.run(main)


async def _read_number(store: Store, table: str = "t") -> int:
    read = await store.read_table(table)
    assert isinstance(read, StoreRows)
    return read.version


def test_a_reused_version_is_above_all_versions_of_the_earlier_era():
    async def main() -> None:
        async with connected_store() as (platform, store):
            copy = platform.store.make_copy()
            lost = await store.write_row("t", "k", b"lost")
            platform.store.return_from(copy)
            again = await store.write_row("t", "k", b"again")
            assert isinstance(lost, Written)
            assert isinstance(again, Written)
            assert again.version > lost.version
            assert number_of(again.version) == number_of(lost.version)

    trio.run(main)


def test_a_swap_that_expects_a_reused_version_of_the_earlier_era_changes_nothing():
    async def main() -> None:
        async with connected_store() as (platform, store):
            copy = platform.store.make_copy()
            lost = await store.write_row("t", "k", b"lost")
            platform.store.return_from(copy)
            other = await store.write_row("t", "k", b"other")
            assert isinstance(lost, Written)
            assert isinstance(other, Written)
            outcome = await store.write_row("t", "k", b"mine", lost.version)
            assert outcome == StoreConflict((StoreRow("k", other.version, b"other"),))

    trio.run(main)


def test_a_swap_that_met_the_return_on_its_way_may_have_applied():
    async def main() -> None:
        async with connected_store() as (platform, store):
            copy = platform.store.make_copy()
            lost = await store.write_row("t", "k", b"lost")
            platform.store.return_from(copy)
            platform.store.put("t", "k", b"other")
            assert isinstance(lost, Written)
            outcome = await store.write_row("t", "k", b"mine", lost.version)
            assert isinstance(outcome, Unavailable)
            assert outcome.may_have_applied

    trio.run(main)


def test_a_watch_that_waits_past_the_copy_hears_of_the_return_from_any_answer():
    async def main() -> None:
        async with connected_store() as (platform, store):
            copy = platform.store.make_copy()
            platform.store.put("t", "k", b"lost")
            position = await _read_number(store)
            outcomes: list[object] = []

            async def watch() -> None:
                outcomes.append(await store.watch_table("t", position, 10.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(0.1)
                platform.store.return_from(copy)
                await store.read_row("t", "other")
            assert outcomes == [HistoryLost()]
            assert await store.watch_table("t", position, 1.0) == HistoryLost()
            assert await store.read_row("t", "k") == StoreRow("k", make_version(1, 0), None)

    trio.run(main)


def test_a_watch_after_a_reused_version_is_not_answered_from_the_new_era():
    async def main() -> None:
        async with connected_store() as (platform, store):
            copy = platform.store.make_copy()
            platform.store.put("t", "k", b"lost")
            position = await _read_number(store)
            platform.store.return_from(copy)
            platform.store.put("t", "a", b"1")
            platform.store.put("t", "b", b"2")
            assert await store.watch_table("t", position, 1.0) == HistoryLost()

    trio.run(main)


def test_an_answer_of_an_earlier_era_is_not_used():
    async def main() -> None:
        async with connected_store() as (platform, store):
            platform.store.era = 3
            assert isinstance(await store.read_table("t"), StoreRows)
            platform.store.era = 2
            assert isinstance(await store.read_table("t"), Unavailable)
            outcome = await store.write_row("t", "k", b"x")
            assert isinstance(outcome, Unavailable)
            assert outcome.may_have_applied

    trio.run(main)
