"""Checks that span several settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rattangate.config.declarations import subsections
from rattangate.config.faults import make_fault
from rattangate.config.model import EndpointKind, Role

if TYPE_CHECKING:
    from rattangate.config.build import Draft, Entry
    from rattangate.config.faults import Fault

_ADDRESSES = (
    ("platform", "address"),
    ("instances", "caller_address"),
    ("instances", "admin_address"),
    ("instances", "peer_address"),
    ("endpoints", "address"),
)
_MIN_LOST_HEARTBEATS = 2


def check_draft(draft: Draft, faults: list[Fault]) -> None:
    """Find all faults that span several settings."""
    for check in _CHECKS:
        check(draft, faults)


def _check_names(draft: Draft, faults: list[Fault]) -> None:
    for name, section in subsections().items():
        if section.identity:
            _check_unique(draft, faults, ((name, section.identity),), "the name")


def _check_addresses(draft: Draft, faults: list[Fault]) -> None:
    _check_unique(draft, faults, _ADDRESSES, "the address")


def _check_unique(
    draft: Draft, faults: list[Fault], places: tuple[tuple[str, str], ...], what: str
) -> None:
    first: dict[Any, str] = {}
    for section, key in places:
        for entry in draft.entries[section]:
            value = entry.get(key)
            if value is None:
                continue
            if value in first:
                _report(faults, entry, key, f"{what} is that of {first[value]}", "choose another")
            else:
                first[value] = entry.path_of(key)


def _check_key_hashes(draft: Draft, faults: list[Fault]) -> None:
    holders: dict[str, str] = {}
    for entry in draft.entries["workspaces"]:
        if entry.get("key_hashes") == ():
            _report(faults, entry, "key_hashes", "the list is empty", "add one hash or more")
        for key_hash in entry.get("key_hashes") or ():
            _claim_hash(faults, entry, "key_hashes", key_hash, holders)
    for entry in draft.entries["admin_keys"]:
        if entry.get("key_hash"):
            _claim_hash(faults, entry, "key_hash", entry.get("key_hash"), holders)


def _claim_hash(
    faults: list[Fault], entry: Entry, key: str, key_hash: str, holders: dict[str, str]
) -> None:
    if key_hash in holders:
        problem = f"the same key belongs to {holders[key_hash]}"
        _report(faults, entry, key, problem, "give each holder keys of its own")
    else:
        holders[key_hash] = entry.path


def _check_data_centres(draft: Draft, faults: list[Fault]) -> None:
    if not draft.entries["data_centres"] and "data_centres" not in draft.broken:
        top = draft.one("")
        _report(faults, top, "data_centres", "no data centre is declared", "add one or more")
        return
    if not draft.knows_all("data_centres", "name"):
        return
    known = draft.values("data_centres", "name")
    for section in ("instances", "endpoints"):
        for entry in draft.entries[section]:
            _check_reference(faults, entry, "data_centre", known, "data centre")
    if draft.one("").get("site"):
        _check_reference(faults, draft.one(""), "site", known, "data centre")


def _check_reference(
    faults: list[Fault], entry: Entry, key: str, known: set[str], what: str
) -> None:
    value = entry.get(key)
    if value is not None and value not in known:
        mend = f"use one of {', '.join(sorted(known))}"
        _report(faults, entry, key, f"there is no such {what}", mend)


def _check_instances(draft: Draft, faults: list[Fault]) -> None:
    if not draft.entries["instances"] and "instances" not in draft.broken:
        _report(faults, draft.one(""), "instances", "no instance is declared", "add one or more")


def _check_endpoints(draft: Draft, faults: list[Fault]) -> None:
    models = draft.values("models", "name")
    services = draft.values("routes", "service")
    for entry in draft.entries["endpoints"]:
        kind = entry.get("kind")
        if kind is EndpointKind.ENGINE and draft.knows_all("models", "name"):
            _check_reference(faults, entry, "serves", models, "model")
        if kind is EndpointKind.SERVICE and draft.knows_all("routes", "service"):
            _check_reference(faults, entry, "serves", services, "service in the routes")
        if kind is EndpointKind.SERVICE and entry.get("cache_pieces"):
            problem = "a plain service has no prefix cache"
            _report(faults, entry, "cache_pieces", problem, "drop the line")


def _check_models(draft: Draft, faults: list[Fault]) -> None:
    if not (draft.knows_all("endpoints", "kind") and draft.knows_all("endpoints", "serves")):
        return
    for entry in draft.entries["models"]:
        engines = _count_serving(draft, EndpointKind.ENGINE, entry.get("name"))
        min_replicas = entry.get("min_replicas")
        if entry.get("name") is None:
            continue
        if not engines:
            _report(faults, entry, "name", "no engine serves this model", "add an endpoint")
        elif min_replicas is not None and min_replicas > engines:
            mend = f"choose {engines} at most"
            _report(faults, entry, "min_replicas", "there are fewer engines", mend)


def _check_routes(draft: Draft, faults: list[Fault]) -> None:
    if not (draft.knows_all("endpoints", "kind") and draft.knows_all("endpoints", "serves")):
        return
    for entry in draft.entries["routes"]:
        prefix = entry.get("path_prefix")
        if prefix is not None and prefix.split("/")[1] == "v1":
            problem = "the path belongs to the model API"
            _report(faults, entry, "path_prefix", problem, "choose a path outside `/v1`")
        service = entry.get("service")
        if service and not _count_serving(draft, EndpointKind.SERVICE, service):
            mend = "add an endpoint of kind `service` that serves it"
            _report(faults, entry, "service", "no endpoint serves this", mend)


def _count_serving(draft: Draft, kind: EndpointKind, name: str | None) -> int:
    return sum(
        entry.get("kind") is kind and entry.get("serves") == name
        for entry in draft.entries["endpoints"]
    )


def _check_admin_keys(draft: Draft, faults: list[Fault]) -> None:
    known = draft.values("workspaces", "name")
    for entry in draft.entries["admin_keys"]:
        owner = entry.get("role") is Role.WORKSPACE_OWNER
        workspace = entry.get("workspace")
        if owner and workspace == "":
            _report(faults, entry, "workspace", "the value is missing", "name the workspace")
        elif owner and draft.knows_all("workspaces", "name"):
            _check_reference(faults, entry, "workspace", known, "workspace")
        elif workspace and entry.get("role") is not None:
            problem = "only a `workspace_owner` is bound to a workspace"
            _report(faults, entry, "workspace", problem, "drop the line")


def _check_peers(draft: Draft, faults: list[Fault]) -> None:
    peers = draft.one("peers")
    lost_after = peers.get("lost_after")
    heartbeat = peers.get("heartbeat_interval")
    if lost_after is None or heartbeat is None:
        return
    if lost_after < _MIN_LOST_HEARTBEATS * heartbeat:
        mend = f"choose {_MIN_LOST_HEARTBEATS} times heartbeat_interval or more"
        _report(faults, peers, "lost_after", "one late heartbeat would lose a peer", mend)
    if len(draft.entries["instances"]) > 1 and peers.get("secret_hash") == "":
        problem = "several instances need a secret to authenticate each other"
        _report(faults, peers, "secret_hash", problem, "add the hash of a random secret")


def _report(faults: list[Fault], entry: Entry, key: str, problem: str, mend: str) -> None:
    faults.append(make_fault(entry.mark_of(key), entry.path_of(key), problem, mend))


_CHECKS = (
    _check_names,
    _check_addresses,
    _check_key_hashes,
    _check_data_centres,
    _check_instances,
    _check_endpoints,
    _check_models,
    _check_routes,
    _check_admin_keys,
    _check_peers,
)
