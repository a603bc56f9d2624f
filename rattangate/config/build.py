"""Turns a merged tree into checked values and then into the settings dataclasses."""

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
from rattangate.config.faults import make_fault
from rattangate.config.kinds import Invalid
from rattangate.config.merge import REMOVE_KEY
from rattangate.config.model import Settings
from rattangate.config.tree import Mapping, Scalar, Sequence

if TYPE_CHECKING:
    from rattangate.config.declarations import Declaration
    from rattangate.config.faults import Fault, Mark
    from rattangate.config.tree import Tree


@dataclass(slots=True)
class Entry:
    """Hold the parsed values of one mapping, less those that were refused."""

    path: str
    mark: Mark
    values: dict[str, Any] = field(default_factory=dict)
    marks: dict[str, Mark] = field(default_factory=dict)

    def get(self, key: str) -> Any:
        """Return a parsed value, or None when it was refused."""
        return self.values.get(key)

    def mark_of(self, key: str) -> Mark:
        """Return the mark of a key, or that of the whole entry."""
        return self.marks.get(key, self.mark)

    def path_of(self, key: str) -> str:
        """Return the full path of a key."""
        return f"{self.path}.{key}" if self.path else key


@dataclass(slots=True)
class Draft:
    """Hold the entries of each section, and the sections that lost an entry to a fault."""

    entries: dict[str, list[Entry]] = field(default_factory=dict)
    broken: set[str] = field(default_factory=set)

    def one(self, section: str) -> Entry:
        """Return the entry of a section that is a mapping."""
        return self.entries[section][0]

    def values(self, section: str, key: str) -> set[Any]:
        """Return all parsed values of a key in a section."""
        return {entry.values[key] for entry in self.entries[section] if key in entry.values}

    def knows_all(self, section: str, key: str) -> bool:
        """Say whether every value of a key in a section was parsed."""
        return section not in self.broken and all(
            key in entry.values for entry in self.entries[section]
        )


def build_draft(tree: Mapping, faults: list[Fault]) -> Draft:
    """Parse all values of a merged tree."""
    draft = Draft()
    top = _build_entry(tree, "", "", faults, also=set(subsections()))
    draft.entries[""] = [top]
    for name, section in subsections().items():
        node = tree.entries.get(name)
        draft.entries[name] = []
        if node is None and is_required(name):
            problem = "the value is missing"
            faults.append(make_fault(tree.mark, name, problem, f"add `{name}:`"))
            draft.broken.add(name)
        elif section.identity:
            _build_list(name, node, draft, faults)
        else:
            _build_mapping(name, node, tree.mark, draft, faults)
    return draft


def build_settings(draft: Draft) -> Settings:
    """Return the settings of a draft without faults."""
    parts: dict[str, Any] = {}
    for name, section in subsections().items():
        built = [section.cls(**_fields(name, entry)) for entry in draft.entries[name]]
        parts[name] = tuple(built) if section.identity else built[0]
    return Settings(**_fields("", draft.one("")), **parts)


def _build_list(name: str, node: Tree | None, draft: Draft, faults: list[Fault]) -> None:
    if node is None:
        return
    if not isinstance(node, Sequence):
        faults.append(make_fault(node.mark, name, "this is not a list", "write `- ` entries"))
        draft.broken.add(name)
        return
    identity = SECTIONS[name].identity
    for place, item in enumerate(node.items):
        if not isinstance(item, Mapping):
            path = f"{name}[{place}]"
            faults.append(make_fault(item.mark, path, "this is not a mapping", "write its keys"))
            draft.broken.add(name)
            continue
        label = item.entries.get(identity)
        label_text = label.text if isinstance(label, Scalar) else str(place)
        draft.entries[name].append(_build_entry(item, name, f"{name}[{label_text}]", faults))


def _build_mapping(
    name: str, node: Tree | None, mark: Mark, draft: Draft, faults: list[Fault]
) -> None:
    if node is None:
        node = Mapping({}, {}, mark)
    if not isinstance(node, Mapping):
        faults.append(make_fault(node.mark, name, "this is not a mapping", "write its keys below"))
        draft.broken.add(name)
        draft.entries[name].append(Entry(name, node.mark))
        return
    draft.entries[name].append(_build_entry(node, name, name, faults))


def _build_entry(
    node: Mapping, section: str, path: str, faults: list[Fault], also: set[str] | None = None
) -> Entry:
    entry = Entry(path, node.mark, marks=dict(node.key_marks))
    known = declarations_of(section)
    for key in node.entries:
        if key not in known and key not in (also or ()):
            mend = f"use one of {', '.join(sorted([*known, *(also or ())]))}"
            if key == REMOVE_KEY:
                mend = "only an overlay may remove, with the name and `remove: true` alone"
            faults.append(make_fault(node.key_marks[key], entry.path_of(key), "unknown key", mend))
    for key, decl in known.items():
        _build_value(entry, decl, node.entries.get(key), faults)
    return entry


def _build_value(entry: Entry, decl: Declaration, node: Tree | None, faults: list[Fault]) -> None:
    key = entry.path_of(decl.key)
    if node is None:
        if decl.default is REQUIRED:
            mend = f"add `{decl.key}:`, {decl.doc[0].lower()}{decl.doc[1:].rstrip('.')}"
            faults.append(make_fault(entry.mark, key, "the value is missing", mend))
        else:
            entry.values[decl.key] = decl.default
        return
    mark = node.mark
    if isinstance(node, Scalar) and node.is_null:
        mend = "write a value or drop the line"
        faults.append(make_fault(mark, key, "the value is empty", mend))
        return
    value = decl.kind.parse(node)
    if isinstance(value, Invalid):
        faults.append(make_fault(mark, key, value.problem, value.mend))
        return
    bounds = decl.check
    if bounds is not None and not bounds.low <= value <= bounds.high:
        unit = decl.unit or {"_s": "seconds", "_bytes": "bytes"}.get(decl.kind.field_suffix, "")
        mend = f"choose {bounds.low:g} to {bounds.high:g} {unit}".rstrip()
        faults.append(make_fault(mark, key, "the value is out of range", mend))
        return
    entry.values[decl.key] = value


def _fields(section: str, entry: Entry) -> dict[str, Any]:
    return {decl.field: entry.values[key] for key, decl in declarations_of(section).items()}
