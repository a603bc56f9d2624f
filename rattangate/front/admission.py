"""The checks of a request's route and key, and what is kept of it while it is answered."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rattangate.core.events import EventSplicer
from rattangate.errors import ErrorKind, Failure
from rattangate.front.state import boottime_now

if TYPE_CHECKING:
    from rattangate.core.routes import Route, ServingConfig, Workspace
    from rattangate.front.caller_conn import CallerRequest
    from rattangate.front.state import FrontState
    from rattangate.platform.requests import Header, RequestHead

CONFIG_RETRY_AFTER_S = 0.5
KEYS_RETRY_AFTER_S = 1.0


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
    reports_error: bool = False
    failure_answer: WholeAnswer | None = None
    splicer: EventSplicer = field(default_factory=EventSplicer)

    @property
    def workspace_name(self) -> str:
        """Return the workspace's name, empty where there is none."""
        return "" if self.workspace is None else self.workspace.name


def admit(state: FrontState, req: CallerRequest, head: RequestHead) -> Admitted | Failure:
    """Find the route and the workspace of a request in the configuration in force."""
    config = state.config
    if config is None or not state.is_initialized:
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "no configuration yet", CONFIG_RETRY_AFTER_S)
    route = config.find_route(head.host, req.target.decode("latin-1"))
    if route is None:
        return Failure(ErrorKind.NOT_FOUND, f"configuration {config.version}")
    workspace = _find_workspace(state, config, route, head)
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


def may_still_run(state: FrontState, admitted: Admitted) -> bool:
    """Check the key again, which may have been withdrawn while the request waited."""
    if admitted.workspace is None:
        return True
    config = state.config
    assert config is not None and admitted.head.key is not None
    found = config.find_workspace(admitted.head.key)
    is_same = found is not None and found.name == admitted.workspace.name
    return is_same and state.keys.holds(boottime_now())


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
