"""The client of the platform's store; failures are returned as outcomes, never raised."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
import msgspec

from rattangate.log_events import LogEvent, log
from rattangate.plain_http import EMPTY_TRUST_STORE
from rattangate.platform.outcomes import (
    BlobRead,
    BlobStored,
    ExpectedVersion,
    HistoryLost,
    RowUpdate,
    StoreConflict,
    StoreRow,
    StoreRows,
    Unavailable,
    Written,
)
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import TracebackType

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
PAGE_ROWS = 500
MAX_CONNECTIONS = 64
MAX_IDLE_CONNECTIONS = 8
EMPTY_BODY: dict[str, Any] = {}
# The store sends these statuses only if it has applied nothing.
_NOT_APPLIED_STATUSES = (429, 503)


class Store:
    """Read, watch and conditionally write rows and blobs of the platform's store.

    The store splits a table into parts; this client uses only the part named "".
    """

    def __init__(self, address: str, call_timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._call_timeout_s = call_timeout_s
        self._is_down = False
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_IDLE_CONNECTIONS
        )
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}", trust_env=False, verify=EMPTY_TRUST_STORE, limits=limits
        )

    async def __aenter__(self) -> Store:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self._client.aclose()

    async def read_table(self, table: str) -> StoreRows | Unavailable:
        """Read all rows of a table."""
        rows: list[StoreRow] = []
        start = ""
        while True:
            params = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                params["from"] = start
            answer = await self._call_rows("GET", "/rows-get", params=params)
            if isinstance(answer, Unavailable):
                return answer
            rows.extend(_decode_row(raw) for raw in answer.body["rows"])
            if not answer.body.get("has_more") or not rows:
                return StoreRows(tuple(rows), answer.body["ver"], _answered_at(answer))
            start = rows[-1].key + "\x00"

    async def read_row(self, table: str, key: str) -> StoreRow | Unavailable:
        """Read one row; a missing one has version 0."""
        params = {"table": table, "part": "", "from": key, "to": key + "\x00", "limit": "1"}
        answer = await self._call_rows("GET", "/rows-get", params=params)
        if isinstance(answer, Unavailable):
            return answer
        for raw in answer.body["rows"]:
            return _decode_row(raw)
        return StoreRow(key, 0, None)

    async def read_rows(
        self, table: str, keys: Iterable[str]
    ) -> tuple[StoreRow, ...] | Unavailable:
        """Read rows one after another, in the order of the keys; this is not one snapshot."""
        rows = []
        for key in keys:
            row = await self.read_row(table, key)
            if isinstance(row, Unavailable):
                return row
            rows.append(row)
        return tuple(rows)

    async def watch_table(
        self, table: str, after: int, wait_s: float
    ) -> StoreRows | HistoryLost | Unavailable:
        """Wait up to `wait_s` seconds for changes of a table after a version (long poll)."""
        wait_ms = int(wait_s * MS_PER_S)
        params = {"table": table, "after": str(after), "wait_ms": str(wait_ms)}
        answer = await self._call_rows("GET", "/rows-feed", params=params, wait_s=wait_s)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == httpx.codes.GONE:
            return HistoryLost()
        rows = tuple(_decode_row(raw) for raw in answer.body["rows"])
        return StoreRows(rows, answer.body["ver"], _answered_at(answer))

    async def write_row(
        self, table: str, key: str, value: bytes, expected_version: int | None = None
    ) -> Written | StoreConflict | Unavailable:
        """Write one row, only if it has the expected version when one is given."""
        expected = [] if expected_version is None else [ExpectedVersion(key, expected_version)]
        return await self.write_rows(table, expected, [RowUpdate(key, value)])

    async def write_rows(
        self, table: str, expected: Iterable[ExpectedVersion], rows: Iterable[RowUpdate]
    ) -> Written | StoreConflict | Unavailable:
        """Write all rows atomically if all expected versions match."""
        body = {
            "expected": [{**_row_id(table, item.key), "ver": item.version} for item in expected],
            "set_keys": [
                {**_row_id(table, row.key), "value": base64.b64encode(row.value).decode()}
                for row in rows
            ],
            "remove": [],
        }
        return await self._transact(body)

    async def remove_row(self, table: str, key: str) -> Written | StoreConflict | Unavailable:
        """Remove one row, whatever its version."""
        body = {"expected": [], "set_keys": [], "remove": [_row_id(table, key)]}
        return await self._transact(body)

    async def put_blob(
        self, name: str, body: bytes, replaces: bool = False
    ) -> BlobStored | Unavailable:
        """Write a blob; an existing one is overwritten only if `replaces` is set."""
        headers = {} if replaces else {"If-None-Match": "*"}
        resp = await self._call("PUT", f"/blob-put/{name}", content=body, headers=headers)
        if isinstance(resp, Unavailable):
            return resp
        if resp.status_code == httpx.codes.PRECONDITION_FAILED:
            return BlobStored(already_existed=True)
        if not resp.is_success:
            return Unavailable(f"status {resp.status_code}", may_have_applied=False)
        return BlobStored(already_existed=False)

    async def get_blob(self, name: str) -> BlobRead | Unavailable:
        """Read the content of a blob."""
        resp = await self._call("GET", f"/blob-get/{name}")
        if isinstance(resp, Unavailable):
            return resp
        if resp.status_code == httpx.codes.NOT_FOUND:
            return BlobRead(None)
        if not resp.is_success:
            return Unavailable(f"status {resp.status_code}", may_have_applied=False)
        return BlobRead(resp.content)

    async def list_blobs(self, prefix: str) -> tuple[str, ...] | Unavailable:
        """List the names of blobs that begin with a prefix, in ascending order."""
        names: list[str] = []
        while True:
            params = {"path_prefix": prefix}
            if names:
                params["after"] = names[-1]
            resp = await self._call("GET", "/blob-list", params=params)
            answer = (
                resp if isinstance(resp, Unavailable) else _decode(resp, may_have_applied=False)
            )
            if isinstance(answer, Unavailable):
                return answer
            names.extend(answer.body["names"])
            if not answer.body.get("has_more") or not names:
                return tuple(names)

    async def _transact(self, body: object) -> Written | StoreConflict | Unavailable:
        answer = await self._call_rows("POST", "/rows-tx", body=body)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == httpx.codes.PRECONDITION_FAILED:
            return StoreConflict(tuple(_decode_row(raw) for raw in answer.body.get("rows", ())))
        return Written(answer.body["ver"])

    async def _call_rows(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        body: object | None = None,
        wait_s: float = 0.0,
    ) -> _Answer | Unavailable:
        content = None if body is None else msgspec.json.encode(body)
        headers = {} if body is None else {"Content-Type": "application/json"}
        resp = await self._call(method, path, params, content, headers, wait_s)
        if isinstance(resp, Unavailable):
            return resp
        return _decode(resp, may_have_applied=method != "GET")

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
        wait_s: float = 0.0,
    ) -> httpx.Response | Unavailable:
        timeout = httpx.Timeout(self._call_timeout_s + wait_s, connect=CONNECT_TIMEOUT_S)
        request = self._client.build_request(
            method, path, params=params, content=content, headers=headers, timeout=timeout
        )
        resp = await self._send(request)
        self._log_availability(resp.detail if isinstance(resp, Unavailable) else "")
        return resp

    async def _send(self, request: httpx.Request) -> httpx.Response | Unavailable:
        may_have_applied = request.method != "GET"
        try:
            resp = await self._client.send(request)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return Unavailable(f"cannot connect: {exc!r}", may_have_applied=False)
        except httpx.HTTPError as exc:
            return Unavailable(f"no answer: {exc!r}", may_have_applied=may_have_applied)
        if resp.status_code in _NOT_APPLIED_STATUSES:
            return Unavailable(f"status {resp.status_code}", may_have_applied=False)
        if resp.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            return Unavailable(f"status {resp.status_code}", may_have_applied=may_have_applied)
        return resp

    def _log_availability(self, detail: str) -> None:
        """Log when the store becomes unavailable and when it is available again."""
        if detail and not self._is_down:
            log(LogEvent.PLATFORM_DOWN, service="store", error=detail)
        elif not detail and self._is_down:
            log(LogEvent.PLATFORM_UP, service="store")
        self._is_down = bool(detail)


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: dict[str, Any]


def _decode(resp: httpx.Response, may_have_applied: bool) -> _Answer | Unavailable:
    expected_statuses = (httpx.codes.OK, httpx.codes.GONE, httpx.codes.PRECONDITION_FAILED)
    if resp.status_code not in expected_statuses:
        return Unavailable(f"status {resp.status_code}", may_have_applied=may_have_applied)
    if resp.status_code == httpx.codes.GONE:
        return _Answer(resp.status_code, EMPTY_BODY)
    try:
        return _Answer(resp.status_code, msgspec.json.decode(resp.content))
    except msgspec.DecodeError as exc:
        return Unavailable(f"answer is not valid JSON: {exc}", may_have_applied=may_have_applied)


def _answered_at(answer: _Answer) -> float:
    return float(answer.body["now_ms"]) / MS_PER_S


def _row_id(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": "", "key": key}


def _decode_row(raw: dict[str, Any]) -> StoreRow:
    if raw.get("tombstone") or raw.get("value") is None:
        return StoreRow(raw["key"], raw["ver"], None)
    return StoreRow(raw["key"], raw["ver"], base64.b64decode(raw["value"]))
