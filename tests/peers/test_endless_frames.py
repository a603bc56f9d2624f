"""Peers that send bytes without end: what is kept is bounded and other tasks get their turn."""

from __future__ import annotations

from contextlib import suppress

import pytest
import trio

from rattangate.peers.framing import FRAME_HEADER, FrameReader, PeerProtocolError, pack_frame
from rattangate.peers.handshake import PeerIdentity, authenticate_client, authenticate_to_server
from rattangate.peers.tunnel_codec import TunnelFrame, encode_frame
from rattangate.peers.tunnels import MAX_DATA_BYTES, TunnelStream
from rattangate.turns import ITEMS_PER_TURN
from tests.turns import counting_turns

IDENTITY = PeerIdentity("a", 1, b"s" * 32)
BLOCK_BYTES = 16_384
# What the kernel buffers of a local connection hold, beside what is read before closing.
KERNEL_BYTES = 600_000
MAX_FRAME_HEADER = FRAME_HEADER.pack(1_000_000)


async def flood(stream: trio.SocketStream, prefix: bytes, limit: int) -> int:
    """Send up to `limit` bytes until the connection closes; return the number of bytes sent."""
    sent = 0
    with suppress(trio.BrokenResourceError):
        await stream.send_all(prefix)
        while sent < limit:
            await stream.send_all(b"x" * BLOCK_BYTES)
            sent += BLOCK_BYTES
    return sent


def open_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    ours, theirs = trio.socket.socketpair()
    return trio.SocketStream(ours), trio.SocketStream(theirs)


@pytest.mark.parametrize(
    "frame",
    [b"", encode_frame(TunnelFrame(is_closing=True)), encode_frame(TunnelFrame(data=b"x"))],
    ids=["empty", "without data", "of one byte"],
)
def test_many_small_frames_of_a_tunnel_do_not_hold_up_other_tasks(frame):
    frames = 2_000

    async def main() -> None:
        ours, theirs = open_pair()
        await theirs.send_all(pack_frame(frame) * frames)
        await theirs.aclose()
        reader = FrameReader(ours)
        async with counting_turns() as turns:
            before = turns.count
            with pytest.raises(EOFError):
                while True:
                    await reader.read()
            assert turns.count - before >= frames // ITEMS_PER_TURN

    trio.run(main)


def test_a_tunnel_with_frames_without_data_can_be_cancelled_at_any_turn():
    frame = pack_frame(encode_frame(TunnelFrame(is_closing=True)))

    async def main() -> None:
        ours, theirs = open_pair()
        stream = TunnelStream(ours, FrameReader(ours))
        await theirs.send_all(frame * 2_000 + pack_frame(encode_frame(TunnelFrame(data=b"x"))))
        with trio.CancelScope() as scope:
            scope.cancel()
            await stream.receive_some()
        assert scope.cancelled_caught
        assert await stream.receive_some() == b"x"

    trio.run(main)


@pytest.mark.parametrize("side", [authenticate_client, authenticate_to_server])
def test_a_peer_that_has_proven_nothing_is_refused_before_a_long_frame_is_kept(side):
    async def main() -> None:
        ours, theirs = open_pair()
        refused = trio.Event()

        async def serve() -> None:
            with pytest.raises(PeerProtocolError):
                await side(IDENTITY, FrameReader(ours), ours)
            refused.set()
            await ours.aclose()

        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve)
                sent = await flood(theirs, MAX_FRAME_HEADER, 8_000_000)
        assert refused.is_set()
        assert sent < KERNEL_BYTES

    trio.run(main)


def test_a_frame_of_a_tunnel_that_is_larger_than_any_that_is_sent_is_not_kept():
    async def main() -> None:
        ours, theirs = open_pair()
        await theirs.send_all(FRAME_HEADER.pack(2 * MAX_DATA_BYTES))
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(5.0):
            await TunnelStream(ours, FrameReader(ours)).receive_some()

    trio.run(main)
