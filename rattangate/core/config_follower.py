"""The choice of the configuration version that one instance applies.

The highest version seen wins, for the lifetime of the instance. Version numbers come from the
table, from the records in the object store and from the heartbeats of peers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod
from hashlib import blake2b
from typing import TYPE_CHECKING

from rattangate.core.config_versions import ConfigRecord, StoreRecord, digest_of

if TYPE_CHECKING:
    from collections.abc import Iterable

POLL_S = 1.5
RETRY_S = 0.5
# How many instances copy the record of each version from the table to the object store.
RECORD_WRITERS = 3


class ConfigSource(Enum):
    """Name the sources of a configuration version."""

    TABLE = "table"
    OBJECT = "object"
    PEER = "peer"


# Messages


@dataclass(frozen=True, slots=True)
class PeerVersionReported:
    """Report the version that a peer has applied."""

    instance: str
    version: int


@dataclass(frozen=True, slots=True)
class NewestRead:
    """Deliver the newest record of the table or of the object store."""

    record: ConfigRecord | None
    source: ConfigSource


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Report that a source could not be read."""

    source: ConfigSource


@dataclass(frozen=True, slots=True)
class ContentRead:
    """Deliver the content of a version; None means that the source does not have it."""

    record: ConfigRecord
    content: bytes | None
    source: ConfigSource


@dataclass(frozen=True, slots=True)
class VersionApplied:
    """Report that a version has been applied."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionRejected:
    """Report that this program cannot apply a version."""

    version: int


@dataclass(frozen=True, slots=True)
class PollTick:
    """Report that time has passed and a poll may be due."""


FollowerMessage = (
    PeerVersionReported
    | NewestRead
    | ReadFailed
    | ContentRead
    | VersionApplied
    | VersionRejected
    | PollTick
)

# Effects


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read the newest record of the table or of the object store."""

    source: ConfigSource


@dataclass(frozen=True, slots=True)
class ReadContent:
    """Read the content of a version from the object store."""

    record: ConfigRecord


@dataclass(frozen=True, slots=True)
class ReadFromPeer:
    """Ask a peer for the content of the version that it has applied."""

    instance: str


@dataclass(frozen=True, slots=True)
class ApplyVersion:
    """Apply a version."""

    record: ConfigRecord
    content: bytes
    source: ConfigSource


FollowerEffect = ReadNewest | ReadContent | ReadFromPeer | ApplyVersion | StoreRecord


class ConfigFollower:
    """Follow the accepted versions on behalf of one instance.

    `in_force` is the version that the instance has applied. `has_synced` becomes true, and stays
    so, once no newer version is known except rejected ones.
    """

    def __init__(self, instance: str, instances: Iterable[str]) -> None:
        self.in_force = 0
        self.has_synced = False
        self._instance = instance
        self._instances = tuple(sorted({*instances, instance}))
        self._newest_known = 0
        self._newest_rejected = 0
        self._peer_versions: dict[str, int] = {}
        self._is_reading = False
        self._poll_at = 0.0
        self._poll_count = 0

    def handle(self, msg: FollowerMessage, now: float) -> list[FollowerEffect]:
        """Apply one message and return the effects to carry out."""
        return self._handle(msg, now)

    @property
    def is_behind(self) -> bool:
        """Tell whether a higher version than the applied one is known and was not rejected."""
        return self._newest_known > max(self.in_force, self._newest_rejected)

    @singledispatchmethod
    def _handle(self, msg: object, now: float) -> list[FollowerEffect]:
        raise TypeError(f"expected a FollowerMessage, got {msg!r}")

    @_handle.register
    def _on_tick(self, msg: PollTick, now: float) -> list[FollowerEffect]:
        if self._is_reading or now < self._poll_at:
            return []
        return self._start_read()

    @_handle.register
    def _on_peer_version(self, msg: PeerVersionReported, now: float) -> list[FollowerEffect]:
        self._peer_versions[msg.instance] = msg.version
        if msg.version <= self._newest_known:
            return []
        self._newest_known = msg.version
        effects: list[FollowerEffect] = [] if self._is_reading else self._start_read()
        if not self.has_synced:
            effects.append(ReadFromPeer(msg.instance))
        return effects

    @_handle.register
    def _on_newest(self, msg: NewestRead, now: float) -> list[FollowerEffect]:
        record = msg.record
        if record is None or record.version <= max(self.in_force, self._newest_rejected):
            return self._end_read(now, msg.source)
        self._newest_known = max(self._newest_known, record.version)
        effects: list[FollowerEffect] = [ReadContent(record)]
        if msg.source is ConfigSource.TABLE and self._writes_record(record.version):
            effects.append(StoreRecord(record))
        return effects

    @_handle.register
    def _on_read_failed(self, msg: ReadFailed, now: float) -> list[FollowerEffect]:
        if msg.source is ConfigSource.TABLE and (self.is_behind or not self.has_synced):
            return [ReadNewest(ConfigSource.OBJECT)]
        return self._end_read(now, msg.source)

    @_handle.register
    def _on_content(self, msg: ContentRead, now: float) -> list[FollowerEffect]:
        record = msg.record
        is_intact = msg.content is not None and digest_of(msg.content) == record.digest
        if not is_intact or record.version <= max(self.in_force, self._newest_rejected):
            return [] if msg.source is ConfigSource.PEER else self._end_read(now, msg.source)
        assert msg.content is not None
        self._newest_known = max(self._newest_known, record.version)
        if msg.source is not ConfigSource.PEER:
            self._is_reading = False
            self._poll_at = now + self._poll_interval()
        return [ApplyVersion(record, msg.content, msg.source)]

    @_handle.register
    def _on_applied(self, msg: VersionApplied, now: float) -> list[FollowerEffect]:
        self.in_force = max(self.in_force, msg.version)
        self.has_synced |= not self.is_behind
        return []

    @_handle.register
    def _on_rejected(self, msg: VersionRejected, now: float) -> list[FollowerEffect]:
        self._newest_rejected = max(self._newest_rejected, msg.version)
        return []

    def _start_read(self) -> list[FollowerEffect]:
        self._is_reading = True
        return [ReadNewest(ConfigSource.TABLE)]

    def _end_read(self, now: float, source: ConfigSource) -> list[FollowerEffect]:
        self._is_reading = False
        self._poll_at = now + (RETRY_S if self.is_behind else self._poll_interval())
        self.has_synced |= source is ConfigSource.TABLE and not self.is_behind
        if not self.is_behind:
            return []
        peers = [name for name, version in self._peer_versions.items() if version > self.in_force]
        return (
            [ReadFromPeer(max(peers, key=lambda name: self._rendezvous_hash(name, 0)))]
            if peers
            else []
        )

    def _poll_interval(self) -> float:
        # Jitter keeps instances that learned of a version together from polling together.
        self._poll_count += 1
        jitter = self._rendezvous_hash(self._instance, self._poll_count)[0] / 255
        return POLL_S * (0.5 + jitter)

    def _writes_record(self, version: int) -> bool:
        ranked = sorted(self._instances, key=lambda name: self._rendezvous_hash(name, version))
        return self._instance in ranked[:RECORD_WRITERS]

    def _rendezvous_hash(self, instance: str, version: int) -> bytes:
        return blake2b(f"{instance}/{version}".encode(), digest_size=8).digest()
