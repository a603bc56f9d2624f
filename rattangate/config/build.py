"""Converts a merged YAML tree to typed values and then to the settings dataclasses."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from rattangate.config.declarations import (
    REQUIRED,
    SECTIONS,
    declarations_of,
    is_required,
    subsections,
)
from rattangate.config.diagnostics import make_diagnostic
from rattangate.config.merge import REMOVE_KEY
from rattangate.config.model import Settings
from rattangate.config.tree import Mapping, Scalar, Sequence
from rattangate.config.value_types import Invalid

if TYPE_CHECKING:
    from rattangate.config.declarations import Declaration
    from rattangate.config.diagnostics import Diagnostic, Mark
    from rattangate.config.tree import Tree


@dataclass(slots=True)
class ParsedEntry:
    """Hold the parsed values of one mapping, without those that are invalid."""

    path: str
    mark: Mark
    values: dict[str, Any] = field(default_factory=dict)
    marks: dict[str, Mark] = field(default_factory=dict)

    def get(self, key: str) -> Any:
        """Return a parsed value, or None if it is missing or invalid."""
        return self.values.get(key)

    def mark_of(self, key: str) -> Mark:
        """Return the file and line of a key, or those of the whole entry."""
        return self.marks.get(key, self.mark)

    def path_of(self, key: str) -> str:
        """Return the full path of a key."""
        return f"{self.path}.{key}" if self.path else key


@dataclass(slots=True)
class ParsedTree:
    """Hold the parsed entries of each section.

    `incomplete` names the sections in which at least one entry could not be parsed.
    """

    entries: dict[str, list[ParsedEntry]] = field(default_factory=dict)
    incomplete: set[str] = field(default_factory=set)

    def mapping_entry(self, section: str) -> ParsedEntry:
        """Return the only entry of a section that is a mapping."""
        return self.entries[section][0]

    def values(self, section: str, key: str) -> set[Any]:
        """Return the parsed values of a key over all entries of a section."""
        return {entry.values[key] for entry in self.entries[section] if key in entry.values}

    def has_all_values(self, section: str, key: str) -> bool:
        """Return whether every entry of a section has a parsed value for a key."""
        return section not in self.incomplete and all(
            key in entry.values for entry in self.entries[section]
        )


def parse_tree(tree: Mapping, diagnostics: list[Diagnostic]) -> ParsedTree:
    """Parse all values of a merged tree and add a diagnostic for each invalid one."""
    parsed = ParsedTree()
    top_level = _parse_entry(tree, "", "", diagnostics, section_names=set(subsections()))
    parsed.entries[""] = [top_level]
    for name, section in subsections().items():
        node = tree.entries.get(name)
        parsed.entries[name] = []
        if node is None and is_required(name):
            problem = "the value is missing"
            diagnostics.append(make_diagnostic(tree.mark, name, problem, f"add `{name}:`"))
            parsed.incomplete.add(name)
        elif section.merge_key:
            _parse_list(name, node, parsed, diagnostics)
        else:
            _parse_mapping(name, node, tree.mark, parsed, diagnostics)
    return parsed


def build_settings(parsed: ParsedTree) -> Settings:
    """Return the settings of a parsed tree that has no diagnostics."""
    parts: dict[str, Any] = {}
    for name, section in subsections().items():
        built = [section.cls(**_field_values(name, entry)) for entry in parsed.entries[name]]
        parts[name] = tuple(built) if section.merge_key else built[0]
    return Settings(**_field_values("", parsed.mapping_entry("")), **parts)


def _parse_list(
    name: str, node: Tree | None, parsed: ParsedTree, diagnostics: list[Diagnostic]
) -> None:
    if node is None:
        return
    if not isinstance(node, Sequence):
        diagnostics.append(
            make_diagnostic(node.mark, name, "this is not a list", "write `- ` entries")
        )
        parsed.incomplete.add(name)
        return
    merge_key = SECTIONS[name].merge_key
    for index, item in enumerate(node.items):
        if not isinstance(item, Mapping):
            path = f"{name}[{index}]"
            diagnostics.append(
                make_diagnostic(item.mark, path, "this is not a mapping", "write its keys")
            )
            parsed.incomplete.add(name)
            continue
        name_node = item.entries.get(merge_key)
        entry_name = name_node.text if isinstance(name_node, Scalar) else str(index)
        parsed.entries[name].append(_parse_entry(item, name, f"{name}[{entry_name}]", diagnostics))


def _parse_mapping(
    name: str, node: Tree | None, mark: Mark, parsed: ParsedTree, diagnostics: list[Diagnostic]
) -> None:
    if node is None:
        node = Mapping({}, {}, mark)
    if not isinstance(node, Mapping):
        diagnostics.append(
            make_diagnostic(node.mark, name, "this is not a mapping", "write its keys below")
        )
        parsed.incomplete.add(name)
        parsed.entries[name].append(ParsedEntry(name, node.mark))
        return
    parsed.entries[name].append(_parse_entry(node, name, name, diagnostics))


def _parse_entry(
    node: Mapping,
    section: str,
    path: str,
    diagnostics: list[Diagnostic],
    section_names: set[str] | None = None,
) -> ParsedEntry:
    entry = ParsedEntry(path, node.mark, marks=dict(node.key_marks))
    known = declarations_of(section)
    for key in node.entries:
        if key not in known and key not in (section_names or ()):
            hint = f"use one of {', '.join(sorted([*known, *(section_names or ())]))}"
            if key == REMOVE_KEY:
                hint = "only an overlay may remove, with the name and `remove: true` alone"
            diagnostics.append(
                make_diagnostic(node.key_marks[key], entry.path_of(key), "unknown key", hint)
            )
    for key, decl in known.items():
        _parse_value(entry, decl, node.entries.get(key), diagnostics)
    return entry


def _parse_value(
    entry: ParsedEntry, decl: Declaration, node: Tree | None, diagnostics: list[Diagnostic]
) -> None:
    key = entry.path_of(decl.key)
    if node is None:
        if decl.default is REQUIRED:
            hint = f"add `{decl.key}:`, {decl.doc[0].lower()}{decl.doc[1:].rstrip('.')}"
            diagnostics.append(make_diagnostic(entry.mark, key, "the value is missing", hint))
        else:
            entry.values[decl.key] = decl.default
        return
    mark = node.mark
    if isinstance(node, Scalar) and node.is_null:
        hint = "write a value or drop the line"
        diagnostics.append(make_diagnostic(mark, key, "the value is empty", hint))
        return
    value = decl.value_type.parse(node)
    if isinstance(value, Invalid):
        diagnostics.append(make_diagnostic(mark, key, value.problem, value.hint))
        return
    bounds = decl.bounds
    if bounds is not None and not bounds.low <= value <= bounds.high:
        unit = decl.unit or {"_s": "seconds", "_bytes": "bytes"}.get(
            decl.value_type.field_suffix, ""
        )
        hint = f"choose {bounds.low:g} to {bounds.high:g} {unit}".rstrip()
        diagnostics.append(make_diagnostic(mark, key, "the value is out of range", hint))
        return
    entry.values[decl.key] = value


def _field_values(section: str, entry: ParsedEntry) -> dict[str, Any]:
    return {decl.field: entry.values[key] for key, decl in declarations_of(section).items()}
