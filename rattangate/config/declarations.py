"""The table that declares every setting with its value type, default, unit and range."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rattangate.config.model import (
    AdminKeyCfg,
    DataCentreCfg,
    EndpointCfg,
    EndpointKind,
    InstanceCfg,
    LimitsCfg,
    ModelCfg,
    PeersCfg,
    PlacementCfg,
    PlatformCfg,
    Role,
    RouteCfg,
    Settings,
    ShutdownCfg,
    WorkspaceCfg,
)
from rattangate.config.value_types import (
    ADDRESS,
    DURATION,
    FLAG,
    HASH,
    HASHES,
    INTEGER,
    NAME,
    NUMBER,
    PATH,
    SIZE,
    TEXT,
    enum_type,
)

if TYPE_CHECKING:
    from rattangate.config.value_types import ValueType

REQUIRED = dataclasses.MISSING
SITE_KEY = "site"
ENDPOINT_KIND = enum_type(EndpointKind)
ROLE = enum_type(Role)


@dataclass(frozen=True, slots=True)
class Range:
    """Describe the closed interval of allowed values of a number."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Declaration:
    """Declare one setting; its default is that of the dataclass field.

    A `base_only` setting can't be set by an overlay, even in an `overridable` section.
    """

    section: str
    key: str
    value_type: ValueType
    doc: str
    unit: str = ""
    bounds: Range | None = None
    base_only: bool = False

    @property
    def field(self) -> str:
        """Return the name of the dataclass field."""
        return self.key + self.value_type.field_suffix

    @property
    def default(self) -> Any:
        """Return the default value, or REQUIRED if there is none."""
        fields = {field.name: field for field in dataclasses.fields(SECTIONS[self.section].cls)}
        return fields[self.field].default


@dataclass(frozen=True, slots=True)
class Section:
    """Describe a section: a mapping, or a list of mappings if `merge_key` is set.

    The value of `merge_key` identifies an entry of the list. An overlay may only set sections that
    are `overridable`; all others are the same at every site.
    """

    name: str
    cls: type
    doc: str
    merge_key: str = ""
    overridable: bool = False


_SECTION_TABLE = (
    Section("", Settings, "Settings of the whole site."),
    Section("platform", PlatformCfg, "The services of the platform.", overridable=True),
    Section("data_centres", DataCentreCfg, "The data centres of the deployment.", "name"),
    Section("instances", InstanceCfg, "All entry instances, of every data centre.", "name"),
    Section(
        "endpoints", EndpointCfg, "The model engines and plain services.", "name", overridable=True
    ),
    Section("models", ModelCfg, "The models that are served.", "name"),
    Section("routes", RouteCfg, "The paths that are routed to plain services.", "path_prefix"),
    Section("workspaces", WorkspaceCfg, "The teams that share the deployment.", "name"),
    Section("admin_keys", AdminKeyCfg, "The keys of the administration API.", "name"),
    Section(
        "placement", PlacementCfg, "How an endpoint is chosen for each request.", overridable=True
    ),
    Section("limits", LimitsCfg, "Limits on the requests of callers.", overridable=True),
    Section("peers", PeersCfg, "The exchange of state updates between entry instances."),
    Section("shutdown", ShutdownCfg, "The steps of a graceful shutdown.", overridable=True),
)
SECTIONS: dict[str, Section] = {section.name: section for section in _SECTION_TABLE}

_DURATION = Range(0.001, 30 * 86_400.0)
_INTERVAL = Range(0.01, 60.0)

DECLARATIONS: tuple[Declaration, ...] = (
    Declaration("", "deployment", NAME, "Name of the deployment."),
    Declaration(
        "", SITE_KEY, NAME, "Data centre that an overlay applies to; set in overlays only."
    ),
    Declaration("platform", "address", ADDRESS, "Address of the platform's services."),
    Declaration("data_centres", "name", NAME, "Name of the data centre."),
    Declaration("data_centres", "region", NAME, "Region of the data centre."),
    Declaration("instances", "name", NAME, "Name of the instance, as given to `serve`."),
    Declaration("instances", "data_centre", NAME, "Data centre that the instance runs in."),
    Declaration("instances", "caller_address", ADDRESS, "Address that callers connect to."),
    Declaration("instances", "admin_address", ADDRESS, "Address of the administration API."),
    Declaration("instances", "peer_address", ADDRESS, "Address that other instances connect to."),
    Declaration("endpoints", "name", NAME, "Name of the endpoint."),
    Declaration("endpoints", "kind", ENDPOINT_KIND, "Kind of the endpoint."),
    Declaration("endpoints", "address", ADDRESS, "Address of the endpoint."),
    Declaration("endpoints", "data_centre", NAME, "Data centre that the endpoint runs in."),
    Declaration("endpoints", "serves", NAME, "Model of an engine, or name of the plain service."),
    Declaration(
        "endpoints",
        "checks_orders",
        FLAG,
        "Whether the endpoint rejects orders with an outdated fencing token.",
    ),
    Declaration(
        "endpoints",
        "cache_pieces",
        INTEGER,
        "Expected size of an engine's prefix cache; 0 to estimate it at run time.",
        "pieces",
        Range(0, 10_000_000),
    ),
    Declaration("models", "name", NAME, "Name of the model in the requests of callers."),
    Declaration("models", "weights_version", TEXT, "Desired version of the weights."),
    Declaration(
        "models",
        "min_replicas",
        INTEGER,
        "Replicas that a rollout keeps in service.",
        "replicas",
        Range(0, 100_000),
    ),
    Declaration("routes", "path_prefix", PATH, "Path that is routed, with all paths below it."),
    Declaration("routes", "service", NAME, "Name of the service, as in `serves` of its endpoints."),
    Declaration(
        "routes", "repeatable", FLAG, "Whether a POST is idempotent and may be sent more than once."
    ),
    Declaration("workspaces", "name", NAME, "Name of the workspace."),
    Declaration("workspaces", "key_hashes", HASHES, "SHA-256 hashes of the caller keys."),
    Declaration(
        "workspaces",
        "share",
        NUMBER,
        "Share of the endpoints under contention, relative to the other workspaces.",
        "",
        Range(0.001, 1_000_000.0),
    ),
    Declaration(
        "workspaces",
        "max_streams",
        INTEGER,
        "Maximum number of concurrent requests over all instances.",
        "requests",
        Range(1, 1_000_000),
    ),
    Declaration("admin_keys", "name", NAME, "Name of the key's owner in the audit trail."),
    Declaration("admin_keys", "key_hash", HASH, "SHA-256 hash of the key."),
    Declaration("admin_keys", "role", ROLE, "What the key permits."),
    Declaration(
        "admin_keys",
        "workspace",
        NAME,
        "Workspace that a key with the role `workspace_owner` administers.",
    ),
    Declaration(
        "placement",
        "piece_tokens",
        INTEGER,
        "Size of a piece, the block of a prompt that is cached as a unit; base only.",
        "tokens",
        Range(1, 1_000_000),
        base_only=True,
    ),
    Declaration(
        "placement",
        "recompute_weight",
        NUMBER,
        "Cost of one second of recomputation.",
        "seconds",
        Range(0.0, 1000.0),
    ),
    Declaration(
        "placement",
        "first_token",
        DURATION,
        "Maximum wait for the first token before a request is refused.",
        bounds=_DURATION,
    ),
    Declaration(
        "limits",
        "max_body",
        SIZE,
        "Maximum size of a request body.",
        bounds=Range(1024, 1_000_000_000),
    ),
    Declaration(
        "limits",
        "max_buffered",
        SIZE,
        "Maximum size of all request bodies that an instance buffers; large ones may use "
        "three quarters of it.",
        bounds=Range(1024, 1_000_000_000_000),
    ),
    Declaration(
        "limits",
        "max_header",
        SIZE,
        "Maximum size of a request head.",
        bounds=Range(1024, 1_000_000),
    ),
    Declaration(
        "limits",
        "max_prompt_tokens",
        INTEGER,
        "Maximum length of a prompt.",
        "tokens",
        Range(1, 100_000_000),
    ),
    Declaration(
        "limits",
        "max_streams",
        INTEGER,
        "Maximum number of concurrent requests at one instance.",
        "requests",
        Range(1, 1_000_000),
    ),
    Declaration(
        "limits",
        "body_timeout",
        DURATION,
        "Timeout for receiving a request body from a caller.",
        bounds=_DURATION,
    ),
    Declaration(
        "limits",
        "request_timeout",
        DURATION,
        "Timeout of a request for which the caller sets no deadline.",
        bounds=_DURATION,
    ),
    Declaration(
        "limits",
        "idempotency_retention",
        DURATION,
        "Time for which the answer to a non-idempotent request is kept; base only.",
        bounds=_DURATION,
        base_only=True,
    ),
    Declaration("peers", "secret_hash", HASH, "SHA-256 hash of the secret shared by all peers."),
    Declaration(
        "peers", "news_interval", DURATION, "Interval between two state updates.", bounds=_INTERVAL
    ),
    Declaration(
        "peers",
        "heartbeat_interval",
        DURATION,
        "Interval between two heartbeats.",
        bounds=_INTERVAL,
    ),
    Declaration(
        "peers",
        "lost_after",
        DURATION,
        "Time without a message after which a peer counts as lost.",
        bounds=_INTERVAL,
    ),
    Declaration(
        "shutdown",
        "balancer_notice",
        DURATION,
        "Time that a stopping instance gives load balancers before it refuses connections.",
        bounds=_DURATION,
    ),
)


def declarations_of(section: str) -> dict[str, Declaration]:
    """Return the declarations of one section by key."""
    return {decl.key: decl for decl in DECLARATIONS if decl.section == section}


def subsections() -> dict[str, Section]:
    """Return all sections except the top level, by name."""
    return {name: section for name, section in SECTIONS.items() if name}


def is_required(section: str) -> bool:
    """Return whether the settings must contain a section because it has no default."""
    fields = {field.name: field for field in dataclasses.fields(Settings)}
    return bool(fields[section].default is REQUIRED)
