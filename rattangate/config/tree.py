"""Parses YAML text to a tree whose nodes have their file and line."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import yaml

from rattangate.config.diagnostics import Diagnostic, Mark, make_diagnostic

if TYPE_CHECKING:
    from yaml.nodes import Node

MAX_SOURCE_BYTES = 8_000_000
MAX_DEPTH = 16
# The C parser takes a tenth of the time, but not every build of PyYAML has it.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_YAML_TAG_PREFIX = "tag:yaml.org,2002:"


@dataclass(frozen=True, slots=True)
class Source:
    """Hold the text of one settings file and the name that diagnostics show."""

    name: str
    text: str | bytes


@dataclass(frozen=True, slots=True)
class Scalar:
    """Hold the text of a scalar and the tag that YAML resolved it to."""

    text: str
    tag: str
    quoted: bool
    mark: Mark

    @property
    def is_null(self) -> bool:
        """Return whether the scalar is an unquoted null."""
        return self.tag == "null" and not self.quoted


@dataclass(frozen=True, slots=True)
class Sequence:
    """Hold a list."""

    items: tuple[Tree, ...]
    mark: Mark


@dataclass(frozen=True, slots=True)
class Mapping:
    """Hold a mapping, with a mark for each key."""

    entries: dict[str, Tree]
    key_marks: dict[str, Mark]
    mark: Mark


Tree = Scalar | Sequence | Mapping


@dataclass(slots=True)
class ParsedSource:
    """Hold the tree of a source, None if it can't be parsed, and the diagnostics."""

    tree: Mapping | None = None
    diagnostics: list[Diagnostic] = field(default_factory=list)


def parse_source(source: Source) -> ParsedSource:
    """Parse one settings file."""
    parsed = ParsedSource()
    file_start = Mark(source.name, 1)
    if len(source.text) > MAX_SOURCE_BYTES:
        parsed.diagnostics.append(
            make_diagnostic(
                file_start, "", "the file is too large", f"keep it under {MAX_SOURCE_BYTES} bytes"
            )
        )
        return parsed
    try:
        node = yaml.compose(source.text, Loader=_LOADER)
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 1
        mark = Mark(source.name, line)
        parsed.diagnostics.append(
            make_diagnostic(mark, "", _describe_error(exc), "mend the YAML at this line")
        )
        return parsed
    except (yaml.YAMLError, UnicodeError, RecursionError, ValueError):
        parsed.diagnostics.append(
            make_diagnostic(file_start, "", "this is not YAML text", "write YAML in UTF-8")
        )
        return parsed
    if node is None:
        parsed.tree = Mapping({}, {}, file_start)
        return parsed
    tree = _Converter(source.name, parsed.diagnostics).convert(node, "", 0)
    if isinstance(tree, Mapping):
        parsed.tree = tree
    else:
        parsed.diagnostics.append(
            make_diagnostic(tree.mark, "", "the file is not a mapping", "write `key: value` lines")
        )
    return parsed


def _describe_error(exc: yaml.MarkedYAMLError) -> str:
    # The text of the exception quotes the line, which may contain a secret.
    problem = exc.problem or "the YAML is malformed"
    return problem.split("'")[0].strip().rstrip(",") or "the YAML is malformed"


class _Converter:
    def __init__(self, file: str, diagnostics: list[Diagnostic]) -> None:
        self._file = file
        self._diagnostics = diagnostics
        self._seen: set[int] = set()

    def convert(self, node: Node, path: str, depth: int) -> Tree:
        """Convert one node.

        PyYAML returns the same node object for an anchor and its aliases, so a node that was seen
        before is an alias.
        """
        mark = Mark(self._file, node.start_mark.line + 1)
        if id(node) in self._seen:
            self._add_diagnostic(mark, path, "aliases are not supported", "repeat the value")
            return Sequence((), mark)
        self._seen.add(id(node))
        if not node.tag.startswith(_YAML_TAG_PREFIX):
            self._add_diagnostic(mark, path, "tags are not supported", "remove the tag")
        if isinstance(node, yaml.ScalarNode):
            quoted = node.style is not None and node.style != ""
            return Scalar(node.value, node.tag.removeprefix(_YAML_TAG_PREFIX), quoted, mark)
        if depth >= MAX_DEPTH:
            self._add_diagnostic(mark, path, "the nesting is too deep", "flatten the value")
            return Sequence((), mark)
        if isinstance(node, yaml.SequenceNode):
            items = [self.convert(item, f"{path}[]", depth + 1) for item in node.value]
            return Sequence(tuple(items), mark)
        return self._convert_mapping(node, path, depth)

    def _convert_mapping(self, node: Node, path: str, depth: int) -> Mapping:
        mapping = Mapping({}, {}, Mark(self._file, node.start_mark.line + 1))
        for key_node, value_node in node.value:
            mark = Mark(self._file, key_node.start_mark.line + 1)
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_diagnostic(mark, path, "a key is not text", "write a plain key")
                continue
            key = key_node.value
            key_path = f"{path}.{key}" if path else key
            if key in mapping.entries:
                problem = f"the key stands already on line {mapping.key_marks[key].line}"
                self._add_diagnostic(mark, key_path, problem, "keep one of the two")
                continue
            mapping.entries[key] = self.convert(value_node, key_path, depth + 1)
            mapping.key_marks[key] = mark
        return mapping

    def _add_diagnostic(self, mark: Mark, path: str, problem: str, hint: str) -> None:
        self._diagnostics.append(make_diagnostic(mark, path, problem, hint))
