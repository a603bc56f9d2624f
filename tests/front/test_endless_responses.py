"""Replicas that send invalid bytes without end: reading is bounded and the connection closed."""

from __future__ import annotations

import itertools
import tracemalloc
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio

from rattangate.core.fleet import ModelVersion
from rattangate.core.orders import OrderResult
from rattangate.platform.orders import OrderClient, OrderFencing
from rattangate.platform.reports import NoReport
from rattangate.turns import ITEMS_PER_TURN
from tests.front.deployment import (
    HOST,
    IDEMPOTENT_PATH,
    KEY,
    MODEL,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    Call,
    event,
    respond_done,
    running_deployment,
    wait_until,
)
from tests.small_deployment import free_addresses
from tests.turns import counting_turns

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

BLOCK_BYTES = 16_384
# What the kernel buffers of a loopback connection hold, plus what may be read before closing.
MAX_SENT_BYTES = 16_000_000
SIGNED_HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a1\r\n"
NOT_RUN_HEAD = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: a1\r\n"
MISMATCHED_HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: other\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n" % BLOCK_BYTES + b"x" * BLOCK_BYTES + b"\r\n"

# Prefix and repeated block of each endless response.
ENDLESS_RESPONSES = {
    "no status line": (b"", b"x" * BLOCK_BYTES),
    "header line": (SIGNED_HEAD + b"X-Long: ", b"x" * BLOCK_BYTES),
    "header lines": (SIGNED_HEAD, b"X-More: 1\r\n" * 1_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "chunk extension": (SIGNED_HEAD + CHUNKED + b"5;x=", b"x" * BLOCK_BYTES),
    "trailers": (SIGNED_HEAD + CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 1_000),
    "response to another request": (MISMATCHED_HEAD + CHUNKED, CHUNK),
    "body of an error": (SIGNED_HEAD.replace(b"200 OK", b"500 X") + CHUNKED, CHUNK),
}


class EndlessSender:
    """Send a prefix and then a block repeatedly, until the router closes the connection."""

    def __init__(self, prefix: bytes, block: bytes) -> None:
        self.sent = 0
        self.was_closed = trio.Event()
        self._prefix = prefix
        self._block = block

    async def __call__(self, call: Call) -> None:
        await self.send(call.stream)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Wait for the first bytes of a request and send until the connection closes."""
        await stream.receive_some()
        with suppress(trio.BrokenResourceError):
            await self.send(stream)

    async def send(self, stream: trio.SocketStream) -> None:
        """Send until the connection closes."""
        try:
            await stream.send_all(self._prefix)
            while True:
                await stream.send_all(self._block)
                self.sent += len(self._block)
        except trio.BrokenResourceError:
            self.was_closed.set()
            raise


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_an_idempotent_request_is_retried_and_the_connection_closed(kind: str) -> None:
    endless = EndlessSender(*ENDLESS_RESPONSES[kind])
    first = iter([True])

    async def misbehave_once(call: Call) -> None:
        await (endless(call) if next(first, False) else respond_done(call))

    async def main() -> None:
        async with running_deployment(plain_handler=misbehave_once) as deployment:
            resp = await deployment.request(IDEMPOTENT_PATH)
            assert (resp.status_code, resp.content) == (200, b"done")
            with trio.fail_after(5.0):
                await endless.was_closed.wait()
            assert endless.sent < MAX_SENT_BYTES

    trio.run(main)


@pytest.mark.parametrize("path", [NON_IDEMPOTENT_PATH, STREAM_PATH])
@pytest.mark.parametrize("kind", [kind for kind in ENDLESS_RESPONSES if kind != "body of an error"])
def test_a_request_that_may_have_run_is_not_retried(kind: str, path: str) -> None:
    endless = EndlessSender(*ENDLESS_RESPONSES[kind])

    async def main() -> None:
        async with running_deployment(plain_handler=endless, engine_handler=endless) as deployment:
            resp = await deployment.request(path)
            assert resp.status_code in (502, 504)
            assert "retry-after" not in resp.headers
            assert len(deployment.calls()) == 1
            with trio.fail_after(5.0):
                await endless.was_closed.wait()
            assert endless.sent < MAX_SENT_BYTES

    trio.run(main)


def test_a_refusal_with_an_endless_body_still_counts_as_not_run() -> None:
    endless = EndlessSender(NOT_RUN_HEAD + CHUNKED, CHUNK)
    first = iter([True])

    async def refuse_once(call: Call) -> None:
        await (endless(call) if next(first, False) else respond_done(call))

    async def main() -> None:
        async with running_deployment(plain_handler=refuse_once) as deployment:
            resp = await deployment.request(NON_IDEMPOTENT_PATH)
            assert (resp.status_code, resp.content) == (200, b"done")
            with trio.fail_after(5.0):
                await endless.was_closed.wait()

    trio.run(main)


def test_bytes_after_a_response_are_not_used_for_the_next_request() -> None:
    endless = EndlessSender(SIGNED_HEAD + b"Content-Length: 4\r\n\r\ndone", b"HTTP/1.1 200 OK\r\n")
    first = iter([True])

    async def send_more(call: Call) -> None:
        await (endless(call) if next(first, False) else respond_done(call))

    async def main() -> None:
        async with running_deployment(
            plain_handler=send_more, replicas_per_service=1
        ) as deployment:
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).content == b"done"
            with trio.fail_after(5.0):
                await endless.was_closed.wait()
            assert (await deployment.request(NON_IDEMPOTENT_PATH)).content == b"done"

    trio.run(main)


def test_a_replica_without_a_valid_response_is_counted_as_failing() -> None:
    endless = EndlessSender(*ENDLESS_RESPONSES["no status line"])

    async def main() -> None:
        async with running_deployment(plain_handler=endless) as deployment:
            await deployment.request(NON_IDEMPOTENT_PATH)
            (call,) = deployment.calls()
            endpoint = deployment.app.state.driver.gateway.endpoints[
                call.headers["x-target-instance"]
            ]
            assert endpoint.failures.rate(trio.current_time()) > 0

    trio.run(main)


@asynccontextmanager
async def serving(serve: Callable[[trio.SocketStream], Awaitable[None]]) -> AsyncIterator[str]:
    """Serve connections at an address."""
    (address,) = free_addresses(1)
    host, port = address.rsplit(":", 1)
    async with trio.open_nursery() as nursery:
        await nursery.start(partial(trio.serve_tcp, serve, int(port), host=host))
        yield address
        nursery.cancel_scope.cancel()


UNSIGNED_HEAD = b"HTTP/1.1 200 OK\r\n"
CLIENT_CALLS: dict[str, Callable] = {
    "report": lambda client, address: client.get_report(address),
    "order": lambda client, address: client.send_order(
        address, "e1", ModelVersion("m", 2), OrderFencing("i1", 1, 0), lambda: True
    ),
}


@pytest.mark.parametrize("prefix", [UNSIGNED_HEAD + CHUNKED, UNSIGNED_HEAD + b"X-Long: ", b""])
@pytest.mark.parametrize("name", CLIENT_CALLS)
def test_reports_and_orders_are_bounded_in_time_and_size(name: str, prefix: bytes) -> None:
    endless = EndlessSender(prefix, CHUNK if prefix.endswith(CHUNKED) else b"x" * BLOCK_BYTES)

    async def main() -> None:
        async with serving(endless.serve) as address, OrderClient() as client:
            with trio.fail_after(5.0):
                outcome = await CLIENT_CALLS[name](client, address)
                await endless.was_closed.wait()
            if name == "report":
                assert isinstance(outcome, NoReport)
            else:
                assert outcome.result is OrderResult.LOST
            assert endless.sent < MAX_SENT_BYTES

    trio.run(main)


def test_a_report_that_trickles_in_times_out() -> None:
    closed = trio.Event()

    async def trickle(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        try:
            await stream.send_all(UNSIGNED_HEAD + CHUNKED)
            while True:
                await stream.send_all(b"1\r\nx\r\n")
                await trio.sleep(0.02)
        except trio.BrokenResourceError:
            closed.set()

    async def main() -> None:
        async with serving(trickle) as address, OrderClient() as client:
            with trio.fail_after(5.0):
                assert isinstance(await client.get_report(address), NoReport)
                await closed.wait()

    trio.run(main)


@pytest.mark.parametrize("size", [1, 50])
def test_a_stream_that_never_ends_an_event_does_not_hold_up_other_requests(size):
    async def never_end(call: Call) -> None:
        await call.start_stream()
        chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
        for _ in range(100):
            await call.stream.send_all(chunk * (BLOCK_BYTES // size))

    async def main() -> None:
        async with running_deployment(engine_handler=never_end) as deployment:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.request, STREAM_PATH)
                for number in range(20):
                    resp = await deployment.request(IDEMPOTENT_PATH, X_Attempt_Id=f"l{number}")
                    assert resp.status_code == 200
                    await trio.sleep(0.05)

    trio.run(main)


def test_a_response_in_small_chunks_takes_no_more_memory_than_its_bytes():
    chunks = 60_000
    data = SIGNED_HEAD + CHUNKED + b"2\r\nxy\r\n" * chunks + b"0\r\n\r\n"
    peaks = []

    async def respond_in_small_chunks(call: Call) -> None:
        tracemalloc.start()
        await call.stream.send_all(data)

    async def main() -> None:
        async with running_deployment(plain_handler=respond_in_small_chunks) as deployment:
            await deployment.set_timeouts(20_000)
            resp = await deployment.request(NON_IDEMPOTENT_PATH, X_Deadline_Ms="20000")
            peaks.append(tracemalloc.get_traced_memory()[1])
            assert len(resp.content) == 2 * chunks

    try:
        trio.run(main)
    finally:
        tracemalloc.stop()
    assert peaks[0] < 1_500_000


def test_repeated_events_of_a_resumed_stream_do_not_hold_up_other_tasks():
    chunks = 8_000
    repeated = b"id: 1\ndata: token1\n\n"
    first = iter([True])
    turns_taken = []

    async def main() -> None:
        async with counting_turns() as turns:

            async def break_off_then_repeat(call: Call) -> None:
                await call.start_stream()
                if next(first, False):
                    await call.send_chunk(event(1))
                    raise trio.BrokenResourceError
                before = turns.count
                await call.stream.send_all(b"%x\r\n%b\r\n" % (len(repeated), repeated) * chunks)
                await call.send_chunk(event(2))
                await call.send_chunk(b"")
                turns_taken.append(before)

            async with running_deployment(engine_handler=break_off_then_repeat) as deployment:
                await deployment.set_timeouts(20_000)
                resp = await deployment.request(RESUMABLE_PATH, X_Deadline_Ms="20000")
                turns_taken.append(turns.count)
                assert resp.content == event(1) + event(2)

    trio.run(main)
    assert turns_taken[1] - turns_taken[0] >= chunks // ITEMS_PER_TURN


def test_an_endpoint_that_floods_a_stream_is_read_no_faster_than_its_caller_reads():
    flood = [0]

    async def stream_without_end(call: Call) -> None:
        await call.start_stream()
        for number in itertools.count(1):
            data = b"id: %d\ndata: %b\n\n" % (number, b"x" * BLOCK_BYTES)
            await call.send_chunk(data)
            flood[0] += len(data)
            assert flood[0] < 2 * MAX_SENT_BYTES

    async def main() -> None:
        async with running_deployment(engine_handler=stream_without_end) as deployment:
            host, port = deployment.boot.caller_address.rsplit(":", 1)
            head = f"POST {STREAM_PATH} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
            head += f"X-Model: {MODEL}\r\nX-Token-Counts: 900,20\r\nX-Attempt-Id: a1\r\n"
            async with await trio.open_tcp_stream(host, int(port)) as caller:
                await caller.send_all(f"{head}X-Deadline-Ms: 1900\r\n\r\n".encode())
                await wait_until(lambda: flood[0] > 0)
                await wait_until(lambda: not deployment.app.forwarder.in_flight)
            assert flood[0] < MAX_SENT_BYTES

    trio.run(main)
