"""The configuration versions in the platform's store.

The row `config/newest` holds the record of the newest version. The rows below `config/changes/`
hold the record of each change, so that a repeated proposal is recognised, and the rows below
`config/versions/` that of each version. The blobs hold the contents and a copy of all records.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec
import trio

from rattangate.core.config_follower import ConfigSource, NewestRead, ReadFailed
from rattangate.core.config_versions import (
    ChangeMessage,
    ChangeOutcome,
    ConfigChange,
    ConfigRecord,
    ContentStored,
    ReadTable,
    RecordStored,
    RetryAt,
    RetryDue,
    StepFailed,
    StoreContent,
    StoreRecord,
    SwapConflict,
    Swapped,
    SwapVersion,
    TableRead,
)
from rattangate.json_decoding import decode_json
from rattangate.platform.outcomes import (
    BlobRead,
    ExpectedVersion,
    RowUpdate,
    StoreConflict,
    Unavailable,
    Written,
)
from rattangate.records import TABLE

if TYPE_CHECKING:
    from rattangate.core.config_versions import ChangeEffect, Proposal
    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

NEWEST_KEY = "config/newest"
CHANGE_PREFIX = "config/changes/"
VERSION_PREFIX = "config/versions/"
CONTENT_PREFIX = "config/contents/"
RECORD_PREFIX = "config/records/"
VERSION_DIGITS = 12


class ConfigStore:
    """Read and write configuration versions; an unavailable store is reported by the result."""

    def __init__(self, store: Store) -> None:
        self._store = store
        # For each configuration version, the version of the row NEWEST_KEY that held it.
        self._row_versions = {0: 0}

    async def propose(self, proposal: Proposal, timeout_s: float) -> ChangeOutcome:
        """Try to make a proposal the newest version.

        May take `timeout_s` seconds and the duration of one more request.
        """
        change = ConfigChange(proposal, trio.current_time() + timeout_s)
        effect = change.start()
        while not isinstance(effect, ChangeOutcome):
            msg = await self._carry_out(effect)
            effect = change.handle(msg, trio.current_time())
        return effect

    async def read_newest(self) -> NewestRead | ReadFailed:
        """Read the newest record from the table."""
        row = await self._store.read_row(TABLE, NEWEST_KEY)
        if isinstance(row, Unavailable):
            return ReadFailed(ConfigSource.TABLE)
        try:
            return NewestRead(_decode_row(row), ConfigSource.TABLE)
        except msgspec.MsgspecError:
            return ReadFailed(ConfigSource.TABLE)

    async def read_newest_blob(self) -> NewestRead | ReadFailed:
        """Read the newest record from the blobs."""
        keys = await self._store.list_blobs(RECORD_PREFIX)
        if isinstance(keys, Unavailable):
            return ReadFailed(ConfigSource.OBJECT)
        if not keys:
            return NewestRead(None, ConfigSource.OBJECT)
        blob = await self._store.get_blob(max(keys))
        if isinstance(blob, Unavailable) or blob.body is None:
            return ReadFailed(ConfigSource.OBJECT)
        try:
            return NewestRead(decode_record(blob.body), ConfigSource.OBJECT)
        except msgspec.MsgspecError:
            return ReadFailed(ConfigSource.OBJECT)

    async def read_content(self, record: ConfigRecord) -> bytes | None:
        """Read the content of a version; return None if it cannot be read."""
        blob = await self._store.get_blob(CONTENT_PREFIX + record.digest)
        return blob.body if isinstance(blob, BlobRead) else None

    async def read_history(self, newest: int, count: int) -> tuple[ConfigRecord, ...] | Unavailable:
        """Read up to `count` records, from version `newest` downwards."""
        versions = range(newest, max(0, newest - count), -1)
        rows = await self._store.read_rows(TABLE, map(_version_key, versions))
        if isinstance(rows, Unavailable):
            return rows
        records = map(_decode_row, rows)
        return tuple(record for record in records if record is not None)

    async def store_record(self, record: ConfigRecord) -> bool:
        """Write the record of an accepted version as a blob, unless it exists; return success."""
        key = f"{RECORD_PREFIX}{record.version:0{VERSION_DIGITS}}"
        outcome = await self._store.put_blob(key, encode_record(record))
        return not isinstance(outcome, Unavailable)

    @singledispatchmethod
    async def _carry_out(self, effect: ChangeEffect) -> ChangeMessage:
        raise TypeError(f"unknown effect {effect!r}")

    @_carry_out.register
    async def _read_table(self, effect: ReadTable) -> ChangeMessage:
        # The newest version is read first: if this change is accepted between the two reads, the
        # second read returns its row.
        keys = [NEWEST_KEY, CHANGE_PREFIX + effect.change_id]
        rows = await self._store.read_rows(TABLE, keys)
        if isinstance(rows, Unavailable):
            return StepFailed(rows.detail, rows.may_have_applied)
        newest, own_change = (_decode_row(row) for row in rows)
        if newest is not None:
            self._row_versions[newest.version] = rows[0].version
        return TableRead(newest, own_change)

    @_carry_out.register
    async def _store_content(self, effect: StoreContent) -> ChangeMessage:
        outcome = await self._store.put_blob(CONTENT_PREFIX + effect.digest, effect.content)
        if isinstance(outcome, Unavailable):
            return StepFailed(outcome.detail, outcome.may_have_applied)
        return ContentStored()

    @_carry_out.register
    async def _swap(self, effect: SwapVersion) -> ChangeMessage:
        record = effect.record
        change_key = CHANGE_PREFIX + record.change_id
        expected = ExpectedVersion(NEWEST_KEY, self._row_versions[record.version - 1])
        keys = (NEWEST_KEY, change_key, _version_key(record.version))
        outcome = await self._store.write_rows(
            TABLE,
            [expected, ExpectedVersion(change_key, 0)],
            [RowUpdate(key, encode_record(record)) for key in keys],
        )
        if isinstance(outcome, Written):
            return Swapped()
        if isinstance(outcome, StoreConflict):
            return SwapConflict()
        return StepFailed(outcome.detail, outcome.may_have_applied)

    @_carry_out.register
    async def _store_record(self, effect: StoreRecord) -> ChangeMessage:
        if await self.store_record(effect.record):
            return RecordStored()
        return StepFailed("the record of the version could not be stored", may_have_applied=True)

    @_carry_out.register
    async def _wait(self, effect: RetryAt) -> ChangeMessage:
        await trio.sleep_until(effect.at)
        return RetryDue()


def encode_record(record: ConfigRecord) -> bytes:
    """Encode a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> ConfigRecord:
    """Decode a record; raise MsgspecError if it is malformed."""
    return decode_json(data, ConfigRecord)


def _decode_row(row: StoreRow) -> ConfigRecord | None:
    return None if row.value is None else decode_record(row.value)


def _version_key(version: int) -> str:
    return f"{VERSION_PREFIX}{version:0{VERSION_DIGITS}}"
