"""Encode and decode the messages of tunnels to endpoints with thrift."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from thriftpy2.utils import deserialize

from rattangate.peers import peers_thrift as idl
from rattangate.peers.codec import THRIFT_FACTORY, encode_message
from rattangate.units import MS_PER_S


class TunnelOutcome(IntEnum):
    """Name what came of a request for a tunnel.

    `RESTING` says that the endpoint wants no requests from the asked instance for some time;
    `REFUSED` that this instance opens no tunnel to it, or no more tunnels at all.
    """

    OPENED = 0
    UNREACHABLE = 1
    RESTING = 2
    REFUSED = 3


@dataclass(frozen=True, slots=True)
class TunnelRequest:
    """Ask a peer to connect to one incarnation of an endpoint."""

    endpoint: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class TunnelAnswer:
    """Hold a peer's answer to a request for a tunnel; `rest_s` is set for `RESTING` only."""

    outcome: TunnelOutcome
    rest_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TunnelFrame:
    """Hold bytes that pass through a tunnel, or what one end tells the other.

    `is_end` says that the endpoint closed its connection without an error; `is_closing` that the
    peer wants no further request on this tunnel; `rest_s` that the endpoint wants none from the
    peer for so many seconds; `is_cut` that the connection to the endpoint broke.
    """

    data: bytes = b""
    is_end: bool = False
    is_closing: bool = False
    rest_s: float = 0.0
    is_cut: bool = False


def encode_request(req: TunnelRequest) -> bytes:
    """Encode a request for a tunnel."""
    return encode_message(idl.TunnelRequest(endpoint=req.endpoint, incarnation=req.incarnation))


def decode_request(data: bytes) -> TunnelRequest:
    """Decode a request for a tunnel; raise ValueError for a missing field."""
    decoded = deserialize(idl.TunnelRequest(), data, THRIFT_FACTORY)
    if not isinstance(decoded.endpoint, str) or not isinstance(decoded.incarnation, int):
        raise ValueError("a request for a tunnel names no endpoint")
    return TunnelRequest(decoded.endpoint, decoded.incarnation)


def encode_answer(answer: TunnelAnswer) -> bytes:
    """Encode the answer to a request for a tunnel."""
    rest_ms = round(answer.rest_s * MS_PER_S)
    return encode_message(idl.TunnelAnswer(outcome=int(answer.outcome), rest_ms=rest_ms))


def decode_answer(data: bytes) -> TunnelAnswer:
    """Decode the answer to a request for a tunnel; raise ValueError for an unknown outcome."""
    decoded = deserialize(idl.TunnelAnswer(), data, THRIFT_FACTORY)
    return TunnelAnswer(TunnelOutcome(decoded.outcome), (decoded.rest_ms or 0) / MS_PER_S)


def encode_frame(frame: TunnelFrame) -> bytes:
    """Encode one frame of a tunnel."""
    return encode_message(
        idl.TunnelFrame(
            data=frame.data or None,
            is_end=frame.is_end or None,
            is_closing=frame.is_closing or None,
            rest_ms=round(frame.rest_s * MS_PER_S) or None,
            is_cut=frame.is_cut or None,
        )
    )


def decode_frame(data: bytes) -> TunnelFrame:
    """Decode one frame of a tunnel."""
    decoded = deserialize(idl.TunnelFrame(), data, THRIFT_FACTORY)
    return TunnelFrame(
        decoded.data or b"",
        bool(decoded.is_end),
        bool(decoded.is_closing),
        (decoded.rest_ms or 0) / MS_PER_S,
        bool(decoded.is_cut),
    )
