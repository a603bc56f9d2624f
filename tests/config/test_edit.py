"""Tests of edits of a base file."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattangate.config.edit import (
    PutEntry,
    RemoveEntry,
    SetValues,
    apply_edit,
    edit_base,
    find_entry,
    read_data,
)
from tests.config.test_load import BASE, HASH_A

TEXT = f"""\
# Head.
models:  # all models
  - name: small  # the small one
    weights_version: v1
  # Above the large one.
  - name: large
    weights_version: v1

# Above the workspaces.
workspaces:
  - name: blue
    key_hashes:
      - {HASH_A}
limits: {{max_streams: 7}}
# Tail.
"""


def test_edit_preserves_unchanged_entries_and_comments():
    text = edit_base(TEXT, PutEntry("models", {"name": "large", "weights_version": "v2"}))
    assert text == TEXT.replace("large\n    weights_version: v1", "large\n    weights_version: v2")


def test_entry_can_be_added_and_removed():
    added = edit_base(TEXT, PutEntry("workspaces", {"name": "red", "key_hashes": ["b" * 64]}))
    assert find_entry(read_data(added), "workspaces", "red") == {
        "name": "red",
        "key_hashes": ["b" * 64],
    }
    assert "# Tail." in added
    assert edit_base(added, RemoveEntry("workspaces", "red")) == TEXT


def test_values_can_be_set_and_removed():
    text = edit_base(TEXT, SetValues("limits", {"max_streams": None, "max_body": "1MB"}))
    assert read_data(text)["limits"] == {"max_body": "1MB"}
    assert read_data(edit_base(TEXT, SetValues("shutdown", {"balancer_notice": "1s"})))["shutdown"]


NAMES = st.sampled_from(["small", "large", "blue", "engine-1", "new", "007", "~", "a: b"])
SECTIONS = st.sampled_from(["models", "workspaces", "endpoints"])
FIELDS = st.dictionaries(
    st.sampled_from(["share", "serves"]), st.one_of(st.integers(), st.text(max_size=8))
)
EDITS = st.one_of(
    st.builds(
        lambda section, name, fields: PutEntry(section, {"name": name, **fields}),
        SECTIONS,
        NAMES,
        FIELDS,
    ),
    st.builds(RemoveEntry, SECTIONS, NAMES),
    st.builds(SetValues, st.sampled_from(["limits", "placement"]), FIELDS),
)


@pytest.mark.parametrize("initial_text", [TEXT, BASE], ids=["commented", "plain"])
@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(EDITS, max_size=5))
def test_edited_text_parses_to_edited_data(initial_text: str, edits: list):
    text, data = initial_text, read_data(initial_text)
    for edit in edits:
        text = edit_base(text, edit)
        apply_edit(data, edit)
        assert read_data(text) == data
