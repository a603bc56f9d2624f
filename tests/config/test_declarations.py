"""Tests of the table of settings and of the schema and reference pages rendered from it."""

from __future__ import annotations

import dataclasses
from pathlib import Path

from rattangate.config.declarations import DECLARATIONS, SECTIONS, declarations_of, subsections
from rattangate.config.schema import render_reference, render_schema
from rattangate.http.admin_operations import render_api_reference

REFERENCE = Path(__file__).parents[2] / "docs" / "reference" / "settings.md"


def test_every_dataclass_field_is_declared_once():
    for section in SECTIONS.values():
        fields = {field.name for field in dataclasses.fields(section.cls)}
        declared = [decl.field for decl in DECLARATIONS if decl.section == section.name]
        if not section.name:
            fields -= subsections().keys()
        assert sorted(declared) == sorted(fields), section.name


def test_defaults_are_within_bounds():
    for decl in DECLARATIONS:
        if decl.bounds is not None and decl.default is not dataclasses.MISSING:
            assert decl.bounds.low <= decl.default <= decl.bounds.high, decl.key


def test_settings_page_is_up_to_date():
    assert REFERENCE.read_text() == render_reference()


def test_api_page_is_up_to_date():
    assert REFERENCE.with_name("admin-api.md").read_text() == render_api_reference()


def test_schema_contains_every_key():
    properties = render_schema()["properties"]
    assert properties.keys() == declarations_of("").keys() | subsections().keys()
    for name, section in subsections().items():
        part = properties[name]["items"] if section.merge_key else properties[name]
        assert part["properties"].keys() == declarations_of(name).keys()
