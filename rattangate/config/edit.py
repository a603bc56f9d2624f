"""Edits list entries and mappings of a base file, preserving comments elsewhere in its text."""

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
    """Add or replace an entry of a list section; `fields` include the merge key."""

    section: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RemoveEntry:
    """Remove an entry of a list section."""

    section: str
    name: str


@dataclass(frozen=True, slots=True)
class SetValues:
    """Set values of a mapping section; None removes a value."""

    section: str
    values: dict[str, Any]


Edit = PutEntry | RemoveEntry | SetValues


def edit_base(text: str, edit: Edit) -> str:
    """Apply one edit to the text of a base file.

    Comments outside of the edited section or entry stay, unless the section can't be replaced in
    the text; then the whole file is written anew, without comments.
    """
    edited = read_data(text)
    apply_edit(edited, edit)
    replaced = _replace_section(text, edit.section, edited)
    if replaced is not None and _parses_to(replaced, edited):
        return replaced
    return _dump(edited)


def read_data(text: str) -> dict[str, Any]:
    """Parse the text of a valid base file to plain data."""
    data: dict[str, Any] = yaml.safe_load(text)
    return data


def find_entry(data: dict[str, Any], section: str, name: str) -> dict[str, Any] | None:
    """Return the fields of the entry of that name, or None."""
    merge_key = SECTIONS[section].merge_key
    for item in data.get(section) or []:
        if item[merge_key] == name:
            fields: dict[str, Any] = item
            return fields
    return None


def apply_edit(data: dict[str, Any], edit: Edit) -> None:
    """Apply an edit to plain data in place."""
    if isinstance(edit, SetValues):
        merged = {**(data.get(edit.section) or {}), **edit.values}
        data[edit.section] = {key: value for key, value in merged.items() if value is not None}
        return
    merge_key = SECTIONS[edit.section].merge_key
    items = list(data.get(edit.section) or [])
    name = edit.name if isinstance(edit, RemoveEntry) else edit.fields[merge_key]
    indices = [index for index, item in enumerate(items) if item[merge_key] == name]
    if isinstance(edit, RemoveEntry):
        items = [item for item in items if item[merge_key] != name]
    elif indices:
        items[indices[0]] = edit.fields
    else:
        items.append(edit.fields)
    data[edit.section] = items


def _replace_section(text: str, section: str, edited: dict[str, Any]) -> str | None:
    lines = text.splitlines(keepends=True)
    new_lines = _dump({section: edited[section]}).splitlines(keepends=True)
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    for key, value in root.value:
        if key.value == section:
            if value.flow_style and value.start_mark.line != key.start_mark.line:
                return None
            end = _last_line_of(value) + 1
            lines[key.start_mark.line : end] = _keep_comments(
                lines[key.start_mark.line : end],
                value,
                key.start_mark.line,
                new_lines,
                edited[section],
            )
            return "".join(lines)
    if lines and not lines[-1].endswith("\n"):
        lines[-1] += "\n"
    return "".join([*lines, "\n", *new_lines])


def _keep_comments(
    old_lines: list[str], value: Node, first_line: int, new_lines: list[str], edited: Any
) -> list[str]:
    """Return the new lines of a section, reusing those of unchanged list entries.

    Reused lines keep their comments.
    """
    if not isinstance(edited, list) or value.flow_style or not edited:
        return new_lines
    result: list[str] = [old_lines[0]]
    item_chunks = _split_items(old_lines, value, first_line)
    for item in edited:
        unchanged = [chunk for chunk in item_chunks if yaml.safe_load("".join(chunk)) == [item]]
        result += unchanged[0] if unchanged else _indent(_dump([item]), item_chunks)
    return result


def _split_items(old_lines: list[str], value: Node, first_line: int) -> list[list[str]]:
    starts = [item.start_mark.line - first_line for item in value.value]
    ends = [*starts[1:], len(old_lines)]
    return [old_lines[start:end] for start, end in zip(starts, ends, strict=True)]


def _indent(text: str, item_chunks: list[list[str]]) -> list[str]:
    first_item_line = item_chunks[0][0] if item_chunks else ITEM_INDENT
    indent = first_item_line[: len(first_item_line) - len(first_item_line.lstrip())]
    return [indent + line for line in text.splitlines(keepends=True)]


def _last_line_of(node: Node) -> int:
    if isinstance(node, yaml.ScalarNode) or node.flow_style or not node.value:
        return int(node.end_mark.line)
    last = node.value[-1]
    return _last_line_of(last[1] if isinstance(last, tuple) else last)


def _parses_to(text: str, edited: dict[str, Any]) -> bool:
    try:
        return bool(yaml.safe_load(text) == edited)
    except (yaml.YAMLError, ValueError):
        return False


def _dump(data: Any) -> str:
    return str(yaml.safe_dump(data, sort_keys=False, allow_unicode=True, width=100))
