"""The client of the platform's table service, object store and instance list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
import msgspec

from rattangate.log_events import LogEvent, log
from rattangate.plain_http import EMPTY_TRUST

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import TracebackType

REQUEST_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one row of the table; version 0 stands for a missing row."""

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Rows:
    """Report rows that were read or written."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Report the present rows of a transaction whose checks did not hold."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that no usable answer came; `may_have_applied` says whether a write can stand."""

    detail: str
    may_have_applied: bool


@dataclass(frozen=True, slots=True)
class Stored:
    """Report an object that was written, or that was there already."""

    existed: bool


@dataclass(frozen=True, slots=True)
class Found:
    """Report an object that was read; None stands for a missing object."""

    body: bytes | None


class PlatformClient:
    """Call the platform; every failure is an outcome, never an exception."""

    def __init__(self, address: str) -> None:
        self._down: set[str] = set()
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=REQUEST_TIMEOUT_S,
            trust_env=False,
            verify=EMPTY_TRUST,
        )

    async def __aenter__(self) -> PlatformClient:
        await self._client.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self._client.__aexit__(exc_type, exc, tb)

    async def get_rows(self, keys: Iterable[str]) -> Rows | Unavailable:
        """Read rows of the table."""
        resp = await self._call("POST", "/table/get", {"keys": list(keys)})
        if isinstance(resp, Unavailable):
            return Unavailable(resp.detail, may_have_applied=False)
        return _rows(resp)

    async def scan_rows(self, prefix: str) -> Rows | Unavailable:
        """Read all rows whose key begins with a prefix."""
        resp = await self._call("GET", f"/table/scan?prefix={prefix}", None)
        if isinstance(resp, Unavailable):
            return Unavailable(resp.detail, may_have_applied=False)
        return _rows(resp)

    async def swap_row(
        self, key: str, version: int, value: object
    ) -> Rows | Conflict | Unavailable:
        """Write a row if its version is still the one given."""
        return await self.transact([(key, version)], [(key, value)])

    async def transact(
        self, checks: Iterable[tuple[str, int]], writes: Iterable[tuple[str, object]]
    ) -> Rows | Conflict | Unavailable:
        """Apply all writes if all checked versions hold."""
        body = {
            "checks": [{"key": key, "version": version} for key, version in checks],
            "writes": [{"key": key, "value": value} for key, value in writes],
        }
        resp = await self._call("POST", "/table/txn", body)
        if isinstance(resp, Unavailable):
            return resp
        if resp.status_code == httpx.codes.CONFLICT:
            return Conflict(tuple(_row(raw) for raw in _decode(resp)["conflicts"]))
        return _rows(resp)

    async def put_object(self, key: str, body: bytes) -> Stored | Unavailable:
        """Write an object once; an existing one stays as it is."""
        headers = {"If-None-Match": "*"}
        resp = await self._call("PUT", f"/objects/{key}", None, content=body, headers=headers)
        if isinstance(resp, Unavailable):
            return resp
        return Stored(existed=resp.status_code == httpx.codes.PRECONDITION_FAILED)

    async def replace_object(self, key: str, body: bytes) -> Stored | Unavailable:
        """Write an object over an existing one."""
        resp = await self._call("PUT", f"/objects/{key}", None, content=body)
        if isinstance(resp, Unavailable):
            return resp
        return Stored(existed=False)

    async def get_object(self, key: str) -> Found | Unavailable:
        """Read an object."""
        resp = await self._call("GET", f"/objects/{key}", None)
        if isinstance(resp, Unavailable):
            return Unavailable(resp.detail, may_have_applied=False)
        if resp.status_code == httpx.codes.NOT_FOUND:
            return Found(None)
        return Found(resp.content)

    async def list_objects(self, prefix: str) -> tuple[str, ...] | Unavailable:
        """List the keys of objects that begin with a prefix, in order."""
        resp = await self._call("GET", f"/objects?prefix={prefix}", None)
        if isinstance(resp, Unavailable):
            return Unavailable(resp.detail, may_have_applied=False)
        return tuple(_decode(resp)["keys"])

    async def list_instances(self) -> dict[str, str] | Unavailable:
        """Read the lagging list of instances and endpoints with their states."""
        resp = await self._call("GET", "/instances", None)
        if isinstance(resp, Unavailable):
            return Unavailable(resp.detail, may_have_applied=False)
        states: dict[str, str] = _decode(resp)["instances"]
        return states

    def _note(self, path: str, detail: str) -> None:
        """Log when a service of the platform stops answering and when it answers again."""
        service = path.split("/")[1].split("?")[0]
        if detail and service not in self._down:
            self._down.add(service)
            log(LogEvent.PLATFORM_DOWN, service=service, error=detail)
        elif not detail and service in self._down:
            self._down.remove(service)
            log(LogEvent.PLATFORM_UP, service=service)

    async def _call(
        self,
        method: str,
        path: str,
        body: object | None,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response | Unavailable:
        resp = await self._send(method, path, body, content, headers)
        self._note(path, resp.detail if isinstance(resp, Unavailable) else "")
        return resp

    async def _send(
        self,
        method: str,
        path: str,
        body: object | None,
        content: bytes | None,
        headers: dict[str, str] | None,
    ) -> httpx.Response | Unavailable:
        if body is not None:
            content = msgspec.json.encode(body)
        try:
            resp = await self._client.request(method, path, content=content, headers=headers)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return Unavailable(f"cannot connect: {exc}", may_have_applied=False)
        except httpx.HTTPError as exc:
            return Unavailable(f"no answer: {exc!r}", may_have_applied=True)
        if resp.status_code == httpx.codes.TOO_MANY_REQUESTS:
            return Unavailable("rate exceeded", may_have_applied=False)
        if resp.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            return Unavailable(f"status {resp.status_code}", may_have_applied=True)
        return resp


def _rows(resp: httpx.Response) -> Rows:
    return Rows(tuple(_row(raw) for raw in _decode(resp)["rows"]))


def _row(raw: dict[str, Any]) -> Row:
    return Row(raw["key"], raw["version"], raw["value"])


def _decode(resp: httpx.Response) -> Any:
    return msgspec.json.decode(resp.content)
