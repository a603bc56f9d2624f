"""The records of bookings in the table service."""

from __future__ import annotations

import time
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import msgspec

from rattangate.core.once_messages import (
    BookingRecord,
    ReadEnded,
    RecordKey,
    SwapEnded,
    SwapResult,
)
from rattangate.platform.client import Conflict, Unavailable

if TYPE_CHECKING:
    from rattangate.core.once_messages import ReadRecord, SwapRecord
    from rattangate.platform.client import PlatformClient, Row

BOOKINGS_PREFIX = "bookings/"


@dataclass(frozen=True, slots=True)
class BookingRow:
    """Hold a record as it is stored; `expires_at` is in seconds since 1970, None for never."""

    key: RecordKey
    record: BookingRecord
    expires_at: float | None


class BookingTable:
    """Read and swap records; every failure is an outcome, never an exception."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def swap(self, effect: SwapRecord) -> SwapEnded:
        """Write a record if the version is still the expected one."""
        expires_at = None
        if effect.retention_s is not None:
            expires_at = time.time() + effect.retention_s
        value = msgspec.to_builtins(BookingRow(effect.key, effect.record, expires_at))
        outcome = await self._platform.swap_row(row_key(effect.key), effect.expected_version, value)
        if isinstance(outcome, Unavailable):
            result = SwapResult.UNKNOWN if outcome.may_have_applied else SwapResult.UNSENT
            return SwapEnded(effect.call_id, result)
        row = outcome.rows[0]
        if isinstance(outcome, Conflict):
            return SwapEnded(effect.call_id, SwapResult.CONFLICT, row.version, _record(row))
        return SwapEnded(effect.call_id, SwapResult.APPLIED, row.version)

    async def read(self, effect: ReadRecord) -> ReadEnded:
        """Read a record."""
        outcome = await self._platform.get_rows([row_key(effect.key)])
        if isinstance(outcome, Unavailable):
            return ReadEnded(effect.call_id, found=False)
        row = outcome.rows[0]
        return ReadEnded(effect.call_id, True, row.version, _record(row))


def row_key(key: RecordKey) -> str:
    """Return the key of a record's row."""
    digest = blake2b(msgspec.json.encode(key), digest_size=16)
    return BOOKINGS_PREFIX + digest.hexdigest()


def _record(row: Row) -> BookingRecord | None:
    if row.value is None:
        return None
    value: Any = row.value
    return msgspec.convert(value, BookingRow).record
