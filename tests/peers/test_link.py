"""Tests that an invalid frame ends the connection it came on and affects no other."""

from __future__ import annotations

import hmac
import random
import socket
from functools import partial
from typing import TYPE_CHECKING

import eliot
import pytest
import trio

from rattangate.core.messages import SendPeerUpdate
from rattangate.peers import link
from rattangate.peers.codec import encode_message, idl, make_update
from rattangate.peers.framing import FRAME_HEADER
from rattangate.peers.handshake import PeerIdentity
from rattangate.peers.link import PeerLinks
from rattangate.sockets import reset_on_close
from tests.front.callers import reset
from tests.small_deployment import free_addresses

if TYPE_CHECKING:
    from rattangate.peers.codec import PeerUpdate

SECRET = b"secret"


HELLO = encode_message(idl.Hello(instance="b", incarnation=1, nonce=b"n" * 16, proof=b""))


def authenticate(frame: bytes) -> bytes:
    """Prepend the message authentication code that proves knowledge of the secret."""
    return hmac.digest(SECRET, b"handshake\x00" + frame, "sha256") + frame


def invalid_frames() -> list[bytes]:
    """Return random, damaged and incomplete frames."""
    rng = random.Random(1)
    partial = [encode_message(idl.Hello()), encode_message(idl.Proof(proof=b"x"))]
    frames = [
        b"",
        b"\x00",
        HELLO,
        *map(authenticate, partial),
        authenticate(b"\x00"),
        authenticate(b"\x0b\x00"),
    ]
    for _ in range(60):
        damaged = bytearray(HELLO)
        damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        frames.append(bytes(damaged[: rng.randrange(1, len(damaged) + 1)]))
        frames.append(rng.randbytes(rng.randrange(1, 60)))
    return frames


async def send_frames(address: str, *frames: bytes) -> None:
    """Send frames without a full handshake and wait until the other side closes the connection."""
    host, port = address.rsplit(":", 1)
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        try:
            for frame in frames:
                await stream.send_all(FRAME_HEADER.pack(len(frame)) + frame)
            await stream.send_eof()
            while await stream.receive_some():
                pass
        except (OSError, trio.BrokenResourceError):
            return


def make_links(name: str, peers: dict[str, str], receive, on_gone=None) -> PeerLinks:
    """Make the links of one instance."""
    identity = PeerIdentity(name, 1, SECRET)
    return PeerLinks(
        identity,
        peers,
        receive,
        lambda: make_update(None, name, 1, 7, False),
        on_gone=on_gone,
    )


def test_invalid_frames_do_not_keep_updates_of_a_peer_from_arriving():
    own_address, peer_address = free_addresses(2)
    received = trio.Event()

    async def main() -> None:
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                links = make_links("a", {"b": peer_address}, lambda update: received.set())
                nursery.start_soon(links.run, own_address)
                await trio.sleep(0.1)
                for frame in invalid_frames():
                    await send_frames(own_address, frame)
                    await send_frames(own_address, authenticate(HELLO), frame)
                peer = make_links("b", {"a": own_address}, lambda update: None)
                nursery.start_soon(peer.run, peer_address)
                await received.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert received.is_set()


@pytest.mark.parametrize("fails_at", ["receiver", "sender"])
def test_a_fault_on_a_connection_ends_that_connection_alone(fails_at):
    own_address, peer_address = free_addresses(2)
    lines: list[dict] = []
    eliot.add_destinations(lines.append)
    faults = iter([ValueError("a fault")])
    received = trio.Event()

    def fail_once() -> None:
        for fault in faults:
            raise fault

    def receive(update: object) -> None:
        if fails_at == "receiver":
            fail_once()
        received.set()

    async def main() -> None:
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                links = make_links("a", {"b": peer_address}, receive)
                nursery.start_soon(links.run, own_address)
                peer = make_links("b", {"a": own_address}, lambda update: None)
                make_initial_update = peer._make_initial_update

                def make_update_or_fail() -> PeerUpdate:
                    if fails_at == "sender":
                        fail_once()
                    return make_initial_update()

                peer._make_initial_update = make_update_or_fail
                nursery.start_soon(peer.run, peer_address)
                while not received.is_set():
                    peer.send(make_update(None, "b", 1, 7, False))
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    finally:
        eliot.remove_destination(lines.append)
    logged = [line for line in lines if line["message_type"] == "internal_fault"]
    assert [line["where"] for line in logged] == ["peer connection"]


def test_connections_that_are_reset_at_any_step_do_not_end_the_links():
    own_address, peer_address = free_addresses(2)
    host, port = own_address.rsplit(":", 1)
    hello = authenticate(HELLO)
    data = FRAME_HEADER.pack(len(hello)) + hello

    async def main() -> None:
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                links = make_links("a", {"b": peer_address}, lambda update: received.set())
                nursery.start_soon(links.run, own_address)
                await trio.sleep(0.1)
                for size in (0, 1, FRAME_HEADER.size, len(data) - 1, len(data), 2 * len(data)):
                    for pause_s in (0.0, 0.005, 0.05):
                        sock = socket.create_connection((host, int(port)))
                        sock.sendall((data * 2)[:size])
                        await trio.sleep(pause_s)
                        reset(sock)
                peer = make_links("b", {"a": own_address}, lambda update: None)
                nursery.start_soon(peer.run, peer_address)
                await received.wait()
                nursery.cancel_scope.cancel()

    received = trio.Event()
    trio.run(main)
    assert received.is_set()


def test_instance_keeps_reconnecting_to_a_server_that_answers_with_garbage():
    own_address, peer_address = free_addresses(2)
    frames = iter([*invalid_frames()[:12]])
    done = trio.Event()

    async def answer_with_garbage(stream: trio.SocketStream) -> None:
        frame = next(frames, None)
        if frame is None:
            done.set()
            return
        await stream.send_all(FRAME_HEADER.pack(len(frame)) + frame)

    async def main() -> None:
        host, port = peer_address.rsplit(":", 1)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    lambda: trio.serve_tcp(answer_with_garbage, int(port), host=host)
                )
                nursery.start_soon(
                    make_links("a", {"b": peer_address}, lambda update: None).run, own_address
                )
                await done.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert done.is_set()


def test_a_peer_for_which_updates_were_dropped_gets_the_first_update_again(monkeypatch):
    monkeypatch.setattr(link, "MAX_QUEUED_WRITES", 1)
    monkeypatch.setattr(link, "INITIAL_UPDATE_INTERVAL_S", 0.1)
    own_address, peer_address = free_addresses(2)
    received: list[int] = []

    async def main() -> None:
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                links = make_links(
                    "a", {"b": peer_address}, lambda item: received.append(item.update.seq)
                )
                nursery.start_soon(links.run, own_address)
                peer = make_links("b", {"a": own_address}, lambda item: None)
                nursery.start_soon(peer.run, peer_address)
                while received != [0]:
                    await trio.sleep(0.02)
                for seq in (1, 2, 3):
                    sent = SendPeerUpdate(seq, (), ())
                    peer.send(make_update(sent, "b", 1, 7, False))
                while received.count(0) < 2:
                    peer.send(make_update(SendPeerUpdate(4, (), ()), "b", 1, 7, False))
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert 3 not in received


# Guards against LOST: a killed relay counts as live until it was silent for long enough.
def test_a_peer_whose_process_has_ended_is_reported_as_gone():
    own_address, peer_address = free_addresses(2)
    received, is_gone = trio.Event(), trio.Event()

    async def main() -> None:
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                links = make_links(
                    "a",
                    {"b": peer_address},
                    lambda item: received.set(),
                    lambda name: is_gone.set(),
                )
                nursery.start_soon(links.run, own_address)
                async with trio.open_nursery() as peer_process:
                    peer = make_links("b", {"a": own_address}, lambda item: None)
                    peer_process.start_soon(peer.run, peer_address)
                    await received.wait()
                    peer_process.cancel_scope.cancel()
                await is_gone.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert is_gone.is_set()


def test_a_peer_that_resets_connections_but_takes_new_ones_is_not_reported_as_gone():
    own_address, peer_address = free_addresses(2)
    attempts: list[int] = []
    gone: list[str] = []

    async def reset_at_once(stream: trio.SocketStream) -> None:
        attempts.append(1)
        reset_on_close(stream.socket)
        await trio.aclose_forcefully(stream)

    async def main() -> None:
        host, port = peer_address.rsplit(":", 1)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await nursery.start(partial(trio.serve_tcp, reset_at_once, int(port), host=host))
                links = make_links("a", {"b": peer_address}, lambda item: None, gone.append)
                nursery.start_soon(links.run, own_address)
                while len(attempts) < 3:
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert gone == []


def test_a_peer_that_refuses_connections_but_keeps_its_own_is_not_reported_as_gone(monkeypatch):
    own_address, peer_address, refusing_address = free_addresses(3)
    gone: list[str] = []
    refused = 0
    report_gone = PeerLinks._report_gone

    def count_refused(links: PeerLinks, name: str) -> None:
        nonlocal refused
        refused += links._accepted[name] > 0
        report_gone(links, name)

    monkeypatch.setattr(PeerLinks, "_report_gone", count_refused)

    async def main() -> None:
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                received = trio.Event()
                # Nobody listens there, though the peer itself is connected.
                links = make_links("a", {"b": refusing_address}, lambda item: received.set())
                nursery.start_soon(links.run, own_address)
                peer = make_links("b", {"a": own_address}, lambda item: None)
                nursery.start_soon(peer.run, peer_address)
                await received.wait()
                links._on_gone = gone.append
                while refused < 3:
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert gone == []
