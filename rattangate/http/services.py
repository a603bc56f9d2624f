"""Forward calls to plain services, the HTTP services that are not model engines."""

from __future__ import annotations

import uuid
from hashlib import blake2b
from typing import TYPE_CHECKING

import httpx
import msgspec
import trio
from quart import Response, request

from rattangate.core.at_most_once_messages import RecordKey, RefuseCaller
from rattangate.core.messages import EndpointState
from rattangate.errors import ErrorKind, Failure
from rattangate.http.bookings import BookingCall
from rattangate.http.responses import error_response, log_unknown_key
from rattangate.log_events import LogEvent, log

if TYPE_CHECKING:
    from rattangate.active_settings import ActiveSettings
    from rattangate.config.model import EndpointCfg, RouteCfg
    from rattangate.endpoints.client import EndpointClient
    from rattangate.endpoints.monitor import Monitor
    from rattangate.http.bookings import BookingRunner
    from rattangate.metrics import Metrics

CALL_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 3
# Methods that RFC 9110 defines as safe: a call with one of them may be sent again.
SAFE_METHODS = frozenset({"GET", "HEAD"})
FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key")


class ServiceProxy:
    """Forward calls to the endpoints of plain services.

    A call that may be repeated is retried at other endpoints. Any other call must carry an
    `Idempotency-Key` and is a booking: it is sent to an endpoint at most once.
    """

    def __init__(
        self,
        active_settings: ActiveSettings,
        clients: dict[str, EndpointClient],
        bookings: BookingRunner,
        monitor: Monitor,
        metrics: Metrics,
    ) -> None:
        self._active_settings = active_settings
        self._clients = clients
        self._bookings = bookings
        self._monitor = monitor
        self._metrics = metrics
        self._outstanding_requests: dict[str, int] = {}

    async def forward(self, path: str) -> Response:
        """Forward the current request to a plain service and return the response."""
        request_id = f"req-{uuid.uuid4().hex}"
        workspace = self._active_settings.keyring.workspace(
            request.headers.get("Authorization", "")
        )
        if workspace is None:
            log_unknown_key()
            return self._refuse(Failure(ErrorKind.UNAUTHENTICATED), request_id, "")
        route = self._find_route(path)
        if route is None:
            return self._refuse(Failure(ErrorKind.NOT_FOUND), request_id, workspace.name)
        self._metrics.count_request("service")
        outcome = await self._forward_to_route(route, path, request_id, workspace.name)
        if isinstance(outcome, Failure):
            return self._refuse(outcome, request_id, workspace.name)
        return outcome

    async def _forward_to_route(
        self, route: RouteCfg, path: str, request_id: str, workspace: str
    ) -> Response | Failure:
        body = await request.get_data()
        may_repeat = route.repeatable or request.method in SAFE_METHODS
        headers = {
            name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers
        }
        headers["X-Request-Id"] = request_id
        headers["X-Workspace"] = workspace
        if not may_repeat:
            return await self._send_at_most_once(route, path, headers, body)
        tried_endpoints: set[str] = set()
        failure = Failure(ErrorKind.NO_ENDPOINT)
        for _ in range(MAX_ATTEMPTS):
            endpoint = self._choose_endpoint(route.service, tried_endpoints)
            if endpoint is None:
                return failure
            tried_endpoints.add(endpoint.name)
            outcome = await self._send(endpoint, path, headers, body)
            if isinstance(outcome, Response):
                return outcome
            failure = outcome
        return failure

    async def _send_at_most_once(
        self, route: RouteCfg, path: str, headers: dict[str, str], body: bytes
    ) -> Response | Failure:
        idempotency_key = headers.get("Idempotency-Key", "")
        if not idempotency_key:
            return Failure(ErrorKind.IDEMPOTENCY_KEY_MISSING)
        limits = self._active_settings.settings.limits
        query = request.query_string.decode()
        path_with_query = f"{path}?{query}" if query else path
        content_type = headers.get("Content-Type", "")
        request_identity = msgspec.msgpack.encode(
            (request.method, path_with_query, content_type, body)
        )
        call = BookingCall(
            RecordKey(headers["X-Workspace"], route.path_prefix, idempotency_key),
            blake2b(request_identity, digest_size=16).digest(),
            request.method,
            path_with_query,
            headers,
            body,
            trio.current_time() + limits.request_timeout_s,
            limits.idempotency_retention_s,
        )
        outcome = await self._bookings.call(
            call, lambda tried_endpoints: self._choose_endpoint(route.service, tried_endpoints)
        )
        log_fields = {"request_id": headers["X-Request-Id"], "workspace": headers["X-Workspace"]}
        if isinstance(outcome, RefuseCaller):
            if outcome.failure.kind is ErrorKind.OUTCOME_UNKNOWN:
                log(LogEvent.BOOKING_UNKNOWN, **log_fields)
            return outcome.failure
        response = Response(outcome.answer.body or b"", outcome.answer.status)
        response.headers.update(dict(outcome.answer.headers))
        response.headers["X-Request-Id"] = headers["X-Request-Id"]
        if outcome.replayed:
            log(LogEvent.BOOKING_REPLAYED, **log_fields)
            response.headers["Idempotent-Replayed"] = "true"
        return response

    async def _send(
        self, endpoint: EndpointCfg, path: str, headers: dict[str, str], body: bytes
    ) -> Response | Failure:
        client = self._clients[endpoint.name]
        self._outstanding_requests[endpoint.name] = (
            self._outstanding_requests.get(endpoint.name, 0) + 1
        )
        try:
            resp = await client.http.request(
                request.method,
                path,
                params=request.query_string.decode(),
                content=body,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Failure(ErrorKind.NO_ENDPOINT, "endpoint does not accept connections")
        except httpx.HTTPError as exc:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, type(exc).__name__)
        finally:
            self._outstanding_requests[endpoint.name] -= 1
        if resp.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            return Failure(ErrorKind.NO_ENDPOINT, "endpoint refused before running")
        response = Response(resp.content, resp.status_code)
        response.headers["Content-Type"] = resp.headers.get("Content-Type", "text/plain")
        response.headers["X-Request-Id"] = headers["X-Request-Id"]
        return response

    def _find_route(self, path: str) -> RouteCfg | None:
        for route in self._active_settings.settings.routes:
            if path == route.path_prefix or path.startswith(route.path_prefix + "/"):
                return route
        return None

    def _choose_endpoint(self, service: str, tried_endpoints: set[str]) -> EndpointCfg | None:
        live = [
            endpoint
            for endpoint in self._active_settings.settings.endpoints
            if endpoint.serves == service and endpoint.name not in tried_endpoints
            if self._monitor.state_of(endpoint.name) is EndpointState.LIVE
        ]
        return min(
            live, key=lambda item: self._outstanding_requests.get(item.name, 0), default=None
        )

    def _refuse(self, failure: Failure, request_id: str, workspace: str) -> Response:
        self._metrics.count_refusal(failure.kind)
        log(
            LogEvent.REQUEST_REFUSED,
            request_id=request_id,
            workspace=workspace,
            kind=failure.kind.value,
            run_state=failure.response.run_state.value,
            detail=failure.detail,
        )
        return error_response(failure, request_id)
