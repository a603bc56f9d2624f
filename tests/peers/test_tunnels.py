"""A tunnel passes the bytes of a connection and tells its regular end from every other one."""

from __future__ import annotations

import os
import select
import socket
import struct
from contextlib import asynccontextmanager, suppress

import pytest
import trio
import trio.testing

from rattangate.peers.framing import CONNECTION_ERRORS, pack_frame
from rattangate.peers.handshake import PeerIdentity
from rattangate.peers.link import PeerLinks
from rattangate.peers.tunnel_codec import (
    TunnelAnswer,
    TunnelFrame,
    TunnelOutcome,
    TunnelRequest,
    encode_frame,
)
from rattangate.peers.tunnels import TunnelRefused, TunnelServer, open_tunnel
from rattangate.sockets import reset_on_close
from tests.late_errors import LateErrorStream
from tests.small_deployment import free_addresses

REQUEST = TunnelRequest("e1", 7)
CLIENT = PeerIdentity("a", 1, b"s" * 32)
# More than the buffers between the server and an endpoint that does not read hold.
LARGE = bytes(range(256)) * 2000
SMALL_BUFFER_BYTES = 4_096


class Tunnels:
    """Run a server of tunnels in front of one endpoint, whose connections a test drives."""

    def __init__(self) -> None:
        self.address, self.endpoint_address = free_addresses(2)
        self.refusal: TunnelAnswer | None = None
        self.rests: list[tuple[TunnelRequest, float]] = []
        self.wrap = lambda stream: stream
        self.server = TunnelServer(self._connect, lambda *rest: self.rests.append(rest))
        self._sender, self.endpoint_conns = trio.open_memory_channel[trio.SocketStream](10)
        self._test_done = trio.Event()

    async def _connect(self, name: str, request: TunnelRequest):
        assert (name, request) == ("a", REQUEST)
        if self.refusal is not None:
            return self.refusal
        host, port = self.endpoint_address.rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        return self.wrap(stream)

    async def _serve_endpoint(self, stream: trio.SocketStream) -> None:
        await self._sender.send(stream)
        await self._test_done.wait()

    @asynccontextmanager
    async def running(self):
        links = PeerLinks(
            PeerIdentity("b", 1, b"s" * 32),
            {"a": "127.0.0.1:1"},
            lambda received: None,
            lambda: None,
            serve_tunnel=self.server.serve,
        )
        links.set_peers({"a": "127.0.0.1:1"}, ())
        host, port = self.endpoint_address.rsplit(":", 1)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(links.run, self.address)
                await nursery.start(trio.serve_tcp, self._serve_endpoint, int(port))
                await trio.testing.wait_all_tasks_blocked(0.05)
                yield
                nursery.cancel_scope.cancel()

    async def open(self):
        stream = await open_tunnel(CLIENT, self.address, REQUEST)
        return stream, await self.endpoint_conns.receive()


def run(test) -> None:
    async def main() -> None:
        tunnels = Tunnels()
        async with tunnels.running():
            await test(tunnels)

    trio.run(main)


async def receive_exactly(stream, size: int) -> bytes:
    data = b""
    while len(data) < size:
        received = await stream.receive_some()
        assert received
        data += received
    return data


async def until(condition) -> None:
    while not condition():
        await trio.sleep(0.01)


def test_bytes_pass_in_both_directions_until_the_endpoint_closes():
    async def test(tunnels: Tunnels) -> None:
        stream, endpoint = await tunnels.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, LARGE)
            assert await receive_exactly(endpoint, len(LARGE)) == LARGE
        async with trio.open_nursery() as nursery:
            nursery.start_soon(endpoint.send_all, LARGE)
            assert await receive_exactly(stream, len(LARGE)) == LARGE
        await endpoint.aclose()
        assert await stream.receive_some() == b""
        assert await stream.receive_some() == b""
        await stream.aclose()
        await until(lambda: tunnels.server.open_count == 0)

    run(test)


def test_a_reset_by_the_endpoint_is_no_regular_end():
    async def test(tunnels: Tunnels) -> None:
        stream, endpoint = await tunnels.open()
        await endpoint.send_all(b"half")
        assert await stream.receive_some() == b"half"
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await trio.aclose_forcefully(endpoint)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()

    run(test)


# Guards against MIXED: the reset reaches the sending side of the server and looks like an end.
def test_a_reset_during_the_request_is_no_regular_end():
    async def test(tunnels: Tunnels) -> None:
        for _ in range(8):
            await _reset_during_request(tunnels)

    run(test)


# Guards against MIXED: the server's sending side met the reset, which is known after the end only.
def test_a_reset_whose_error_of_sending_comes_after_the_end_is_no_regular_end():
    async def test(tunnels: Tunnels) -> None:
        tunnels.wrap = LateErrorStream
        await _reset_during_request(tunnels)

    run(test)


async def _reset_during_request(tunnels: Tunnels) -> None:
    """Reset the endpoint's connection while the request is sent; check that this is no end."""
    stream, endpoint = await tunnels.open()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_until_broken, stream)
        await endpoint.send_all(b"half")
        assert await stream.receive_some() == b"half"
        await trio.sleep(0.1)
        reset_on_close(endpoint.socket)
        await trio.aclose_forcefully(endpoint)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
        nursery.cancel_scope.cancel()
    await stream.aclose()


async def _send_until_broken(stream) -> None:
    with suppress(*CONNECTION_ERRORS):
        await stream.send_all(LARGE * 8)


def test_an_answer_that_came_before_the_request_was_read_is_delivered():
    async def test(tunnels: Tunnels) -> None:
        stream, endpoint = await tunnels.open()
        await endpoint.send_all(b"early")
        await endpoint.send_eof()
        await stream.send_all(LARGE[:1000])
        assert await stream.receive_some() == b"early"
        assert await stream.receive_some() == b""

    run(test)


def test_closing_the_tunnel_closes_the_connection_to_the_endpoint():
    async def test(tunnels: Tunnels) -> None:
        stream, endpoint = await tunnels.open()
        await stream.send_all(b"request")
        assert await endpoint.receive_some() == b"request"
        await trio.aclose_forcefully(stream)
        with trio.fail_after(2):
            try:
                assert await endpoint.receive_some() == b""
            except trio.BrokenResourceError:
                return

    run(test)


def test_a_tunnel_that_its_client_left_resets_the_connection_to_the_endpoint():
    async def test(tunnels: Tunnels) -> None:
        stream, endpoint = await tunnels.open()
        await stream.send_all(b"request")
        assert await endpoint.receive_some() == b"request"
        await trio.aclose_forcefully(stream)
        with trio.fail_after(2), pytest.raises(trio.BrokenResourceError):
            await endpoint.receive_some()

    run(test)


def test_a_client_that_leaves_is_noticed_while_the_endpoint_does_not_read():
    async def test(tunnels: Tunnels) -> None:
        stream, _ = await tunnels.open()
        await stream.send_all(LARGE)
        await trio.sleep(0.1)
        await trio.aclose_forcefully(stream)
        with trio.fail_after(2):
            await until(lambda: tunnels.server.open_count == 0)

    run(test)


@pytest.mark.parametrize("leaves", ["by a reset", "by a close"])
def test_a_request_whose_client_left_before_it_was_read_is_not_passed_on(leaves):
    async def test(tunnels: Tunnels) -> None:
        passed_on = 0
        for _ in range(10):
            stream, endpoint = await tunnels.open()
            # Without a turn of the loop between, as for a server that reads its connections late.
            with socket.socket(fileno=os.dup(stream.socket.fileno())) as sock:
                sock.sendall(pack_frame(encode_frame(TunnelFrame(data=b"request"))))
                if leaves == "by a reset":
                    reset_on_close(sock)
                stream.socket.close()
            with pytest.raises(trio.BrokenResourceError):
                passed_on += bool(await endpoint.receive_some())
                await endpoint.receive_some()
        assert passed_on == 0

    run(test)


def test_a_refusal_tells_why():
    async def test(tunnels: Tunnels) -> None:
        for answer in (
            TunnelAnswer(TunnelOutcome.UNREACHABLE),
            TunnelAnswer(TunnelOutcome.RESTING, 2.5),
        ):
            tunnels.refusal = answer
            with pytest.raises(TunnelRefused) as refused:
                await open_tunnel(CLIENT, tunnels.address, REQUEST)
            assert refused.value.answer == answer

    run(test)


def test_a_stranger_gets_no_tunnel():
    async def test(tunnels: Tunnels) -> None:
        for identity in (PeerIdentity("a", 1, b"x" * 32), PeerIdentity("c", 1, b"s" * 32)):
            with pytest.raises(CONNECTION_ERRORS):
                await open_tunnel(identity, tunnels.address, REQUEST)
        assert tunnels.server.open_count == 0

    run(test)


def test_the_server_can_ask_for_no_further_request():
    async def test(tunnels: Tunnels) -> None:
        stream, endpoint = await tunnels.open()
        tunnels.server.close_to("e1", 6)
        tunnels.server.close_to("e1", 7)
        await until(lambda: select_readable(stream))
        await endpoint.send_all(b"rest of the answer")
        assert await stream.receive_some() == b"rest of the answer"
        assert stream.is_closing

    run(test)


def test_the_server_learns_when_the_endpoint_wants_no_requests():
    async def test(tunnels: Tunnels) -> None:
        stream, _ = await tunnels.open()
        await stream.report_rest(1.5)
        await until(lambda: tunnels.rests)
        assert tunnels.rests == [(REQUEST, 1.5)]

    run(test)


def select_readable(stream) -> bool:
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
