"""The handshake of two entry instances: both sides prove that they know the peer secret.

Its frames carry a message authentication code (MAC) before the struct.
"""

from __future__ import annotations

import hmac
import secrets
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from rattangate.peers import peers_thrift as idl
from rattangate.peers.codec import decode_hello, decode_proof, encode_message
from rattangate.peers.framing import PeerProtocolError, decode_frame, pack_frame

if TYPE_CHECKING:
    import trio

    from rattangate.peers.framing import FrameReader

NONCE_BYTES = 16
MAC_BYTES = 32
HANDSHAKE_TIMEOUT_S = 2.0
# Anyone who connects may send one, so that it is far below what an authenticated peer may send.
MAX_HANDSHAKE_FRAME_BYTES = 4_096


class Purpose(IntEnum):
    """Name what a connection between instances is for."""

    UPDATES = 0
    TUNNEL = 1


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Hold the name and incarnation of this instance, and the secret shared with its peers."""

    instance: str
    incarnation: int
    secret: bytes


@dataclass(frozen=True, slots=True)
class Client:
    """Hold the name of a peer that has connected, and what its connection is for."""

    instance: str
    purpose: int


async def authenticate_to_server(
    identity: PeerIdentity,
    reader: FrameReader,
    stream: trio.SocketStream,
    purpose: Purpose = Purpose.UPDATES,
) -> None:
    """Prove this instance's identity on a connection that it opened, and check the server's."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _send_authenticated(identity, stream, _hello(identity, nonce, b"", purpose))
    answer = await _read_authenticated(identity, reader, decode_hello)
    _verify_proof(identity, b"server", answer.instance, nonce + answer.nonce, answer.proof)
    proof = _proof_of(identity, b"client", identity.instance, answer.nonce + nonce)
    await _send_authenticated(identity, stream, idl.Proof(proof=proof))


async def authenticate_client(
    identity: PeerIdentity, reader: FrameReader, stream: trio.SocketStream
) -> Client:
    """Prove this instance's identity on an accepted connection, and return the client's."""
    hello = await _read_authenticated(identity, reader, decode_hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _proof_of(identity, b"server", identity.instance, hello.nonce + nonce)
    await _send_authenticated(identity, stream, _hello(identity, nonce, proof, hello.purpose))
    client_proof = (await _read_authenticated(identity, reader, decode_proof)).proof
    _verify_proof(identity, b"client", hello.instance, nonce + hello.nonce, client_proof)
    return Client(hello.instance, hello.purpose)


async def _send_authenticated(
    identity: PeerIdentity, stream: trio.SocketStream, message: object
) -> None:
    frame = encode_message(message)
    await stream.send_all(pack_frame(_mac_of(identity, frame) + frame))


async def _read_authenticated(identity: PeerIdentity, reader: FrameReader, decode: Any) -> Any:
    # Checked before decoding: an unauthenticated frame may declare a list of any length, which
    # can take seconds to decode.
    data = await reader.read(MAX_HANDSHAKE_FRAME_BYTES)
    mac, frame = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(_mac_of(identity, frame), mac):
        raise PeerProtocolError("invalid message authentication code of a handshake frame")
    return decode_frame(decode, frame)


def _mac_of(identity: PeerIdentity, frame: bytes) -> bytes:
    return hmac.digest(identity.secret, b"handshake\x00" + frame, "sha256")


def _hello(identity: PeerIdentity, nonce: bytes, proof: bytes, purpose: int) -> object:
    return idl.Hello(
        instance=identity.instance,
        incarnation=identity.incarnation,
        nonce=nonce,
        proof=proof,
        purpose=purpose,
    )


def _proof_of(identity: PeerIdentity, role: bytes, instance: str, nonces: bytes) -> bytes:
    text = role + b"\x00" + instance.encode() + b"\x00" + nonces
    return hmac.digest(identity.secret, text, "sha256")


def _verify_proof(
    identity: PeerIdentity, role: bytes, instance: str, nonces: bytes, proof: bytes
) -> None:
    if not hmac.compare_digest(_proof_of(identity, role, instance, nonces), proof or b""):
        raise PeerProtocolError(f"invalid proof of the peer secret by instance {instance!r}")
