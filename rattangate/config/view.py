"""Formats settings as in the settings files, with secrets masked, and compares them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from rattangate.config.declarations import declarations_of, subsections

if TYPE_CHECKING:
    from rattangate.config.declarations import Declaration
    from rattangate.config.model import Settings

MASK = "********"


@dataclass(frozen=True, slots=True)
class Change:
    """Describe one setting that differs; None means that it is absent."""

    path: str
    before: Any
    after: Any


def view_settings(settings: Settings) -> dict[str, Any]:
    """Return the settings as plain mappings and lists, with secrets masked."""
    view = _view_section("", settings)
    for name, section in subsections().items():
        section_cfg = getattr(settings, name)
        if section.merge_key:
            view[name] = [_view_section(name, item) for item in section_cfg]
        else:
            view[name] = _view_section(name, section_cfg)
    return view


def diff_settings(before: Settings, after: Settings) -> tuple[Change, ...]:
    """Return the settings that differ, sorted by path, with secrets masked."""
    old = _flatten(before)
    new = _flatten(after)
    changes = []
    for path in sorted(old.keys() | new.keys()):
        old_decl, old_value = old.get(path, (None, None))
        new_decl, new_value = new.get(path, (None, None))
        if old_value != new_value:
            changes.append(
                Change(path, _view_value(old_decl, old_value), _view_value(new_decl, new_value))
            )
    return tuple(changes)


def _view_section(section: str, section_cfg: Any) -> dict[str, Any]:
    return {
        key: _view_value(decl, getattr(section_cfg, decl.field))
        for key, decl in declarations_of(section).items()
    }


def _view_value(decl: Declaration | None, value: Any) -> Any:
    if decl is None or value is None:
        return None
    if decl.value_type.secret:
        return [MASK] * len(value) if isinstance(value, tuple) else MASK if value else ""
    if isinstance(value, Enum):
        return value.value
    if decl.value_type.field_suffix == "_s":
        return format_duration(value)
    return value


def format_duration(seconds: float) -> str:
    """Format a duration with a unit, as in a settings file."""
    if seconds < 1:
        return f"{seconds * 1000:g}ms"
    return f"{seconds:.9g}s"


def _flatten(settings: Settings) -> dict[str, tuple[Declaration, Any]]:
    values = _flatten_part("", "", settings)
    for name, section in subsections().items():
        section_cfg = getattr(settings, name)
        if not section.merge_key:
            values |= _flatten_part(name, name, section_cfg)
            continue
        for item in section_cfg:
            values |= _flatten_part(name, f"{name}[{getattr(item, section.merge_key)}]", item)
    return values


def _flatten_part(section: str, path: str, section_cfg: Any) -> dict[str, tuple[Declaration, Any]]:
    prefix = f"{path}." if path else ""
    return {
        prefix + key: (decl, getattr(section_cfg, decl.field))
        for key, decl in declarations_of(section).items()
    }
