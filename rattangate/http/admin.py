"""The administration API: life signs, metrics and the operations of the table."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import msgspec
from quart import Response, request
from quart_trio import QuartTrio

from rattangate.config.model import Role
from rattangate.errors import ErrorKind, Failure
from rattangate.http.admin_edits import EditRequest, carry_out_edit, new_change_id
from rattangate.http.admin_handlers import ACTS, EDITS, READS, Call
from rattangate.http.admin_operations import (
    CHANGE_ID,
    CHANGE_REASON,
    IF_MATCH,
    OPERATIONS,
    describe_api,
)
from rattangate.http.answers import error_response, json_response
from rattangate.log_events import LogEvent, log
from rattangate.metrics import CONTENT_TYPE
from rattangate.records.audit import AuditEntry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rattangate.config.model import AdminKeyCfg
    from rattangate.http.admin_operations import Operation
    from rattangate.http.admin_parts import AdminParts

MAX_BODY_BYTES = 1_000_000
MAX_REASON_CHARS = 200
_CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_ETAG = re.compile(r'(?:W/)?"(\d{1,12})"')


def make_admin_app(parts: AdminParts) -> QuartTrio:
    """Create the application that operators reach."""
    app = QuartTrio("rattangate-admin")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES

    @app.get("/livez")
    async def live() -> Response:
        return json_response({"live": True})

    @app.get("/readyz")
    async def ready() -> Response:
        return json_response(
            {"ready": parts.status.is_ready}, 200 if parts.status.is_ready else 503
        )

    @app.get("/metrics")
    async def metrics() -> Response:
        return Response(parts.metrics.render(), content_type=CONTENT_TYPE)

    @app.get("/v1/openapi.json")
    async def describe() -> Response:
        return json_response(describe_api())

    @app.errorhandler(404)
    async def not_found(_: Exception) -> Response:
        return error_response(Failure(ErrorKind.NOT_FOUND), "")

    @app.errorhandler(413)
    async def too_large(_: Exception) -> Response:
        return error_response(Failure(ErrorKind.TOO_LARGE), "")

    for operation in OPERATIONS:
        handler = _make_handler(parts, operation)
        app.add_url_rule(
            operation.rule, operation.name, handler, methods=[operation.method], strict_slashes=True
        )
    return app


def _make_handler(parts: AdminParts, operation: Operation) -> Callable[..., Awaitable[Response]]:
    async def handle(**params: str) -> Response:
        key = parts.in_force.keyring.admin_key(request.headers.get("Authorization", ""))
        if key is None:
            return error_response(Failure(ErrorKind.UNAUTHENTICATED), "")
        if not _permits(key, operation, params):
            return error_response(Failure(ErrorKind.FORBIDDEN), "")
        if operation.edits:
            return await _edit(parts, operation, key, params)
        if operation.acts:
            return await _act(parts, operation, key, params)
        call = Call(parts, params, dict(request.args), {})
        return _answer(parts, await READS[operation.name](call))

    return handle


def _permits(key: AdminKeyCfg, operation: Operation, params: dict[str, str]) -> bool:
    if key.role not in operation.roles:
        return False
    return key.role is not Role.WORKSPACE_OWNER or params.get("workspace") == key.workspace


def _answer(parts: AdminParts, outcome: object) -> Response:
    if isinstance(outcome, Failure):
        return error_response(outcome, "")
    resp = json_response(outcome)
    resp.headers["ETag"] = f'"{parts.status.config_version}"'
    return resp


async def _act(
    parts: AdminParts, operation: Operation, key: AdminKeyCfg, params: dict[str, str]
) -> Response:
    req = _read_reason(key, 0)
    if isinstance(req, Failure):
        return error_response(req, "")
    outcome = await ACTS[operation.name](Call(parts, params, {}, {}, key.name))
    await _write_audit(parts, key, req, outcome)
    resp = _answer(parts, outcome)
    resp.headers[CHANGE_ID] = req.change_id
    return resp


async def _edit(
    parts: AdminParts, operation: Operation, key: AdminKeyCfg, params: dict[str, str]
) -> Response:
    req = _read_edit(key)
    body = await _read_body(operation)
    if isinstance(req, Failure):
        return error_response(req, "")
    if isinstance(body, Failure):
        return error_response(body, "")
    call = Call(parts, params, {}, body)
    make_edit = EDITS[operation.name]
    outcome = await carry_out_edit(parts, req, lambda data: make_edit(call, data))
    await _write_audit(parts, key, req, outcome)
    if isinstance(outcome, Failure):
        resp = error_response(outcome, "")
    else:
        resp = json_response(msgspec.to_builtins(outcome))
        resp.headers["ETag"] = f'"{outcome.version}"'
    resp.headers[CHANGE_ID] = req.change_id
    return resp


def _read_edit(key: AdminKeyCfg) -> EditRequest | Failure:
    etag = _ETAG.fullmatch(request.headers.get(IF_MATCH, ""))
    if etag is None:
        return Failure(ErrorKind.BAD_REQUEST, f'{IF_MATCH}: must be the ETag read, such as "12"')
    return _read_reason(key, int(etag[1]))


def _read_reason(key: AdminKeyCfg, edited_from: int) -> EditRequest | Failure:
    reason = request.headers.get(CHANGE_REASON, "").strip()
    if not 0 < len(reason) <= MAX_REASON_CHARS:
        return Failure(
            ErrorKind.BAD_REQUEST, f"{CHANGE_REASON}: must be 1 to {MAX_REASON_CHARS} characters"
        )
    change_id = request.headers.get(CHANGE_ID) or new_change_id()
    if not _CHANGE_ID.fullmatch(change_id):
        return Failure(ErrorKind.BAD_REQUEST, f"{CHANGE_ID}: must match {_CHANGE_ID.pattern}")
    return EditRequest(edited_from, change_id, key.name, reason)


async def _read_body(operation: Operation) -> dict[str, Any] | Failure:
    if operation.body is None:
        return {}
    try:
        body = msgspec.json.decode(await request.get_data())
    except msgspec.MsgspecError:
        return Failure(ErrorKind.BAD_REQUEST, "body: must be JSON")
    if not isinstance(body, dict):
        return Failure(ErrorKind.BAD_REQUEST, "body: must be a JSON object")
    unknown = sorted(body.keys() - operation.body["properties"].keys())
    missing = sorted(set(operation.body.get("required", ())) - body.keys())
    if unknown or missing:
        return Failure(ErrorKind.BAD_REQUEST, f"body: unknown {unknown}, missing {missing}")
    return body


async def _write_audit(parts: AdminParts, key: AdminKeyCfg, req: EditRequest, outcome: Any) -> None:
    call = f"{request.method} {request.path}"
    failed = isinstance(outcome, Failure)
    audited = AuditEntry(
        datetime.now(UTC).isoformat(timespec="milliseconds"),
        req.change_id,
        key.name,
        key.role.value,
        call,
        req.reason,
        outcome.kind.value if failed else "accepted",
        getattr(outcome, "version", 0),
    )
    log(LogEvent.ADMIN_CHANGED, who=key.name, action=request.method, object=request.path)
    await parts.audit.write(audited)
