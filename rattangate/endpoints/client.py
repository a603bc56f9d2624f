"""The client of one model engine."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any

import httpx
import msgspec

from rattangate.core.messages import AttemptResult
from rattangate.plain_http import EMPTY_TRUST

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AsyncExitStack

CONNECT_TIMEOUT_S = 1.0
POLL_TIMEOUT_S = 1.0
EVENTS_TIMEOUT_S = 5.0
MAX_IDLE_CONNECTIONS = 64
IDLE_CONNECTION_S = 20.0
PIECE_BOUND = 2**64


@dataclass(frozen=True, slots=True)
class EngineCall:
    """Describe one attempt at an engine."""

    path: str
    body: bytes
    request_id: str
    incarnation: int
    weights_version: str


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """Report an engine's answer whose body follows."""

    resp: httpx.Response
    cached_tokens: int
    fingerprint: str


@dataclass(frozen=True, slots=True)
class OpenFailed:
    """Report an attempt that brought no stream; `status` is 0 without an HTTP answer."""

    result: AttemptResult
    detail: str
    status: int = 0


Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """Hold an endpoint's own report of its state and load."""

    incarnation: Number
    weights_version: str
    model: str
    state: str
    running: Count
    waiting: Count
    waiting_tokens: Count
    age_s: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Hold one numbered cache event."""

    seq: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class _RawEvent(msgspec.Struct):
    seq: Number
    stored: list[str]
    evicted: list[str]


class _RawEvents(msgspec.Struct):
    incarnation: Number
    events: list[_RawEvent]


_decode_report = msgspec.json.Decoder(EndpointReport).decode
_decode_events = msgspec.json.Decoder(_RawEvents).decode


class EndpointClient:
    """Call one endpoint over its own connections."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=IDLE_CONNECTION_S,
        )
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S)
        self.http = httpx.AsyncClient(
            base_url=f"http://{address}",
            limits=limits,
            timeout=timeout,
            trust_env=False,
            verify=EMPTY_TRUST,
        )

    async def open_stream(
        self, call: EngineCall, stack: AsyncExitStack
    ) -> StreamOpened | OpenFailed:
        """Send a request and return the answer's stream, which the stack owns."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
            "X-Expected-Incarnation": str(call.incarnation),
            "X-Expected-Weights-Version": call.weights_version,
        }
        sent = self.http.stream("POST", call.path, content=call.body, headers=headers)
        try:
            resp = await stack.enter_async_context(sent)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return OpenFailed(AttemptResult.NOT_SENT, repr(exc))
        except httpx.HTTPError as exc:
            return OpenFailed(AttemptResult.LOST, repr(exc))
        if resp.status_code != httpx.codes.OK:
            return await _open_failure(resp)
        if not _is_expected(resp, call):
            return OpenFailed(AttemptResult.REFUSED, "another incarnation or version")
        told = resp.headers.get("X-Cached-Tokens", "")
        cached = int(told) if told.isdecimal() else 0
        return StreamOpened(resp, cached, f"{call.incarnation}.{call.weights_version}")

    async def report(self) -> EndpointReport | OpenFailed:
        """Ask the endpoint for its state and load."""
        try:
            resp = await self.http.get("/load", timeout=POLL_TIMEOUT_S)
            return _decode_report(resp.content)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return OpenFailed(AttemptResult.NOT_SENT, repr(exc))
        except (httpx.HTTPError, msgspec.MsgspecError, UnicodeDecodeError) as exc:
            return OpenFailed(AttemptResult.LOST, repr(exc))

    async def cache_events(self, after: int) -> tuple[int, tuple[CacheEvent, ...]] | OpenFailed:
        """Wait for cache events after a sequence number; return incarnation and events."""
        try:
            resp = await self.http.get(f"/cache-events?after={after}", timeout=EVENTS_TIMEOUT_S)
            raw = _decode_events(resp.content)
            return raw.incarnation, tuple(_cache_event(event) for event in raw.events)
        except (httpx.HTTPError, msgspec.MsgspecError, ValueError) as exc:
            return OpenFailed(AttemptResult.LOST, repr(exc))


@asynccontextmanager
async def own_clients(clients: dict[str, EndpointClient]) -> AsyncIterator[None]:
    """Close at the end all clients that there are by then."""
    try:
        yield
    finally:
        for client in clients.values():
            await client.http.aclose()


async def _open_failure(resp: httpx.Response) -> OpenFailed:
    body: dict[str, Any] = {}
    try:
        decoded = msgspec.json.decode(await resp.aread())
    except (httpx.HTTPError, msgspec.DecodeError):
        decoded = None
    if isinstance(decoded, dict):
        body = decoded
    detail = str(body.get("error", f"status {resp.status_code}"))
    if body.get("not_run") or resp.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
        return OpenFailed(AttemptResult.REFUSED, detail, resp.status_code)
    return OpenFailed(AttemptResult.LOST, detail, resp.status_code)


def _is_expected(resp: httpx.Response, call: EngineCall) -> bool:
    incarnation = resp.headers.get("X-Incarnation", str(call.incarnation))
    version = resp.headers.get("X-Weights-Version", call.weights_version)
    return incarnation == str(call.incarnation) and version == call.weights_version


def _cache_event(raw: _RawEvent) -> CacheEvent:
    return CacheEvent(raw.seq, tuple(map(_piece, raw.stored)), tuple(map(_piece, raw.evicted)))


def _piece(text: str) -> int:
    piece = int(text, 16)
    if not 0 <= piece < PIECE_BOUND:
        raise ValueError(f"piece {text!r} is no 64-bit hash")
    return piece
