"""The value types of settings, each with its parser and JSON schema."""

from __future__ import annotations

import ipaddress
import math
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rattangate.config.tree import Scalar, Sequence

if TYPE_CHECKING:
    from collections.abc import Callable
    from enum import Enum

    from rattangate.config.tree import Tree

DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
SIZE_UNITS_BYTES = {
    "": 1,
    "B": 1,
    "KB": 1000,
    "MB": 1000**2,
    "GB": 1000**3,
    "KiB": 1024,
    "MiB": 1024**2,
    "GiB": 1024**3,
}
_DURATION_PATTERN = r"(\d{1,12}(?:\.\d{1,9})?)(ms|s|m|h|d)"
_SIZE_PATTERN = r"(\d{1,15})(|B|KB|MB|GB|KiB|MiB|GiB)"
_HASH_PATTERN = r"[0-9a-f]{64}"
_NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
_PATH_PATTERN = r"/[A-Za-z0-9._~-]+(?:/[A-Za-z0-9._~-]+)*"
_INTEGER_PATTERN = r"-?\d{1,15}"
_NUMBER_PATTERN = r"-?\d{1,15}(?:\.\d{1,15})?(?:[eE][-+]?\d{1,3})?"
_MAX_TEXT_CHARS = 512


@dataclass(frozen=True, slots=True)
class Invalid:
    """Describe why a value is invalid and how to fix it."""

    problem: str
    hint: str


@dataclass(frozen=True, slots=True)
class ValueType:
    """Describe one value type.

    The dataclass field of a setting is named by its key with `field_suffix` appended, the unit.
    """

    name: str
    parse: Callable[[Tree], Any]
    schema: dict[str, Any]
    field_suffix: str = ""
    secret: bool = False


def _parse_text(node: Tree) -> str | Invalid:
    text = _plain_text(node, "a text")
    if isinstance(text, Invalid):
        return text
    if not 0 < len(text) <= _MAX_TEXT_CHARS:
        return Invalid("the text is empty or too long", f"write 1 to {_MAX_TEXT_CHARS} characters")
    return text


def _parse_name(node: Tree) -> str | Invalid:
    text = _plain_text(node, "a name")
    if isinstance(text, Invalid) or re.fullmatch(_NAME_PATTERN, text):
        return text
    return Invalid("this is not a name", "use up to 63 letters, digits, `.`, `_` and `-`")


def _parse_path(node: Tree) -> str | Invalid:
    text = _plain_text(node, "a path")
    if isinstance(text, Invalid) or re.fullmatch(_PATH_PATTERN, text):
        return text
    return Invalid("this is not a path", "write a path such as `/bookings`, without a last `/`")


def _parse_address(node: Tree) -> str | Invalid:
    text = _plain_text(node, "an address")
    if isinstance(text, Invalid):
        return text
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return Invalid("the host is not an IP number", "write `IP:port`, names are not resolved")
    if (ip.version == 6) != host.startswith("["):
        return Invalid("the IP number is not bracketed as its kind needs", "write `[IPv6]:port`")
    if not re.fullmatch(r"[1-9]\d{0,4}", port) or int(port) > 65_535:
        return Invalid("the port is not within 1 to 65535", "write `IP:port`")
    return text


def _parse_integer(node: Tree) -> int | Invalid:
    text = _unquoted_text(node, _INTEGER_PATTERN)
    if text is None:
        return Invalid("this is not a whole number", "write digits only, without quotes")
    return int(text)


def _parse_number(node: Tree) -> float | Invalid:
    text = _unquoted_text(node, _NUMBER_PATTERN)
    if text is None or not math.isfinite(float(text)):
        return Invalid("this is not a finite number", "write a number such as 1.5, without quotes")
    return float(text)


def _parse_flag(node: Tree) -> bool | Invalid:
    text = _unquoted_text(node, "true|false")
    if text is None:
        return Invalid("this is neither true nor false", "write `true` or `false`")
    return text == "true"


def _parse_duration(node: Tree) -> float | Invalid:
    match = isinstance(node, Scalar) and re.fullmatch(_DURATION_PATTERN, node.text, re.ASCII)
    if not match:
        return Invalid("this is not a duration with a unit", "write it as `100ms`, `2s` or `1h`")
    return float(match[1]) * DURATION_UNITS_S[match[2]]


def _parse_size(node: Tree) -> int | Invalid:
    match = isinstance(node, Scalar) and re.fullmatch(_SIZE_PATTERN, node.text, re.ASCII)
    if not match:
        return Invalid("this is not a size", "write whole bytes, `64KiB` or `8MB`")
    return int(match[1]) * SIZE_UNITS_BYTES[match[2]]


def _parse_hash(node: Tree) -> str | Invalid:
    if isinstance(node, Scalar) and re.fullmatch(_HASH_PATTERN, node.text):
        if node.quoted or node.tag not in ("int", "float"):
            return node.text
        return Invalid("YAML reads this hash as a number", "put it in quotes")
    return Invalid(
        "this is not a SHA-256 hash, it may be a secret in plain text",
        "store the 64 hexadecimal digits that `printf %s KEY | sha256sum` prints",
    )


def _parse_hashes(node: Tree) -> tuple[str, ...] | Invalid:
    if not isinstance(node, Sequence):
        return Invalid("this is not a list of hashes", "write one `- HASH` line for each key")
    hashes = []
    for item in node.items:
        parsed = _parse_hash(item)
        if isinstance(parsed, Invalid):
            return parsed
        hashes.append(parsed)
    return tuple(hashes)


def enum_type(enum: type[Enum]) -> ValueType:
    """Return the value type whose values are those of an enumeration."""
    names = [member.value for member in enum]

    def parse(node: Tree) -> Enum | Invalid:
        if isinstance(node, Scalar) and node.text in names:
            return enum(node.text)
        return Invalid("this is not one of the choices", f"write {' or '.join(names)}")

    return ValueType(" or ".join(f"`{name}`" for name in names), parse, {"enum": names})


def _string_schema(pattern: str) -> dict[str, Any]:
    return {"type": "string", "pattern": f"^(?:{pattern})$"}


TEXT = ValueType(
    "text", _parse_text, {"type": "string", "minLength": 1, "maxLength": _MAX_TEXT_CHARS}
)
NAME = ValueType("name", _parse_name, _string_schema(_NAME_PATTERN))
PATH = ValueType("path", _parse_path, _string_schema(_PATH_PATTERN))
ADDRESS = ValueType("address `IP:port`", _parse_address, _string_schema(r".+:\d{1,5}"))
INTEGER = ValueType("integer", _parse_integer, {"type": "integer"})
NUMBER = ValueType("number", _parse_number, {"type": "number"})
FLAG = ValueType("boolean", _parse_flag, {"type": "boolean"})
DURATION = ValueType("duration", _parse_duration, _string_schema(_DURATION_PATTERN), "_s")
SIZE = ValueType(
    "size",
    _parse_size,
    {"anyOf": [{"type": "integer", "minimum": 0}, _string_schema(_SIZE_PATTERN)]},
    "_bytes",
)
HASH = ValueType("SHA-256 hash", _parse_hash, _string_schema(_HASH_PATTERN), secret=True)
HASHES = ValueType(
    "list of SHA-256 hashes",
    _parse_hashes,
    {"type": "array", "items": _string_schema(_HASH_PATTERN)},
    secret=True,
)


def _plain_text(node: Tree, expected: str) -> str | Invalid:
    if not isinstance(node, Scalar):
        return Invalid(f"this is not {expected}", "write it on the line of its key")
    if not node.quoted and node.tag in ("int", "float", "bool", "null"):
        return Invalid(f"YAML reads this as {node.tag}, not as {expected}", "put it in quotes")
    return node.text


def _unquoted_text(node: Tree, pattern: str) -> str | None:
    if not isinstance(node, Scalar) or node.quoted:
        return None
    return node.text if re.fullmatch(pattern, node.text, re.ASCII) else None
