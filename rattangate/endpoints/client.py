"""The HTTP client of one endpoint: model calls, state and load, cache events."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any

import httpx
import msgspec
import trio

from rattangate.core.messages import AttemptResult
from rattangate.json_decoding import decode_json
from rattangate.plain_http import (
    AnswerTooLong,
    BoundedAnswer,
    read_bounded,
    send_bounded,
)
from rattangate.strict_transport import StrictTransport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AsyncExitStack

CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 1.0
CACHE_EVENTS_TIMEOUT_S = 5.0
MAX_ERROR_BYTES = 65_536
MAX_REPORT_BYTES = 65_536
MAX_CACHE_EVENTS_BYTES = 16_777_216
MAX_IDLE_CONNECTIONS = 64
IDLE_CONNECTION_TIMEOUT_S = 20.0
BLOCK_HASH_LIMIT = 2**64
_READ_FAILURES = (httpx.HTTPError, trio.TooSlowError, AnswerTooLong)


@dataclass(frozen=True, slots=True)
class EngineCall:
    """Describe one attempt to run a request on an engine.

    The engine must have the given incarnation and weights version.
    """

    path: str
    body: bytes
    request_id: str
    incarnation: int
    weights_version: str


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """Report a successful answer of an engine, whose body is still to be read."""

    resp: httpx.Response
    cached_tokens: int
    fingerprint: str


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Report a failed call; `status` is the HTTP status, or 0 if no answer arrived."""

    result: AttemptResult
    detail: str
    status: int = 0


UInt31 = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
UInt63 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """Hold an endpoint's own report of its state and load; `age_s` is its age in seconds."""

    incarnation: UInt63
    weights_version: str
    model: str
    state: str
    running: UInt31
    waiting: UInt31
    waiting_tokens: UInt31
    age_s: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Hold one change of the prefix cache: the hashes of the blocks stored and evicted."""

    seq: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class _RawEvent(msgspec.Struct):
    seq: UInt63
    stored: list[str]
    evicted: list[str]


class _RawEvents(msgspec.Struct):
    incarnation: UInt63
    events: list[_RawEvent]


class EndpointClient:
    """Call one endpoint over a connection pool of its own."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=IDLE_CONNECTION_TIMEOUT_S,
        )
        timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S)
        self.http = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=timeout,
            headers={"Accept-Encoding": "identity"},
            trust_env=False,
            transport=StrictTransport(limits),
        )

    async def open_stream(
        self, call: EngineCall, stack: AsyncExitStack
    ) -> StreamOpened | CallFailed:
        """Send a request and return the open answer, which is closed with `stack`."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
            "X-Expected-Incarnation": str(call.incarnation),
            "X-Expected-Weights-Version": call.weights_version,
        }
        stream_context = self.http.stream("POST", call.path, content=call.body, headers=headers)
        try:
            resp = await stack.enter_async_context(stream_context)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return CallFailed(AttemptResult.NOT_SENT, repr(exc))
        except httpx.HTTPError as exc:
            return CallFailed(AttemptResult.LOST, repr(exc))
        if resp.status_code != httpx.codes.OK:
            return await _make_open_failure(resp)
        if not _matches_call(resp, call):
            return CallFailed(
                AttemptResult.REFUSED,
                f"engine is not incarnation {call.incarnation} with weights {call.weights_version}",
            )
        header = resp.headers.get("X-Cached-Tokens", "")
        cached = int(header) if header.isdecimal() else 0
        return StreamOpened(resp, cached, f"{call.incarnation}.{call.weights_version}")

    async def get_report(self) -> EndpointReport | CallFailed:
        """Read the state and load of the endpoint."""
        try:
            answer = await self._get("/load", LOAD_TIMEOUT_S, MAX_REPORT_BYTES)
            return decode_json(answer.body, EndpointReport)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return CallFailed(AttemptResult.NOT_SENT, repr(exc))
        except (*_READ_FAILURES, msgspec.MsgspecError, UnicodeDecodeError) as exc:
            return CallFailed(AttemptResult.LOST, repr(exc))

    async def cache_events(self, after: int) -> tuple[int, tuple[CacheEvent, ...]] | CallFailed:
        """Wait for cache events after a sequence number; return them with the incarnation."""
        try:
            answer = await self._get(
                f"/cache-events?after={after}", CACHE_EVENTS_TIMEOUT_S, MAX_CACHE_EVENTS_BYTES
            )
            raw = decode_json(answer.body, _RawEvents)
            return raw.incarnation, tuple(_make_cache_event(event) for event in raw.events)
        except (*_READ_FAILURES, msgspec.MsgspecError, ValueError) as exc:
            return CallFailed(AttemptResult.LOST, repr(exc))

    async def _get(self, path: str, timeout_s: float, max_bytes: int) -> BoundedAnswer:
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        req = self.http.build_request("GET", path, timeout=timeout)
        return await send_bounded(self.http, req, timeout_s + CONNECT_TIMEOUT_S, max_bytes)


@asynccontextmanager
async def closing_clients(clients: dict[str, EndpointClient]) -> AsyncIterator[None]:
    """Close all clients on exit, including those that were added to `clients` meanwhile."""
    try:
        yield
    finally:
        for client in clients.values():
            await client.http.aclose()


async def _make_open_failure(resp: httpx.Response) -> CallFailed:
    body: dict[str, Any] = {}
    try:
        decoded = decode_json(await read_bounded(resp, MAX_ERROR_BYTES))
    except (httpx.HTTPError, AnswerTooLong, msgspec.DecodeError):
        decoded = None
    if isinstance(decoded, dict):
        body = decoded
    detail = str(body.get("error", f"status {resp.status_code}"))
    if body.get("not_run") or resp.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
        return CallFailed(AttemptResult.REFUSED, detail, resp.status_code)
    return CallFailed(AttemptResult.LOST, detail, resp.status_code)


def _matches_call(resp: httpx.Response, call: EngineCall) -> bool:
    incarnation = resp.headers.get("X-Incarnation", str(call.incarnation))
    version = resp.headers.get("X-Weights-Version", call.weights_version)
    return incarnation == str(call.incarnation) and version == call.weights_version


def _make_cache_event(raw: _RawEvent) -> CacheEvent:
    return CacheEvent(
        raw.seq,
        tuple(map(_parse_block_hash, raw.stored)),
        tuple(map(_parse_block_hash, raw.evicted)),
    )


def _parse_block_hash(text: str) -> int:
    block_hash = int(text, 16)
    if not 0 <= block_hash < BLOCK_HASH_LIMIT:
        raise ValueError(f"block hash {text!r} does not fit into 64 bits")
    return block_hash
