"""Keeps in the store which software serves, for instances that start when no peer is left to tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattangate.core.messages import StreamHistoryReceived
from rattangate.core.stream_history import ServedSoftware, Software, StreamHistory
from rattangate.core.stream_versions import MAX_KNOWN_S
from rattangate.front.instance_entry import INSTANCE_TABLE
from rattangate.front.store_time import StoreMs, store_now_ms
from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent, log
from rattangate.platform.outcomes import StoreConflict, Written
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.shared_clock import SharedClock
    from rattangate.front.state import FrontState
    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

SOFTWARE_ROW_KEY = "software"
CHECK_INTERVAL_S = 0.5


class SoftwareEntry(msgspec.Struct, frozen=True):
    """Hold software in the row; `until_ms` is when it last served, None while it does.

    Times are milliseconds of the store's clock.
    """

    service: str
    version: str
    has_models: bool
    until_ms: StoreMs | None = None


class SoftwareTable(msgspec.Struct, frozen=True):
    """Hold the row: all software that has served since `since_ms`, but for what left long ago."""

    since_ms: StoreMs
    software: tuple[SoftwareEntry, ...] = ()


class SoftwareRecord:
    """Read and write the row.

    `is_writer` tells whether this instance writes it; a peer writes the same, so a conflict is none.
    """

    def __init__(
        self, store: Store, state: FrontState, clock: SharedClock, is_writer: Callable[[], bool]
    ) -> None:
        self._store = store
        self._state = state
        self._clock = clock
        self._is_writer = is_writer
        self._has_read = False
        self._version = 0
        self._table: SoftwareTable | None = None

    def apply_snapshot(self) -> None:
        """Begin with the rows of a full read, in which the row may be missing."""
        self._has_read = True
        self._version = 0
        self._table = None

    def apply_row(self, row: StoreRow) -> None:
        """Take over what the row tells, as from a peer."""
        self._version = row.version
        self._table = None
        if row.value is None:
            self._version = 0
            return
        try:
            self._table = decode_json(row.value, SoftwareTable)
        except msgspec.DecodeError as exc:
            log(LogEvent.ENTRY_MALFORMED, table=INSTANCE_TABLE, row=row.key, error=str(exc))
            return
        self._state.driver.feed(StreamHistoryReceived(self._make_history(self._table)))

    async def run(self) -> None:
        """Write the row when other software serves than it tells, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._has_read and self._is_writer():
                await self._update()

    async def _update(self) -> None:
        served = self._state.driver.gateway.stream_versions.listed_software()
        table = _update_table(self._table, served, store_now_ms(self._clock))
        if table == self._table or not served:
            return
        value = msgspec.json.encode(table)
        outcome = await self._store.write_row(
            INSTANCE_TABLE, SOFTWARE_ROW_KEY, value, self._version
        )
        if isinstance(outcome, Written):
            self._version, self._table = outcome.version, table
        elif isinstance(outcome, StoreConflict):
            self.apply_row(outcome.row(SOFTWARE_ROW_KEY))

    def _make_history(self, table: SoftwareTable) -> StreamHistory:
        now_ms = store_now_ms(self._clock)
        served = tuple(
            ServedSoftware(
                Software(entry.service, entry.version),
                max(0, now_ms - (now_ms if entry.until_ms is None else entry.until_ms)) / MS_PER_S,
                entry.has_models,
            )
            for entry in table.software
        )
        known_s = min(max(0, now_ms - table.since_ms) / MS_PER_S, MAX_KNOWN_S)
        return StreamHistory(known_s, served)


def _update_table(
    table: SoftwareTable | None, served: dict[Software, bool], now_ms: int
) -> SoftwareTable:
    """Return the row with the software that serves now, and whether its service runs models."""
    current = [
        SoftwareEntry(software.service, software.version, has_models)
        for software, has_models in sorted(
            served.items(), key=lambda item: (item[0].service, item[0].version)
        )
    ]
    if table is None:
        return SoftwareTable(now_ms, tuple(current))
    limit_ms = now_ms - int(MAX_KNOWN_S * MS_PER_S)
    left = [
        entry if entry.until_ms is not None else msgspec.structs.replace(entry, until_ms=now_ms)
        for entry in table.software
        if Software(entry.service, entry.version) not in served
        and (entry.until_ms is None or entry.until_ms >= limit_ms)
    ]
    changed = SoftwareTable(table.since_ms, (*current, *left))
    kept = [entry for entry in table.software if entry in changed.software]
    return table if len(kept) == len(changed.software) else changed
