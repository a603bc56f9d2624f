"""The client of the platform's store; every failure is an outcome, never an exception."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
import msgspec

from rattangate.log_events import LogEvent, log
from rattangate.plain_http import EMPTY_TRUST
from rattangate.platform.client import Unavailable

if TYPE_CHECKING:
    from types import TracebackType

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
PAGE_ROWS = 500
_NOTHING_DONE = (429, 503)


@dataclass(frozen=True, slots=True)
class StoreRow:
    """Hold one row; version 0 stands for a missing row, `value` of None for a deleted one."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreRows:
    """Hold the rows of one read and the version of the store at that moment."""

    rows: tuple[StoreRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """Report the present rows of a write whose condition did not hold."""

    rows: tuple[StoreRow, ...]


@dataclass(frozen=True, slots=True)
class Written:
    """Report the version that a write has made."""

    version: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """Report that the changes since the asked version are no longer kept."""


class Store:
    """Read, watch and conditionally write rows of the platform's store."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._client = self._new_client()
        self._is_down = False

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
        """Read all rows of a table's empty part."""
        rows: list[StoreRow] = []
        start = ""
        while True:
            params = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                params["from"] = start
            answer = await self._call("GET", "/rows-get", params=params)
            if isinstance(answer, Unavailable):
                return answer
            rows.extend(_row(raw) for raw in answer.body["rows"])
            if not answer.body.get("has_more") or not rows:
                return StoreRows(tuple(rows), answer.body["ver"])
            start = rows[-1].key + "\x00"

    async def read_row(self, table: str, key: str) -> StoreRow | Unavailable:
        """Read one row."""
        params = {"table": table, "part": "", "from": key, "to": key + "\x00", "limit": "1"}
        answer = await self._call("GET", "/rows-get", params=params)
        if isinstance(answer, Unavailable):
            return answer
        for raw in answer.body["rows"]:
            return _row(raw)
        return StoreRow(key, 0, None)

    async def watch_table(
        self, table: str, after: int, wait_s: float
    ) -> StoreRows | HistoryLost | Unavailable:
        """Wait for the next changes of a table after a version of the store."""
        params = {"table": table, "after": str(after), "wait_ms": str(int(wait_s * 1000))}
        answer = await self._call("GET", "/rows-feed", params=params, wait_s=wait_s)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == httpx.codes.GONE:
            return HistoryLost()
        return StoreRows(tuple(_row(raw) for raw in answer.body["rows"]), answer.body["ver"])

    async def write_row(
        self, table: str, key: str, value: bytes, expected_version: int | None = None
    ) -> Written | StoreConflict | Unavailable:
        """Write one row, if it still has the expected version where one is given."""
        place = {"table": table, "part": "", "key": key}
        expected = [] if expected_version is None else [{**place, "ver": expected_version}]
        row = {**place, "value": base64.b64encode(value).decode()}
        body = {"expected": expected, "set_keys": [row], "remove": []}
        answer = await self._call("POST", "/rows-tx", body=body)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == httpx.codes.PRECONDITION_FAILED:
            return StoreConflict(tuple(_row(raw) for raw in answer.body.get("rows", ())))
        return Written(answer.body["ver"])

    async def remove_row(self, table: str, key: str) -> Written | StoreConflict | Unavailable:
        """Remove one row."""
        place = {"table": table, "part": "", "key": key}
        body = {"expected": [], "set_keys": [], "remove": [place]}
        answer = await self._call("POST", "/rows-tx", body=body)
        if isinstance(answer, Unavailable):
            return answer
        return Written(answer.body["ver"])

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        body: object | None = None,
        wait_s: float = 0.0,
    ) -> _Answer | Unavailable:
        answer = await self._send(method, path, params, body, wait_s)
        self._note(answer.detail if isinstance(answer, Unavailable) else "")
        return answer

    def _note(self, detail: str) -> None:
        """Log when the store stops answering and when it answers again."""
        if detail and not self._is_down:
            log(LogEvent.PLATFORM_DOWN, service="store", error=detail)
        elif not detail and self._is_down:
            log(LogEvent.PLATFORM_UP, service="store")
        self._is_down = bool(detail)

    async def _send(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None,
        body: object | None,
        wait_s: float,
    ) -> _Answer | Unavailable:
        content = None if body is None else msgspec.json.encode(body)
        headers = None if body is None else {"Content-Type": "application/json"}
        timeout = httpx.Timeout(CALL_TIMEOUT_S + wait_s, connect=CONNECT_TIMEOUT_S)
        may_apply = method == "POST"
        try:
            resp = await self._client.request(
                method, path, params=params, content=content, headers=headers, timeout=timeout
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return Unavailable(f"cannot connect: {exc!r}", may_have_applied=False)
        except httpx.HTTPError as exc:
            return Unavailable(f"no answer: {exc!r}", may_have_applied=may_apply)
        if resp.status_code in _NOTHING_DONE:
            return Unavailable(f"status {resp.status_code}", may_have_applied=False)
        return _decode(resp, may_apply)

    def _new_client(self) -> httpx.AsyncClient:
        limits = httpx.Limits(max_connections=16, max_keepalive_connections=8)
        return httpx.AsyncClient(
            base_url=self._base, trust_env=False, verify=EMPTY_TRUST, limits=limits
        )


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: dict[str, Any]


def _decode(resp: httpx.Response, may_apply: bool) -> _Answer | Unavailable:
    known = (httpx.codes.OK, httpx.codes.GONE, httpx.codes.PRECONDITION_FAILED)
    if resp.status_code not in known:
        return Unavailable(f"status {resp.status_code}", may_have_applied=may_apply)
    if resp.status_code == httpx.codes.GONE:
        return _Answer(resp.status_code, {})
    try:
        return _Answer(resp.status_code, msgspec.json.decode(resp.content))
    except msgspec.DecodeError as exc:
        return Unavailable(f"malformed answer: {exc}", may_have_applied=may_apply)


def _row(raw: dict[str, Any]) -> StoreRow:
    if raw.get("tombstone") or raw.get("value") is None:
        return StoreRow(raw["key"], raw["ver"], None)
    return StoreRow(raw["key"], raw["ver"], base64.b64decode(raw["value"]))
