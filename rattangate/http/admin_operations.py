"""The operations of the administration API and the OpenAPI description generated from them."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import rattangate
from rattangate.config.model import Role
from rattangate.config.schema import schema_of_section

READERS = frozenset({Role.READER, Role.OPERATOR})
OPERATORS = frozenset({Role.OPERATOR})
OWNERS = frozenset({Role.OPERATOR, Role.WORKSPACE_OWNER})
ALL_ROLES = frozenset(Role)

IF_MATCH = "If-Match"
CHANGE_ID = "Change-Id"
CHANGE_REASON = "Change-Reason"

_READ_STATUSES = (200, 400, 401, 403, 404, 503)
_EDIT_STATUSES = (200, 400, 401, 403, 404, 409, 413, 422, 503, 504)
_KEY_HASH_SCHEMA = {"type": "string", "pattern": "^[0-9a-f]{64}$"}


@dataclass(frozen=True, slots=True)
class Operation:
    """Describe one operation.

    `edits_config` tells whether it creates a new configuration version. `body` is the JSON schema
    of the request body and `query` the names of the optional query parameters.
    """

    name: str
    method: str
    path: str
    roles: frozenset[Role]
    summary: str
    edits_config: bool = False
    body: dict[str, Any] | None = None
    query: tuple[str, ...] = ()

    @property
    def url_rule(self) -> str:
        """Return the path as a URL rule of the web framework, with parameters in angle brackets."""
        return re.sub(r"\{(\w+)\}", r"<\1>", self.path)

    @property
    def params(self) -> tuple[str, ...]:
        """Return the names of the path parameters."""
        return tuple(re.findall(r"\{(\w+)\}", self.path))

    @property
    def changes_state(self) -> bool:
        """Tell whether the operation changes state; it then needs a reason and is audited."""
        return self.method != "GET"

    @property
    def statuses(self) -> tuple[int, ...]:
        """Return the HTTP statuses that the operation can respond with."""
        if self.edits_config:
            return _EDIT_STATUSES
        return (200, 400, 401, 403) if self.changes_state else _READ_STATUSES


def _entry_schema(section: str, excluded: tuple[str, ...]) -> dict[str, Any]:
    schema = schema_of_section(section)
    properties = {key: value for key, value in schema["properties"].items() if key not in excluded}
    return {"type": "object", "additionalProperties": False, "properties": properties}


def _limits_schema() -> dict[str, Any]:
    properties = {
        key: {"anyOf": [value, {"type": "null"}]}
        for key, value in schema_of_section("limits")["properties"].items()
    }
    return {"type": "object", "additionalProperties": False, "properties": properties}


_KEY_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["key_hash"],
    "properties": {"key_hash": _KEY_HASH_SCHEMA},
}

OPERATIONS: tuple[Operation, ...] = (
    Operation("list_workspaces", "GET", "/v1/workspaces", READERS, "List all workspaces."),
    Operation(
        "get_workspace", "GET", "/v1/workspaces/{workspace}", ALL_ROLES, "Show one workspace."
    ),
    Operation(
        "put_workspace",
        "PUT",
        "/v1/workspaces/{workspace}",
        OPERATORS,
        "Add a workspace, or change its share, limits or keys.",
        True,
        _entry_schema("workspaces", ("name",)),
    ),
    Operation(
        "remove_workspace",
        "DELETE",
        "/v1/workspaces/{workspace}",
        OPERATORS,
        "Remove a workspace; its keys end with it.",
        True,
    ),
    Operation(
        "add_key",
        "POST",
        "/v1/workspaces/{workspace}/keys",
        OWNERS,
        "Add a key by its hash; keys themselves never reach the API.",
        True,
        _KEY_SCHEMA,
    ),
    Operation(
        "roll_key",
        "PUT",
        "/v1/workspaces/{workspace}/keys/{key_id}",
        OWNERS,
        "Replace a key by another in one step.",
        True,
        _KEY_SCHEMA,
    ),
    Operation(
        "withdraw_key",
        "DELETE",
        "/v1/workspaces/{workspace}/keys/{key_id}",
        OWNERS,
        "Withdraw a key.",
        True,
    ),
    Operation("get_limits", "GET", "/v1/limits", READERS, "Show the limits of this site."),
    Operation(
        "set_limits",
        "PUT",
        "/v1/limits",
        OPERATORS,
        "Set limits of the base; null restores a default. A site's overlay goes before the base.",
        True,
        _limits_schema(),
    ),
    Operation("list_models", "GET", "/v1/models", READERS, "List models and wanted versions."),
    Operation(
        "put_model",
        "PUT",
        "/v1/models/{model}",
        OPERATORS,
        "Add a model, or order its engines to another weights version.",
        True,
        _entry_schema("models", ("name",)),
    ),
    Operation("list_endpoints", "GET", "/v1/endpoints", READERS, "List endpoints and states."),
    Operation(
        "put_endpoint",
        "PUT",
        "/v1/endpoints/{endpoint}",
        OPERATORS,
        "Add or change an endpoint of the base.",
        True,
        _entry_schema("endpoints", ("name",)),
    ),
    Operation(
        "remove_endpoint",
        "DELETE",
        "/v1/endpoints/{endpoint}",
        OPERATORS,
        "Remove an endpoint of the base; it gets no new work.",
        True,
    ),
    Operation("list_instances", "GET", "/v1/instances", READERS, "List instances and states."),
    Operation(
        "list_quarantine",
        "GET",
        "/v1/quarantine",
        READERS,
        "List the digests of requests, and parts of prompts, that seem to crash endpoints.",
    ),
    Operation(
        "release_quarantine",
        "DELETE",
        "/v1/quarantine/{digest}",
        OPERATORS,
        "Release a digest at every instance; a repeat changes nothing.",
    ),
    Operation(
        "get_config", "GET", "/v1/config", READERS, "Show the version in force and the newest one."
    ),
    Operation(
        "list_versions",
        "GET",
        "/v1/config/versions",
        READERS,
        "List the last versions with who and why.",
        query=("count",),
    ),
    Operation(
        "list_audit",
        "GET",
        "/v1/audit",
        READERS,
        "List the calls of one day that changed something or tried to.",
        query=("day",),
    ),
)


def describe_api() -> dict[str, Any]:
    """Return the OpenAPI description of the administration API."""
    paths: dict[str, dict[str, Any]] = {}
    for operation in OPERATIONS:
        paths.setdefault(operation.path, {})[operation.method.lower()] = _describe_operation(
            operation
        )
    return {
        "openapi": "3.1.0",
        "info": {"title": "rattangate administration", "version": rattangate.__version__},
        "paths": paths,
        "components": {"securitySchemes": {"key": {"type": "http", "scheme": "bearer"}}},
        "security": [{"key": []}],
    }


def render_api_reference() -> str:
    """Return the reference page of the administration API as Markdown."""
    lines = [
        "# Administration API",
        "",
        "<!-- Written by `rattangate config schema --api`. -->",
        "",
        "Served on each instance's `admin_address` under the keys of `admin_keys`, as",
        "`Authorization: Bearer KEY`. `GET /v1/openapi.json` gives the OpenAPI description.",
        "",
        f"An edit needs the headers `{IF_MATCH}` (the version that was read, as in `ETag`) and",
        f"`{CHANGE_REASON}`; `{CHANGE_ID}` makes it idempotent: a repeat of the same edit from",
        "the same version with the same id gives the same version. The answer comes once the",
        "version is accepted; `GET /v1/instances` shows where it is in force.",
        "",
        "| call | roles | edits | does |",
        "|---|---|---|---|",
    ]
    lines += [_table_row(operation) for operation in OPERATIONS]
    return "\n".join(lines) + "\n"


def _table_row(operation: Operation) -> str:
    roles = ", ".join(sorted(role.value for role in operation.roles))
    edits = "yes" if operation.edits_config else ""
    return f"| `{operation.method} {operation.path}` | {roles} | {edits} | {operation.summary} |"


def _describe_operation(operation: Operation) -> dict[str, Any]:
    params = [_describe_param(name, "path") for name in operation.params]
    params += [{**_describe_param(name, "query"), "required": False} for name in operation.query]
    if operation.changes_state:
        params.append(_describe_param(CHANGE_REASON, "header"))
        params.append({**_describe_param(CHANGE_ID, "header"), "required": False})
    if operation.edits_config:
        params.append(_describe_param(IF_MATCH, "header"))
    description: dict[str, Any] = {
        "operationId": operation.name,
        "summary": operation.summary,
        "description": "Roles: " + ", ".join(sorted(role.value for role in operation.roles)),
        "parameters": params,
        "responses": {
            str(status): {"description": _describe_status(status)} for status in operation.statuses
        },
    }
    if operation.body is not None:
        content = {"application/json": {"schema": operation.body}}
        description["requestBody"] = {"required": True, "content": content}
    return description


def _describe_param(name: str, location: str) -> dict[str, Any]:
    return {"name": name, "in": location, "required": True, "schema": {"type": "string"}}


def _describe_status(status: int) -> str:
    return {
        200: "Done, or shown.",
        400: "The request is malformed.",
        401: "The key is unknown.",
        403: "The role does not permit this.",
        404: "There is no such object.",
        409: "Another change was accepted since the version in If-Match.",
        413: "The body is too large.",
        422: "The edited configuration has faults.",
        503: "The platform is unavailable and nothing changed.",
        504: "The change may be accepted; repeat it with the same Change-Id.",
    }[status]
