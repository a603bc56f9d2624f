"""The administration API: health checks, metrics and the operations of `OPERATIONS`."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import msgspec
from quart import Response, request
from quart_trio import QuartTrio

from rattangate.config.model import Role
from rattangate.errors import ErrorKind, Failure
from rattangate.http.admin_edits import ChangeRequest, new_change_id, propose_edit
from rattangate.http.admin_handlers import ACTIONS, EDITS, READS, AdminCall
from rattangate.http.admin_operations import (
    CHANGE_ID,
    CHANGE_REASON,
    IF_MATCH,
    OPERATIONS,
    describe_api,
)
from rattangate.http.responses import error_response, json_response
from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent, log
from rattangate.metrics import CONTENT_TYPE
from rattangate.records.audit import AuditEntry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rattangate.config.model import AdminKeyCfg
    from rattangate.http.admin_dependencies import AdminDependencies
    from rattangate.http.admin_operations import Operation

MAX_BODY_BYTES = 1_000_000
MAX_REASON_CHARS = 200
_CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_ETAG_PATTERN = re.compile(r'(?:W/)?"(\d{1,12})"')


def make_admin_app(deps: AdminDependencies) -> QuartTrio:
    """Create the web application of the administration API."""
    app = QuartTrio("rattangate-admin")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES

    @app.get("/livez")
    async def liveness() -> Response:
        return json_response({"live": True})

    @app.get("/readyz")
    async def readiness() -> Response:
        return json_response({"ready": deps.status.is_ready}, 200 if deps.status.is_ready else 503)

    @app.get("/metrics")
    async def metrics() -> Response:
        return Response(deps.metrics.render(), content_type=CONTENT_TYPE)

    @app.get("/v1/openapi.json")
    async def openapi() -> Response:
        return json_response(describe_api())

    @app.errorhandler(404)
    async def not_found(_: Exception) -> Response:
        return error_response(Failure(ErrorKind.NOT_FOUND), "")

    @app.errorhandler(413)
    async def too_large(_: Exception) -> Response:
        return error_response(Failure(ErrorKind.TOO_LARGE), "")

    for operation in OPERATIONS:
        handler = _make_handler(deps, operation)
        app.add_url_rule(
            operation.url_rule,
            operation.name,
            handler,
            methods=[operation.method],
            strict_slashes=True,
        )
    return app


def _make_handler(
    deps: AdminDependencies, operation: Operation
) -> Callable[..., Awaitable[Response]]:
    async def handle(**params: str) -> Response:
        key = deps.active_settings.keyring.admin_key(request.headers.get("Authorization", ""))
        if key is None:
            return error_response(Failure(ErrorKind.UNAUTHENTICATED), "")
        if not _is_permitted(key, operation, params):
            return error_response(Failure(ErrorKind.FORBIDDEN), "")
        if operation.edits_config:
            return await _handle_edit(deps, operation, key, params)
        if operation.changes_state:
            return await _handle_action(deps, operation, key, params)
        call = AdminCall(deps, params, dict(request.args), {})
        return _make_response(deps, await READS[operation.name](call))

    return handle


def _is_permitted(key: AdminKeyCfg, operation: Operation, params: dict[str, str]) -> bool:
    if key.role not in operation.roles:
        return False
    return key.role is not Role.WORKSPACE_OWNER or params.get("workspace") == key.workspace


def _make_response(deps: AdminDependencies, outcome: object) -> Response:
    if isinstance(outcome, Failure):
        return error_response(outcome, "")
    resp = json_response(outcome)
    resp.headers["ETag"] = f'"{deps.status.config_version}"'
    return resp


async def _handle_action(
    deps: AdminDependencies, operation: Operation, key: AdminKeyCfg, params: dict[str, str]
) -> Response:
    req = _parse_change_headers(key, 0)
    if isinstance(req, Failure):
        return error_response(req, "")
    outcome = await ACTIONS[operation.name](AdminCall(deps, params, {}, {}, key.name))
    await _write_audit(deps, key, req, outcome)
    resp = _make_response(deps, outcome)
    resp.headers[CHANGE_ID] = req.change_id
    return resp


async def _handle_edit(
    deps: AdminDependencies, operation: Operation, key: AdminKeyCfg, params: dict[str, str]
) -> Response:
    req = _parse_edit_headers(key)
    body = await _parse_body(operation)
    if isinstance(req, Failure):
        return error_response(req, "")
    if isinstance(body, Failure):
        return error_response(body, "")
    call = AdminCall(deps, params, {}, body)
    build_edit = EDITS[operation.name]
    outcome = await propose_edit(deps, req, lambda data: build_edit(call, data))
    await _write_audit(deps, key, req, outcome)
    if isinstance(outcome, Failure):
        resp = error_response(outcome, "")
    else:
        resp = json_response(msgspec.to_builtins(outcome))
        resp.headers["ETag"] = f'"{outcome.version}"'
    resp.headers[CHANGE_ID] = req.change_id
    return resp


def _parse_edit_headers(key: AdminKeyCfg) -> ChangeRequest | Failure:
    etag = _ETAG_PATTERN.fullmatch(request.headers.get(IF_MATCH, ""))
    if etag is None:
        return Failure(ErrorKind.BAD_REQUEST, f'{IF_MATCH}: must be the ETag read, such as "12"')
    return _parse_change_headers(key, int(etag[1]))


def _parse_change_headers(key: AdminKeyCfg, edited_from: int) -> ChangeRequest | Failure:
    reason = request.headers.get(CHANGE_REASON, "").strip()
    if not 0 < len(reason) <= MAX_REASON_CHARS:
        return Failure(
            ErrorKind.BAD_REQUEST, f"{CHANGE_REASON}: must be 1 to {MAX_REASON_CHARS} characters"
        )
    change_id = request.headers.get(CHANGE_ID) or new_change_id()
    if not _CHANGE_ID_PATTERN.fullmatch(change_id):
        return Failure(
            ErrorKind.BAD_REQUEST, f"{CHANGE_ID}: must match {_CHANGE_ID_PATTERN.pattern}"
        )
    return ChangeRequest(edited_from, change_id, key.name, reason)


async def _parse_body(operation: Operation) -> dict[str, Any] | Failure:
    if operation.body is None:
        return {}
    try:
        body = decode_json(await request.get_data())
    except msgspec.MsgspecError:
        return Failure(ErrorKind.BAD_REQUEST, "body: must be JSON")
    if not isinstance(body, dict):
        return Failure(ErrorKind.BAD_REQUEST, "body: must be a JSON object")
    unknown = sorted(body.keys() - operation.body["properties"].keys())
    missing = sorted(set(operation.body.get("required", ())) - body.keys())
    if unknown or missing:
        return Failure(ErrorKind.BAD_REQUEST, f"body: unknown {unknown}, missing {missing}")
    return body


async def _write_audit(
    deps: AdminDependencies, key: AdminKeyCfg, req: ChangeRequest, outcome: Any
) -> None:
    call = f"{request.method} {request.path}"
    has_failed = isinstance(outcome, Failure)
    entry = AuditEntry(
        datetime.now(UTC).isoformat(timespec="milliseconds"),
        req.change_id,
        key.name,
        key.role.value,
        call,
        req.reason,
        outcome.kind.value if has_failed else "accepted",
        getattr(outcome, "version", 0),
    )
    log(LogEvent.ADMIN_CHANGED, who=key.name, action=request.method, object=request.path)
    await deps.audit.write(entry)
