"""Arguments and outcomes of calls to the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreRow:
    """Hold one row.

    `version` is 0 for a missing row, `value` is None for a missing or deleted one.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreRows:
    """Hold the rows of one read and the version of the store at that time.

    `answered_at` is the time of the answer, in seconds on the store's own monotonic clock.
    """

    rows: tuple[StoreRow, ...]
    version: int
    answered_at: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """Report a write whose expected versions did not match, with the current rows."""

    rows: tuple[StoreRow, ...]

    def row(self, key: str) -> StoreRow:
        """Return the current row of a key, with version 0 if it is missing."""
        found = (row for row in self.rows if row.key == key)
        return next(found, StoreRow(key, 0, None))


@dataclass(frozen=True, slots=True)
class Written:
    """Report a successful write and the version that it created."""

    version: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """Report that the store no longer keeps the changes since the requested version."""


@dataclass(frozen=True, slots=True)
class BlobStored:
    """Report that a blob was written, or was left unchanged because it already existed."""

    already_existed: bool


@dataclass(frozen=True, slots=True)
class BlobRead:
    """Hold the content of a blob; `body` is None if the blob does not exist."""

    body: bytes | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report a call without a usable answer.

    `may_have_applied` says whether a write may have taken effect nevertheless.
    """

    detail: str
    may_have_applied: bool


@dataclass(frozen=True, slots=True)
class ExpectedVersion:
    """Require that a row has a version for a write to succeed; 0 requires that it is missing."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowUpdate:
    """Hold the new value of a row, which may exist already."""

    key: str
    value: bytes
