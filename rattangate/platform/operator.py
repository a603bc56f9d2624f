"""Decode the store entries written by the operator and by the replicas."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from rattangate.core.fleet import ListedEndpoint, ModelVersion
from rattangate.core.routes import (
    ConnectionLimits,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    ServingConfig,
    Workspace,
)
from rattangate.json_decoding import decode_json
from rattangate.units import MS_PER_S
from rattangate.value_checks import Int32, UInt63, is_address

OPERATOR_TABLE = "op"
ENDPOINT_TABLE = "servers"
CONFIG_KEY = "config"
VERSION_PREFIX = "version/"
MAX_SLOTS = 1_000_000
MAX_REASON_CHARS = 200

_PositiveMs = Annotated[float, msgspec.Meta(gt=0.0)]


class _TrafficShare(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 30_000
    target_latency_ms: float = 1_000
    max_attempts: int = 1
    priority: Int32 = 0
    public: bool = False
    sticky: bool = False
    can_resume: bool = False
    service: str = ""
    traffic_split: list[_TrafficShare] = []


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity: int = 0
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 64
    engine: _Engine | None = None
    store_addr: str = ""
    zone: str = ""
    kv_capacity: int = 0


class _Workspace(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: Int32 | None = None
    isolated: bool = False


class _Limits(msgspec.Struct):
    header_bytes: UInt63 = 16_384
    max_body_bytes: UInt63 = 4_194_304
    header_timeout_ms: _PositiveMs = 3_000
    idle_timeout_ms: _PositiveMs = 15_000


class _Config(msgspec.Struct):
    version: UInt63
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Workspace] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _RunningModel(msgspec.Struct):
    name: str
    version: UInt63


class _EndpointEntry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    born: UInt63
    version: str = ""
    models: list[_RunningModel] = []


class _DesiredVersion(msgspec.Struct):
    model: str
    version: UInt63


@dataclass(frozen=True, slots=True)
class MalformedEntry:
    """Report an entry that cannot be used, and why."""

    reason: str


def decode_config(value: bytes) -> ServingConfig:
    """Decode the operator's configuration; raise DecodeError if it is malformed."""
    raw = decode_json(value, _Config)
    limits = ConnectionLimits(
        raw.limits.header_bytes,
        raw.limits.max_body_bytes,
        raw.limits.header_timeout_ms / MS_PER_S,
        raw.limits.idle_timeout_ms / MS_PER_S,
    )
    return ServingConfig(
        raw.version,
        tuple(_make_route(item) for item in raw.routes),
        {item.name: _make_service(item) for item in raw.services},
        tuple(_make_workspace(item) for item in raw.tenants),
        limits,
    )


def decode_endpoint(name: str, value: bytes) -> ListedEndpoint | MalformedEntry:
    """Decode an endpoint's entry, which may come from any writer."""
    if not _is_header_value(name):
        return MalformedEntry("the name cannot stand in a header")
    try:
        raw = decode_json(value, _EndpointEntry)
    except msgspec.DecodeError as exc:
        return MalformedEntry(str(exc)[:MAX_REASON_CHARS])
    if raw.state not in ("ready", "draining"):
        return MalformedEntry("unknown state")
    if not is_address(raw.address):
        return MalformedEntry("the address is not an IPv4 address with a port")
    return ListedEndpoint(
        name,
        raw.born,
        raw.service,
        raw.address,
        raw.zone,
        raw.slots,
        raw.state == "draining",
        tuple(ModelVersion(item.name, item.version) for item in raw.models),
        raw.version,
    )


def decode_operator_entry(key: str, value: bytes) -> ServingConfig | ModelVersion | None:
    """Decode the configuration or a desired weights version; return None for other entries.

    Raises DecodeError if the entry is malformed.
    """
    if key == CONFIG_KEY:
        return decode_config(value)
    if key.startswith(VERSION_PREFIX):
        raw = decode_json(value, _DesiredVersion)
        return ModelVersion(raw.model, raw.version)
    return None


def encode_load_order(model: str, version: int, holder: str, fence: int, order_seq: int) -> bytes:
    """Encode the order to load a weights version once the running requests have finished.

    `fence` is the fencing number of the lease; the replica accepts the order only if it has
    accepted `order_seq` orders before.
    """
    order: dict[str, Any] = {
        "op": "version",
        "model": model,
        "version": version,
        "mode": "block",
        "holder": holder,
        "fence": fence,
        "expected": order_seq,
    }
    return msgspec.json.encode(order)


def _make_route(raw: _Route) -> Route:
    shares = tuple(ServiceShare(item.service, item.weight) for item in raw.traffic_split)
    if not shares:
        shares = (ServiceShare(raw.service, 1.0),)
    return Route(
        raw.name,
        raw.host,
        raw.path_prefix,
        RouteKind(raw.kind),
        raw.timeout_ms / MS_PER_S,
        raw.target_latency_ms / MS_PER_S,
        raw.max_attempts,
        raw.priority,
        raw.public,
        raw.sticky,
        raw.can_resume,
        shares,
    )


def _make_service(raw: _Service) -> Service:
    engine = raw.engine or _Engine()
    models = tuple(item.name for item in engine.models)
    cache_tokens = raw.kv_capacity if raw.store_addr else engine.kv_capacity
    return Service(
        raw.name, raw.max_conns, engine.slots, cache_tokens, models, raw.store_addr, raw.zone
    )


def _make_workspace(raw: _Workspace) -> Workspace:
    return Workspace(raw.name, raw.priority, raw.isolated, tuple(raw.api_keys))


def _is_header_value(text: str) -> bool:
    return text.isascii() and text.isprintable() and bool(text.strip())
