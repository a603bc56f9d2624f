"""The path of one request: route, key, placement, attempts, and the answer to its caller."""

from __future__ import annotations

from contextlib import AsyncExitStack, aclosing
from typing import TYPE_CHECKING

import trio

from rattangate.core.events import EventFault
from rattangate.core.fleet import WeightsNews
from rattangate.core.messages import AttemptResult, Refuse
from rattangate.core.routes import RouteKind
from rattangate.errors import ErrorKind, Failure
from rattangate.front.admission import WholeAnswer, admit, may_still_run
from rattangate.front.caller_conn import CallerGone
from rattangate.front.decision_log import log_done, log_failed, log_placed, log_refused
from rattangate.front.endpoint_conn import (
    ConnectFailed,
    ExchangeLost,
    OutboundRequest,
    open_exchange,
)
from rattangate.front.refusals import FIRST_SERVER_ERROR, refuse
from rattangate.front.translate import make_arrival, make_outbound
from rattangate.log_events import LogEvent, log
from rattangate.platform.requests import decode_request, returned_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.messages import Dispatch
    from rattangate.driver import Exchange as Decisions
    from rattangate.front.admission import Admitted
    from rattangate.front.caller_conn import CallerRequest, Responder
    from rattangate.front.endpoint_conn import Exchange
    from rattangate.front.state import FrontState
    from rattangate.metrics import Metrics
    from rattangate.platform.requests import AnswerHead, RequestHead

LOADING_S = 1.0
MAX_HELD_BYTES = 262_144
# The rest of an answer that is of no use is read for so long, so that the connection can be kept.
DISCARD_S = 0.1
SHUTDOWN_RETRY_AFTER_S = 0.05
# An endpoint's answer with one of these must carry its promise that the request has not run.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421
UNAVAILABLE = 503


class Forwarder:
    """Answer the requests of callers from the endpoints that the gateway chooses."""

    def __init__(
        self,
        state: FrontState,
        metrics: Metrics,
        is_closing: Callable[[], bool],
        tell_leaving: Callable[[str, int], None],
    ) -> None:
        self.in_flight = 0
        self._is_closing = is_closing
        self._tell_leaving = tell_leaving
        self._state = state
        self._metrics = metrics

    async def handle(self, req: CallerRequest, responder: Responder) -> None:
        """Answer one request; an answer that cannot be completed stays without its end."""
        self.in_flight += 1
        try:
            await self._handle(req, responder)
        except CallerGone:
            return
        except Exception as exc:  # noqa: BLE001 - one request's fault must not end the others
            log(LogEvent.INTERNAL_FAULT, where="forward", error=repr(exc))
        finally:
            self.in_flight -= 1

    async def _handle(self, req: CallerRequest, responder: Responder) -> None:
        head = decode_request(req.headers)
        if head is None:
            failure = Failure(ErrorKind.BAD_REQUEST, "malformed header")
            self._count_refusal("", None, failure, False)
            await refuse(responder, "", failure, False)
            return
        admitted = self._admit(req, head)
        if isinstance(admitted, Failure):
            self._count_refusal(head.attempt_id, None, admitted, False)
            await refuse(responder, head.attempt_id, admitted, False)
            return
        self._metrics.count_request(admitted.route.kind.value)
        with trio.CancelScope(deadline=admitted.deadline) as scope:
            await self._serve(admitted, responder)
        if scope.cancelled_caught:
            await self._end_late(admitted, responder)

    def _admit(self, req: CallerRequest, head: RequestHead) -> Admitted | Failure:
        if self._is_closing():
            return Failure(ErrorKind.SHUTTING_DOWN, "stopping", SHUTDOWN_RETRY_AFTER_S)
        return admit(self._state, req, head)

    async def _serve(self, admitted: Admitted, responder: Responder) -> None:
        with self._state.driver.exchange(make_arrival(self._state, admitted)) as decisions:
            while True:
                effect = await decisions.next_effect()
                if isinstance(effect, Refuse):
                    await self._end_refused(admitted, effect.failure, responder)
                    return
                if not may_still_run(self._state, admitted):
                    failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, "key no longer valid", 1.0)
                    await self._end_refused(admitted, failure, responder)
                    return
                result = await self._attempt(admitted, decisions, effect, responder)
                tokens = admitted.splicer.passed_on
                decisions.end_attempt(effect, result, tokens, admitted.reports_error)
                if result is AttemptResult.COMPLETED:
                    log_done(admitted)
                    return

    async def _attempt(
        self, admitted: Admitted, decisions: Decisions, dispatch: Dispatch, responder: Responder
    ) -> AttemptResult:
        admitted.attempts += 1
        admitted.endpoint = dispatch.endpoint
        log_placed(self._state, admitted, dispatch)
        pool = self._state.pool_of(dispatch.endpoint, dispatch.incarnation)
        if pool is None:
            return self._note_failed(admitted, AttemptResult.NOT_SENT, "endpoint is gone")
        outbound = make_outbound(self._state, admitted, dispatch)
        try:
            with decisions.attempt_scope(dispatch, admitted.deadline):
                async with AsyncExitStack() as stack:
                    return await self._exchange(
                        admitted, decisions, dispatch, responder, stack, outbound
                    )
        except ConnectFailed as exc:
            self._state.mark_unreachable(dispatch.endpoint, dispatch.incarnation)
            return self._note_failed(admitted, AttemptResult.NOT_SENT, str(exc))
        except (ExchangeLost, EventFault) as exc:
            admitted.may_have_run = True
            self._state.mark_unreachable(dispatch.endpoint, dispatch.incarnation)
            return self._note_failed(admitted, AttemptResult.LOST, str(exc))
        result = AttemptResult.LOST if admitted.may_have_run else AttemptResult.NOT_SENT
        return self._note_failed(admitted, result, "withdrawn or out of time")

    async def _exchange(
        self,
        admitted: Admitted,
        decisions: Decisions,
        dispatch: Dispatch,
        responder: Responder,
        stack: AsyncExitStack,
        outbound: OutboundRequest,
    ) -> AttemptResult:
        pool = self._state.pool_of(dispatch.endpoint, dispatch.incarnation)
        assert pool is not None
        ran_before = admitted.may_have_run
        admitted.may_have_run = True
        try:
            exchange = await open_exchange(pool, outbound, stack)
        except ConnectFailed:
            admitted.may_have_run = ran_before
            raise
        answer = exchange.response_head
        admitted.reports_error = answer.status >= FIRST_SERVER_ERROR
        self._note_leaving(dispatch, answer)
        if answer.was_refused and answer.status in PROMISE_STATUSES:
            admitted.may_have_run = ran_before
            await _discard(exchange)
            self._note_refusal(dispatch, answer)
            detail = f"status {answer.status}"
            return self._note_failed(admitted, AttemptResult.REFUSED, detail)
        if not answer.is_signed or answer.is_encoded or answer.status in PROMISE_STATUSES:
            raise ExchangeLost(f"status {answer.status} without a valid signature")
        if admitted.route.kind is RouteKind.STREAM and answer.status < 300:
            await self._relay_stream(admitted, decisions, dispatch, exchange, responder)
        elif responder.is_started:
            raise ExchangeLost(f"status {answer.status} in the middle of a stream")
        elif admitted.reports_error and admitted.route.repeatable:
            return await self._hold_failure(admitted, exchange)
        else:
            await self._relay_whole(admitted, decisions, dispatch, exchange, responder)
        return AttemptResult.COMPLETED

    async def _hold_failure(self, admitted: Admitted, exchange: Exchange) -> AttemptResult:
        """Keep an endpoint's error, which the caller gets if no other endpoint does better."""
        body = await _read_all(exchange)
        status = exchange.response_head.status
        headers = returned_headers(exchange.headers)
        admitted.failure_answer = WholeAnswer(status, headers, body)
        return self._note_failed(admitted, AttemptResult.FAILED, f"status {status}")

    async def _relay_whole(
        self,
        admitted: Admitted,
        decisions: Decisions,
        dispatch: Dispatch,
        exchange: Exchange,
        responder: Responder,
    ) -> None:
        """Hold an answer until it is whole, so that a lost one can be asked for again."""
        held: list[bytes] = []
        size = 0
        async with aclosing(exchange.chunks()) as chunks:
            async for data in chunks:
                held.append(data)
                size += len(data)
                if size > MAX_HELD_BYTES:
                    await self._start(responder, exchange)
                    await responder.send(b"".join(held))
                    held.clear()
        self._note_first(admitted, decisions, dispatch)
        body = b"".join(held)
        if responder.is_started:
            if body:
                await responder.send(body)
            await responder.finish()
        else:
            headers = returned_headers(exchange.headers)
            await responder.answer(exchange.response_head.status, headers, body)

    async def _relay_stream(
        self,
        admitted: Admitted,
        decisions: Decisions,
        dispatch: Dispatch,
        exchange: Exchange,
        responder: Responder,
    ) -> None:
        splicer = admitted.splicer
        splicer.begin_attempt()
        is_first = True
        async with aclosing(exchange.chunks()) as chunks:
            async for data in chunks:
                events = splicer.feed(data)
                if not events:
                    continue
                if is_first:
                    is_first = False
                    self._note_first(admitted, decisions, dispatch)
                await self._start(responder, exchange)
                await responder.send(events)
        await self._start(responder, exchange)
        rest = splicer.finish()
        if rest:
            await responder.send(rest)
        await responder.finish()

    def _note_first(self, admitted: Admitted, decisions: Decisions, dispatch: Dispatch) -> None:
        now = trio.current_time()
        if not admitted.first_token_at:
            admitted.first_token_at = now
            self._metrics.first_token.observe(now - admitted.req.arrived_at)
        decisions.first_token(dispatch.attempt, None)

    async def _start(self, responder: Responder, exchange: Exchange) -> None:
        if not responder.is_started:
            headers = returned_headers(exchange.headers)
            await responder.start(exchange.response_head.status, headers)

    def _note_leaving(self, dispatch: Dispatch, answer: AnswerHead) -> None:
        listed = self._state.view.endpoints.get(dispatch.endpoint)
        if not answer.is_leaving or listed is None or listed.is_leaving:
            return
        self._state.apply_leaving(dispatch.endpoint, dispatch.incarnation, "answer")
        self._tell_leaving(dispatch.endpoint, dispatch.incarnation)

    def _note_refusal(self, dispatch: Dispatch, answer: AnswerHead) -> None:
        """Leave an endpoint alone that asks for it, or that refuses while new weights are named."""
        if answer.status == UNAVAILABLE and answer.retry_after_s is not None:
            self._state.back_off(dispatch.endpoint, dispatch.incarnation, answer.retry_after_s)
        listed = self._state.view.endpoints.get(dispatch.endpoint)
        if listed is None or not listed.models:
            return
        model = listed.models[0]
        is_old = model.version < (self._state.named_versions.newest(model.model) or 0)
        if is_old or answer.status == MISDIRECTED:
            self._state.apply_weights(
                WeightsNews(dispatch.endpoint, dispatch.incarnation, model.model, 0, LOADING_S)
            )

    def _note_failed(self, admitted: Admitted, result: AttemptResult, detail: str) -> AttemptResult:
        log_failed(admitted, result, detail)
        return result

    async def _end_refused(
        self, admitted: Admitted, failure: Failure, responder: Responder
    ) -> None:
        ran = admitted.may_have_run
        self._count_refusal(admitted.head.attempt_id, admitted, failure, ran)
        if responder.is_started:
            return
        held = admitted.failure_answer
        if held is not None:
            await responder.answer(held.status, held.headers, held.body)
        else:
            await refuse(responder, admitted.head.attempt_id, failure, ran)

    async def _end_late(self, admitted: Admitted, responder: Responder) -> None:
        kind = ErrorKind.DEADLINE_UNREACHABLE
        if admitted.may_have_run:
            kind = ErrorKind.OUTCOME_UNKNOWN
        await self._end_refused(admitted, Failure(kind, "out of time"), responder)

    def _count_refusal(
        self, attempt_id: str, admitted: Admitted | None, failure: Failure, ran: bool
    ) -> None:
        self._metrics.count_refusal(failure.kind)
        log_refused(self._state, attempt_id, admitted, failure, ran)


async def _discard(exchange: Exchange) -> None:
    """Read an answer to its end, unless that does not come soon."""
    with trio.move_on_after(DISCARD_S):
        async with aclosing(exchange.chunks()) as chunks:
            async for _ in chunks:
                pass


async def _read_all(exchange: Exchange) -> bytes:
    """Return a whole short answer; raise ExchangeLost for one without end."""
    held = bytearray()
    async with aclosing(exchange.chunks()) as chunks:
        async for data in chunks:
            held += data
            if len(held) > MAX_HELD_BYTES:
                raise ExchangeLost(f"more than {MAX_HELD_BYTES} bytes")
    return bytes(held)
