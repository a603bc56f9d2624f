"""A stand-in of the users' platform's store: rows under conditions, and a feed of changes."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import trio
from quart import Response, request

from rattangate.standins.web import json_response, make_app, run_app

if TYPE_CHECKING:
    from quart_trio import QuartTrio

FIRST_VERSION = 1


@dataclass(slots=True)
class StoreFaults:
    """Hold the faults that a test asks for."""

    is_down: bool = False
    loses_answers: bool = False


@dataclass(frozen=True, slots=True)
class _Change:
    version: int
    table: str
    key: str
    value: bytes | None


class RowsStore:
    """Keep rows and the history of their changes."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.version = FIRST_VERSION
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.writes = 0
        self._changes: list[_Change] = []
        self._kept_after = 0
        self._changed = trio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a replica does."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._apply([(table, key, raw)])

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply([(table, key, None)])

    def forget_history(self) -> None:
        """Drop all changes that were not read yet."""
        self._changes.clear()
        self._kept_after = self.version

    def transact(self, body: dict[str, Any]) -> Response:
        """Apply all entries of a transaction or none."""
        failed = [item for item in body["expected"] if self._version_of(item) != item["ver"]]
        if failed:
            rows = [self._row(item["table"], item["key"]) for item in failed]
            return json_response({"rows": [row for row in rows if row]}, 412)
        self.writes += 1
        puts = [
            (item["table"], item["key"], base64.b64decode(item["value"]))
            for item in body["set_keys"]
        ]
        removed = [(item["table"], item["key"], None) for item in body["remove"]]
        self._apply([*puts, *removed])
        return json_response({"ver": self.version, "now_ms": 0})

    def read(self, table: str, start: str, end: str) -> dict[str, Any]:
        """Return the rows of a range of keys."""
        keys = sorted(key for name, key in self.rows if name == table)
        chosen = [key for key in keys if key >= start and (not end or key < end)]
        rows = [self._row(table, key) for key in chosen]
        return {"rows": rows, "has_more": False, "ver": self.version, "now_ms": 0}

    async def feed(self, table: str, after: int, wait_s: float) -> Response:
        """Return the changes after a version, waiting for the first."""
        with trio.move_on_after(wait_s):
            while after >= self._kept_after and not self._since(table, after):
                await self._changed.wait()
        if after < self._kept_after:
            return json_response({}, 410)
        rows = [_tell(change) for change in self._since(table, after)]
        return json_response({"rows": rows, "ver": self.version, "now_ms": 0})

    def _since(self, table: str, after: int) -> list[_Change]:
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
        return _tell(_Change(found[0], table, key, found[1]))


def make_store_app(store: RowsStore) -> QuartTrio:
    """Create the web application of the store."""
    app = make_app("rows-store")

    @app.before_request
    async def refuse_when_down() -> Response | None:
        return json_response({}, 503) if store.faults.is_down else None

    @app.get("/rows-get")
    async def get() -> Response:
        args = request.args
        return json_response(store.read(args["table"], args.get("from", ""), args.get("to", "")))

    @app.get("/rows-feed")
    async def feed() -> Response:
        args = request.args
        return await store.feed(args["table"], int(args["after"]), int(args["wait_ms"]) / 1000)

    @app.post("/rows-tx")
    async def transact() -> Response:
        answer = store.transact(msgspec.json.decode(await request.get_data()))
        return json_response({}, 500) if store.faults.loses_answers else answer

    return app


async def run_store(address: str, store: RowsStore) -> None:
    """Run the store until cancelled."""
    await run_app(make_store_app(store), address)


def _tell(change: _Change) -> dict[str, Any]:
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
