"""Tests that the generated reference pages match the code."""

from __future__ import annotations

import pytest

from tools.build_reference import PAGES, REFERENCE


@pytest.mark.parametrize("name", PAGES)
def test_page_is_generated_from_the_code(name):
    assert (REFERENCE / name).read_text() == PAGES[name]()
