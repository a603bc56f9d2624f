"""Chained hashes of prompt blocks, seeded with the scope in which cache entries may be shared."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

# Assumed average, as prompts are not tokenized here.
BYTES_PER_TOKEN = 4
HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class CacheScope:
    """Limit the sharing of cache entries to one workspace, model, adapter and weights version."""

    workspace: str
    model: str
    adapter: str
    weights_version: str

    @property
    def salt(self) -> str:
        """Return the cache salt, in hexadecimal, that is sent to engines and seeds the hashes."""
        fields = (self.workspace, self.model, self.adapter, self.weights_version)
        return blake2b("\x00".join(fields).encode(), digest_size=16).hexdigest()


def hash_blocks(salt: str, prompt: bytes, block_tokens: int) -> tuple[int, ...]:
    """Return the 64-bit hash of each complete block of the prompt, keyed with its predecessor's."""
    block_bytes = block_tokens * BYTES_PER_TOKEN
    parent = blake2b(salt.encode(), digest_size=HASH_BYTES).digest()
    hashes = []
    for start in range(0, len(prompt) - block_bytes + 1, block_bytes):
        parent = blake2b(
            prompt[start : start + block_bytes], key=parent, digest_size=HASH_BYTES
        ).digest()
        hashes.append(int.from_bytes(parent, "big"))
    return tuple(hashes)


def count_tokens(prompt: bytes) -> int:
    """Estimate the number of tokens of a prompt from its length in bytes, rounded up."""
    return -(-len(prompt) // BYTES_PER_TOKEN)
