"""Relay the stream of a model answer from endpoints to the caller, across retries."""

from __future__ import annotations

from contextlib import AsyncExitStack, aclosing, contextmanager
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import trio

from rattangate.core.messages import AttemptResult, Dispatch, Refuse
from rattangate.core.retries import RetryReason
from rattangate.core.streams import StreamChecker, StreamFault
from rattangate.endpoints.client import CallFailed, EngineCall, StreamOpened
from rattangate.errors import ErrorKind, Failure
from rattangate.log_events import LogEvent, log

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from rattangate.core.messages import RequestArrived
    from rattangate.core.prefix import CacheScope
    from rattangate.driver import Driver, Exchange
    from rattangate.endpoints.client import EndpointClient
    from rattangate.metrics import Metrics

STREAM_IDLE_TIMEOUT_S = 10.0
BODY_DRAIN_TIMEOUT_S = 0.2


@dataclass(frozen=True, slots=True)
class ModelCall:
    """Hold a completion request: `req` for the gateway and the JSON `body` as the caller sent it.

    `arrived_at` is in seconds on the clock of trio.
    """

    req: RequestArrived
    path: str
    body: dict[str, Any]
    request_id: str
    arrived_at: float


class RelayError(Exception):
    """Raised when an answer cannot be completed; `failure` is what the caller is told."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.kind.value)
        self.failure = failure


class OpenStreams:
    """Count the completions in progress, from the request's arrival to the end of the answer."""

    def __init__(self, metrics: Metrics) -> None:
        self.count = 0
        self._metrics = metrics

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one completion while the context is open."""
        self._add(1)
        try:
            yield
        finally:
            self._add(-1)

    def _add(self, delta: int) -> None:
        self.count += delta
        self._metrics.streams.set(self.count)


class Relay:
    """Relay one answer; resume it at another endpoint when an attempt is lost."""

    def __init__(
        self,
        call: ModelCall,
        driver: Driver,
        clients: dict[str, EndpointClient],
        metrics: Metrics,
        streams: OpenStreams,
    ) -> None:
        self.call = call
        self.checker = StreamChecker(call.request_id)
        self.attempts = 0
        self.cached_tokens = 0
        self.endpoint = ""
        self._driver = driver
        self._clients = clients
        self._metrics = metrics
        self._streams = streams
        self._last_chunk_at = 0.0
        self._result: AttemptResult | None = None

    async def events(self) -> AsyncIterator[bytes]:
        """Yield the answer's server-sent events; raise `RelayError` if it cannot be completed."""
        with self._streams.track(), self._driver.exchange(self.call.req) as exchange:
            while True:
                effect = await exchange.next_effect()
                if isinstance(effect, Refuse):
                    raise RelayError(self._final_failure(effect.failure))
                self._count_retry(effect)
                async with aclosing(self._run_attempt(exchange, effect)) as chunks:
                    async for data in chunks:
                        yield data
                if self._result is AttemptResult.COMPLETED:
                    return

    async def _run_attempt(self, exchange: Exchange, dispatch: Dispatch) -> AsyncIterator[bytes]:
        self.attempts += 1
        self.endpoint = dispatch.endpoint
        client = self._clients[dispatch.endpoint]
        async with AsyncExitStack() as stack:
            opened = await self._open_stream(exchange, dispatch, client, stack)
            if isinstance(opened, CallFailed):
                self._end_attempt(exchange, dispatch, opened.result)
                return
            self.cached_tokens = max(self.cached_tokens, opened.cached_tokens)
            exchange.report_first_token(dispatch.attempt, opened.cached_tokens)
            self.checker.begin_attempt(opened.fingerprint)
            chunks = opened.resp.aiter_raw()
            while True:
                data = await self._next_chunk(exchange, dispatch, chunks)
                if data is None:
                    self._end_attempt(exchange, dispatch, AttemptResult.LOST)
                    return
                step = self.checker.feed(data)
                if step.forward:
                    self._record_chunk(step.tokens)
                    yield step.forward
                if step.done:
                    await _drain_body(chunks)
                    self._end_attempt(exchange, dispatch, AttemptResult.COMPLETED)
                    return
                if step.fault is not None:
                    self._log_mismatch(dispatch, step.fault)
                    self._end_attempt(exchange, dispatch, AttemptResult.LOST)
                    return

    async def _open_stream(
        self,
        exchange: Exchange,
        dispatch: Dispatch,
        client: EndpointClient,
        stack: AsyncExitStack,
    ) -> StreamOpened | CallFailed:
        call = EngineCall(
            self.call.path,
            self._engine_body(dispatch),
            self.call.request_id,
            dispatch.incarnation,
            dispatch.weights_version,
        )
        with exchange.attempt_scope(dispatch, self.call.req.deadline):
            return await client.open_stream(call, stack)
        # Reached only when the attempt was cancelled or the deadline passed.
        return CallFailed(AttemptResult.LOST, "endpoint went down or deadline passed")

    async def _next_chunk(
        self, exchange: Exchange, dispatch: Dispatch, chunks: AsyncIterator[bytes]
    ) -> bytes | None:
        with exchange.attempt_scope(dispatch, trio.current_time() + STREAM_IDLE_TIMEOUT_S):
            try:
                return await anext(chunks)
            except (httpx.HTTPError, httpx.StreamError, StopAsyncIteration):
                return None
        # Reached only when the attempt was cancelled or no data arrived in time.
        return None

    def _engine_body(self, dispatch: Dispatch) -> bytes:
        req = self.call.req
        scope: CacheScope = replace(req.scope, weights_version=dispatch.weights_version)
        body = dict(self.call.body)
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
        body["cache_salt"] = scope.salt
        body["priority"] = dispatch.priority
        body["max_tokens"] = req.max_tokens
        if self.checker.next_offset:
            body["resume_offset"] = self.checker.next_offset
            body["resume_text"] = self.checker.text
            log(
                LogEvent.STREAM_CONTINUED,
                request_id=self.call.request_id,
                endpoint=dispatch.endpoint,
                offset=self.checker.next_offset,
            )
        return msgspec.json.encode(body)

    def _record_chunk(self, tokens: int) -> None:
        now = trio.current_time()
        if self._last_chunk_at:
            self._metrics.between_tokens.observe(now - self._last_chunk_at)
        else:
            self._metrics.first_token.observe(now - self.call.arrived_at)
        self._last_chunk_at = now
        self._metrics.completion_tokens.inc(tokens)

    def _count_retry(self, dispatch: Dispatch) -> None:
        if dispatch.retry_reason is None:
            return
        reason = RetryReason.STREAM_CONTINUED if self.checker.next_offset else dispatch.retry_reason
        self._metrics.count_retry(reason)
        log(LogEvent.REQUEST_RETRIED, request_id=self.call.request_id, reason=reason.value)

    def _log_mismatch(self, dispatch: Dispatch, fault: StreamFault) -> None:
        log(
            LogEvent.ANSWER_MISMATCHED,
            request_id=self.call.request_id,
            endpoint=dispatch.endpoint,
            detail=fault.value,
        )

    def _end_attempt(self, exchange: Exchange, dispatch: Dispatch, result: AttemptResult) -> None:
        self._result = result
        exchange.end_attempt(dispatch, result, self.checker.next_offset)

    def _final_failure(self, failure: Failure) -> Failure:
        if not self.checker.next_offset:
            return failure
        log(
            LogEvent.STREAM_BROKEN,
            request_id=self.call.request_id,
            offset=self.checker.next_offset,
        )
        return Failure(ErrorKind.STREAM_BROKEN, failure.kind.value, failure.retry_delay_s)


async def _drain_body(chunks: AsyncIterator[bytes]) -> None:
    """Read the response body to its end so that the connection returns to the pool."""
    with trio.move_on_after(BODY_DRAIN_TIMEOUT_S):
        try:
            async for _ in chunks:
                pass
        except (httpx.HTTPError, httpx.StreamError):
            return
