"""Validates constraints that involve more than one setting."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rattangate.config.declarations import subsections
from rattangate.config.diagnostics import make_diagnostic
from rattangate.config.model import EndpointKind, Role

if TYPE_CHECKING:
    from rattangate.config.build import ParsedEntry, ParsedTree
    from rattangate.config.diagnostics import Diagnostic

_ADDRESSES = (
    ("platform", "address"),
    ("instances", "caller_address"),
    ("instances", "admin_address"),
    ("instances", "peer_address"),
    ("endpoints", "address"),
)
_MIN_LOST_HEARTBEATS = 2


def check_constraints(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    """Add a diagnostic for each violated constraint between settings."""
    for check in _CHECKS:
        check(parsed, diagnostics)


def _check_names(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    for name, section in subsections().items():
        if section.merge_key:
            _check_unique(parsed, diagnostics, ((name, section.merge_key),), "the name")


def _check_addresses(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    _check_unique(parsed, diagnostics, _ADDRESSES, "the address")


def _check_unique(
    parsed: ParsedTree,
    diagnostics: list[Diagnostic],
    section_keys: tuple[tuple[str, str], ...],
    noun: str,
) -> None:
    first_uses: dict[Any, str] = {}
    for section, key in section_keys:
        for entry in parsed.entries[section]:
            value = entry.get(key)
            if value is None:
                continue
            if value in first_uses:
                _add_diagnostic(
                    diagnostics,
                    entry,
                    key,
                    f"{noun} is that of {first_uses[value]}",
                    "choose another",
                )
            else:
                first_uses[value] = entry.path_of(key)


def _check_key_hashes(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    owners: dict[str, str] = {}
    for entry in parsed.entries["workspaces"]:
        if entry.get("key_hashes") == ():
            _add_diagnostic(
                diagnostics, entry, "key_hashes", "the list is empty", "add one hash or more"
            )
        for key_hash in entry.get("key_hashes") or ():
            _register_hash(diagnostics, entry, "key_hashes", key_hash, owners)
    for entry in parsed.entries["admin_keys"]:
        if entry.get("key_hash"):
            _register_hash(diagnostics, entry, "key_hash", entry.get("key_hash"), owners)


def _register_hash(
    diagnostics: list[Diagnostic],
    entry: ParsedEntry,
    key: str,
    key_hash: str,
    owners: dict[str, str],
) -> None:
    if key_hash in owners:
        problem = f"the same key belongs to {owners[key_hash]}"
        _add_diagnostic(diagnostics, entry, key, problem, "give each holder keys of its own")
    else:
        owners[key_hash] = entry.path


def _check_data_centres(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    if not parsed.entries["data_centres"] and "data_centres" not in parsed.incomplete:
        top_level = parsed.mapping_entry("")
        _add_diagnostic(
            diagnostics, top_level, "data_centres", "no data centre is declared", "add one or more"
        )
        return
    if not parsed.has_all_values("data_centres", "name"):
        return
    known = parsed.values("data_centres", "name")
    for section in ("instances", "endpoints"):
        for entry in parsed.entries[section]:
            _check_reference(diagnostics, entry, "data_centre", known, "data centre")
    if parsed.mapping_entry("").get("site"):
        _check_reference(diagnostics, parsed.mapping_entry(""), "site", known, "data centre")


def _check_reference(
    diagnostics: list[Diagnostic], entry: ParsedEntry, key: str, known: set[str], noun: str
) -> None:
    value = entry.get(key)
    if value is not None and value not in known:
        hint = f"use one of {', '.join(sorted(known))}"
        _add_diagnostic(diagnostics, entry, key, f"there is no such {noun}", hint)


def _check_instances(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    if not parsed.entries["instances"] and "instances" not in parsed.incomplete:
        _add_diagnostic(
            diagnostics,
            parsed.mapping_entry(""),
            "instances",
            "no instance is declared",
            "add one or more",
        )


def _check_endpoints(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    models = parsed.values("models", "name")
    services = parsed.values("routes", "service")
    for entry in parsed.entries["endpoints"]:
        kind = entry.get("kind")
        if kind is EndpointKind.ENGINE and parsed.has_all_values("models", "name"):
            _check_reference(diagnostics, entry, "serves", models, "model")
        if kind is EndpointKind.SERVICE and parsed.has_all_values("routes", "service"):
            _check_reference(diagnostics, entry, "serves", services, "service in the routes")
        if kind is EndpointKind.SERVICE and entry.get("cache_pieces"):
            problem = "a plain service has no prefix cache"
            _add_diagnostic(diagnostics, entry, "cache_pieces", problem, "drop the line")


def _check_models(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    if not (
        parsed.has_all_values("endpoints", "kind") and parsed.has_all_values("endpoints", "serves")
    ):
        return
    for entry in parsed.entries["models"]:
        engine_count = _count_serving(parsed, EndpointKind.ENGINE, entry.get("name"))
        min_replicas = entry.get("min_replicas")
        if entry.get("name") is None:
            continue
        if not engine_count:
            _add_diagnostic(
                diagnostics, entry, "name", "no engine serves this model", "add an endpoint"
            )
        elif min_replicas is not None and min_replicas > engine_count:
            hint = f"choose {engine_count} at most"
            _add_diagnostic(diagnostics, entry, "min_replicas", "there are fewer engines", hint)


def _check_routes(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    if not (
        parsed.has_all_values("endpoints", "kind") and parsed.has_all_values("endpoints", "serves")
    ):
        return
    for entry in parsed.entries["routes"]:
        prefix = entry.get("path_prefix")
        if prefix is not None and prefix.split("/")[1] == "v1":
            problem = "the path belongs to the model API"
            _add_diagnostic(
                diagnostics, entry, "path_prefix", problem, "choose a path outside `/v1`"
            )
        service = entry.get("service")
        if service and not _count_serving(parsed, EndpointKind.SERVICE, service):
            hint = "add an endpoint of kind `service` that serves it"
            _add_diagnostic(diagnostics, entry, "service", "no endpoint serves this", hint)


def _count_serving(parsed: ParsedTree, kind: EndpointKind, name: str | None) -> int:
    return sum(
        entry.get("kind") is kind and entry.get("serves") == name
        for entry in parsed.entries["endpoints"]
    )


def _check_admin_keys(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    known = parsed.values("workspaces", "name")
    for entry in parsed.entries["admin_keys"]:
        is_owner = entry.get("role") is Role.WORKSPACE_OWNER
        workspace = entry.get("workspace")
        if is_owner and workspace == "":
            _add_diagnostic(
                diagnostics, entry, "workspace", "the value is missing", "name the workspace"
            )
        elif is_owner and parsed.has_all_values("workspaces", "name"):
            _check_reference(diagnostics, entry, "workspace", known, "workspace")
        elif workspace and entry.get("role") is not None:
            problem = "only a `workspace_owner` is bound to a workspace"
            _add_diagnostic(diagnostics, entry, "workspace", problem, "drop the line")


def _check_peers(parsed: ParsedTree, diagnostics: list[Diagnostic]) -> None:
    peers = parsed.mapping_entry("peers")
    lost_after = peers.get("lost_after")
    heartbeat = peers.get("heartbeat_interval")
    if lost_after is None or heartbeat is None:
        return
    if lost_after < _MIN_LOST_HEARTBEATS * heartbeat:
        hint = f"choose {_MIN_LOST_HEARTBEATS} times heartbeat_interval or more"
        _add_diagnostic(
            diagnostics, peers, "lost_after", "one late heartbeat would lose a peer", hint
        )
    if len(parsed.entries["instances"]) > 1 and peers.get("secret_hash") == "":
        problem = "several instances need a secret to authenticate each other"
        _add_diagnostic(
            diagnostics, peers, "secret_hash", problem, "add the hash of a random secret"
        )


def _add_diagnostic(
    diagnostics: list[Diagnostic], entry: ParsedEntry, key: str, problem: str, hint: str
) -> None:
    diagnostics.append(make_diagnostic(entry.mark_of(key), entry.path_of(key), problem, hint))


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
