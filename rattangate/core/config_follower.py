"""The choice of the configuration version that one instance has in force.

The highest version seen wins, for as long as the instance lives. The number comes from the table, from
the records in the object store, or from a peer's heartbeat.
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
RECORD_KEEPERS = 3


class ConfigSource(Enum):
    """Name the sources of a configuration version."""

    TABLE = "table"
    OBJECT = "object"
    PEER = "peer"


# Messages


@dataclass(frozen=True, slots=True)
class VersionHeard:
    """Report the version that a peer has in force."""

    instance: str
    version: int


@dataclass(frozen=True, slots=True)
class NewestRead:
    """Deliver the newest record of the table or of the object store."""

    record: ConfigRecord | None
    source: ConfigSource


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Report that a source did not answer."""

    source: ConfigSource


@dataclass(frozen=True, slots=True)
class ContentRead:
    """Deliver the content of a version; None stands for a source that has none."""

    record: ConfigRecord
    content: bytes | None
    source: ConfigSource


@dataclass(frozen=True, slots=True)
class Enforced:
    """Report that a version is in force."""

    version: int


@dataclass(frozen=True, slots=True)
class ContentRefused:
    """Report that this program can't take a version into force."""

    version: int


@dataclass(frozen=True, slots=True)
class PollTick:
    """Let the follower act on the passing of time."""


FollowerMessage = (
    VersionHeard | NewestRead | ReadFailed | ContentRead | Enforced | ContentRefused | PollTick
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
class AskPeer:
    """Ask a peer for the version that it has in force."""

    instance: str


@dataclass(frozen=True, slots=True)
class Enforce:
    """Take a version into force."""

    record: ConfigRecord
    content: bytes
    source: ConfigSource


FollowerEffect = ReadNewest | ReadContent | AskPeer | Enforce | StoreRecord


class ConfigFollower:
    """Follow the accepted versions on behalf of one instance."""

    def __init__(self, instance: str, instances: Iterable[str]) -> None:
        self.in_force = 0
        self.is_settled = False
        self._instance = instance
        self._instances = tuple(sorted({*instances, instance}))
        self._wanted = 0
        self._refused = 0
        self._heard: dict[str, int] = {}
        self._is_reading = False
        self._poll_at = 0.0
        self._polls = 0

    def handle(self, msg: FollowerMessage, now: float) -> list[FollowerEffect]:
        """Apply one message and return the effects to carry out."""
        return self._handle(msg, now)

    @property
    def is_behind(self) -> bool:
        """Say whether a higher version than the one in force is known."""
        return self._wanted > max(self.in_force, self._refused)

    @singledispatchmethod
    def _handle(self, msg: object, now: float) -> list[FollowerEffect]:
        raise TypeError(f"unknown message {msg!r}")

    @_handle.register
    def _on_tick(self, msg: PollTick, now: float) -> list[FollowerEffect]:
        if self._is_reading or now < self._poll_at:
            return []
        return self._poll()

    @_handle.register
    def _on_heard(self, msg: VersionHeard, now: float) -> list[FollowerEffect]:
        self._heard[msg.instance] = msg.version
        if msg.version <= self._wanted:
            return []
        self._wanted = msg.version
        effects: list[FollowerEffect] = [] if self._is_reading else self._poll()
        if not self.is_settled:
            effects.append(AskPeer(msg.instance))
        return effects

    @_handle.register
    def _on_newest(self, msg: NewestRead, now: float) -> list[FollowerEffect]:
        record = msg.record
        if record is None or record.version <= max(self.in_force, self._refused):
            return self._end_read(now, msg.source)
        self._wanted = max(self._wanted, record.version)
        effects: list[FollowerEffect] = [ReadContent(record)]
        if msg.source is ConfigSource.TABLE and self._keeps_record(record.version):
            effects.append(StoreRecord(record))
        return effects

    @_handle.register
    def _on_read_failed(self, msg: ReadFailed, now: float) -> list[FollowerEffect]:
        if msg.source is ConfigSource.TABLE and (self.is_behind or not self.is_settled):
            return [ReadNewest(ConfigSource.OBJECT)]
        return self._end_read(now, msg.source)

    @_handle.register
    def _on_content(self, msg: ContentRead, now: float) -> list[FollowerEffect]:
        record = msg.record
        is_whole = msg.content is not None and digest_of(msg.content) == record.digest
        if not is_whole or record.version <= max(self.in_force, self._refused):
            return [] if msg.source is ConfigSource.PEER else self._end_read(now, msg.source)
        assert msg.content is not None
        self._wanted = max(self._wanted, record.version)
        if msg.source is not ConfigSource.PEER:
            self._is_reading = False
            self._poll_at = now + self._poll_interval()
        return [Enforce(record, msg.content, msg.source)]

    @_handle.register
    def _on_enforced(self, msg: Enforced, now: float) -> list[FollowerEffect]:
        self.in_force = max(self.in_force, msg.version)
        self.is_settled |= not self.is_behind
        return []

    @_handle.register
    def _on_refused(self, msg: ContentRefused, now: float) -> list[FollowerEffect]:
        self._refused = max(self._refused, msg.version)
        return []

    def _poll(self) -> list[FollowerEffect]:
        self._is_reading = True
        return [ReadNewest(ConfigSource.TABLE)]

    def _end_read(self, now: float, source: ConfigSource) -> list[FollowerEffect]:
        self._is_reading = False
        self._poll_at = now + (RETRY_S if self.is_behind else self._poll_interval())
        self.is_settled |= source is ConfigSource.TABLE and not self.is_behind
        if not self.is_behind:
            return []
        ahead = [name for name, version in self._heard.items() if version > self.in_force]
        return [AskPeer(max(ahead, key=lambda name: self._score(name, 0)))] if ahead else []

    def _poll_interval(self) -> float:
        # Instances that learned a version together must not poll together ever after.
        self._polls += 1
        spread = self._score(self._instance, self._polls)[0] / 255
        return POLL_S * (0.5 + spread)

    def _keeps_record(self, version: int) -> bool:
        ranked = sorted(self._instances, key=lambda name: self._score(name, version))
        return self._instance in ranked[:RECORD_KEEPERS]

    def _score(self, instance: str, version: int) -> bytes:
        return blake2b(f"{instance}/{version}".encode(), digest_size=8).digest()
