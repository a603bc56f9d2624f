"""The handlers of the administration API, one for each operation of the table."""

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
    from rattangate.core.quarantine import Listed, Quarantine
    from rattangate.http.admin_parts import AdminParts

KEY_ID_DIGITS = 12
DEFAULT_VERSIONS = 20
MAX_VERSIONS = 200
_DIGEST = re.compile(r"(?:[0-9a-f]{2}){1,32}")
_DAY = re.compile(r"\d{4}-\d{2}-\d{2}")


@dataclass(frozen=True, slots=True)
class Call:
    """Hold what a handler needs of one call."""

    parts: AdminParts
    params: dict[str, str]
    query: dict[str, str]
    body: dict[str, Any]
    who: str = ""


def key_id_of(key_hash: str) -> str:
    """Return the id that names a key without telling its hash."""
    return sha256(key_hash.encode()).hexdigest()[:KEY_ID_DIGITS]


# Reads


async def list_workspaces(call: Call) -> object:
    """List all workspaces."""
    return {
        "workspaces": [_view_workspace(item) for item in call.parts.in_force.settings.workspaces]
    }


async def get_workspace(call: Call) -> object:
    """Show one workspace."""
    for workspace in call.parts.in_force.settings.workspaces:
        if workspace.name == call.params["workspace"]:
            return _view_workspace(workspace)
    return Failure(ErrorKind.NOT_FOUND, "workspace: unknown")


async def get_limits(call: Call) -> object:
    """Show the limits of this site."""
    return {"limits": view_settings(call.parts.in_force.settings)["limits"]}


async def list_models(call: Call) -> object:
    """List the models with their wanted versions."""
    return {"models": view_settings(call.parts.in_force.settings)["models"]}


async def list_endpoints(call: Call) -> object:
    """List endpoints as seen from this instance."""
    return {"endpoints": call.parts.status.describe_endpoints()}


async def list_instances(call: Call) -> object:
    """List instances as seen from this one."""
    return {"instances": call.parts.status.describe_instances()}


async def get_config(call: Call) -> object:
    """Show the version in force here and the newest record of the table."""
    newest = await call.parts.config_store.read_newest()
    record = None if isinstance(newest, ReadFailed) else newest.record
    return {
        "in_force": call.parts.status.config_version,
        "newest": msgspec.to_builtins(record) if record is not None else None,
        "platform": "down" if isinstance(newest, ReadFailed) else "up",
    }


async def list_versions(call: Call) -> object:
    """List the last versions, newest first."""
    count = call.query.get("count", str(DEFAULT_VERSIONS))
    if not re.fullmatch(r"[0-9]{1,4}", count) or not 1 <= int(count) <= MAX_VERSIONS:
        return Failure(ErrorKind.BAD_REQUEST, f"count: must be 1 to {MAX_VERSIONS}")
    store = call.parts.config_store
    newest = await store.read_newest()
    if isinstance(newest, ReadFailed):
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE)
    if newest.record is None:
        return {"versions": []}
    history = await store.read_history(newest.record.version, int(count))
    if isinstance(history, Unavailable):
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, history.detail)
    return {"versions": msgspec.to_builtins(history)}


async def list_audit(call: Call) -> object:
    """List the audit trail of one day, newest first."""
    day = call.query.get("day", datetime.now(UTC).date().isoformat())
    if not _DAY.fullmatch(day):
        return Failure(ErrorKind.BAD_REQUEST, "day: must be YYYY-MM-DD")
    entries = await call.parts.audit.read_day(day)
    if isinstance(entries, Unavailable):
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, entries.detail)
    return {"calls": msgspec.to_builtins(entries)}


async def list_quarantine(call: Call) -> object:
    """List suspected and quarantined digests as known here."""
    now = trio.current_time()
    listing = _quarantine(call).listing(now)
    return {"digests": [_view_listed(listed, now) for listed in listing]}


# Acts that make no configuration version


async def release_quarantine(call: Call) -> object:
    """Release a digest; the peers hear of it with the next news."""
    if not _DIGEST.fullmatch(call.params["digest"]):
        return Failure(ErrorKind.BAD_REQUEST, "digest: must be hexadecimal, as listed")
    digest = bytes.fromhex(call.params["digest"])
    listed = {item.digest for item in _quarantine(call).listing(trio.current_time())}
    if digest in listed:
        call.parts.driver.feed(QuarantineReleased(digest))
        log(LogEvent.QUARANTINE_RELEASED, digest=digest.hex(), who=call.who)
    return {"released": digest in listed}


# Edits: each takes the call and the base's plain data, and returns the edit


def put_workspace(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Add or change a workspace."""
    return _put_entry("workspaces", call.params["workspace"], call, data)


def remove_workspace(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Remove a workspace."""
    return _remove_entry("workspaces", call.params["workspace"], data)


def put_endpoint(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Add or change an endpoint."""
    return _put_entry("endpoints", call.params["endpoint"], call, data)


def put_model(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Add a model or change its wanted version."""
    return _put_entry("models", call.params["model"], call, data)


def remove_endpoint(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Remove an endpoint."""
    return _remove_entry("endpoints", call.params["endpoint"], data)


def set_limits(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Set limits of the base."""
    return SetValues("limits", call.body)


def add_key(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Add a key to a workspace."""
    return _change_keys(call, data, lambda hashes: [*hashes, call.body.get("key_hash")])


def roll_key(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Replace a key of a workspace."""
    key_id, key_hash = call.params["key_id"], call.body.get("key_hash")
    return _change_keys(
        call,
        data,
        lambda hashes: [key_hash if key_id_of(old) == key_id else old for old in hashes],
    )


def withdraw_key(call: Call, data: dict[str, Any]) -> Edit | Failure:
    """Withdraw a key from a workspace."""
    key_id = call.params["key_id"]
    return _change_keys(
        call, data, lambda hashes: [old for old in hashes if key_id_of(old) != key_id]
    )


READS: dict[str, Callable[[Call], Awaitable[object]]] = {
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
ACTS: dict[str, Callable[[Call], Awaitable[object]]] = {"release_quarantine": release_quarantine}
EDITS: dict[str, Callable[[Call, dict[str, Any]], Edit | Failure]] = {
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


def _quarantine(call: Call) -> Quarantine:
    return call.parts.driver.gateway.intake.suspects.quarantine


def _view_listed(listed: Listed, now: float) -> dict[str, Any]:
    return {
        "digest": listed.digest.hex(),
        "verdict": listed.verdict.value,
        "crashed": [{"endpoint": name, "incarnation": life} for name, life in listed.crashed],
        "remaining_s": round(max(0.0, listed.deadline - now), 1),
    }


def _view_workspace(workspace: WorkspaceCfg) -> dict[str, Any]:
    return {
        "name": workspace.name,
        "share": workspace.share,
        "max_streams": workspace.max_streams,
        "key_ids": [key_id_of(key_hash) for key_hash in workspace.key_hashes],
    }


def _put_entry(section: str, name: str, call: Call, data: dict[str, Any]) -> Edit:
    fields = find_entry(data, section, name) or {}
    return PutEntry(section, {**fields, **call.body, "name": name})


def _remove_entry(section: str, name: str, data: dict[str, Any]) -> Edit | Failure:
    if find_entry(data, section, name) is None:
        return Failure(ErrorKind.NOT_FOUND, f"{section}: no entry {name!r} in the base")
    return RemoveEntry(section, name)


def _change_keys(
    call: Call, data: dict[str, Any], change: Callable[[list[str]], list[Any]]
) -> Edit | Failure:
    fields = find_entry(data, "workspaces", call.params["workspace"])
    if fields is None:
        return Failure(ErrorKind.NOT_FOUND, "workspace: unknown")
    hashes = fields["key_hashes"]
    changed = change(hashes)
    if changed == hashes:
        return Failure(ErrorKind.NOT_FOUND, "key: unknown")
    return PutEntry("workspaces", {**fields, "key_hashes": changed})
