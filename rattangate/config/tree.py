"""Reads YAML text into a tree whose nodes remember their file and line."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import yaml

from rattangate.config.faults import Fault, Mark, make_fault

if TYPE_CHECKING:
    from yaml.nodes import Node

MAX_SOURCE_BYTES = 8_000_000
MAX_DEPTH = 16
# The C parser takes a tenth of the time, where it is there.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_YAML_TAG = "tag:yaml.org,2002:"


@dataclass(frozen=True, slots=True)
class Source:
    """Hold the text of one settings file and the name that faults give it."""

    name: str
    text: str | bytes


@dataclass(frozen=True, slots=True)
class Scalar:
    """Hold a scalar as text with the tag that YAML resolved for it."""

    text: str
    tag: str
    quoted: bool
    mark: Mark

    @property
    def is_null(self) -> bool:
        """Say whether the scalar is an unquoted null."""
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
    """Hold the tree of a source, or None, and the faults of its syntax."""

    tree: Mapping | None = None
    faults: list[Fault] = field(default_factory=list)


def parse_source(source: Source) -> ParsedSource:
    """Parse one settings file."""
    parsed = ParsedSource()
    top = Mark(source.name, 1)
    if len(source.text) > MAX_SOURCE_BYTES:
        parsed.faults.append(
            make_fault(top, "", "the file is too large", f"keep it under {MAX_SOURCE_BYTES} bytes")
        )
        return parsed
    try:
        node = yaml.compose(source.text, Loader=_LOADER)
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 1
        mark = Mark(source.name, line)
        parsed.faults.append(make_fault(mark, "", _describe(exc), "mend the YAML at this line"))
        return parsed
    except (yaml.YAMLError, UnicodeError, RecursionError, ValueError):
        parsed.faults.append(make_fault(top, "", "this is not YAML text", "write YAML in UTF-8"))
        return parsed
    if node is None:
        parsed.tree = Mapping({}, {}, top)
        return parsed
    tree = _Converter(source.name, parsed.faults).convert(node, "", 0)
    if isinstance(tree, Mapping):
        parsed.tree = tree
    else:
        parsed.faults.append(
            make_fault(tree.mark, "", "the file is not a mapping", "write `key: value` lines")
        )
    return parsed


def _describe(exc: yaml.MarkedYAMLError) -> str:
    # The exception's own text quotes the line, which may hold a secret.
    problem = exc.problem or "the YAML is malformed"
    return problem.split("'")[0].strip().rstrip(",") or "the YAML is malformed"


class _Converter:
    def __init__(self, file: str, faults: list[Fault]) -> None:
        self._file = file
        self._faults = faults
        self._seen: set[int] = set()

    def convert(self, node: Node, path: str, depth: int) -> Tree:
        """Convert one node; an alias shows as a node that was met before."""
        mark = Mark(self._file, node.start_mark.line + 1)
        if id(node) in self._seen:
            self._report(mark, path, "aliases are not supported", "repeat the value")
            return Sequence((), mark)
        self._seen.add(id(node))
        if not node.tag.startswith(_YAML_TAG):
            self._report(mark, path, "tags are not supported", "remove the tag")
        if isinstance(node, yaml.ScalarNode):
            quoted = node.style is not None and node.style != ""
            return Scalar(node.value, node.tag.removeprefix(_YAML_TAG), quoted, mark)
        if depth >= MAX_DEPTH:
            self._report(mark, path, "the nesting is too deep", "flatten the value")
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
                self._report(mark, path, "a key is not text", "write a plain key")
                continue
            key = key_node.value
            key_path = f"{path}.{key}" if path else key
            if key in mapping.entries:
                problem = f"the key stands already on line {mapping.key_marks[key].line}"
                self._report(mark, key_path, problem, "keep one of the two")
                continue
            mapping.entries[key] = self.convert(value_node, key_path, depth + 1)
            mapping.key_marks[key] = mark
        return mapping

    def _report(self, mark: Mark, path: str, problem: str, mend: str) -> None:
        self._faults.append(make_fault(mark, path, problem, mend))
