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
        node = yaml.compose(source.text, Loader=_Loader)
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
    tree = _convert(node, source.name, "", parsed.faults, 0)
    if isinstance(tree, Mapping):
        parsed.tree = tree
    else:
        parsed.faults.append(
            make_fault(tree.mark, "", "the file is not a mapping", "write `key: value` lines")
        )
    return parsed


class _Loader(yaml.SafeLoader):
    def compose_node(self, parent: Node | None, index: int) -> Node | None:
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark
            raise yaml.composer.ComposerError(None, None, "aliases are not supported", mark)
        return super().compose_node(parent, index)


def _describe(exc: yaml.MarkedYAMLError) -> str:
    # The exception's own text quotes the line, which may hold a secret.
    problem = exc.problem or "the YAML is malformed"
    return problem.split("'")[0].strip().rstrip(",") or "the YAML is malformed"


def _convert(node: Node, file: str, path: str, faults: list[Fault], depth: int) -> Tree:
    mark = Mark(file, node.start_mark.line + 1)
    if not node.tag.startswith(_YAML_TAG):
        faults.append(make_fault(mark, path, "tags are not supported", "remove the tag"))
    if isinstance(node, yaml.ScalarNode):
        quoted = node.style is not None
        return Scalar(node.value, node.tag.removeprefix(_YAML_TAG), quoted, mark)
    if depth >= MAX_DEPTH:
        faults.append(make_fault(mark, path, "the nesting is too deep", "flatten the value"))
        return Sequence((), mark)
    if isinstance(node, yaml.SequenceNode):
        items = [_convert(item, file, f"{path}[]", faults, depth + 1) for item in node.value]
        return Sequence(tuple(items), mark)
    return _convert_mapping(node, file, path, faults, depth)


def _convert_mapping(node: Node, file: str, path: str, faults: list[Fault], depth: int) -> Mapping:
    mapping = Mapping({}, {}, Mark(file, node.start_mark.line + 1))
    for key_node, value_node in node.value:
        mark = Mark(file, key_node.start_mark.line + 1)
        if not isinstance(key_node, yaml.ScalarNode):
            faults.append(make_fault(mark, path, "a key is not text", "write a plain key"))
            continue
        key = key_node.value
        key_path = f"{path}.{key}" if path else key
        if key in mapping.entries:
            first = mapping.key_marks[key].line
            problem = f"the key stands already on line {first}"
            faults.append(make_fault(mark, key_path, problem, "keep one of the two"))
            continue
        mapping.entries[key] = _convert(value_node, file, key_path, faults, depth + 1)
        mapping.key_marks[key] = mark
    return mapping
