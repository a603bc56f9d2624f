"""Configured endpoints that send without end: what is kept of an answer is bounded."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial

import pytest
import trio

from rattangate.core.messages import AttemptResult
from rattangate.core.orders import Drain, OrderResult, SendOrder
from rattangate.endpoints.client import CallFailed, EndpointClient, EngineCall
from rattangate.endpoints.orders import EndpointOrders
from tests.small_deployment import free_addresses

BLOCK_BYTES = 16_384
CHUNK = b"%x\r\n" % BLOCK_BYTES + b" " * BLOCK_BYTES + b"\r\n"
FLOOD_BYTES = 48_000_000
# The largest answer that is read, beside what the kernel buffers.
MAX_SENT_BYTES = 30_000_000


class FloodingEndpoint:
    """Answer each request with a status and a body of `FLOOD_BYTES`; count the bytes sent."""

    def __init__(self, status: int) -> None:
        self.sent = 0
        self._head = f"HTTP/1.1 {status} X\r\nTransfer-Encoding: chunked\r\n\r\n".encode()

    @asynccontextmanager
    async def running(self):
        """Yield a client of the endpoint."""
        (address,) = free_addresses(1)
        host, port = address.rsplit(":", 1)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await nursery.start(partial(trio.serve_tcp, self._serve, int(port), host=host))
                client = EndpointClient("e1", address)
                async with client.http:
                    yield client
                nursery.cancel_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            await stream.receive_some()
            await stream.send_all(self._head)
            while self.sent < FLOOD_BYTES:
                await stream.send_all(CHUNK)
                self.sent += BLOCK_BYTES
            await stream.send_all(b"0\r\n\r\n")


class Permit:
    def is_valid(self) -> bool:
        return True


async def open_stream(client: EndpointClient):
    async with AsyncExitStack() as stack:
        return await client.open_stream(EngineCall("/v1", b"{}", "r", 1, "w"), stack)


async def send_order(client: EndpointClient):
    orders = EndpointOrders(None, {"e1": client}, lambda: None, dict)
    return await orders.send(SendOrder("e1", Drain(), 1), Permit())


@pytest.mark.parametrize(
    ("status", "call"),
    [
        (500, open_stream),
        (200, lambda client: client.get_report()),
        (200, lambda client: client.cache_events(0)),
        (200, send_order),
    ],
    ids=["error", "report", "cache events", "order"],
)
def test_an_endless_body_is_closed_at_a_bound_in_bytes(status, call):
    endpoint = FloodingEndpoint(status)

    async def main() -> None:
        async with endpoint.running() as client:
            outcome = await call(client)
            if isinstance(outcome, CallFailed):
                assert outcome.result is AttemptResult.LOST
            else:
                assert outcome is OrderResult.LOST

    trio.run(main)
    assert endpoint.sent < MAX_SENT_BYTES
