"""Renders the declared settings as a JSON schema and as a reference page."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from rattangate.config.declarations import (
    DECLARATIONS,
    REQUIRED,
    SECTIONS,
    declarations_of,
    is_required,
    subsections,
)
from rattangate.config.view import format_duration

if TYPE_CHECKING:
    from rattangate.config.declarations import Declaration, Section

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"
_FIELD_SUFFIX_UNITS = {"_s": "seconds", "_bytes": "bytes"}


def render_schema() -> dict[str, Any]:
    """Return the JSON schema of a base file."""
    schema = schema_of_section("")
    schema["$schema"] = SCHEMA_DIALECT
    schema["title"] = "rattangate settings"
    for name, section in subsections().items():
        section_schema = schema_of_section(name)
        schema["properties"][name] = (
            {"type": "array", "items": section_schema} if section.merge_key else section_schema
        )
        if is_required(name):
            schema["required"].append(name)
    return schema


def render_reference() -> str:
    """Return the reference page of all settings as Markdown."""
    lines = [
        "# Settings",
        "",
        "<!-- Written by `rattangate config schema --markdown`. -->",
        "",
        "A site's settings are the base file with the site's overlay merged in; see",
        "[configuration](../operators/configuration.md) for the rules. Only the base may set a",
        "section that all sites share. Durations end in a unit: `ms`, `s`, `m`, `h`, `d`; sizes",
        "may: `B`, `KB`, `MB`, `GB`, `KiB`, `MiB`, `GiB`.",
    ]
    for section in SECTIONS.values():
        lines += [
            "",
            f"## {_title(section)}",
            "",
            f"{section.doc} {_describe_merging(section)}",
            "",
        ]
        lines += ["| key | kind | default | bounds | meaning |", "|---|---|---|---|---|"]
        lines += [_row(decl) for decl in DECLARATIONS if decl.section == section.name]
    return "\n".join(lines) + "\n"


def schema_of_section(section: str) -> dict[str, Any]:
    """Return the JSON schema of one mapping, or of one entry of a list."""
    declared = declarations_of(section)
    return {
        "type": "object",
        "description": SECTIONS[section].doc,
        "additionalProperties": False,
        "required": [key for key, decl in declared.items() if decl.default is REQUIRED],
        "properties": {key: _schema_of_value(decl) for key, decl in declared.items()},
    }


def _schema_of_value(decl: Declaration) -> dict[str, Any]:
    schema = {**decl.value_type.schema, "description": decl.doc}
    if decl.bounds is not None and schema.get("type") in ("integer", "number"):
        schema |= {"minimum": decl.bounds.low, "maximum": decl.bounds.high}
    if decl.default is not REQUIRED and decl.default != "":
        schema["default"] = _format_default(decl)
    return schema


def _title(section: Section) -> str:
    if not section.name:
        return "Top level"
    return f"`{section.name}[]`" if section.merge_key else f"`{section.name}`"


def _describe_merging(section: Section) -> str:
    if not section.name:
        return "`site` belongs in an overlay, all else in the base."
    layer = "Base or overlay." if section.overridable else "Base only: all sites share it."
    return f"Entries merge by `{section.merge_key}`. {layer}" if section.merge_key else layer


def _row(decl: Declaration) -> str:
    default = "required" if decl.default is REQUIRED else f"`{_format_default(decl)}`"
    if decl.default == "":
        default = "none"
    return (
        f"| `{decl.key}` | {decl.value_type.name} | {default} | {_format_bounds(decl)} "
        f"| {decl.doc} |"
    )


def _format_bounds(decl: Declaration) -> str:
    if decl.bounds is None:
        return ""
    unit = decl.unit or _FIELD_SUFFIX_UNITS.get(decl.value_type.field_suffix, "")
    return f"{decl.bounds.low:.10g} to {decl.bounds.high:.10g} {unit}".rstrip()


def _format_default(decl: Declaration) -> Any:
    value = decl.default
    if isinstance(value, Enum):
        return value.value
    return format_duration(value) if decl.value_type.field_suffix == "_s" else value
