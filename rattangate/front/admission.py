"""Checks a request's route and API key, and holds its state until it is completed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from rattangate.clock import boottime_now
from rattangate.core.events import EventSplicer
from rattangate.core.request_stage import RequestStage
from rattangate.errors import ErrorKind, Failure
from rattangate.front.stream_ids import stream_id, takes_up_stream

if TYPE_CHECKING:
    from rattangate.core.routes import Route, ServingConfig, Workspace
    from rattangate.front.caller_conn import CallerRequest
    from rattangate.front.state import FrontState
    from rattangate.platform.requests import Header, RequestHead

CONFIG_RETRY_AFTER_S = 0.5
KEYS_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """Hold an endpoint's complete response."""

    status: int
    headers: list[Header]
    body: bytes


@dataclass(slots=True)
class AdmittedRequest:
    """Hold a request that passed the checks of its route and key, and the state of its attempts.

    `strips_api_key` removes the key from the forwarded headers; `may_have_run` tells whether an
    endpoint may have run the request; `reports_error` tells whether the last response had a status
    of 500 or above; `error_response` is sent if no other endpoint succeeds. `placed_at` is the time
    of the last choice of an endpoint.
    """

    req: CallerRequest
    head: RequestHead
    route: Route
    workspace: Workspace | None
    service: str
    deadline: float
    strips_api_key: bool
    attempts: int = 0
    endpoint: str = ""
    stage: RequestStage = RequestStage.ARRIVED
    placed_at: float | None = None
    first_token_at: float = 0.0
    may_have_run: bool = False
    reports_error: bool = False
    error_response: BufferedResponse | None = None
    splicer: EventSplicer = field(default_factory=EventSplicer)

    @property
    def workspace_name(self) -> str:
        """Return the workspace's name, empty if there is none."""
        return "" if self.workspace is None else self.workspace.name


def admit(state: FrontState, req: CallerRequest, head: RequestHead) -> AdmittedRequest | Failure:
    """Find the route and the workspace of a request in the current configuration."""
    config = state.config
    if config is None or not state.is_initialized:
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "no configuration yet", CONFIG_RETRY_AFTER_S)
    route = config.find_route(head.host, req.target.decode("latin-1"))
    if route is None:
        return Failure(ErrorKind.NOT_FOUND, f"configuration {config.version}")
    workspace = _find_workspace(state, config, route, head)
    if isinstance(workspace, Failure):
        return workspace
    deadline = req.arrived_at + min(head.timeout_s, route.timeout_s)
    service = _pick_service(state, route, head)
    splicer = EventSplicer(head.last_event_id or None)
    return AdmittedRequest(
        req,
        head,
        route,
        workspace,
        service,
        deadline,
        config.has_workspaces,
        splicer=splicer,
    )


def choose_origin_service(state: FrontState, admitted: AdmittedRequest) -> bool:
    """Let a stream go on at the service that began it; tell whether that is another one.

    The news of the stream may have come after its service was chosen.
    """
    service = _origin_service(state, admitted.route, admitted.head)
    if service is None or service == admitted.service:
        return False
    admitted.service = service
    return True


def is_still_authorized(state: FrontState, admitted: AdmittedRequest) -> bool:
    """Check the key again, which may have been revoked while the request was queued."""
    if admitted.workspace is None:
        return True
    config = state.config
    assert config is not None and admitted.head.key is not None
    found = config.find_workspace(admitted.head.key)
    is_same = found is not None and found.name == admitted.workspace.name
    return is_same and state.keys.holds(boottime_now())


def _pick_service(state: FrontState, route: Route, head: RequestHead) -> str:
    """Choose a service; for a stream that is taken up the one that began it, if that is allowed."""
    if not takes_up_stream(route, head):
        return route.pick_service(head.attempt_id)
    return _origin_service(state, route, head) or route.pick_service(head.resumes)


def _origin_service(state: FrontState, route: Route, head: RequestHead) -> str | None:
    """Return the service that began a stream, None if it is unknown or the route leads elsewhere."""
    versions = state.driver.gateway.stream_versions
    origin = versions.news_of(stream_id(route, head), trio.current_time())
    if origin is None or not route.leads_to(origin.software.service):
        return None
    return origin.software.service


def _find_workspace(
    state: FrontState, config: ServingConfig, route: Route, head: RequestHead
) -> Workspace | Failure | None:
    if not config.has_workspaces:
        return None
    found = None if head.key is None else config.find_workspace(head.key)
    if route.is_public and found is None:
        return None
    if not state.keys.holds(boottime_now()):
        return Failure(
            ErrorKind.PLATFORM_UNAVAILABLE, "keys may be out of date", KEYS_RETRY_AFTER_S
        )
    if found is None:
        return Failure(ErrorKind.UNAUTHENTICATED, f"configuration {config.version}")
    return found
