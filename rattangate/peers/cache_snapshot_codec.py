"""Encode and decode cache contents, for peers and for the snapshot in the object store.

The thrift structs call the believed contents of a cache its picture.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from rattangate.core.messages import CacheSnapshotReceived
from rattangate.peers import peers_thrift as idl

if TYPE_CHECKING:
    from collections.abc import Iterable

PIECE_HASH = struct.Struct(">Q")

_factory = TBinaryProtocolFactory()


def pictures_to_thrift(pictures: Iterable[CacheSnapshotReceived]) -> Any:
    """Return the thrift struct of the contents of several caches."""
    return idl.Pictures(pictures=[_picture_to_thrift(picture) for picture in pictures])


def pictures_from_thrift(raw: Any) -> tuple[CacheSnapshotReceived, ...]:
    """Return the contents of several caches from a thrift struct."""
    return tuple(
        CacheSnapshotReceived(
            picture.endpoint,
            picture.incarnation,
            picture.weights_version,
            tuple(piece for (piece,) in PIECE_HASH.iter_unpack(picture.pieces)),
            picture.capacity,
        )
        for picture in raw.pictures
    )


def encode_cache_snapshots(pictures: Iterable[CacheSnapshotReceived]) -> bytes:
    """Encode the contents of several caches for the snapshot."""
    data: bytes = serialize(pictures_to_thrift(pictures), _factory)
    return data


def decode_cache_snapshots(data: bytes) -> tuple[CacheSnapshotReceived, ...]:
    """Decode the contents of several caches from a snapshot."""
    return pictures_from_thrift(deserialize(idl.Pictures(), data, _factory))


def _picture_to_thrift(picture: CacheSnapshotReceived) -> Any:
    return idl.Picture(
        endpoint=picture.endpoint,
        incarnation=picture.incarnation,
        weights_version=picture.weights_version,
        pieces=b"".join(map(PIECE_HASH.pack, picture.blocks)),
        capacity=picture.capacity,
    )
