"""The configuration of request handling: routes, workspaces, services and connection limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HASH_RANGE = 2**64


class RouteKind(Enum):
    """Name the kinds of routes, which decide whether a request may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Hold the weight of a service in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe one route.

    A lower `priority` is more urgent; `can_resume` says that a broken stream can be continued from
    another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
    is_public: bool
    has_prompt: bool
    can_resume: bool
    shares: tuple[ServiceShare, ...]

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have been executed may be retried."""
        if self.kind is RouteKind.STREAM:
            return self.can_resume
        return self.kind is RouteKind.IDEMPOTENT

    def leads_to(self, service: str) -> bool:
        """Tell whether requests on the route may go to a service."""
        return any(share.service == service and share.weight > 0 for share in self.shares)

    def pick_service(self, attempt_id: str) -> str:
        """Choose a service by weighted hashing: the same attempt always gets the same service."""
        if len(self.shares) == 1:
            return self.shares[0].service
        digest = blake2b(attempt_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / HASH_RANGE
        point *= sum(share.weight for share in self.shares)
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True)
class Workspace:
    """Hold one workspace.

    `is_isolated` says that no other workspace may share its cache entries; `priority` overrides
    that of the route unless it is None.
    """

    name: str
    priority: int | None
    is_isolated: bool
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service.

    `models` is set for model engines only; `cache_store_address` and `data_centre` only for the
    service that is the cache store; `cache_tokens` for both.
    """

    name: str
    max_connections: int
    slots: int
    cache_tokens: int
    models: tuple[str, ...]
    cache_store_address: str = ""
    data_centre: str = ""

    @property
    def is_engine(self) -> bool:
        """Tell whether the endpoints of the service are model engines."""
        return bool(self.models)


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limit the request size of a caller, in bytes, and the time its connection may take or idle.

    Times are in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class ServingConfig:
    """Hold one version of the configuration, indexed by host and by API key."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: tuple[Workspace, ...]
    limits: ConnectionLimits
    _by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False)
    _by_key: dict[str, Workspace] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_by_host", _index_routes(self.routes))
        by_key = {key: item for item in self.workspaces for key in item.keys}
        object.__setattr__(self, "_by_key", by_key)

    @property
    def has_workspaces(self) -> bool:
        """Tell whether callers must authenticate with the API key of a workspace."""
        return bool(self.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return a host's route with the longest matching path prefix, None if none matches."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace to which an API key belongs, None if the key is unknown."""
        return self._by_key.get(key)


def _index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
        for host, found in by_host.items()
    }
