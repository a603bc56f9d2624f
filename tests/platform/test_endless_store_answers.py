"""A store that sends without end: reads are bounded and other tasks get their turn."""

from __future__ import annotations

from contextlib import asynccontextmanager, suppress
from functools import partial

import msgspec
import pytest
import trio

from rattangate.platform.outcomes import Unavailable
from rattangate.platform.store import Store
from rattangate.turns import ITEMS_PER_TURN
from tests.small_deployment import free_addresses
from tests.turns import counting_turns

BLOCK_BYTES = 16_384
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# The largest answer that is read, beside what the kernel buffers.
MAX_SENT_BYTES = 16_777_216 + 10_000_000
FLOOD_BYTES = 64_000_000
ENDLESS_ANSWERS = {
    "no status line": (b"", b"x" * BLOCK_BYTES),
    "header line": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * BLOCK_BYTES),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 1_000),
    "chunk extension": (CHUNKED_HEAD + b"5;x=", b"x" * BLOCK_BYTES),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-More: 1\r\n" * 1_000),
    "body": (CHUNKED_HEAD, b"%x\r\n" % BLOCK_BYTES + b"x" * BLOCK_BYTES + b"\r\n"),
    "body until close": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * BLOCK_BYTES),
}
CALLS = {
    "read": lambda store: store.read_table("t"),
    "watch": lambda store: store.watch_table("t", 0, 1.0),
    "write": lambda store: store.write_row("t", "k", b"v"),
    "blob": lambda store: store.get_blob("b"),
    "put": lambda store: store.put_blob("b", b"v"),
    "list": lambda store: store.list_blobs(""),
}
# More than a read of all pages may bring.
MAX_PAGES = 80
PAGE_ROWS = 4
PAGE_BYTES = 1_000_000


@asynccontextmanager
async def store_that(answer):
    """Yield a client of a store that calls `answer` with a stream for each request."""
    (address,) = free_addresses(1)

    async def serve(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                await answer(stream)

    with trio.fail_after(60):
        async with trio.open_nursery() as nursery, Store(address) as store:
            host, port = address.rsplit(":", 1)
            await nursery.start(partial(trio.serve_tcp, serve, int(port), host=host))
            yield store
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
@pytest.mark.parametrize("name", CALLS)
def test_an_endless_answer_is_closed_at_a_bound_in_bytes(name, kind):
    prefix, block = ENDLESS_ANSWERS[kind]
    sent = 0

    async def flood(stream: trio.SocketStream) -> None:
        nonlocal sent
        await stream.send_all(prefix)
        while sent < FLOOD_BYTES:
            await stream.send_all(block)
            sent += len(block)

    async def main() -> None:
        async with store_that(flood) as store:
            assert isinstance(await CALLS[name](store), Unavailable)
            assert sent < MAX_SENT_BYTES

    trio.run(main)


def test_an_answer_in_chunks_of_a_byte_does_not_hold_up_other_tasks():
    chunks = 8_000
    body = b'{"rows":[],"ver":1,"now_ms":1}'
    answer = CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(body), body)
    answer += b"1\r\n \r\n" * chunks + b"0\r\n\r\n"

    async def main() -> None:
        async with (
            store_that(lambda stream: stream.send_all(answer)) as store,
            counting_turns() as turns,
        ):
            before = turns.count
            assert not isinstance(await store.read_table("t"), Unavailable)
            assert turns.count - before >= chunks // ITEMS_PER_TURN

    trio.run(main)


@pytest.mark.parametrize("name", ["read", "list"])
def test_a_read_of_endless_pages_is_given_up_at_a_bound_in_bytes(name):
    pages = 0

    async def answer(stream: trio.SocketStream) -> None:
        nonlocal pages
        pages += 1
        size = PAGE_BYTES // PAGE_ROWS
        keys = [f"{pages:06}-{number}" for number in range(PAGE_ROWS)]
        body = msgspec.json.encode(
            {
                "rows": [{"key": key, "ver": 1, "value": "A" * size} for key in keys],
                "names": keys,
                "ver": 1,
                "now_ms": 1,
                "has_more": pages < MAX_PAGES,
            }
        )
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    async def main() -> None:
        async with store_that(answer) as store:
            assert isinstance(await CALLS[name](store), Unavailable)
            assert pages < MAX_PAGES

    trio.run(main)
