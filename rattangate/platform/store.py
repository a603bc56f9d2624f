"""The client of the platform's store; failures are returned as outcomes, never raised."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import httpx
import msgspec
import trio

from rattangate.clock import boottime_now
from rattangate.core.shared_clock import SharedClock
from rattangate.core.store_version import era_of, make_version, number_of
from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent, log
from rattangate.plain_http import (
    AnswerTooLong,
    BoundedAnswer,
    send_bounded,
)
from rattangate.platform import store_answers, wire
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
from rattangate.strict_transport import StrictTransport
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import TracebackType

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Of a whole answer, beside the time for which a long poll waits; `CALL_TIMEOUT_S` bounds each wait
# for more of it.
ANSWER_TIMEOUT_S = 5.0
# Twice the largest blob that the store keeps.
MAX_ANSWER_BYTES = 16_777_216
# Of all pages of one read.
MAX_PAGED_BYTES = 33_554_432
PAGE_ROWS = 500
MAX_CONNECTIONS = 64
MAX_IDLE_CONNECTIONS = 8
MAX_DETAIL_CHARS = 200
T = TypeVar("T")
# The store sends these statuses only if it has applied nothing.
_NOT_APPLIED_STATUSES = (429, 503)


class Store:
    """Read, watch and conditionally write rows and blobs of the platform's store.

    The store splits a table into parts; this client uses only the part named "".

    The store may return from an older copy, after which it gives versions out again; each return
    begins a new era, which all its answers name. The versions of this client have the era as their
    leading part. A position or an expected version of an earlier era is never sent, and an answer
    of an earlier era is not used.

    `clock` follows the store's clock, which all instances read.
    """

    def __init__(self, address: str, call_timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.clock = SharedClock()
        self._call_timeout_s = call_timeout_s
        self._is_down = False
        self._era = 0
        self._has_era = False
        self._era_scopes: set[trio.CancelScope] = set()
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_IDLE_CONNECTIONS
        )
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            trust_env=False,
            transport=StrictTransport(limits),
            headers={"Accept-Encoding": "identity"},
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
        size = 0
        start = ""
        while True:
            params = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                params["from"] = start
            answer = await self._read_page(params)
            if isinstance(answer, Unavailable):
                return answer
            if rows and answer.era != era_of(rows[0].version):
                return Unavailable("the store returned during the read", may_have_applied=False)
            size += answer.size
            if size > MAX_PAGED_BYTES:
                return _too_many_pages()
            rows.extend(answer.rows)
            if not answer.has_more or not answer.rows:
                return StoreRows(tuple(rows), answer.version, answer.answered_at)
            if answer.rows[-1].key < start:
                return Unavailable("the next page has earlier rows", may_have_applied=False)
            start = answer.rows[-1].key + "\x00"

    async def read_row(self, table: str, key: str) -> StoreRow | Unavailable:
        """Read one row; a missing one has the number 0."""
        params = {"table": table, "part": "", "from": key, "to": key + "\x00", "limit": "1"}
        answer = await self._read_page(params)
        if isinstance(answer, Unavailable):
            return answer
        for row in answer.rows:
            return row
        return StoreRow(key, make_version(answer.era, 0), None)

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
        """Wait up to `wait_s` seconds for changes of a table after a version (long poll).

        The history since a version is lost when the store returns from an older copy.
        """
        if era_of(after) != self._era:
            return HistoryLost()
        wait_ms = int(wait_s * MS_PER_S)
        params = {"table": table, "after": str(number_of(after)), "wait_ms": str(wait_ms)}
        resp: BoundedAnswer | Unavailable | None = None
        with trio.CancelScope() as scope:
            self._era_scopes.add(scope)
            try:
                resp = await self._call("GET", "/rows-feed", params=params, wait_s=wait_s)
            finally:
                self._era_scopes.discard(scope)
        if isinstance(resp, Unavailable):
            return resp
        if resp is None or resp.status == httpx.codes.GONE or self._era != era_of(after):
            return HistoryLost()
        page = self._decode_page(resp)
        if isinstance(page, Unavailable):
            return page
        return StoreRows(page.rows, page.version, page.answered_at)

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
        expected = tuple(expected)
        if any(_is_of_earlier_era(item.version, self._era) for item in expected):
            return await self._read_conflict(table, expected)
        body = {
            "expected": [
                {**_row_id(table, item.key), "ver": number_of(item.version)} for item in expected
            ],
            "set_keys": [
                {**_row_id(table, row.key), "value": base64.b64encode(row.value).decode()}
                for row in rows
            ],
            "remove": [],
        }
        return await self._transact(body, expected)

    async def remove_row(
        self, table: str, key: str, expected_version: int
    ) -> Written | StoreConflict | Unavailable:
        """Remove one row if it has the expected version."""
        expected = ExpectedVersion(key, expected_version)
        if _is_of_earlier_era(expected_version, self._era):
            return await self._read_conflict(table, (expected,))
        condition = {**_row_id(table, key), "ver": number_of(expected_version)}
        body = {"expected": [condition], "set_keys": [], "remove": [_row_id(table, key)]}
        return await self._transact(body, ())

    async def put_blob(
        self, name: str, body: bytes, replaces: bool = False
    ) -> BlobStored | Unavailable:
        """Write a blob; an existing one is overwritten only if `replaces` is set."""
        headers = {} if replaces else {"If-None-Match": "*"}
        resp = await self._call("PUT", f"/blob-put/{name}", content=body, headers=headers)
        if isinstance(resp, Unavailable):
            return resp
        if resp.status == httpx.codes.PRECONDITION_FAILED:
            return BlobStored(already_existed=True)
        if not httpx.codes.is_success(resp.status):
            return Unavailable(f"status {resp.status}", may_have_applied=False)
        return BlobStored(already_existed=False)

    async def get_blob(self, name: str) -> BlobRead | Unavailable:
        """Read the content of a blob."""
        resp = await self._call("GET", f"/blob-get/{name}")
        if isinstance(resp, Unavailable):
            return resp
        if resp.status == httpx.codes.NOT_FOUND:
            return BlobRead(None)
        if not httpx.codes.is_success(resp.status):
            return Unavailable(f"status {resp.status}", may_have_applied=False)
        return BlobRead(resp.body)

    async def list_blobs(self, prefix: str) -> tuple[str, ...] | Unavailable:
        """List the names of blobs that begin with a prefix, in ascending order."""
        names: list[str] = []
        size = 0
        while True:
            params = {"path_prefix": prefix}
            if names:
                params["after"] = names[-1]
            resp = await self._call("GET", "/blob-list", params=params)
            if isinstance(resp, Unavailable):
                return resp
            answer = _decode(resp, store_answers.NamesAnswer, may_have_applied=False)
            if isinstance(answer, Unavailable):
                return answer
            if names and answer.names and answer.names[-1] <= names[-1]:
                return Unavailable("the next page has earlier names", may_have_applied=False)
            size += len(resp.body)
            if size > MAX_PAGED_BYTES:
                return _too_many_pages()
            names.extend(answer.names)
            if not answer.has_more or not answer.names:
                return tuple(names)

    async def _transact(
        self, body: object, expected: tuple[ExpectedVersion, ...]
    ) -> Written | StoreConflict | Unavailable:
        content = msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"}
        resp = await self._call("POST", "/rows-tx", content=content, headers=headers)
        if isinstance(resp, Unavailable):
            return resp
        era = self._era
        if any(_is_of_earlier_era(item.version, era) for item in expected):
            # The store returned while the write was on its way; its numbers may match by chance.
            return Unavailable("answer of a later era", may_have_applied=True)
        if resp.status == httpx.codes.PRECONDITION_FAILED:
            conflict = _decode(resp, store_answers.ConflictAnswer, may_have_applied=True)
            if isinstance(conflict, Unavailable):
                return conflict
            rows = [store_answers.make_row(row, era) for row in conflict.rows]
            return StoreConflict(_with_missing_rows(rows, expected, era))
        written = _decode(resp, store_answers.WrittenAnswer, may_have_applied=True)
        if isinstance(written, Unavailable):
            return written
        self._observe_time(written.now_ms)
        return Written(make_version(era, written.ver))

    async def _read_conflict(
        self, table: str, expected: tuple[ExpectedVersion, ...]
    ) -> StoreConflict | Unavailable:
        """Return the current rows for a write that expects versions of an earlier era."""
        rows = await self.read_rows(table, [item.key for item in expected])
        if isinstance(rows, Unavailable):
            return Unavailable(rows.detail, may_have_applied=False)
        return StoreConflict(rows)

    async def _read_page(self, params: dict[str, str]) -> _Page | Unavailable:
        resp = await self._call("GET", "/rows-get", params=params)
        return resp if isinstance(resp, Unavailable) else self._decode_page(resp)

    def _decode_page(self, resp: BoundedAnswer) -> _Page | Unavailable:
        answer = _decode(resp, store_answers.RowsAnswer, may_have_applied=False)
        if isinstance(answer, Unavailable):
            return answer
        self._observe_time(answer.now_ms)
        rows = tuple(store_answers.make_row(row, self._era) for row in answer.rows)
        version = make_version(self._era, answer.ver)
        return _Page(
            rows, version, self._era, answer.now_ms / MS_PER_S, answer.has_more, len(resp.body)
        )

    def _observe_time(self, now_ms: float | None) -> None:
        if now_ms is not None:
            self.clock.observe(now_ms / MS_PER_S, boottime_now())

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
        wait_s: float = 0.0,
    ) -> BoundedAnswer | Unavailable:
        timeout = httpx.Timeout(self._call_timeout_s + wait_s, connect=CONNECT_TIMEOUT_S)
        request = self._client.build_request(
            method, path, params=params, content=content, headers=headers, timeout=timeout
        )
        resp = await self._send(request, ANSWER_TIMEOUT_S + wait_s)
        if isinstance(resp, BoundedAnswer) and not self._record_era(resp):
            detail = "answer of an earlier era or of a malformed one"
            resp = Unavailable(detail, may_have_applied=method != "GET")
        self._log_availability(resp.detail if isinstance(resp, Unavailable) else "")
        return resp

    async def _send(self, request: httpx.Request, timeout_s: float) -> BoundedAnswer | Unavailable:
        may_have_applied = request.method != "GET"
        try:
            resp = await send_bounded(self._client, request, timeout_s, MAX_ANSWER_BYTES)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return Unavailable(f"cannot connect: {exc!r}", may_have_applied=False)
        except (httpx.HTTPError, trio.TooSlowError, AnswerTooLong) as exc:
            return Unavailable(f"no answer: {exc!r}", may_have_applied=may_have_applied)
        if resp.status in _NOT_APPLIED_STATUSES:
            return Unavailable(f"status {resp.status}", may_have_applied=False)
        if resp.status >= httpx.codes.INTERNAL_SERVER_ERROR:
            return Unavailable(f"status {resp.status}", may_have_applied=may_have_applied)
        return resp

    def _record_era(self, resp: BoundedAnswer) -> bool:
        """Note the era of an answer; tell whether it is the current one."""
        value = resp.headers.get(wire.STORE_ERA)
        era = self._era if value is None else store_answers.decode_era(value)
        if era is None:
            return False
        if era > self._era:
            if self._has_era:
                log(LogEvent.STORE_RETURNED, era_before=self._era, era=era)
            self._era = era
            for scope in self._era_scopes:
                scope.cancel()
        self._has_era = True
        return era == self._era

    def _log_availability(self, detail: str) -> None:
        """Log when the store becomes unavailable and when it is available again."""
        if detail and not self._is_down:
            log(LogEvent.PLATFORM_DOWN, service="store", error=detail)
        elif not detail and self._is_down:
            log(LogEvent.PLATFORM_UP, service="store")
        self._is_down = bool(detail)


@dataclass(frozen=True, slots=True)
class _Page:
    """Hold the rows of one answer of `size` bytes; `version` is that of the store in `era`."""

    rows: tuple[StoreRow, ...]
    version: int
    era: int
    answered_at: float
    has_more: bool
    size: int


def _too_many_pages() -> Unavailable:
    detail = f"the pages exceed {MAX_PAGED_BYTES} bytes"
    return Unavailable(detail, may_have_applied=False)


def _decode(resp: BoundedAnswer, cls: type[T], may_have_applied: bool) -> T | Unavailable:
    """Decode the body of an answer that has the status of a success or of a conflict."""
    if resp.status not in (httpx.codes.OK, httpx.codes.PRECONDITION_FAILED):
        return Unavailable(f"status {resp.status}", may_have_applied=may_have_applied)
    try:
        return decode_json(resp.body, cls)
    except msgspec.DecodeError as exc:
        detail = f"malformed answer: {exc}"[:MAX_DETAIL_CHARS]
        return Unavailable(detail, may_have_applied=may_have_applied)


def _row_id(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": "", "key": key}


def _is_of_earlier_era(version: int, era: int) -> bool:
    """Tell whether an expected version is of an earlier era; 0, a missing row, is of any."""
    return version != 0 and era_of(version) != era


def _with_missing_rows(
    rows: list[StoreRow], expected: tuple[ExpectedVersion, ...], era: int
) -> tuple[StoreRow, ...]:
    """Add the expected rows that do not exist."""
    found = {row.key for row in rows}
    missing = (item.key for item in expected if item.key not in found)
    return (*rows, *(StoreRow(key, make_version(era, 0), None) for key in missing))
