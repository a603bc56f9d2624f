"""In-memory store of versioned rows and blobs behind the platform stand-in, without I/O."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from rattangate.units import MS_PER_S

FIRST_VERSION = 1


def monotonic_ms() -> int:
    """Return the store's monotonic clock in milliseconds."""
    return int(trio.current_time() * MS_PER_S)


@dataclass(frozen=True, slots=True)
class _Change:
    version: int
    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold the contents of a store at one version."""

    version: int
    rows: dict[tuple[str, str], tuple[int, bytes]]
    blobs: dict[str, bytes]
    changes: tuple[_Change, ...]


class RowsStore:
    """Store rows with the history of their changes, and blobs."""

    def __init__(self) -> None:
        self.era = 0
        self.version = FIRST_VERSION
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.blobs: dict[str, bytes] = {}
        self._changes: list[_Change] = []
        self._history_start = 0
        self._changed = trio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row unconditionally."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._apply([(table, key, raw)])

    def remove_row(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply([(table, key, None)])

    def drop_history(self) -> None:
        """Drop the change history; a reader of older versions must then read all rows again."""
        self._changes.clear()
        self._history_start = self.version

    def make_copy(self) -> StoreCopy:
        """Return a copy from which the store can return later."""
        return StoreCopy(self.version, dict(self.rows), dict(self.blobs), tuple(self._changes))

    def return_from(self, copy: StoreCopy) -> None:
        """Return from an older copy: later writes are lost, and a new era begins.

        Versions are given out again.
        """
        self.era += 1
        self.version = copy.version
        self.rows = dict(copy.rows)
        self.blobs.clear()
        self.blobs.update(copy.blobs)
        self._changes = list(copy.changes)

    def transact(self, body: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply all changes and return None, or return the rows of all conditions if one fails.

        A condition on a row that does not exist expects version 0.
        """
        failed = [item for item in body["expected"] if self._version_of(item) != item["ver"]]
        if failed:
            rows = [self._row(item["table"], item["key"]) for item in body["expected"]]
            return [row for row in rows if row]
        puts = [
            (item["table"], item["key"], base64.b64decode(item["value"]))
            for item in body["set_keys"]
        ]
        removed = [(item["table"], item["key"], None) for item in body["remove"]]
        self._apply([*puts, *removed])
        return None

    def read(self, table: str, start: str, end: str) -> dict[str, Any]:
        """Return the rows with keys in [`start`, `end`); an empty `end` sets no upper bound."""
        keys = sorted(key for name, key in self.rows if name == table)
        selected = [key for key in keys if key >= start and (not end or key < end)]
        rows = [self._row(table, key) for key in selected]
        return {"rows": rows, "has_more": False, "ver": self.version, "now_ms": monotonic_ms()}

    async def feed(self, table: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Return the changes after a version, waiting for the first up to `wait_s`.

        Return None if the history no longer reaches back to that version, or not yet up to it.
        """
        if after > self.version:
            return None
        with trio.move_on_after(wait_s):
            while after >= self._history_start and not self._changes_after(table, after):
                await self._changed.wait()
        if after < self._history_start:
            return None
        rows = [_encode_row(change) for change in self._changes_after(table, after)]
        return {"rows": rows, "ver": self.version, "now_ms": monotonic_ms()}

    def _changes_after(self, table: str, after: int) -> list[_Change]:
        return [item for item in self._changes if item.table == table and item.version > after]

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> None:
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (self.version, value)
            self._changes.append(_Change(self.version, table, key, value))
        self._changed.set()
        self._changed = trio.Event()

    def _version_of(self, item: dict[str, Any]) -> int:
        return self.rows.get((item["table"], item["key"]), (0, b""))[0]

    def _row(self, table: str, key: str) -> dict[str, Any] | None:
        found = self.rows.get((table, key))
        if found is None:
            return None
        return _encode_row(_Change(found[0], table, key, found[1]))


def _encode_row(change: _Change) -> dict[str, Any]:
    row: dict[str, Any] = {
        "table": change.table,
        "part": "",
        "key": change.key,
        "ver": change.version,
    }
    if change.value is None:
        row["tombstone"] = True
    else:
        row["value"] = base64.b64encode(change.value).decode()
    return row
