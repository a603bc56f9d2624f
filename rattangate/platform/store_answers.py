"""The answers of the platform's store, with the types and ranges that their fields must have."""

from __future__ import annotations

from typing import Annotated

import msgspec

from rattangate.core.store_version import MAX_ERA, MAX_NUMBER, make_version
from rattangate.platform.outcomes import StoreRow

MAX_TIME_MS = 2.0**53

_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_TimeMs = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_MS)]


class Row(msgspec.Struct, frozen=True):
    """Hold one row; `value` is base64, `tombstone` marks a dropped row."""

    key: str
    ver: _Number
    value: bytes | None = None
    tombstone: bool = False


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answer a read or a long poll; `now_ms` is the time on the store's clock."""

    rows: tuple[Row, ...]
    ver: _Number
    now_ms: _TimeMs
    has_more: bool = False


class WrittenAnswer(msgspec.Struct, frozen=True):
    """Answer a transaction that was applied."""

    ver: _Number
    now_ms: _TimeMs | None = None


class ConflictAnswer(msgspec.Struct, frozen=True):
    """Answer a transaction whose conditions did not hold, with the current rows."""

    rows: tuple[Row, ...] = ()


class NamesAnswer(msgspec.Struct, frozen=True):
    """Answer a listing of blobs."""

    names: tuple[str, ...]
    has_more: bool = False


def make_row(row: Row, era: int) -> StoreRow:
    """Make a row of an era; a dropped one has no value."""
    version = make_version(era, row.ver)
    return StoreRow(row.key, version, None if row.tombstone else row.value)


def decode_era(text: str) -> int | None:
    """Decode the era that a header names, None if it is no number or out of range."""
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA))):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
