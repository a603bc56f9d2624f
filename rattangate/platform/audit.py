"""The audit trail of the administration API, one object for each call, by day."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from rattangate.platform.client import Found, Unavailable

if TYPE_CHECKING:
    from rattangate.platform.client import PlatformClient

AUDIT_PREFIX = "audit/"
MAX_LISTED = 200


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Record one call; `at` is in ISO 8601 and UTC."""

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

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def write(self, entry: AuditEntry) -> bool:
        """Write an entry once; tell whether the platform took it."""
        day, time = entry.at.split("T")
        key = f"{AUDIT_PREFIX}{day}/{time}-{entry.call_id}"
        outcome = await self._platform.put_object(key, msgspec.json.encode(entry))
        return not isinstance(outcome, Unavailable)

    async def read_day(self, day: str) -> tuple[AuditEntry, ...] | Unavailable:
        """Read the last entries of a day, newest first."""
        keys = await self._platform.list_objects(f"{AUDIT_PREFIX}{day}/")
        if isinstance(keys, Unavailable):
            return keys
        entries = []
        for key in sorted(keys, reverse=True)[:MAX_LISTED]:
            found = await self._platform.get_object(key)
            if isinstance(found, Found) and found.body is not None:
                entries.append(msgspec.json.decode(found.body, type=AuditEntry))
        return tuple(entries)
