"""Forwards requests: checks, placement, attempts at endpoints and the response to the caller."""

from __future__ import annotations

from contextlib import AsyncExitStack, aclosing, contextmanager
from typing import TYPE_CHECKING

import trio

from rattangate.core.events import EventStreamError
from rattangate.core.messages import (
    AttemptResult,
    Refuse,
)
from rattangate.core.refusals import RefusalReason
from rattangate.core.request_stage import RequestStage
from rattangate.core.routes import RouteKind
from rattangate.errors import ErrorKind, Failure
from rattangate.front.admission import (
    BufferedResponse,
    admit,
    choose_origin_service,
    is_still_authorized,
)
from rattangate.front.decision_log import (
    log_abandoned,
    log_done,
    log_failed,
    log_fault,
    log_placed,
    log_refused,
)
from rattangate.front.endpoint_conn import (
    ConnectFailed,
    ExchangeLost,
    OutboundRequest,
    open_exchange,
)
from rattangate.front.endpoint_identity import OtherIncarnation, open_identified_exchange
from rattangate.front.endpoint_reports import SERVICE_UNAVAILABLE, EndpointReports
from rattangate.front.refusals import MIN_SERVER_ERROR, refuse
from rattangate.front.responder import CallerDisconnected
from rattangate.front.translate import make_outbound_request, make_request_arrived
from rattangate.platform.requests import decode_request, returned_headers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rattangate.core.messages import Dispatch
    from rattangate.driver import Exchange as GatewayExchange
    from rattangate.front.admission import AdmittedRequest
    from rattangate.front.caller_conn import CallerRequest
    from rattangate.front.endpoint_conn import Exchange
    from rattangate.front.responder import Responder
    from rattangate.front.state import FrontState
    from rattangate.metrics import Metrics
    from rattangate.platform.requests import RequestHead

MAX_BUFFERED_BYTES = 262_144
# Time for reading the rest of an unused response, so that its connection can be reused.
DISCARD_TIMEOUT_S = 0.1
SHUTDOWN_RETRY_AFTER_S = 0.05
# A configuration that came while the body was read admits the request.
DROPPED_RETRY_AFTER_S = 0.05
# A response with one of these statuses is valid only if it states that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Forwarder:
    """Forward the requests of callers to the endpoints that the gateway chooses.

    `in_flight` counts the requests that are being handled; `sends_no_more` tells whether waiting
    requests are refused since the instance is about to end.
    """

    def __init__(
        self,
        state: FrontState,
        metrics: Metrics,
        is_closing: Callable[[], bool],
        announce_leaving: Callable[[str, int], None],
    ) -> None:
        self.in_flight = 0
        self.sends_no_more = False
        self._scopes: dict[trio.CancelScope, AdmittedRequest] = {}
        self._is_closing = is_closing
        self._reports = EndpointReports(state, announce_leaving)
        self._state = state
        self._metrics = metrics

    async def handle(self, req: CallerRequest, responder: Responder) -> None:
        """Handle one request.

        A response that cannot be completed gets no end, so that the caller sees it as truncated.
        """
        self.in_flight += 1
        try:
            await self._handle(req, responder)
        except CallerDisconnected:
            return
        except Exception as exc:  # noqa: BLE001 - a fault in one request must not end the others
            log_fault(req, exc)
        finally:
            self.in_flight -= 1

    def wants_body(self, req: CallerRequest) -> bool:
        """Tell whether a request of which only the head was read would be admitted."""
        head = decode_request(req.headers)
        return head is not None and not isinstance(self._admit(req, head), Failure)

    def refuse_waiting(self) -> None:
        """Refuse the requests that no endpoint has, and send none from now on."""
        self.sends_no_more = True
        for scope, admitted in self._scopes.items():
            if admitted.stage.is_waiting:
                scope.cancel()

    def end_all(self) -> None:
        """Answer each request now, those that endpoints have with an unknown outcome."""
        self.sends_no_more = True
        for scope in self._scopes:
            scope.cancel()

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
        with self._recording_abandonment(admitted, responder):
            await responder.ensure_connected()
            try:
                with self._serving_scope(admitted) as scope:
                    await self._serve(admitted, responder)
            except CallerDisconnected:
                raise
            except Exception as exc:  # noqa: BLE001 - the caller gets an answer all the same
                log_fault(req, exc)
                failure = Failure(ErrorKind.INTERNAL, "internal fault")
                await self._finish_refused(admitted, failure, responder)
                return
            if scope.cancelled_caught:
                await self._finish_cancelled(admitted, responder)

    @contextmanager
    def _serving_scope(self, admitted: AdmittedRequest) -> Iterator[trio.CancelScope]:
        """Cancel a request at its deadline, or when the instance stops."""
        with trio.CancelScope(deadline=admitted.deadline) as scope:
            self._scopes[scope] = admitted
            try:
                yield scope
            finally:
                del self._scopes[scope]

    @contextmanager
    def _recording_abandonment(
        self, admitted: AdmittedRequest, responder: Responder
    ) -> Iterator[None]:
        try:
            yield
        finally:
            if responder.has_caller_left:
                if responder.is_started:
                    admitted.stage = RequestStage.ANSWERING
                self._metrics.count_abandoned(admitted.stage)
                log_abandoned(admitted)

    def _admit(self, req: CallerRequest, head: RequestHead) -> AdmittedRequest | Failure:
        if self._is_closing():
            return Failure(ErrorKind.SHUTTING_DOWN, "stopping", SHUTDOWN_RETRY_AFTER_S)
        outcome = admit(self._state, req, head)
        if req.is_body_dropped and not isinstance(outcome, Failure):
            return Failure(ErrorKind.OVERLOADED, "the body was dropped", DROPPED_RETRY_AFTER_S)
        return outcome

    async def _serve(self, admitted: AdmittedRequest, responder: Responder) -> None:
        with self._state.driver.exchange(make_request_arrived(self._state, admitted)) as decisions:
            while True:
                admitted.stage = RequestStage.QUEUED
                if self.sends_no_more:
                    await self._finish_cancelled(admitted, responder)
                    return
                effect = await decisions.next_effect()
                if isinstance(effect, Refuse):
                    break
                if not is_still_authorized(self._state, admitted):
                    failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, "key no longer valid", 1.0)
                    await self._finish_refused(admitted, failure, responder)
                    return
                result = await self._attempt(admitted, decisions, effect, responder)
                tokens = admitted.splicer.forwarded
                decisions.end_attempt(effect, result, tokens, admitted.reports_error)
                if result is AttemptResult.COMPLETED:
                    log_done(admitted)
                    return
        is_elsewhere = effect.reason is RefusalReason.STREAM_ELSEWHERE
        if is_elsewhere and choose_origin_service(self._state, admitted):
            await self._serve(admitted, responder)
        else:
            await self._finish_refused(admitted, effect.failure, responder)

    async def _attempt(
        self,
        admitted: AdmittedRequest,
        decisions: GatewayExchange,
        dispatch: Dispatch,
        responder: Responder,
    ) -> AttemptResult:
        admitted.attempts += 1
        admitted.endpoint = dispatch.endpoint
        admitted.placed_at = trio.current_time()
        admitted.stage = RequestStage.CONNECTING
        log_placed(self._state, admitted, dispatch)
        pool = self._state.paths.pool_of(dispatch.endpoint, dispatch.incarnation)
        if pool is None:
            return self._log_failed(
                admitted, AttemptResult.NOT_SENT, "endpoint is no longer listed"
            )
        outbound = make_outbound_request(self._state, admitted, dispatch)
        try:
            with decisions.attempt_scope(dispatch, admitted.deadline):
                async with AsyncExitStack() as stack:
                    return await self._run_exchange(
                        admitted, decisions, dispatch, responder, stack, outbound
                    )
        except OtherIncarnation as exc:
            self._state.apply_end(dispatch.endpoint, dispatch.incarnation)
            return self._log_failed(admitted, AttemptResult.NOT_SENT, str(exc))
        except ConnectFailed as exc:
            self._state.paths.mark_lost(dispatch.endpoint, dispatch.incarnation, str(exc))
            return self._log_failed(admitted, AttemptResult.NOT_SENT, str(exc))
        except (ExchangeLost, EventStreamError) as exc:
            admitted.may_have_run = True
            self._state.paths.mark_lost(dispatch.endpoint, dispatch.incarnation, str(exc))
            return self._log_failed(admitted, AttemptResult.LOST, str(exc))
        result = AttemptResult.LOST if admitted.may_have_run else AttemptResult.NOT_SENT
        return self._log_failed(admitted, result, "withdrawn by the gateway or out of time")

    async def _run_exchange(
        self,
        admitted: AdmittedRequest,
        decisions: GatewayExchange,
        dispatch: Dispatch,
        responder: Responder,
        stack: AsyncExitStack,
        outbound: OutboundRequest,
    ) -> AttemptResult:
        pool = self._state.paths.pool_of(dispatch.endpoint, dispatch.incarnation)
        assert pool is not None
        sent_at = trio.current_time()
        if admitted.route.can_resume and dispatch.weights_version:
            # Whoever goes on with the stream relies on the version of the software that began it.
            exchange = await open_identified_exchange(pool, outbound, stack, dispatch.incarnation)
        else:
            exchange = await open_exchange(pool, outbound, stack)
        await responder.ensure_connected()
        may_have_run_before = admitted.may_have_run
        admitted.may_have_run = True
        admitted.stage = RequestStage.SENT
        await exchange.send_request()
        await exchange.read_head()
        response = exchange.response_head
        admitted.reports_error = response.status >= MIN_SERVER_ERROR
        self._reports.record_answer(dispatch, response, sent_at)
        if response.was_not_run and response.status in NOT_RUN_STATUSES:
            admitted.may_have_run = may_have_run_before
            if response.status == SERVICE_UNAVAILABLE and response.retry_after_s is not None:
                await exchange.report_rest(response.retry_after_s)
            await _discard(exchange)
            self._reports.record_refusal(dispatch, response)
            detail = f"status {response.status}"
            return self._log_failed(admitted, AttemptResult.REFUSED, detail)
        if (
            not response.is_signed
            or response.has_content_encoding
            or response.status in NOT_RUN_STATUSES
        ):
            raise ExchangeLost(
                f"response {response.status} is unsigned, encoded or not marked as not run"
            )
        if admitted.route.kind is RouteKind.STREAM and response.status < 300:
            await self._relay_stream(admitted, decisions, dispatch, exchange, responder)
        elif responder.is_started:
            raise ExchangeLost(f"status {response.status} in the middle of a resumed stream")
        elif admitted.reports_error and admitted.route.repeatable:
            return await self._hold_error_response(admitted, exchange)
        else:
            await self._relay_buffered(admitted, decisions, dispatch, exchange, responder)
        return AttemptResult.COMPLETED

    async def _hold_error_response(
        self, admitted: AdmittedRequest, exchange: Exchange
    ) -> AttemptResult:
        """Keep an endpoint's error response for the caller, in case no other endpoint succeeds."""
        body = await _read_all(exchange)
        status = exchange.response_head.status
        headers = returned_headers(exchange.headers)
        admitted.error_response = BufferedResponse(status, headers, body)
        return self._log_failed(admitted, AttemptResult.FAILED, f"status {status}")

    async def _relay_buffered(
        self,
        admitted: AdmittedRequest,
        decisions: GatewayExchange,
        dispatch: Dispatch,
        exchange: Exchange,
        responder: Responder,
    ) -> None:
        """Buffer a response until it is complete, so that a lost one can still be retried.

        One of more than `MAX_BUFFERED_BYTES` is relayed as it arrives from there on.
        """
        buffered = bytearray()
        async with aclosing(exchange.chunks()) as chunks:
            async for data in chunks:
                buffered += data
                if responder.is_started or len(buffered) > MAX_BUFFERED_BYTES:
                    await self._start_response(responder, exchange)
                    await responder.send(bytes(buffered))
                    buffered.clear()
        self._record_first_token(admitted, decisions, dispatch)
        body = bytes(buffered)
        if responder.is_started:
            if body:
                await responder.send(body)
            await responder.finish()
        else:
            headers = returned_headers(exchange.headers)
            await responder.respond(exchange.response_head.status, headers, body)

    async def _relay_stream(
        self,
        admitted: AdmittedRequest,
        decisions: GatewayExchange,
        dispatch: Dispatch,
        exchange: Exchange,
        responder: Responder,
    ) -> None:
        splicer = admitted.splicer
        splicer.begin_attempt()
        is_first = True
        async with aclosing(exchange.chunks()) as chunks:
            async for data in chunks:
                async with decisions.writing():
                    events = splicer.feed(data)
                    if events and is_first:
                        is_first = False
                        self._record_first_token(admitted, decisions, dispatch)
                    if events:
                        await self._start_response(responder, exchange)
                        await responder.send(events)
                splicer.check()
        splicer.finish()
        async with decisions.writing():
            await self._start_response(responder, exchange)
            await responder.finish()

    def _record_first_token(
        self, admitted: AdmittedRequest, decisions: GatewayExchange, dispatch: Dispatch
    ) -> None:
        now = trio.current_time()
        if not admitted.first_token_at:
            admitted.first_token_at = now
            self._metrics.first_token.observe(now - admitted.req.arrived_at)
        decisions.report_first_token(dispatch.attempt, None)

    async def _start_response(self, responder: Responder, exchange: Exchange) -> None:
        if not responder.is_started:
            headers = returned_headers(exchange.headers)
            await responder.start(exchange.response_head.status, headers)

    def _log_failed(
        self, admitted: AdmittedRequest, result: AttemptResult, detail: str
    ) -> AttemptResult:
        log_failed(admitted, result, detail)
        return result

    async def _finish_refused(
        self, admitted: AdmittedRequest, failure: Failure, responder: Responder
    ) -> None:
        may_have_run = admitted.may_have_run
        self._count_refusal(admitted.head.attempt_id, admitted, failure, may_have_run)
        if responder.is_started:
            return
        error_response = admitted.error_response
        if error_response is not None:
            await responder.respond(
                error_response.status, error_response.headers, error_response.body
            )
        else:
            await refuse(responder, admitted.head.attempt_id, failure, may_have_run)

    async def _finish_cancelled(self, admitted: AdmittedRequest, responder: Responder) -> None:
        """Answer a request that is out of time, or that the instance stops before it is done."""
        is_late = trio.current_time() >= admitted.deadline
        detail = "out of time" if is_late else "stopping"
        failure = Failure(ErrorKind.SHUTTING_DOWN, detail, SHUTDOWN_RETRY_AFTER_S)
        if admitted.may_have_run:
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, detail)
        elif is_late:
            failure = Failure(ErrorKind.DEADLINE_UNREACHABLE, detail)
        await self._finish_refused(admitted, failure, responder)

    def _count_refusal(
        self,
        attempt_id: str,
        admitted: AdmittedRequest | None,
        failure: Failure,
        may_have_run: bool,
    ) -> None:
        self._metrics.count_refusal(failure.kind)
        log_refused(self._state, attempt_id, admitted, failure, may_have_run)


async def _discard(exchange: Exchange) -> None:
    """Read the rest of a response for up to `DISCARD_TIMEOUT_S` seconds."""
    with trio.move_on_after(DISCARD_TIMEOUT_S):
        async with aclosing(exchange.chunks()) as chunks:
            async for _ in chunks:
                pass


async def _read_all(exchange: Exchange) -> bytes:
    """Return a complete response body; raise ExchangeLost above `MAX_BUFFERED_BYTES`."""
    buffered = bytearray()
    async with aclosing(exchange.chunks()) as chunks:
        async for data in chunks:
            buffered += data
            if len(buffered) > MAX_BUFFERED_BYTES:
                raise ExchangeLost(f"response body of more than {MAX_BUFFERED_BYTES} bytes")
    return bytes(buffered)
