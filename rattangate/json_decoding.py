"""Decodes JSON of other systems, whatever its bytes are."""

from __future__ import annotations

from typing import Any, TypeVar, overload

import msgspec

T = TypeVar("T")


@overload
def decode_json(data: bytes | str) -> Any: ...


@overload
def decode_json(data: bytes | str, cls: type[T]) -> T: ...


def decode_json(data: bytes | str, cls: Any = Any) -> Any:
    """Decode JSON as a type; raise DecodeError for all that cannot be decoded.

    The decoder itself lets other exceptions through: for values that are nested too deeply, for
    numbers of too many digits and for invalid UTF-8.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except (RecursionError, ValueError, OverflowError) as exc:
        raise msgspec.DecodeError(f"{type(exc).__name__}: {exc}") from exc
