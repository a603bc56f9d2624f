"""Merges an overlay into a base.

Mappings merge by key, lists by the merge key of their section; all other values are replaced. A
null in the overlay removes the value of the base, `remove: true` removes an entry of a list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.config.declarations import SECTIONS, SITE_KEY, declarations_of, subsections
from rattangate.config.diagnostics import make_diagnostic
from rattangate.config.tree import Mapping, Scalar, Sequence

if TYPE_CHECKING:
    from rattangate.config.diagnostics import Diagnostic
    from rattangate.config.tree import Tree

REMOVE_KEY = "remove"
_BASE_ONLY_DIAGNOSTIC = ("all sites share this", "set it in the base")


def merge_overlay(base: Mapping, overlay: Mapping, diagnostics: list[Diagnostic]) -> Mapping:
    """Return the base merged with the overlay; add a diagnostic for each invalid override."""
    if SITE_KEY in base.entries:
        mark = base.key_marks[SITE_KEY]
        diagnostics.append(
            make_diagnostic(mark, SITE_KEY, "a base has no site", "set it in the overlay")
        )
    if SITE_KEY not in overlay.entries:
        hint = "add `site:` with the data centre that the overlay is for"
        diagnostics.append(make_diagnostic(overlay.mark, SITE_KEY, "the value is missing", hint))
    merged = Mapping(dict(base.entries), dict(base.key_marks), base.mark)
    declared = declarations_of("")
    for key, value in overlay.entries.items():
        section = subsections().get(key)
        base_value = base.entries.get(key)
        if _is_base_only(key):
            mark = overlay.key_marks[key]
            diagnostics.append(make_diagnostic(mark, key, *_BASE_ONLY_DIAGNOSTIC))
        if _is_null(value) and (section or key in declared):
            merged.entries.pop(key, None)
            continue
        if section and not section.merge_key and isinstance(value, Mapping):
            base_mapping = (
                base_value if isinstance(base_value, Mapping) else Mapping({}, {}, value.mark)
            )
            value = _merge_mapping(base_mapping, value, key, diagnostics)
        elif section and isinstance(value, Sequence) and section.merge_key:
            items = base_value if isinstance(base_value, Sequence) else Sequence((), value.mark)
            value = _merge_list(items, value, key, diagnostics)
        merged.entries[key] = value
        merged.key_marks[key] = overlay.key_marks[key]
    return merged


def _merge_mapping(
    base: Mapping, overlay: Mapping, section: str, diagnostics: list[Diagnostic]
) -> Mapping:
    merged = Mapping(dict(base.entries), dict(base.key_marks), base.mark)
    declared = declarations_of(section)
    for key, value in overlay.entries.items():
        if key in declared and declared[key].base_only:
            mark = overlay.key_marks[key]
            diagnostics.append(make_diagnostic(mark, f"{section}.{key}", *_BASE_ONLY_DIAGNOSTIC))
        if _is_null(value) and key in declared:
            merged.entries.pop(key, None)
            continue
        merged.entries[key] = value
        merged.key_marks[key] = overlay.key_marks[key]
    return merged


def _merge_list(
    base: Sequence, overlay: Sequence, section: str, diagnostics: list[Diagnostic]
) -> Sequence:
    merge_key = SECTIONS[section].merge_key
    items: list[Tree] = list(base.items)
    indices = {_entry_name(item, merge_key): index for index, item in enumerate(items)}
    removed = set()
    seen = set()
    for item in overlay.items:
        name = _entry_name(item, merge_key)
        path = f"{section}[{name}]"
        if name is not None and name in seen:
            problem = "the overlay names this twice"
            diagnostics.append(make_diagnostic(item.mark, path, problem, "join the two entries"))
            continue
        seen.add(name)
        index = indices.get(name) if name is not None else None
        if _is_removal(item):
            if index is None:
                problem = "the base has no such entry to remove"
                diagnostics.append(make_diagnostic(item.mark, path, problem, "drop these lines"))
            else:
                removed.add(index)
            continue
        if index is None or not isinstance(item, Mapping):
            items.append(item)
            continue
        base_mapping = items[index]
        assert isinstance(base_mapping, Mapping)
        items[index] = _merge_mapping(base_mapping, item, section, diagnostics)
    kept = [item for index, item in enumerate(items) if index not in removed]
    return Sequence(tuple(kept), base.mark)


def _is_base_only(key: str) -> bool:
    section = subsections().get(key)
    if section is not None:
        return not section.overridable
    return key in declarations_of("") and key != SITE_KEY


def _entry_name(item: Tree, merge_key: str) -> str | None:
    if not isinstance(item, Mapping):
        return None
    name = item.entries.get(merge_key)
    return name.text if isinstance(name, Scalar) else None


def _is_removal(item: Tree) -> bool:
    if not isinstance(item, Mapping) or len(item.entries) != 2:
        return False
    value = item.entries.get(REMOVE_KEY)
    return isinstance(value, Scalar) and value.text == "true" and not value.quoted


def _is_null(node: Tree) -> bool:
    return isinstance(node, Scalar) and node.is_null
