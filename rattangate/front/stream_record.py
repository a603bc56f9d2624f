"""Keeps in the store which software began recent streams, for instances that all start anew.

Instances tell each other of the streams that they place; when all of them are killed nobody is left
to tell. While several software versions serve, one instance writes the streams of all, a row for
those of each interval. The rows are used again in turn, so that they need not be removed.
"""

from __future__ import annotations

import math
import struct
from typing import TYPE_CHECKING

import msgspec
import trio

from rattangate.core.messages import StreamHistoryReceived
from rattangate.core.stream_history import ServedSoftware, Software, StreamHistory
from rattangate.core.stream_versions import STREAM_RETENTION_S
from rattangate.front.store_time import StoreMs, store_now_ms
from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent, log
from rattangate.peers.stream_history_codec import pack_streams, unpack_streams
from rattangate.platform.outcomes import StoreRows, Written
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.shared_clock import SharedClock
    from rattangate.front.state import FrontState
    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

STREAM_TABLE = "rattangate-streams"
WRITE_INTERVAL_S = 0.5
READ_RETRY_S = 0.3
# A row is written again once no caller takes up its streams any more.
ROWS = math.ceil(STREAM_RETENTION_S / WRITE_INTERVAL_S) + 1
# The encoded row stays below the 64 KiB that the store takes.
MAX_STREAMS_IN_ROW = 2_048


class ServedEntry(msgspec.Struct, frozen=True):
    """Hold software in a row and the time since it last served, in milliseconds."""

    service: str
    version: str
    has_models: bool
    age_ms: StoreMs


class StreamsEntry(msgspec.Struct, frozen=True):
    """Hold a row: streams, as instances send them to each other, and software at `at_ms`."""

    at_ms: StoreMs
    served: tuple[ServedEntry, ...]
    streams: bytes


class StreamRecord:
    """Read the rows at the start, and write them where `is_writer` tells so."""

    def __init__(
        self, store: Store, state: FrontState, clock: SharedClock, is_writer: Callable[[], bool]
    ) -> None:
        self._store = store
        self._state = state
        self._clock = clock
        self._is_writer = is_writer
        self._written_until = -math.inf

    async def run(self) -> None:
        """Read the rows, then write those of new streams, until cancelled."""
        await self._read()
        while True:
            await trio.sleep(WRITE_INTERVAL_S)
            if self._is_writer():
                await self._write()

    async def _read(self) -> None:
        while not isinstance(table := await self._store.read_table(STREAM_TABLE), StoreRows):
            await trio.sleep(READ_RETRY_S)
        now_ms = store_now_ms(self._clock)
        histories = [_decode_row(row, now_ms) for row in table.rows]
        for history in histories:
            self._state.driver.feed(StreamHistoryReceived(history))
        count = sum(len(history.streams) for history in histories)
        log(LogEvent.STREAMS_READ, rows=len(table.rows), streams=count)

    async def _write(self) -> None:
        now = trio.current_time()
        history = self._state.driver.gateway.stream_versions.ambiguous_streams(
            self._written_until, now, MAX_STREAMS_IN_ROW
        )
        if not history.streams:
            return
        at_ms = store_now_ms(self._clock)
        value = msgspec.json.encode(_make_entry(at_ms, history))
        number = int(at_ms / MS_PER_S / WRITE_INTERVAL_S) % ROWS
        key = f"{self._state.boot.data_centre}/{number}"
        outcome = await self._store.write_row(STREAM_TABLE, key, value)
        if isinstance(outcome, Written):
            self._written_until = now


def _make_entry(at_ms: int, history: StreamHistory) -> StreamsEntry:
    served = tuple(
        ServedEntry(
            one.software.service, one.software.version, one.has_models, int(one.age_s * MS_PER_S)
        )
        for one in history.served
    )
    return StreamsEntry(at_ms, served, pack_streams(history))


def _decode_row(row: StoreRow, now_ms: int) -> StreamHistory:
    """Decode a row, which may come from any writer; one that is old or malformed tells nothing."""
    try:
        entry = decode_json(row.value or b"", StreamsEntry)
        row_age_ms = max(0, now_ms - entry.at_ms)
        served = tuple(_decode_served(one, row_age_ms) for one in entry.served)
        streams = unpack_streams(entry.streams, served, row_age_ms)
    except (msgspec.DecodeError, IndexError, struct.error) as exc:
        log(LogEvent.ENTRY_MALFORMED, table=STREAM_TABLE, row=row.key, error=str(exc))
        return StreamHistory(0.0)
    if row_age_ms > STREAM_RETENTION_S * MS_PER_S:
        return StreamHistory(0.0)
    return StreamHistory(0.0, served, streams)


def _decode_served(entry: ServedEntry, row_age_ms: int) -> ServedSoftware:
    software = Software(entry.service, entry.version)
    return ServedSoftware(software, (entry.age_ms + row_age_ms) / MS_PER_S, entry.has_models)
