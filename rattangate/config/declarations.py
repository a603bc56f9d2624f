"""The one table that declares every setting with its kind, default, unit and check."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rattangate.config.kinds import (
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
    choice,
)
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

if TYPE_CHECKING:
    from rattangate.config.kinds import Kind

REQUIRED = dataclasses.MISSING
SITE_KEY = "site"
ENDPOINT_KIND = choice(EndpointKind)
ROLE = choice(Role)


@dataclass(frozen=True, slots=True)
class Range:
    """Bound a number, both ends included."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Declaration:
    """Declare one setting; the default is that of the dataclass field.

    Only the base may set a `shared` one, also in a section that is local.
    """

    section: str
    key: str
    kind: Kind
    doc: str
    unit: str = ""
    check: Range | None = None
    shared: bool = False

    @property
    def field(self) -> str:
        """Return the name of the dataclass field."""
        return self.key + self.kind.field_suffix

    @property
    def default(self) -> Any:
        """Return the default value, or REQUIRED."""
        fields = {field.name: field for field in dataclasses.fields(SECTIONS[self.section].cls)}
        return fields[self.field].default


@dataclass(frozen=True, slots=True)
class Section:
    """Describe a mapping, or with `identity` a list of mappings that are told apart by that key.

    Only the base may set a section that is not `local`, so that all sites agree on it.
    """

    name: str
    cls: type
    doc: str
    identity: str = ""
    local: bool = False


_SECTION_TABLE = (
    Section("", Settings, "Settings of the whole site."),
    Section("platform", PlatformCfg, "The platform's services.", local=True),
    Section("data_centres", DataCentreCfg, "The data centres of the deployment.", "name"),
    Section("instances", InstanceCfg, "All entry instances, of every data centre.", "name"),
    Section("endpoints", EndpointCfg, "The model engines and plain services.", "name", local=True),
    Section("models", ModelCfg, "The models that are served.", "name"),
    Section("routes", RouteCfg, "The paths that lead to plain services.", "path_prefix"),
    Section("workspaces", WorkspaceCfg, "The teams that share the deployment.", "name"),
    Section("admin_keys", AdminKeyCfg, "The keys of the administration API.", "name"),
    Section("placement", PlacementCfg, "The choice of an endpoint for each request.", local=True),
    Section("limits", LimitsCfg, "The bounds on what one caller may ask for.", local=True),
    Section("peers", PeersCfg, "The exchange of news between entry instances."),
    Section("shutdown", ShutdownCfg, "The steps of a graceful shutdown.", local=True),
)
SECTIONS: dict[str, Section] = {section.name: section for section in _SECTION_TABLE}

_DURATION = Range(0.001, 30 * 86_400.0)
_INTERVAL = Range(0.01, 60.0)

DECLARATIONS: tuple[Declaration, ...] = (
    Declaration("", "deployment", NAME, "Name of the deployment."),
    Declaration("", SITE_KEY, NAME, "Data centre that an overlay is for; belongs in overlays."),
    Declaration("platform", "address", ADDRESS, "Address of the platform's services."),
    Declaration("data_centres", "name", NAME, "Name of the data centre."),
    Declaration("data_centres", "region", NAME, "Region that the data centre lies in."),
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
        "Whether the endpoint refuses orders with an old fencing number.",
    ),
    Declaration(
        "endpoints",
        "cache_pieces",
        INTEGER,
        "Expected size of an engine's prefix cache; 0 when it is to be learned.",
        "pieces",
        Range(0, 10_000_000),
    ),
    Declaration("models", "name", NAME, "Name of the model, as callers give it."),
    Declaration("models", "weights_version", TEXT, "Version of the weights that should run."),
    Declaration(
        "models",
        "min_replicas",
        INTEGER,
        "Replicas that a rollout leaves in service.",
        "replicas",
        Range(0, 100_000),
    ),
    Declaration("routes", "path_prefix", PATH, "Path, and all paths below it, that is routed."),
    Declaration("routes", "service", NAME, "Name that the service's endpoints serve."),
    Declaration("routes", "repeatable", FLAG, "Whether a POST may be sent more than once."),
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
        "Requests in progress over all instances together.",
        "requests",
        Range(1, 1_000_000),
    ),
    Declaration("admin_keys", "name", NAME, "Name of the key's holder, as the audit trail has it."),
    Declaration("admin_keys", "key_hash", HASH, "SHA-256 hash of the key."),
    Declaration("admin_keys", "role", ROLE, "What the key permits."),
    Declaration("admin_keys", "workspace", NAME, "Workspace of a `workspace_owner`."),
    Declaration(
        "placement",
        "piece_tokens",
        INTEGER,
        "Size of one cached piece of a prompt; base only.",
        "tokens",
        Range(1, 1_000_000),
        shared=True,
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
        "Longest wait for the first token before a request is refused.",
        check=_DURATION,
    ),
    Declaration(
        "limits", "max_body", SIZE, "Largest request body.", check=Range(1024, 1_000_000_000)
    ),
    Declaration(
        "limits", "max_header", SIZE, "Largest request head.", check=Range(1024, 1_000_000)
    ),
    Declaration(
        "limits",
        "max_prompt_tokens",
        INTEGER,
        "Longest prompt.",
        "tokens",
        Range(1, 100_000_000),
    ),
    Declaration(
        "limits",
        "max_streams",
        INTEGER,
        "Requests in progress at one instance.",
        "requests",
        Range(1, 1_000_000),
    ),
    Declaration(
        "limits",
        "body_timeout",
        DURATION,
        "Longest time that a caller takes to send a body.",
        check=_DURATION,
    ),
    Declaration(
        "limits",
        "request_timeout",
        DURATION,
        "Longest time of a request when the caller names none.",
        check=_DURATION,
    ),
    Declaration(
        "limits",
        "idempotency_retention",
        DURATION,
        "How long the answer to a request that must not be repeated is kept; base only.",
        check=_DURATION,
        shared=True,
    ),
    Declaration("peers", "secret_hash", HASH, "SHA-256 hash of the secret that peers share."),
    Declaration(
        "peers", "news_interval", DURATION, "Time between two batches of news.", check=_INTERVAL
    ),
    Declaration(
        "peers", "heartbeat_interval", DURATION, "Time between two heartbeats.", check=_INTERVAL
    ),
    Declaration(
        "peers", "lost_after", DURATION, "Silence after which a peer is lost.", check=_INTERVAL
    ),
    Declaration(
        "shutdown",
        "balancer_notice",
        DURATION,
        "Time for which a stopping instance still accepts connections.",
        check=_DURATION,
    ),
)


def declarations_of(section: str) -> dict[str, Declaration]:
    """Return the declarations of one section by key."""
    return {decl.key: decl for decl in DECLARATIONS if decl.section == section}


def subsections() -> dict[str, Section]:
    """Return all sections but the top one, by name."""
    return {name: section for name, section in SECTIONS.items() if name}


def is_required(section: str) -> bool:
    """Say whether a section has no default in the settings."""
    fields = {field.name: field for field in dataclasses.fields(Settings)}
    return bool(fields[section].default is REQUIRED)
