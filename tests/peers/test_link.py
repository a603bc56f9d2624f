"""Bad frames on the links between instances hurt no one but their sender."""

from __future__ import annotations

import hmac
import random

import trio

from rattangate.peers.codec import encode_message, idl, news_of
from rattangate.peers.link import FRAME_HEAD, PeerIdentity, PeerLinks
from tests.small_deployment import free_addresses

SECRET = b"secret"


HELLO = encode_message(idl.Hello(instance="b", incarnation=1, nonce=b"n" * 16, proof=b""))


def seal(frame: bytes) -> bytes:
    """Seal a frame as a holder of the secret does."""
    return hmac.digest(SECRET, b"handshake\x00" + frame, "sha256") + frame


def bad_frames() -> list[bytes]:
    """Return garbage, damaged and incomplete frames."""
    rng = random.Random(1)
    partial = [encode_message(idl.Hello()), encode_message(idl.Proof(proof=b"x"))]
    frames = [b"", b"\x00", HELLO, *map(seal, partial), seal(b"\x00"), seal(b"\x0b\x00")]
    for _ in range(60):
        damaged = bytearray(HELLO)
        damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        frames.append(bytes(damaged[: rng.randrange(1, len(damaged) + 1)]))
        frames.append(rng.randbytes(rng.randrange(1, 60)))
    return frames


async def send_bad(address: str, *frames: bytes) -> None:
    """Send frames as a stranger and leave when the other side does."""
    host, port = address.rsplit(":", 1)
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        try:
            for frame in frames:
                await stream.send_all(FRAME_HEAD.pack(len(frame)) + frame)
            await stream.send_eof()
            while await stream.receive_some():
                pass
        except (OSError, trio.BrokenResourceError):
            return


def make_links(name: str, peers: dict[str, str], receive) -> PeerLinks:
    """Make the links of one instance."""
    identity = PeerIdentity(name, 1, SECRET)
    return PeerLinks(identity, peers, receive, lambda: news_of(None, name, 1, 7, False))


def test_instance_outlives_bad_frames_and_still_hears_its_peer():
    one, other = free_addresses(2)
    heard = trio.Event()

    async def main() -> None:
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                links = make_links("a", {"b": other}, lambda news: heard.set())
                nursery.start_soon(links.run, one)
                await trio.sleep(0.1)
                for frame in bad_frames():
                    await send_bad(one, frame)
                    await send_bad(one, seal(HELLO), frame)
                peer = make_links("b", {"a": one}, lambda news: None)
                nursery.start_soon(peer.run, other)
                await heard.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert heard.is_set()


def test_instance_outlives_a_server_that_answers_with_garbage():
    one, other = free_addresses(2)
    frames = iter([*bad_frames()[:12]])
    done = trio.Event()

    async def answer_badly(stream: trio.SocketStream) -> None:
        frame = next(frames, None)
        if frame is None:
            done.set()
            return
        await stream.send_all(FRAME_HEAD.pack(len(frame)) + frame)

    async def main() -> None:
        host, port = other.rsplit(":", 1)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lambda: trio.serve_tcp(answer_badly, int(port), host=host))
                nursery.start_soon(make_links("a", {"b": other}, lambda news: None).run, one)
                await done.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)
    assert done.is_set()
