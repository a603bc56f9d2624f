"""Edits named entries and mappings of a base file and keeps the rest of its text."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import yaml

from rattangate.config.declarations import SECTIONS

if TYPE_CHECKING:
    from yaml.nodes import Node

ITEM_INDENT = "  "


@dataclass(frozen=True, slots=True)
class PutEntry:
    """Add or replace an entry of a section that is a list; the fields hold its identity."""

    section: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RemoveEntry:
    """Remove an entry of a section that is a list."""

    section: str
    name: str


@dataclass(frozen=True, slots=True)
class SetValues:
    """Set values in a section that is a mapping; None drops a value."""

    section: str
    values: dict[str, Any]


Edit = PutEntry | RemoveEntry | SetValues


def edit_base(text: str, edit: Edit) -> str:
    """Return the text with one edit; comments outside of the edited part stay."""
    wanted = read_data(text)
    apply_edit(wanted, edit)
    spliced = _splice(text, edit.section, wanted)
    if spliced is not None and _means(spliced, wanted):
        return spliced
    return _dump(wanted)


def read_data(text: str) -> dict[str, Any]:
    """Return the plain data of a base that passed the checks."""
    data: dict[str, Any] = yaml.safe_load(text)
    return data


def find_entry(data: dict[str, Any], section: str, name: str) -> dict[str, Any] | None:
    """Return the fields of a named entry, or None."""
    identity = SECTIONS[section].identity
    for item in data.get(section) or []:
        if item[identity] == name:
            fields: dict[str, Any] = item
            return fields
    return None


def apply_edit(data: dict[str, Any], edit: Edit) -> None:
    """Change plain data in place."""
    if isinstance(edit, SetValues):
        merged = {**(data.get(edit.section) or {}), **edit.values}
        data[edit.section] = {key: value for key, value in merged.items() if value is not None}
        return
    identity = SECTIONS[edit.section].identity
    items = list(data.get(edit.section) or [])
    name = edit.name if isinstance(edit, RemoveEntry) else edit.fields[identity]
    places = [place for place, item in enumerate(items) if item[identity] == name]
    if isinstance(edit, RemoveEntry):
        items = [item for item in items if item[identity] != name]
    elif places:
        items[places[0]] = edit.fields
    else:
        items.append(edit.fields)
    data[edit.section] = items


def _splice(text: str, section: str, wanted: dict[str, Any]) -> str | None:
    lines = text.splitlines(keepends=True)
    part = _dump({section: wanted[section]}).splitlines(keepends=True)
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    for key, value in root.value:
        if key.value == section:
            if value.flow_style and value.start_mark.line != key.start_mark.line:
                return None
            end = _last_line(value) + 1
            lines[key.start_mark.line : end] = _keep_comments(
                lines[key.start_mark.line : end], value, key.start_mark.line, part, wanted[section]
            )
            return "".join(lines)
    if lines and not lines[-1].endswith("\n"):
        lines[-1] += "\n"
    return "".join([*lines, "\n", *part])


def _keep_comments(
    old: list[str], value: Node, first: int, part: list[str], wanted: Any
) -> list[str]:
    """Reuse the lines of list entries that did not change, with their comments."""
    if not isinstance(wanted, list) or value.flow_style or not wanted:
        return part
    kept: list[str] = [old[0]]
    chunks = _chunks(old, value, first)
    for item in wanted:
        same = [chunk for chunk in chunks if yaml.safe_load("".join(chunk)) == [item]]
        kept += same[0] if same else _indent(_dump([item]), chunks)
    return kept


def _chunks(old: list[str], value: Node, first: int) -> list[list[str]]:
    starts = [item.start_mark.line - first for item in value.value]
    ends = [*starts[1:], len(old)]
    return [old[start:end] for start, end in zip(starts, ends, strict=True)]


def _indent(text: str, chunks: list[list[str]]) -> list[str]:
    sample = chunks[0][0] if chunks else ITEM_INDENT
    indent = sample[: len(sample) - len(sample.lstrip())]
    return [indent + line for line in text.splitlines(keepends=True)]


def _last_line(node: Node) -> int:
    if isinstance(node, yaml.ScalarNode) or node.flow_style or not node.value:
        return int(node.end_mark.line)
    last = node.value[-1]
    return _last_line(last[1] if isinstance(last, tuple) else last)


def _means(text: str, wanted: dict[str, Any]) -> bool:
    try:
        return bool(yaml.safe_load(text) == wanted)
    except (yaml.YAMLError, ValueError):
        return False


def _dump(data: Any) -> str:
    return str(yaml.safe_dump(data, sort_keys=False, allow_unicode=True, width=100))
