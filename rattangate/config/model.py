"""The frozen dataclasses that hold the settings of a deployment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointKind(Enum):
    """Name what an endpoint serves: a model or a plain HTTP service."""

    ENGINE = "engine"
    SERVICE = "service"


class Role(Enum):
    """Name the roles of an administration key."""

    READER = "reader"
    OPERATOR = "operator"
    WORKSPACE_OWNER = "workspace_owner"


@dataclass(frozen=True, slots=True)
class DataCentreCfg:
    """Describe one data centre."""

    name: str
    region: str = "main"


@dataclass(frozen=True, slots=True)
class InstanceCfg:
    """Describe one entry instance; addresses are `IP:port`."""

    name: str
    data_centre: str
    caller_address: str
    admin_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class EndpointCfg:
    """Describe one endpoint; `checks_orders` says whether it rejects outdated fencing numbers."""

    name: str
    kind: EndpointKind
    address: str
    data_centre: str
    serves: str
    checks_orders: bool
    cache_pieces: int = 0


@dataclass(frozen=True, slots=True)
class WorkspaceCfg:
    """Describe one workspace; `key_hashes` are SHA-256 hashes in hexadecimal."""

    name: str
    key_hashes: tuple[str, ...]
    share: float = 1.0
    max_streams: int = 256


@dataclass(frozen=True, slots=True)
class AdminKeyCfg:
    """Describe one administration key by its SHA-256 hash."""

    name: str
    key_hash: str
    role: Role
    workspace: str = ""


@dataclass(frozen=True, slots=True)
class RouteCfg:
    """Route the paths below a prefix to a plain service."""

    path_prefix: str
    service: str
    repeatable: bool


@dataclass(frozen=True, slots=True)
class ModelCfg:
    """Describe one model and the desired version of its weights."""

    name: str
    weights_version: str
    min_replicas: int = 1


@dataclass(frozen=True, slots=True)
class PlatformCfg:
    """Configure the address of the platform's services as `IP:port`."""

    address: str


@dataclass(frozen=True, slots=True)
class PlacementCfg:
    """Configure placement.

    `recompute_weight` is the cost, in seconds, of one second of recomputation.
    """

    piece_tokens: int = 4000
    recompute_weight: float = 1.0
    first_token_s: float = 10.0


@dataclass(frozen=True, slots=True)
class LimitsCfg:
    """Configure the limits on requests of callers."""

    max_body_bytes: int = 8_000_000
    max_buffered_bytes: int = 134_217_728
    max_header_bytes: int = 16_384
    max_prompt_tokens: int = 400_000
    max_streams: int = 1024
    body_timeout_s: float = 20.0
    request_timeout_s: float = 120.0
    idempotency_retention_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class PeersCfg:
    """Configure the exchange of state updates between entry instances."""

    secret_hash: str = ""
    news_interval_s: float = 0.1
    heartbeat_interval_s: float = 0.5
    lost_after_s: float = 2.5


@dataclass(frozen=True, slots=True)
class ShutdownCfg:
    """Configure the durations of a graceful shutdown."""

    balancer_notice_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Hold all settings of one site; `site` is its data centre, empty without an overlay."""

    deployment: str
    platform: PlatformCfg
    instances: tuple[InstanceCfg, ...]
    endpoints: tuple[EndpointCfg, ...]
    workspaces: tuple[WorkspaceCfg, ...]
    models: tuple[ModelCfg, ...]
    routes: tuple[RouteCfg, ...] = ()
    admin_keys: tuple[AdminKeyCfg, ...] = ()
    placement: PlacementCfg = PlacementCfg()
    limits: LimitsCfg = LimitsCfg()
    peers: PeersCfg = PeersCfg()
    shutdown: ShutdownCfg = ShutdownCfg()
    data_centres: tuple[DataCentreCfg, ...] = ()
    site: str = ""
