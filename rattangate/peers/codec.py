"""Encode and decode the messages between entry instances with thrift."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from rattangate.core.fleet import WeightsUpdate
from rattangate.core.messages import Placement, PlacementRelease
from rattangate.peers import peers_thrift as idl
from rattangate.peers.cache_snapshot_codec import (
    PIECE_HASH,
    pictures_from_thrift,
    pictures_to_thrift,
)
from rattangate.peers.limits_codec import (
    evidence_from_thrift,
    evidence_to_thrift,
    limits_from_thrift,
    limits_to_thrift,
)
from rattangate.peers.stream_history_codec import history_from_thrift, history_to_thrift
from rattangate.platform.outcomes import StoreRow
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from rattangate.core.messages import (
        CacheSnapshotReceived,
        Evidence,
        LimitsUpdate,
        SendPeerUpdate,
    )
    from rattangate.core.stream_history import StreamHistory

MAX_CONFIG_BYTES = 16_000_000

THRIFT_FACTORY = TBinaryProtocolFactory()


@dataclass(frozen=True, slots=True)
class EncodedConfig:
    """Hold the record and content of a configuration version, both encoded."""

    record: bytes
    content: bytes


@dataclass(frozen=True, slots=True)
class TableDelta:
    """Hold the rows of a table that changed between the store versions `after` and `version`.

    `asked_at` is when they were requested, in seconds of the store's monotonic clock. All instances
    can read that clock, so the age of the rows is known however long the message took.
    """

    table: str
    after: int
    version: int
    asked_at: float
    rows: tuple[StoreRow, ...]


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """Hold an update that one instance sends to its peers.

    `seq` numbers the updates with placements, releases or limits, 0 for one without.
    `leaving_endpoints` holds the names and incarnations of leaving endpoints, `live_instances`
    those of the live instances of its data centre. `wants_config` and `wants_pictures` ask the
    receiver for its configuration and its cache contents. `listed` holds changes to a table of the
    store, `stream_history` what the sender knows of recent streams and `evidence` what it knows of
    failed runs.
    """

    instance: str
    incarnation: int
    seq: int
    config_version: int
    leaving: bool
    placements: tuple[Placement, ...]
    releases: tuple[PlacementRelease, ...]
    leaving_endpoints: tuple[tuple[str, int], ...]
    wants_config: bool = False
    config: EncodedConfig | None = None
    limits: LimitsUpdate | None = None
    wants_pictures: bool = False
    pictures: tuple[CacheSnapshotReceived, ...] = ()
    weights: tuple[WeightsUpdate, ...] = ()
    listed: TableDelta | None = None
    live_instances: tuple[tuple[str, int], ...] = ()
    stream_history: StreamHistory | None = None
    evidence: Evidence | None = None

    @property
    def is_for_receiver_only(self) -> bool:
        """Tell whether the receiver does not forward this update."""
        return not (self.listed is self.stream_history is self.evidence is None)

    @property
    def is_heartbeat(self) -> bool:
        """Tell whether this update only says that the instance is live."""
        has_content = self.weights or self.leaving_endpoints or self.live_instances
        return not self.seq and not has_content and not self.is_for_receiver_only


def encode_message(message: object) -> bytes:
    """Encode a thrift struct."""
    data: bytes = serialize(message, THRIFT_FACTORY)
    return data


def decode_hello(data: bytes) -> Any:
    """Decode a Hello; raise ValueError for a missing field."""
    return _require_types(deserialize(idl.Hello(), data, THRIFT_FACTORY))


def decode_proof(data: bytes) -> Any:
    """Decode a Proof; raise ValueError for a missing field."""
    return _require_types(deserialize(idl.Proof(), data, THRIFT_FACTORY))


def _require_types(message: Any) -> Any:
    for field, value in vars(message).items():
        expected_types = (str,) if field == "instance" else (bytes, int)
        if not isinstance(value, expected_types):
            raise ValueError(
                f"field {field!r} has type {type(value).__name__}, expected one of {expected_types}"
            )
    return message


def encode_update(update: PeerUpdate) -> bytes:
    """Encode an update."""
    return encode_message(
        idl.News(
            instance=update.instance,
            incarnation=update.incarnation,
            seq=update.seq,
            config_version=update.config_version,
            leaving=update.leaving,
            placed=[_placement_to_thrift(placement) for placement in update.placements],
            departed=[_release_to_thrift(release) for release in update.releases],
            leaving_endpoints=dict(update.leaving_endpoints),
            wants_config=update.wants_config or None,
            config_record=update.config.record if update.config is not None else None,
            config_content=(
                zlib.compress(update.config.content) if update.config is not None else None
            ),
            limits=limits_to_thrift(update.limits) if update.limits is not None else None,
            wants_pictures=update.wants_pictures or None,
            pictures=pictures_to_thrift(update.pictures) if update.pictures else None,
            weights=[_weights_to_thrift(item) for item in update.weights] or None,
            listed=_rows_to_thrift(update.listed) if update.listed is not None else None,
            live_instances=dict(update.live_instances) or None,
            stream_history=(
                history_to_thrift(update.stream_history)
                if update.stream_history is not None
                else None
            ),
            evidence=evidence_to_thrift(update.evidence) if update.evidence is not None else None,
        )
    )


def decode_update(data: bytes) -> PeerUpdate:
    """Decode an update."""
    raw = deserialize(idl.News(), data, THRIFT_FACTORY)
    return PeerUpdate(
        raw.instance,
        raw.incarnation,
        raw.seq,
        raw.config_version,
        bool(raw.leaving),
        tuple(_placement_from_thrift(placed) for placed in raw.placed or ()),
        tuple(_release_from_thrift(departed) for departed in raw.departed or ()),
        tuple((raw.leaving_endpoints or {}).items()),
        bool(raw.wants_config),
        _config_from_thrift(raw),
        limits_from_thrift(raw.limits) if raw.limits is not None else None,
        bool(raw.wants_pictures),
        pictures_from_thrift(raw.pictures) if raw.pictures is not None else (),
        tuple(_weights_from_thrift(item) for item in raw.weights or ()),
        _rows_from_thrift(raw.listed) if raw.listed is not None else None,
        tuple((raw.live_instances or {}).items()),
        history_from_thrift(raw.stream_history) if raw.stream_history is not None else None,
        evidence_from_thrift(raw.evidence) if raw.evidence is not None else None,
    )


def make_update(
    sent: SendPeerUpdate | None, instance: str, incarnation: int, config_version: int, leaving: bool
) -> PeerUpdate:
    """Make an update from what the core sends, or a heartbeat from None."""
    if sent is None:
        return PeerUpdate(instance, incarnation, 0, config_version, leaving, (), (), ())
    return PeerUpdate(
        instance,
        incarnation,
        sent.seq,
        config_version,
        leaving,
        sent.placements,
        sent.releases,
        (),
        limits=sent.limits,
    )


def _config_from_thrift(raw: Any) -> EncodedConfig | None:
    if raw.config_record is None or raw.config_content is None:
        return None
    content = zlib.decompressobj().decompress(raw.config_content, MAX_CONFIG_BYTES)
    return EncodedConfig(raw.config_record, content)


def _placement_to_thrift(placement: Placement) -> Any:
    return idl.Placed(
        endpoint=placement.endpoint,
        incarnation=placement.incarnation,
        workspace=placement.workspace,
        pieces=b"".join(map(PIECE_HASH.pack, placement.blocks)),
        prompt_tokens=placement.prompt_tokens,
        max_tokens=placement.max_tokens,
        priority=placement.priority,
        number=placement.number,
        age_ms=int(placement.age_s * MS_PER_S),
        digest=placement.digest,
        fetched_tokens=placement.fetched_tokens or None,
        cache_target=placement.cache_target or None,
        stream=placement.stream or None,
    )


def _placement_from_thrift(placed: Any) -> Placement:
    pieces = tuple(piece for (piece,) in PIECE_HASH.iter_unpack(placed.pieces))
    return Placement(
        placed.endpoint,
        placed.incarnation,
        placed.workspace,
        pieces,
        placed.prompt_tokens,
        placed.max_tokens,
        placed.priority,
        placed.number,
        placed.age_ms / MS_PER_S,
        placed.digest or b"",
        placed.fetched_tokens or 0,
        placed.cache_target or "",
        placed.stream or b"",
    )


def _release_to_thrift(release: PlacementRelease) -> Any:
    return idl.Departed(
        endpoint=release.endpoint,
        incarnation=release.incarnation,
        prompt_tokens=release.prompt_tokens,
        max_tokens=release.max_tokens,
        number=release.number,
        cached_tokens=release.cached_tokens,
        age_ms=int(release.age_s * MS_PER_S),
    )


def _release_from_thrift(departed: Any) -> PlacementRelease:
    return PlacementRelease(
        departed.endpoint,
        departed.incarnation,
        departed.prompt_tokens,
        departed.max_tokens,
        departed.number,
        departed.cached_tokens,
        departed.age_ms / MS_PER_S,
    )


def _weights_to_thrift(weights: WeightsUpdate) -> Any:
    return idl.Weights(
        endpoint=weights.endpoint,
        incarnation=weights.incarnation,
        model=weights.model,
        version=weights.version,
        loading_ms=int(weights.loading_s * MS_PER_S),
    )


def _weights_from_thrift(raw: Any) -> WeightsUpdate:
    return WeightsUpdate(
        raw.endpoint, raw.incarnation, raw.model, raw.version, raw.loading_ms / MS_PER_S
    )


def _rows_to_thrift(delta: TableDelta) -> Any:
    rows = [idl.ListedRow(name=row.key, version=row.version, value=row.value) for row in delta.rows]
    asked_at_ms = int(delta.asked_at * MS_PER_S)
    return idl.Listed(
        after=delta.after,
        version=delta.version,
        asked_at_ms=asked_at_ms,
        rows=rows,
        table=delta.table,
    )


def _rows_from_thrift(raw: Any) -> TableDelta:
    rows = tuple(StoreRow(row.name, row.version, row.value) for row in raw.rows or ())
    return TableDelta(raw.table, raw.after, raw.version, raw.asked_at_ms / MS_PER_S, rows)
