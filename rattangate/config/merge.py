"""Merges an overlay into a base.

Mappings merge by key, lists of named things merge by name, all other values are replaced. A null
in the overlay drops the base's value; `remove: true` drops a named thing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.config.declarations import SECTIONS, SITE_KEY, declarations_of, subsections
from rattangate.config.faults import make_fault
from rattangate.config.tree import Mapping, Scalar, Sequence

if TYPE_CHECKING:
    from rattangate.config.faults import Fault
    from rattangate.config.tree import Tree

REMOVE_KEY = "remove"
_SHARED = ("all sites share this", "set it in the base")


def merge_overlay(base: Mapping, overlay: Mapping, faults: list[Fault]) -> Mapping:
    """Return the base with the overlay merged in."""
    if SITE_KEY in base.entries:
        mark = base.key_marks[SITE_KEY]
        faults.append(make_fault(mark, SITE_KEY, "a base has no site", "set it in the overlay"))
    if SITE_KEY not in overlay.entries:
        mend = "add `site:` with the data centre that the overlay is for"
        faults.append(make_fault(overlay.mark, SITE_KEY, "the value is missing", mend))
    merged = Mapping(dict(base.entries), dict(base.key_marks), base.mark)
    known = declarations_of("")
    for key, value in overlay.entries.items():
        section = subsections().get(key)
        below = base.entries.get(key)
        if _is_shared(key):
            mark = overlay.key_marks[key]
            faults.append(make_fault(mark, key, *_SHARED))
        if _is_null(value) and (section or key in known):
            merged.entries.pop(key, None)
            continue
        if section and not section.identity and isinstance(value, Mapping):
            lower = below if isinstance(below, Mapping) else Mapping({}, {}, value.mark)
            value = _merge_values(lower, value, key, faults)
        elif section and isinstance(value, Sequence) and section.identity:
            items = below if isinstance(below, Sequence) else Sequence((), value.mark)
            value = _merge_named(items, value, key, faults)
        merged.entries[key] = value
        merged.key_marks[key] = overlay.key_marks[key]
    return merged


def _merge_values(base: Mapping, overlay: Mapping, section: str, faults: list[Fault]) -> Mapping:
    merged = Mapping(dict(base.entries), dict(base.key_marks), base.mark)
    known = declarations_of(section)
    for key, value in overlay.entries.items():
        if key in known and known[key].shared:
            mark = overlay.key_marks[key]
            faults.append(make_fault(mark, f"{section}.{key}", *_SHARED))
        if _is_null(value) and key in known:
            merged.entries.pop(key, None)
            continue
        merged.entries[key] = value
        merged.key_marks[key] = overlay.key_marks[key]
    return merged


def _merge_named(base: Sequence, overlay: Sequence, section: str, faults: list[Fault]) -> Sequence:
    identity = SECTIONS[section].identity
    items: list[Tree] = list(base.items)
    places = {_identify(item, identity): place for place, item in enumerate(items)}
    removed = set()
    seen = set()
    for item in overlay.items:
        name = _identify(item, identity)
        path = f"{section}[{name}]"
        if name is not None and name in seen:
            problem = "the overlay names this twice"
            faults.append(make_fault(item.mark, path, problem, "join the two entries"))
            continue
        seen.add(name)
        place = places.get(name) if name is not None else None
        if _asks_removal(item):
            if place is None:
                problem = "the base has no such entry to remove"
                faults.append(make_fault(item.mark, path, problem, "drop these lines"))
            else:
                removed.add(place)
            continue
        if place is None or not isinstance(item, Mapping):
            items.append(item)
            continue
        lower = items[place]
        assert isinstance(lower, Mapping)
        items[place] = _merge_values(lower, item, section, faults)
    kept = [item for place, item in enumerate(items) if place not in removed]
    return Sequence(tuple(kept), base.mark)


def _is_shared(key: str) -> bool:
    section = subsections().get(key)
    if section is not None:
        return not section.local
    return key in declarations_of("") and key != SITE_KEY


def _identify(item: Tree, identity: str) -> str | None:
    if not isinstance(item, Mapping):
        return None
    name = item.entries.get(identity)
    return name.text if isinstance(name, Scalar) else None


def _asks_removal(item: Tree) -> bool:
    if not isinstance(item, Mapping) or len(item.entries) != 2:
        return False
    value = item.entries.get(REMOVE_KEY)
    return isinstance(value, Scalar) and value.text == "true" and not value.quoted


def _is_null(node: Tree) -> bool:
    return isinstance(node, Scalar) and node.is_null
