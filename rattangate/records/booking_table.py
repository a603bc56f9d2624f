"""The records of bookings, the requests that are executed at most once, in the platform's store."""

from __future__ import annotations

import time
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from rattangate.core.at_most_once_messages import (
    BookingRecord,
    ReadEnded,
    RecordKey,
    SwapEnded,
)
from rattangate.core.compare_and_swap import CompareAndSwapResult
from rattangate.json_decoding import decode_json
from rattangate.platform.outcomes import StoreConflict, Unavailable
from rattangate.records import TABLE

if TYPE_CHECKING:
    from rattangate.core.at_most_once_messages import ReadRecord, SwapRecord
    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

BOOKINGS_PREFIX = "bookings/"


@dataclass(frozen=True, slots=True)
class BookingRow:
    """Hold a record as stored; `expires_at` is in seconds since 1970, None if it never expires."""

    key: RecordKey
    record: BookingRecord
    expires_at: float | None


class BookingTable:
    """Read and compare-and-swap records; failures are returned as outcomes, never raised."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def swap(self, effect: SwapRecord) -> SwapEnded:
        """Write a record if its row still has the expected version."""
        expires_at = None
        if effect.retention_s is not None:
            expires_at = time.time() + effect.retention_s
        key = make_row_key(effect.key)
        value = msgspec.json.encode(BookingRow(effect.key, effect.record, expires_at))
        outcome = await self._store.write_row(TABLE, key, value, effect.expected_version)
        if isinstance(outcome, Unavailable):
            result = (
                CompareAndSwapResult.UNKNOWN
                if outcome.may_have_applied
                else CompareAndSwapResult.NOT_SENT
            )
            return SwapEnded(effect.call_id, result)
        if isinstance(outcome, StoreConflict):
            row = outcome.row(key)
            return SwapEnded(
                effect.call_id, CompareAndSwapResult.CONFLICT, row.version, _decode_record(row)
            )
        return SwapEnded(effect.call_id, CompareAndSwapResult.APPLIED, outcome.version)

    async def read(self, effect: ReadRecord) -> ReadEnded:
        """Read a record and the version of its row."""
        row = await self._store.read_row(TABLE, make_row_key(effect.key))
        if isinstance(row, Unavailable):
            return ReadEnded(effect.call_id, succeeded=False)
        return ReadEnded(effect.call_id, True, row.version, _decode_record(row))


def make_row_key(key: RecordKey) -> str:
    """Return the key of the row that holds a record."""
    digest = blake2b(msgspec.json.encode(key), digest_size=16)
    return BOOKINGS_PREFIX + digest.hexdigest()


def _decode_record(row: StoreRow) -> BookingRecord | None:
    if row.value is None:
        return None
    return decode_json(row.value, BookingRow).record
