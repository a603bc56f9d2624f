"""The handlers of the administration API, one for each entry of `OPERATIONS`."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime
from hashlib import sha256
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from rattangate.config.edit import PutEntry, RemoveEntry, SetValues, find_entry
from rattangate.config.view import view_settings
from rattangate.core.config_follower import ReadFailed
from rattangate.core.messages import QuarantineReleased
from rattangate.errors import ErrorKind, Failure
from rattangate.log_events import LogEvent, log
from rattangate.platform.outcomes import Unavailable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rattangate.config.edit import Edit
    from rattangate.config.model import WorkspaceCfg
    from rattangate.core.quarantine import QuarantineEntry
    from rattangate.core.suspects import Suspects
    from rattangate.http.admin_dependencies import AdminDependencies

KEY_ID_HEX_DIGITS = 12
DEFAULT_VERSION_COUNT = 20
MAX_VERSION_COUNT = 200
_DIGEST_PATTERN = re.compile(r"(?:[0-9a-f]{2}){1,32}")
_DAY_PATTERN = re.compile(r"\d{4}-\d{2}-\d{2}")


@dataclass(frozen=True, slots=True)
class AdminCall:
    """Hold the inputs of a handler; `key_name` is the name of the administration key."""

    deps: AdminDependencies
    params: dict[str, str]
    query: dict[str, str]
    body: dict[str, Any]
    key_name: str = ""


def key_id_of(key_hash: str) -> str:
    """Return the id of a key, derived from its hash without disclosing it."""
    return sha256(key_hash.encode()).hexdigest()[:KEY_ID_HEX_DIGITS]


# Operations that only read


async def list_workspaces(call: AdminCall) -> object:
    """List all workspaces."""
    return {
        "workspaces": [
            _view_workspace(item) for item in call.deps.active_settings.settings.workspaces
        ]
    }


async def get_workspace(call: AdminCall) -> object:
    """Show one workspace."""
    for workspace in call.deps.active_settings.settings.workspaces:
        if workspace.name == call.params["workspace"]:
            return _view_workspace(workspace)
    return Failure(ErrorKind.NOT_FOUND, "workspace: unknown")


async def get_limits(call: AdminCall) -> object:
    """Show the limits in force on this instance."""
    return {"limits": view_settings(call.deps.active_settings.settings)["limits"]}


async def list_models(call: AdminCall) -> object:
    """List the models with their desired weights versions."""
    return {"models": view_settings(call.deps.active_settings.settings)["models"]}


async def list_endpoints(call: AdminCall) -> object:
    """List the endpoints with their states as known to this instance."""
    return {"endpoints": call.deps.status.describe_endpoints()}


async def list_instances(call: AdminCall) -> object:
    """List the instances with their states as known to this instance."""
    return {"instances": call.deps.status.describe_instances()}


async def get_config(call: AdminCall) -> object:
    """Show the version in force on this instance and the newest accepted version."""
    newest = await call.deps.config_store.read_newest()
    record = None if isinstance(newest, ReadFailed) else newest.record
    return {
        "in_force": call.deps.status.config_version,
        "newest": msgspec.to_builtins(record) if record is not None else None,
        "platform": "down" if isinstance(newest, ReadFailed) else "up",
    }


async def list_versions(call: AdminCall) -> object:
    """List the latest configuration versions, newest first."""
    count = call.query.get("count", str(DEFAULT_VERSION_COUNT))
    if not re.fullmatch(r"[0-9]{1,4}", count) or not 1 <= int(count) <= MAX_VERSION_COUNT:
        return Failure(ErrorKind.BAD_REQUEST, f"count: must be 1 to {MAX_VERSION_COUNT}")
    store = call.deps.config_store
    newest = await store.read_newest()
    if isinstance(newest, ReadFailed):
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE)
    if newest.record is None:
        return {"versions": []}
    history = await store.read_history(newest.record.version, int(count))
    if isinstance(history, Unavailable):
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, history.detail)
    return {"versions": msgspec.to_builtins(history)}


async def list_audit(call: AdminCall) -> object:
    """List the audit trail of one day, newest first."""
    day = call.query.get("day", datetime.now(UTC).date().isoformat())
    if not _DAY_PATTERN.fullmatch(day):
        return Failure(ErrorKind.BAD_REQUEST, "day: must be YYYY-MM-DD")
    entries = await call.deps.audit.read_day(day)
    if isinstance(entries, Unavailable):
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, entries.detail)
    return {"calls": msgspec.to_builtins(entries)}


async def list_quarantine(call: AdminCall) -> object:
    """List the suspected and quarantined requests and parts of prompts known to this instance."""
    now = trio.current_time()
    entries = _get_suspects(call).listing(now)
    return {"digests": [_view_quarantine_entry(entry, now) for entry in entries]}


# Actions that change state without creating a configuration version


async def release_quarantine(call: AdminCall) -> object:
    """Release a digest from quarantine; peers learn of it from the next state update."""
    if not _DIGEST_PATTERN.fullmatch(call.params["digest"]):
        return Failure(ErrorKind.BAD_REQUEST, "digest: must be hexadecimal, as listed")
    digest = bytes.fromhex(call.params["digest"])
    known_digests = {item.digest for item in _get_suspects(call).listing(trio.current_time())}
    if digest in known_digests:
        call.deps.driver.feed(QuarantineReleased(digest))
        log(LogEvent.QUARANTINE_RELEASED, digest=digest.hex(), who=call.key_name)
    return {"released": digest in known_digests}


# Edits: each takes the call and the parsed base configuration, and returns the edit to apply


def put_workspace(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Add or change a workspace."""
    return _put_entry("workspaces", call.params["workspace"], call, data)


def remove_workspace(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Remove a workspace."""
    return _remove_entry("workspaces", call.params["workspace"], data)


def put_endpoint(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Add or change an endpoint."""
    return _put_entry("endpoints", call.params["endpoint"], call, data)


def put_model(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Add a model or change its desired weights version."""
    return _put_entry("models", call.params["model"], call, data)


def remove_endpoint(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Remove an endpoint."""
    return _remove_entry("endpoints", call.params["endpoint"], data)


def set_limits(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Set limits in the base configuration."""
    return SetValues("limits", call.body)


def add_key(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Add a key to a workspace."""
    return _change_keys(call, data, lambda hashes: [*hashes, call.body.get("key_hash")])


def roll_key(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Replace a key of a workspace."""
    key_id, key_hash = call.params["key_id"], call.body.get("key_hash")
    return _change_keys(
        call,
        data,
        lambda hashes: [key_hash if key_id_of(old) == key_id else old for old in hashes],
    )


def withdraw_key(call: AdminCall, data: dict[str, Any]) -> Edit | Failure:
    """Withdraw a key from a workspace."""
    key_id = call.params["key_id"]
    return _change_keys(
        call, data, lambda hashes: [old for old in hashes if key_id_of(old) != key_id]
    )


READS: dict[str, Callable[[AdminCall], Awaitable[object]]] = {
    handler.__name__: handler
    for handler in (
        list_workspaces,
        get_workspace,
        get_limits,
        list_models,
        list_endpoints,
        list_instances,
        get_config,
        list_versions,
        list_audit,
        list_quarantine,
    )
}
ACTIONS: dict[str, Callable[[AdminCall], Awaitable[object]]] = {
    "release_quarantine": release_quarantine
}
EDITS: dict[str, Callable[[AdminCall, dict[str, Any]], Edit | Failure]] = {
    handler.__name__: handler
    for handler in (
        put_workspace,
        remove_workspace,
        put_model,
        put_endpoint,
        remove_endpoint,
        set_limits,
        add_key,
        roll_key,
        withdraw_key,
    )
}


def _get_suspects(call: AdminCall) -> Suspects:
    return call.deps.driver.gateway.scheduler.suspects


def _view_quarantine_entry(entry: QuarantineEntry, now: float) -> dict[str, Any]:
    return {
        "digest": entry.digest.hex(),
        "verdict": entry.verdict.value,
        "crashed": [
            {"endpoint": name, "incarnation": incarnation} for name, incarnation in entry.crashed
        ],
        "remaining_s": round(max(0.0, entry.deadline - now), 1),
        "parts": list(entry.parts),
    }


def _view_workspace(workspace: WorkspaceCfg) -> dict[str, Any]:
    return {
        "name": workspace.name,
        "share": workspace.share,
        "max_streams": workspace.max_streams,
        "key_ids": [key_id_of(key_hash) for key_hash in workspace.key_hashes],
    }


def _put_entry(section: str, name: str, call: AdminCall, data: dict[str, Any]) -> Edit:
    fields = find_entry(data, section, name) or {}
    return PutEntry(section, {**fields, **call.body, "name": name})


def _remove_entry(section: str, name: str, data: dict[str, Any]) -> Edit | Failure:
    if find_entry(data, section, name) is None:
        return Failure(ErrorKind.NOT_FOUND, f"{section}: no entry {name!r} in the base")
    return RemoveEntry(section, name)


def _change_keys(
    call: AdminCall, data: dict[str, Any], change_hashes: Callable[[list[str]], list[Any]]
) -> Edit | Failure:
    fields = find_entry(data, "workspaces", call.params["workspace"])
    if fields is None:
        return Failure(ErrorKind.NOT_FOUND, "workspace: unknown")
    hashes = fields["key_hashes"]
    changed_hashes = change_hashes(hashes)
    if changed_hashes == hashes:
        return Failure(ErrorKind.NOT_FOUND, "key: unknown")
    return PutEntry("workspaces", {**fields, "key_hashes": changed_hashes})
