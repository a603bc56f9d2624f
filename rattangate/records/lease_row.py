"""The row that holds a lease in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from rattangate.core.compare_and_swap import CompareAndSwapResult
from rattangate.core.leases import LeaseRead, LeaseRecord, LeaseSwapped, ReadLease
from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent, log
from rattangate.platform.outcomes import StoreConflict, Unavailable
from rattangate.records import TABLE

if TYPE_CHECKING:
    from rattangate.core.leases import LeaseEffect, LeaseMessage, SwapLease
    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

ORDERS_LEASE_KEY = "leases/orders"


class LeaseRow:
    """Read and compare-and-swap the row of a lease."""

    def __init__(self, store: Store, key: str) -> None:
        self.key = key
        self._store = store

    async def carry_out(self, effect: LeaseEffect) -> LeaseMessage:
        """Carry out an effect on the row and return the result as a message."""
        if isinstance(effect, ReadLease):
            return await self._read()
        return await self._swap(effect)

    async def _read(self) -> LeaseRead:
        row = await self._store.read_row(TABLE, self.key)
        if isinstance(row, Unavailable):
            return LeaseRead(succeeded=False)
        return LeaseRead(True, row.version, _decode_record(row))

    async def _swap(self, effect: SwapLease) -> LeaseSwapped:
        value = msgspec.json.encode(effect.record)
        outcome = await self._store.write_row(TABLE, self.key, value, effect.expected_version)
        if isinstance(outcome, Unavailable):
            result = (
                CompareAndSwapResult.UNKNOWN
                if outcome.may_have_applied
                else CompareAndSwapResult.NOT_SENT
            )
            return LeaseSwapped(result)
        if isinstance(outcome, StoreConflict):
            row = outcome.row(self.key)
            return LeaseSwapped(CompareAndSwapResult.CONFLICT, row.version, _decode_record(row))
        return LeaseSwapped(CompareAndSwapResult.APPLIED, outcome.version)


def _decode_record(row: StoreRow) -> LeaseRecord | None:
    if row.value is None:
        return None
    try:
        return decode_json(row.value, LeaseRecord)
    except msgspec.DecodeError as exc:
        log(LogEvent.ENTRY_MALFORMED, table=TABLE, row=row.key, error=str(exc))
        return None
