"""The audit trail of the administration API: one blob per call, grouped by day."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from rattangate.json_decoding import decode_json
from rattangate.platform.outcomes import BlobRead, Unavailable

if TYPE_CHECKING:
    from rattangate.platform.store import Store

AUDIT_PREFIX = "audit/"
MAX_LISTED_ENTRIES = 200


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Describe one API call; `at` is its time in ISO 8601 and UTC."""

    at: str
    call_id: str
    who: str
    role: str
    call: str
    reason: str
    outcome: str
    version: int = 0


class AuditTrail:
    """Write and read the audit trail."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def write(self, entry: AuditEntry) -> bool:
        """Write an entry; return whether the store has it, also from an earlier write."""
        day, time = entry.at.split("T")
        key = f"{AUDIT_PREFIX}{day}/{time}-{entry.call_id}"
        outcome = await self._store.put_blob(key, msgspec.json.encode(entry))
        return not isinstance(outcome, Unavailable)

    async def read_day(self, day: str) -> tuple[AuditEntry, ...] | Unavailable:
        """Read the last entries of a day, newest first; entries that cannot be read are omitted."""
        keys = await self._store.list_blobs(f"{AUDIT_PREFIX}{day}/")
        if isinstance(keys, Unavailable):
            return keys
        entries = []
        for key in sorted(keys, reverse=True)[:MAX_LISTED_ENTRIES]:
            blob = await self._store.get_blob(key)
            if isinstance(blob, BlobRead) and blob.body is not None:
                entries.append(decode_json(blob.body, AuditEntry))
        return tuple(entries)
