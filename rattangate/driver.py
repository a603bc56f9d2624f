"""Connects the gateway core, which does no I/O, to the tasks that carry out its effects."""

from __future__ import annotations

import itertools
import math
from contextlib import asynccontextmanager, contextmanager
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import trio

from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CrashRecorded,
    Dispatch,
    EndpointLimitChanged,
    FirstTokenSeen,
    Refuse,
    RequestAbandoned,
    SendPeerUpdate,
    ServiceBrittlenessChanged,
    SuspicionRecorded,
    VerdictChanged,
)
from rattangate.log_events import LogEvent, log
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from rattangate.core.gateway import Gateway
    from rattangate.core.messages import Effect, Message, RequestArrived
    from rattangate.metrics import Metrics


class Driver:
    """Pass messages to the gateway, and its effects to the tasks of requests and to the peers."""

    def __init__(
        self, gateway: Gateway, metrics: Metrics, send_update: Callable[[SendPeerUpdate], None]
    ) -> None:
        self.gateway = gateway
        self._metrics = metrics
        self._send_update = send_update
        self._exchanges: dict[int, Exchange] = {}
        self._req_ids = itertools.count(1)

    def next_req_id(self) -> int:
        """Return the next request number of this instance."""
        return next(self._req_ids)

    def feed(self, msg: Message) -> None:
        """Pass one message to the gateway and carry out the resulting effects."""
        for effect in self.gateway.handle(msg, trio.current_time()):
            self._carry_out(effect)

    @contextmanager
    def exchange(self, req: RequestArrived) -> Iterator[Exchange]:
        """Pass one request to the gateway and return its exchange.

        The request is abandoned if the context ends before the exchange is closed.
        """
        exchange = Exchange(self, req.req_id)
        self._exchanges[req.req_id] = exchange
        try:
            started = trio.current_time()
            self.feed(req)
            self._metrics.placement_time.observe(trio.current_time() - started)
            yield exchange
        finally:
            del self._exchanges[req.req_id]
            if not exchange.closed:
                self.feed(RequestAbandoned(req.req_id))

    def cancel_attempts_at(self, endpoint: str, incarnation: int) -> None:
        """Cancel the attempts in progress at one incarnation of an endpoint."""
        for exchange in self._exchanges.values():
            dispatch = exchange.current_dispatch
            if dispatch is None or dispatch.endpoint != endpoint:
                continue
            if dispatch.incarnation == incarnation:
                exchange.cancel_attempt()

    @singledispatchmethod
    def _carry_out(self, effect: Effect) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_carry_out.register
    def _dispatch(self, effect: Dispatch) -> None:
        self._deliver(effect.req_id, effect)

    @_carry_out.register
    def _refuse(self, effect: Refuse) -> None:
        self._metrics.count_refusal_reason(effect.reason)
        self._deliver(effect.req_id, effect)

    @_carry_out.register
    def _withdraw(self, effect: CancelAttempt) -> None:
        exchange = self._exchanges.get(effect.req_id)
        if exchange is not None:
            exchange.cancel_attempt()

    @_carry_out.register
    def _peer_update(self, effect: SendPeerUpdate) -> None:
        self._send_update(effect)

    @_carry_out.register
    def _log_suspicion(self, effect: SuspicionRecorded) -> None:
        log(
            LogEvent.REQUEST_SUSPECTED,
            digest=effect.digest.hex(),
            parts=",".join(effect.parts),
            endpoint=effect.endpoint,
            incarnation=effect.incarnation,
            ran_ms=round(effect.ran_s * MS_PER_S),
        )

    @_carry_out.register
    def _log_crash(self, effect: CrashRecorded) -> None:
        self._metrics.crashes.inc()
        log(
            LogEvent.ENDPOINT_CRASHED,
            endpoint=effect.endpoint,
            incarnation=effect.incarnation,
            suspects=effect.suspects,
        )

    @_carry_out.register
    def _log_verdict(self, effect: VerdictChanged) -> None:
        self._metrics.count_verdict(effect.verdict)
        log(
            LogEvent.VERDICT_CHANGED,
            subject=effect.subject,
            verdict=effect.verdict.value,
            crashes=effect.crashes,
        )

    @_carry_out.register
    def _log_limit(self, effect: EndpointLimitChanged) -> None:
        self._metrics.endpoint_limit_changes.inc()
        log(
            LogEvent.ENDPOINT_LIMIT_CHANGED,
            endpoint=effect.endpoint,
            incarnation=effect.incarnation,
            per_s=effect.per_s,
            source=effect.source,
        )

    @_carry_out.register
    def _log_brittleness(self, effect: ServiceBrittlenessChanged) -> None:
        log(
            LogEvent.SERVICE_BRITTLENESS_CHANGED,
            service=effect.service,
            max_rejections_per_s=effect.max_rejections_per_s,
            source=effect.source,
        )

    def _deliver(self, req_id: int, effect: Dispatch | Refuse) -> None:
        exchange = self._exchanges.get(req_id)
        if exchange is not None:
            exchange.put(effect)


class Exchange:
    """Pass the gateway's decisions to the task of one request, and its reports to the gateway."""

    def __init__(self, driver: Driver, req_id: int) -> None:
        self.closed = False
        self.current_dispatch: Dispatch | None = None
        self._driver = driver
        self._req_id = req_id
        self._scope: trio.CancelScope | None = None
        self._is_writing = False
        self._is_cancelled_in_write = False
        self._sender, self._receiver = trio.open_memory_channel[Dispatch | Refuse](math.inf)

    def put(self, effect: Dispatch | Refuse) -> None:
        """Queue a decision of the gateway for the task of the request."""
        if isinstance(effect, Dispatch):
            self.current_dispatch = effect
        self._sender.send_nowait(effect)

    async def next_effect(self) -> Dispatch | Refuse:
        """Wait for the next decision of the gateway."""
        effect = await self._receiver.receive()
        if isinstance(effect, Refuse):
            self.closed = True
        return effect

    @contextmanager
    def attempt_scope(self, dispatch: Dispatch, deadline: float) -> Iterator[trio.CancelScope]:
        """Cancel a wait for the endpoint at a deadline or when the attempt is cancelled."""
        with trio.CancelScope(deadline=deadline) as scope:
            if self.current_dispatch is not dispatch:
                scope.cancel()
            self._scope = scope
            try:
                yield scope
            finally:
                self._scope = None

    @asynccontextmanager
    async def writing(self) -> AsyncIterator[None]:
        """Write to the caller: the attempt is cancelled before or after it, never within.

        What was written in part could not be completed by the next attempt.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self._is_writing = True
        try:
            yield
        finally:
            self._is_writing = False
            if self._is_cancelled_in_write:
                self._is_cancelled_in_write = False
                self._cancel_scope()

    def cancel_attempt(self) -> None:
        """Cancel the current attempt because its endpoint was lost or the gateway withdrew it."""
        self.current_dispatch = None
        if self._is_writing:
            self._is_cancelled_in_write = True
        else:
            self._cancel_scope()

    def report_first_token(self, attempt: int, cached_tokens: int) -> None:
        """Report the first token to the gateway."""
        self._driver.feed(FirstTokenSeen(self._req_id, attempt, cached_tokens))

    def end_attempt(
        self, dispatch: Dispatch, result: AttemptResult, tokens: int, reports_error: bool = False
    ) -> None:
        """Report the end of the attempt to the gateway.

        The gateway does not take the end of a withdrawn one: a request that it completed is abandoned.
        """
        is_current = self.current_dispatch is dispatch
        if is_current:
            self.current_dispatch = None
        if result is AttemptResult.COMPLETED:
            self.closed = is_current
        ended = AttemptEnded(self._req_id, dispatch.attempt, result, tokens, reports_error)
        self._driver.feed(ended)

    def _cancel_scope(self) -> None:
        if self._scope is not None:
            self._scope.cancel()
