"""Extraction of the prompt from a request body, as the bytes that the block hashes cover."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

PART_ID_BYTES = 8


@dataclass(frozen=True, slots=True)
class InvalidPrompt:
    """Describe an invalid prompt: the `key` in the request body and the `problem` found there."""

    key: str
    problem: str


def prompt_bytes(body: dict[str, Any]) -> bytes | InvalidPrompt:
    """Return the prompt of a completion or chat completion request body."""
    if "messages" in body:
        return _chat_bytes(body["messages"])
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        return InvalidPrompt("prompt", "must be a string")
    return prompt.encode()


def shared_part_ids(model: str, body: dict[str, Any]) -> tuple[str, ...]:
    """Return identifiers of the messages of a valid chat that other requests may share.

    The last message belongs to the request itself.
    """
    messages = body.get("messages", [])
    return tuple(f"{model}/{_part_id(_message_bytes(message))}" for message in messages[:-1])


def _part_id(part: bytes) -> str:
    return blake2b(part, digest_size=PART_ID_BYTES).hexdigest()


def _message_bytes(message: dict[str, str]) -> bytes:
    return f"<{message['role']}>\n{message['content']}\n".encode()


def _chat_bytes(messages: object) -> bytes | InvalidPrompt:
    if not isinstance(messages, list) or not messages:
        return InvalidPrompt("messages", "must be a list with at least one message")
    parts = []
    for number, message in enumerate(messages):
        if not isinstance(message, dict):
            return InvalidPrompt(f"messages[{number}]", "must be a mapping")
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            return InvalidPrompt(f"messages[{number}]", "needs `role` and `content` as strings")
        parts.append(_message_bytes(message))
    return b"".join(parts)
