"""Turns a request's prompt parts into the chained block hashes that placement compares."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattangate.platform.requests import PromptPart

HASH_BYTES = 8


def hash_blocks(salt: str, parts: tuple[PromptPart, ...], piece_tokens: int) -> tuple[int, ...]:
    """Return a 64-bit hash for each `piece_tokens` of a part, which covers all blocks before it."""
    parent = blake2b(salt.encode(), digest_size=HASH_BYTES).digest()
    hashes = []
    for part in parts:
        for index in range(count_blocks(part, piece_tokens)):
            text = f"{part.part_id}:{index}".encode()
            parent = blake2b(text, key=parent, digest_size=HASH_BYTES).digest()
            hashes.append(int.from_bytes(parent, "big"))
    return tuple(hashes)


def count_blocks(part: PromptPart, piece_tokens: int) -> int:
    """Return the number of blocks of a part, at least one."""
    return max(1, round(part.tokens / piece_tokens))
