"""Connections to endpoints: what becomes of one whose exchange is abandoned."""

from __future__ import annotations

from contextlib import AsyncExitStack

import pytest
import trio

from rattangate.front.endpoint_conn import (
    EndpointPool,
    ExchangeLost,
    OutboundRequest,
    open_exchange,
)
from rattangate.peers.framing import FrameReader
from rattangate.peers.tunnels import TunnelStream
from rattangate.sockets import reset_on_close
from tests.late_errors import LateErrorStream

REQUEST = OutboundRequest(b"POST", b"/lookup/1", [(b"Host", b"h")], b"", "a1")


async def _wrap(stream: trio.SocketStream) -> TunnelStream:
    return TunnelStream(stream, FrameReader(stream))


@pytest.mark.parametrize("is_tunnel", [False, True])
def test_an_abandoned_exchange_resets_its_connection(is_tunnel):
    was_reset = trio.Event()

    async def detect_reset(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        was_reset.set()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            host, port = listener.socket.getsockname()
            nursery.start_soon(trio.serve_listeners, detect_reset, [listener])
            pool = EndpointPool(f"{host}:{port}", nursery)
            if is_tunnel:

                async def open_tunnel() -> TunnelStream:
                    return await _wrap(await trio.open_tcp_stream(host, port))

                pool.use_path(open_tunnel)
            async with AsyncExitStack() as stack:
                exchange = await open_exchange(pool, REQUEST, stack)
                await exchange.send_request()
                await trio.sleep(0.05)
            with trio.fail_after(2.0):
                await was_reset.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_what_the_endpoint_had_no_room_for_does_not_arrive_after_the_request_was_abandoned():
    req = OutboundRequest(
        b"POST",
        b"/lookup/1",
        [(b"Host", b"h"), (b"Content-Length", b"500000")],
        bytes(500_000),
        "a1",
    )
    abandoned = trio.Event()
    received: list[int] = []

    async def read_late(stream: trio.SocketStream) -> None:
        await abandoned.wait()
        size = 0
        try:
            while data := await stream.receive_some():
                size += len(data)
        except trio.BrokenResourceError:
            received.append(size)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            host, port = listener.socket.getsockname()
            nursery.start_soon(trio.serve_listeners, read_late, [listener])
            pool = EndpointPool(f"{host}:{port}", nursery)
            async with AsyncExitStack() as stack:
                exchange = await open_exchange(pool, req, stack)
                await exchange.send_request()
                await trio.sleep(0.2)
            abandoned.set()
            with trio.fail_after(2.0):
                while not received:
                    await trio.sleep(0.02)
            assert received[0] < len(req.body)
            nursery.cancel_scope.cancel()

    trio.run(main)


# Guards against MIXED: sending meets the reset, and receiving sees an end before that is known.
def test_a_cut_answer_is_not_complete_though_the_error_of_sending_comes_after_the_end():
    body = bytes(8_000_000)
    headers = [(b"Host", b"h"), (b"Content-Length", b"%d" % len(body))]
    req = OutboundRequest(b"POST", b"/reserve/1", headers, body, "")

    async def reset_early(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart")
        await trio.sleep(0.1)
        reset_on_close(stream.socket)
        await trio.aclose_forcefully(stream)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            host, port = listener.socket.getsockname()
            nursery.start_soon(trio.serve_listeners, reset_early, [listener])
            pool = EndpointPool(f"{host}:{port}", nursery)

            async def connect() -> LateErrorStream:
                return LateErrorStream(await trio.open_tcp_stream(host, port))

            pool.use_path(connect)
            with trio.fail_after(10.0):
                async with AsyncExitStack() as stack:
                    exchange = await open_exchange(pool, req, stack)
                    await exchange.send_request()
                    await exchange.read_head()
                    with pytest.raises(ExchangeLost):
                        [data async for data in exchange.chunks()]
            nursery.cancel_scope.cancel()

    trio.run(main)
