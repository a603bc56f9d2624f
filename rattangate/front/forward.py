"""The path of one request: route, key, placement, attempts, and the answer to its caller."""

from __future__ import annotations

import json
import math
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING

import trio

from rattangate.core.events import EventFault, EventSplicer
from rattangate.core.fleet import WeightsNews
from rattangate.core.messages import AttemptResult, Refuse, RequestArrived, VersionedPieces
from rattangate.core.prefix import Scope
from rattangate.core.routes import RouteKind
from rattangate.errors import ErrorKind, Failure
from rattangate.front.caller_conn import CallerGone
from rattangate.front.endpoint_conn import (
    ConnectFailed,
    ExchangeLost,
    OutboundRequest,
    open_exchange,
)
from rattangate.front.prompts import chain_pieces, count_pieces
from rattangate.front.state import PIECE_TOKENS, boot_time
from rattangate.log_events import LogEvent, log
from rattangate.platform.requests import (
    Directions,
    decode_request,
    forwarded_headers,
    returned_headers,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.messages import Dispatch
    from rattangate.core.routes import Route, ServingConfig, Workspace
    from rattangate.driver import Exchange as Decisions
    from rattangate.front.caller_conn import CallerRequest, Responder
    from rattangate.front.endpoint_conn import Exchange
    from rattangate.front.state import FrontState
    from rattangate.metrics import Metrics
    from rattangate.platform.requests import Header, RequestHead

# Work of a plain service's request, in the tokens by which the gateway measures work.
PLAIN_WORK_TOKENS = 1_000
DIGEST_BYTES = 16
LOADING_S = 1.0
MAX_HELD_BYTES = 262_144
DEFAULT_RETRY_AFTER_S = 1.0
SHUTDOWN_RETRY_AFTER_S = 0.05
HELD_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Hold an endpoint's whole answer."""

    status: int
    headers: list[Header]
    body: bytes


@dataclass(slots=True)
class Admitted:
    """Hold a request that passed the checks of its route and key."""

    req: CallerRequest
    head: RequestHead
    route: Route
    workspace: Workspace | None
    service: str
    deadline: float
    hides_key: bool
    attempts: int = 0
    endpoint: str = ""
    first_token_at: float = 0.0
    may_have_run: bool = False
    failure_answer: WholeAnswer | None = None
    splicer: EventSplicer = field(default_factory=EventSplicer)

    @property
    def workspace_name(self) -> str:
        """Return the workspace's name, empty where there is none."""
        return "" if self.workspace is None else self.workspace.name


class Forwarder:
    """Answer the requests of callers from the endpoints that the gateway chooses."""

    def __init__(self, state: FrontState, metrics: Metrics, is_closing: Callable[[], bool]) -> None:
        self.in_flight = 0
        self._is_closing = is_closing
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
            await _refuse(responder, "", Failure(ErrorKind.BAD_REQUEST, "malformed header"), False)
            return
        admitted = self._admit(req, head)
        if isinstance(admitted, Failure):
            self._count_refusal(head.attempt_id, "", admitted, False)
            await _refuse(responder, head.attempt_id, admitted, False)
            return
        self._metrics.count_request(admitted.route.kind.value)
        with trio.CancelScope(deadline=admitted.deadline) as scope:
            await self._serve(admitted, responder)
        if scope.cancelled_caught:
            await self._end_late(admitted, responder)

    def _admit(self, req: CallerRequest, head: RequestHead) -> Admitted | Failure:
        config = self._state.config
        if config is None or not self._state.is_complete:
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "no configuration yet", 0.5)
        if self._is_closing():
            return Failure(ErrorKind.SHUTTING_DOWN, "stopping", SHUTDOWN_RETRY_AFTER_S)
        route = config.find_route(head.host, req.target.decode("latin-1"))
        if route is None:
            return Failure(ErrorKind.NOT_FOUND, f"configuration {config.version}")
        workspace = self._find_workspace(config, route, head)
        if isinstance(workspace, Failure):
            return workspace
        deadline = req.arrived_at + min(head.wait_s, route.timeout_s)
        service = route.pick_service(head.attempt_id)
        splicer = EventSplicer(head.last_event_id or None)
        return Admitted(
            req,
            head,
            route,
            workspace,
            service,
            deadline,
            config.has_workspaces,
            splicer=splicer,
        )

    def _find_workspace(
        self, config: ServingConfig, route: Route, head: RequestHead
    ) -> Workspace | Failure | None:
        if not config.has_workspaces:
            return None
        found = None if head.key is None else config.find_workspace(head.key)
        if route.is_public and found is None:
            return None
        if not self._state.keys.holds(boot_time()):
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "keys may be out of date", 1.0)
        if found is None:
            return Failure(ErrorKind.UNAUTHENTICATED, f"configuration {config.version}")
        return found

    async def _serve(self, admitted: Admitted, responder: Responder) -> None:
        with self._state.driver.exchange(self._arrival(admitted)) as decisions:
            while True:
                effect = await decisions.next_effect()
                if isinstance(effect, Refuse):
                    await self._end_refused(admitted, effect.failure, responder)
                    return
                if not self._may_still_run(admitted):
                    failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, "key no longer valid", 1.0)
                    await self._end_refused(admitted, failure, responder)
                    return
                result = await self._attempt(admitted, decisions, effect, responder)
                tokens = admitted.splicer.passed_on
                decisions.end_attempt(effect, result, tokens)
                if result is AttemptResult.COMPLETED:
                    self._log_done(admitted)
                    return

    def _may_still_run(self, admitted: Admitted) -> bool:
        """Check the key again, which may have been withdrawn while the request waited."""
        if admitted.workspace is None:
            return True
        config = self._state.config
        assert config is not None and admitted.head.key is not None
        found = config.find_workspace(admitted.head.key)
        is_same = found is not None and found.name == admitted.workspace.name
        return is_same and self._state.keys.holds(boot_time())

    async def _attempt(
        self, admitted: Admitted, decisions: Decisions, dispatch: Dispatch, responder: Responder
    ) -> AttemptResult:
        admitted.attempts += 1
        admitted.endpoint = dispatch.endpoint
        self._log_placed(admitted, dispatch)
        pool = self._state.pool_of(dispatch.endpoint, dispatch.incarnation)
        if pool is None:
            return self._note_failed(admitted, AttemptResult.NOT_SENT, "endpoint is gone")
        outbound = self._outbound(admitted, dispatch)
        try:
            with decisions.attempt_scope(dispatch, admitted.deadline):
                async with AsyncExitStack() as stack:
                    return await self._exchange(
                        admitted, decisions, dispatch, responder, stack, outbound
                    )
        except ConnectFailed as exc:
            self._state.doubt(dispatch.endpoint, dispatch.incarnation)
            return self._note_failed(admitted, AttemptResult.NOT_SENT, str(exc))
        except (ExchangeLost, EventFault) as exc:
            admitted.may_have_run = True
            self._state.doubt(dispatch.endpoint, dispatch.incarnation)
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
        answer = exchange.answer
        if answer.was_refused and answer.status in HELD_STATUSES:
            admitted.may_have_run = ran_before
            await _read_all(exchange)
            self._note_refusal(dispatch, answer.status)
            detail = f"status {answer.status}"
            return self._note_failed(admitted, AttemptResult.REFUSED, detail)
        if not answer.is_signed or answer.is_encoded or answer.status in HELD_STATUSES:
            raise ExchangeLost(f"status {answer.status} without a valid signature")
        if admitted.route.kind is RouteKind.STREAM and answer.status < 300:
            await self._relay_stream(admitted, decisions, dispatch, exchange, responder)
        elif responder.is_started:
            raise ExchangeLost(f"status {answer.status} in the middle of a stream")
        elif answer.status >= 500 and admitted.route.repeatable:
            return await self._hold_failure(admitted, exchange)
        else:
            await self._relay_whole(admitted, decisions, dispatch, exchange, responder)
        return AttemptResult.COMPLETED

    async def _hold_failure(self, admitted: Admitted, exchange: Exchange) -> AttemptResult:
        """Keep an endpoint's error, which the caller gets if no other endpoint does better."""
        body = await _read_all(exchange)
        status = exchange.answer.status
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
            await responder.answer(exchange.answer.status, headers, body)

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
            await responder.start(exchange.answer.status, headers)

    def _note_refusal(self, dispatch: Dispatch, status: int) -> None:
        """Take a model engine that refuses while new weights are named as loading them."""
        listed = self._state.view.endpoints.get(dispatch.endpoint)
        if listed is None or not listed.models:
            return
        model = listed.models[0]
        is_old = model.version < self._state.named_versions.get(model.model, 0)
        if is_old or status == 421:
            self._state.take_weights(
                WeightsNews(dispatch.endpoint, dispatch.incarnation, model.model, 0, LOADING_S)
            )

    def _note_failed(self, admitted: Admitted, result: AttemptResult, detail: str) -> AttemptResult:
        log(
            LogEvent.ATTEMPT_FAILED,
            request_id=admitted.head.attempt_id,
            attempt=admitted.attempts,
            endpoint=admitted.endpoint,
            result=result.value,
            detail=detail,
        )
        return result

    def _arrival(self, admitted: Admitted) -> RequestArrived:
        head = admitted.head
        scope = self._scope(admitted, self._newest_version(head.model))
        others = ()
        pieces: tuple[int, ...] = ()
        if head.parts:
            pieces = chain_pieces(scope.salt, head.parts, PIECE_TOKENS)
            others = self._other_versions(admitted, scope)
        level = admitted.route.priority
        if admitted.workspace is not None and admitted.workspace.priority is not None:
            level = admitted.workspace.priority
        return RequestArrived(
            self._state.driver.next_req_id(),
            scope,
            pieces,
            head.prompt_tokens if head.parts else PLAIN_WORK_TOKENS,
            head.max_tokens,
            _digest(admitted),
            level,
            admitted.deadline,
            others,
            admitted.route.repeatable,
            admitted.route.max_attempts,
            count_pieces(head.parts[-1], PIECE_TOKENS) if head.parts else 0,
            admitted.req.arrived_at + admitted.route.target_latency_s,
        )

    def _scope(self, admitted: Admitted, version: str) -> Scope:
        """Return the scope of placement; its workspace is named only where it shares nothing."""
        workspace = admitted.workspace
        name = workspace.name if workspace is not None and workspace.is_isolated else ""
        return Scope(name, admitted.service, admitted.head.model, version)

    def _newest_version(self, model: str) -> str:
        version = self._state.named_versions.get(model)
        if version is None:
            running = [item.version_of(model) for item in self._state.view.endpoints.values()]
            version = max((found for found in running if found is not None), default=None)
        return "" if version is None else str(version)

    def _other_versions(self, admitted: Admitted, scope: Scope) -> tuple[VersionedPieces, ...]:
        found = []
        for version in self._state.driver.gateway.weights_versions(admitted.service):
            if version != scope.weights_version:
                salt = self._scope(admitted, version).salt
                pieces = chain_pieces(salt, admitted.head.parts, PIECE_TOKENS)
                found.append(VersionedPieces(version, pieces))
        return tuple(found)

    def _outbound(self, admitted: Admitted, dispatch: Dispatch) -> OutboundRequest:
        req = admitted.req
        is_engine = bool(dispatch.weights_version)
        salt = self._scope(admitted, dispatch.weights_version).salt if is_engine else ""
        directions = Directions(
            dispatch.endpoint,
            max(0.0, admitted.deadline - trio.current_time()),
            admitted.workspace.name if admitted.workspace is not None else None,
            urgency=dispatch.priority if is_engine else None,
            cache_salt=salt,
            weights_version=int(dispatch.weights_version) if is_engine else None,
            cache_source=self._state.address_of(dispatch.cache_source),
            cache_target=self._state.address_of(dispatch.cache_target),
            last_event_id=admitted.splicer.last_id if admitted.splicer.passed_on else None,
        )
        body_bytes = len(req.body) if req.has_body else None
        headers = forwarded_headers(req.raw_headers, directions, admitted.hides_key, body_bytes)
        return OutboundRequest(req.method, req.target, headers, req.body, admitted.head.attempt_id)

    async def _end_refused(
        self, admitted: Admitted, failure: Failure, responder: Responder
    ) -> None:
        ran = admitted.may_have_run
        self._count_refusal(admitted.head.attempt_id, admitted.workspace_name, failure, ran)
        if responder.is_started:
            return
        held = admitted.failure_answer
        if held is not None:
            await responder.answer(held.status, held.headers, held.body)
        else:
            await _refuse(responder, admitted.head.attempt_id, failure, ran)

    async def _end_late(self, admitted: Admitted, responder: Responder) -> None:
        kind = ErrorKind.DEADLINE_UNREACHABLE
        if admitted.may_have_run:
            kind = ErrorKind.OUTCOME_UNKNOWN
        await self._end_refused(admitted, Failure(kind, "out of time"), responder)

    def _count_refusal(self, attempt_id: str, workspace: str, failure: Failure, ran: bool) -> None:
        self._metrics.count_refusal(failure.kind)
        log(
            LogEvent.REQUEST_REFUSED,
            request_id=attempt_id,
            workspace=workspace,
            kind=failure.kind.value,
            run_state="may have run" if ran else "not run",
            detail=failure.detail,
        )

    def _log_placed(self, admitted: Admitted, dispatch: Dispatch) -> None:
        config = self._state.config
        read_at = self._state.list_read_at or 0.0
        now = trio.current_time()
        log(
            LogEvent.REQUEST_PLACED,
            request_id=admitted.head.attempt_id,
            attempt=admitted.attempts,
            endpoint=dispatch.endpoint,
            incarnation=dispatch.incarnation,
            weights=dispatch.weights_version,
            source=dispatch.cache_source,
            reason=dispatch.retry_reason.value if dispatch.retry_reason else "first",
            config_version=config.version if config is not None else 0,
            list_age_ms=int((now - read_at) * 1000),
            queued_ms=int((now - admitted.req.arrived_at) * 1000),
            missing=dispatch.missing_tokens,
            expected_ms=int(dispatch.first_token_s * 1000),
        )

    def _log_done(self, admitted: Admitted) -> None:
        log(
            LogEvent.REQUEST_DONE,
            request_id=admitted.head.attempt_id,
            workspace=admitted.workspace_name,
            endpoint=admitted.endpoint,
            attempts=admitted.attempts,
            prompt=admitted.head.prompt_tokens,
            completion=admitted.splicer.passed_on,
            first_ms=int((admitted.first_token_at - admitted.req.arrived_at) * 1000),
            total_ms=int((trio.current_time() - admitted.req.arrived_at) * 1000),
        )


async def _read_all(exchange: Exchange) -> bytes:
    async with aclosing(exchange.chunks()) as chunks:
        return b"".join([data async for data in chunks])


async def _refuse(responder: Responder, attempt_id: str, failure: Failure, ran: bool) -> None:
    """Answer with a failure; only a request that cannot have run gets a status that says so."""
    status = failure.answer.status
    headers = [(b"Content-Type", b"application/json")]
    if attempt_id:
        headers.append((b"X-Attempt-Id", attempt_id.encode()))
    if ran:
        status = 504 if failure.kind is ErrorKind.OUTCOME_UNKNOWN else 502
    elif status >= 500 or status == 422:
        status = 503
        wait_s = failure.advised_wait_s or DEFAULT_RETRY_AFTER_S
        headers.append((b"Retry-After", f"{math.ceil(wait_s * 100) / 100:g}".encode()))
    body = json.dumps({"error": failure.kind.value, "detail": failure.detail}).encode()
    await responder.answer(status, headers, body)


def _digest(admitted: Admitted) -> bytes:
    """Return what equal requests of one caller have in common."""
    req = admitted.req
    whole = blake2b(digest_size=DIGEST_BYTES)
    for item in (req.method, req.target, (admitted.head.key or "").encode(), req.body):
        whole.update(len(item).to_bytes(8, "big"))
        whole.update(item)
    return whole.digest()
