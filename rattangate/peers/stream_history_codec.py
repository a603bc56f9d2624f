"""Encode and decode what an instance tells a peer of recent streams."""

from __future__ import annotations

from struct import Struct
from typing import Any

from rattangate.core.stream_history import BegunStream, ServedSoftware, Software, StreamHistory
from rattangate.peers import peers_thrift as idl
from rattangate.units import MS_PER_S

# The id of a stream, the index of its software and its age in milliseconds.
STREAM = Struct(">8sHI")


def history_to_thrift(history: StreamHistory) -> Any:
    """Encode a history; the software of each stream is among that which served."""
    return idl.StreamHistory(
        known_ms=int(history.known_s * MS_PER_S),
        served=[
            idl.Served(
                serves=served.software.service,
                version=served.software.version,
                age_ms=int(served.age_s * MS_PER_S),
                has_models=served.has_models,
            )
            for served in history.served
        ],
        streams=pack_streams(history),
        list_age_ms=int(history.list_age_s * MS_PER_S),
    )


def history_from_thrift(raw: Any) -> StreamHistory:
    """Decode a history; raise IndexError or struct.error for a malformed one."""
    served = tuple(
        ServedSoftware(Software(one.serves, one.version), one.age_ms / MS_PER_S, one.has_models)
        for one in raw.served
    )
    streams = unpack_streams(raw.streams, served)
    return StreamHistory(raw.known_ms / MS_PER_S, served, streams, raw.list_age_ms / MS_PER_S)


def pack_streams(history: StreamHistory) -> bytes:
    """Encode the streams of a history; the software of each is among that which served."""
    index = {served.software: number for number, served in enumerate(history.served)}
    return b"".join(
        STREAM.pack(begun.stream, index[begun.software], int(begun.age_s * MS_PER_S))
        for begun in history.streams
    )


def unpack_streams(
    raw: bytes, served: tuple[ServedSoftware, ...], elapsed_ms: int = 0
) -> tuple[BegunStream, ...]:
    """Decode streams that were encoded `elapsed_ms` ago; raise IndexError or struct.error."""
    return tuple(
        BegunStream(stream, served[number].software, (age_ms + elapsed_ms) / MS_PER_S)
        for stream, number, age_ms in STREAM.iter_unpack(raw)
    )
