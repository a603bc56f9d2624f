"""Fuzz tests: invalid settings raise ConfigError with complete diagnostics, nothing else."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from rattangate.config.declarations import DECLARATIONS, subsections
from rattangate.config.diagnostics import ConfigError
from rattangate.config.load import settings_from_sources
from rattangate.config.tree import Source
from tests.config.test_load import BASE

SYNTAX = st.sampled_from(
    ["{", "}", "[", "]", "*a", "&a", "!!python/object:os.system", "- ", ": ", "\n", "\t", "|", "~"]
)
VALUES = st.one_of(
    SYNTAX,
    st.text(max_size=20),
    st.integers().map(str),
    st.floats().map(str),
    st.sampled_from(["1e999", "9" * 5000, "2001-99-99", "0x", "1:60", "=", "<<", "٣s", "٣"]),
)
KEYS = st.sampled_from([*subsections(), *(decl.key for decl in DECLARATIONS), "<<", "remove"])


def load_or_check_error(base: str | bytes, overlay: str | bytes | None) -> None:
    """Load settings; if that raises ConfigError, check that its diagnostics are complete."""
    overlay_source = Source("site.yaml", overlay) if overlay is not None else None
    try:
        settings_from_sources(Source("base.yaml", base), overlay_source)
    except ConfigError as exc:
        assert exc.diagnostics
        for diagnostic in exc.diagnostics:
            assert diagnostic.problem and diagnostic.hint and diagnostic.line >= 1
            assert diagnostic.file in ("base.yaml", "site.yaml")


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.binary(max_size=200))
def test_random_bytes_raise_only_config_errors(base: bytes, overlay: bytes):
    load_or_check_error(base, overlay)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.integers(0, BASE.count("\n")), st.integers(0, 4), VALUES, VALUES)
def test_damaged_lines_raise_only_config_errors(line: int, indent: int, key: str, value: str):
    lines = BASE.split("\n")
    lines[line] = " " * indent + f"{key}: {value}"
    load_or_check_error("\n".join(lines), "site: east\n")


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.tuples(KEYS, st.integers(0, 2), VALUES), max_size=6))
def test_random_overlays_raise_only_config_errors(entries: list[tuple[str, int, str]]):
    overlay = "".join(f"{'  ' * indent}{key}: {value}\n" for key, indent, value in entries)
    load_or_check_error(BASE, overlay)


def test_deep_nesting_raises_only_config_errors():
    for text in ("[" * 5000, "{a: " * 5000 + "1" + "}" * 5000, "- " * 3000):
        load_or_check_error(text, None)
