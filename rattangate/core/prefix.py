"""Chained hashes of prompt pieces, seeded with the scope in which cache may be shared."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

BYTES_PER_TOKEN = 4
HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class Scope:
    """Bound the sharing of cache entries to one workspace, model, adapter and weights version."""

    workspace: str
    model: str
    adapter: str
    weights_version: str

    @property
    def salt(self) -> str:
        """Return the cache salt that is sent to engines."""
        fields = (self.workspace, self.model, self.adapter, self.weights_version)
        return blake2b("\x00".join(fields).encode(), digest_size=16).hexdigest()


def hash_pieces(salt: str, prompt: bytes, piece_tokens: int) -> tuple[int, ...]:
    """Return the chained 64-bit hash of each whole piece of the prompt."""
    piece_bytes = piece_tokens * BYTES_PER_TOKEN
    parent = blake2b(salt.encode(), digest_size=HASH_BYTES).digest()
    hashes = []
    for start in range(0, len(prompt) - piece_bytes + 1, piece_bytes):
        parent = blake2b(
            prompt[start : start + piece_bytes], key=parent, digest_size=HASH_BYTES
        ).digest()
        hashes.append(int.from_bytes(parent, "big"))
    return tuple(hashes)


def count_tokens(prompt: bytes) -> int:
    """Estimate the number of tokens of a prompt."""
    return -(-len(prompt) // BYTES_PER_TOKEN)
