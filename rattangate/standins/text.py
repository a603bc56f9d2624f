"""The deterministic text that an engine stand-in generates for a prompt."""

from __future__ import annotations

from hashlib import blake2b

_WORDS = [
    "lot",
    "shuttle",
    "gate",
    "north",
    "south",
    "menu",
    "kosher",
    "café",
    "naïve",
    "parking",
    "bulletin",
    "東口",
    "lane",
    "oven",
    "certificate",
    "Überlauf",
    "route",
    "board",
    "pass",
    "stall",
    "☂",
    "tent",
    "señal",
    "driver",
    "desk",
    "order",
    "slot",
    "dish",
]


def text_seed(model: str, weights_version: str, prompt: bytes) -> bytes:
    """Return the seed of the text generated for a prompt."""
    head = f"{model}\x00{weights_version}\x00".encode()
    return blake2b(head + prompt, digest_size=16).digest()


def text_token(seed: bytes, offset: int) -> str:
    """Return the token at an offset of the generated text."""
    pick = blake2b(seed + offset.to_bytes(4, "big"), digest_size=2).digest()
    return _WORDS[int.from_bytes(pick, "big") % len(_WORDS)] + " "


def expected_text(model: str, weights_version: str, prompt: bytes, tokens: int) -> str:
    """Return the complete text that an engine stand-in generates for a prompt."""
    seed = text_seed(model, weights_version, prompt)
    return "".join(text_token(seed, offset) for offset in range(tokens))
