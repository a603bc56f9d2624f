"""Recognition of bearer keys by their hashes."""

from __future__ import annotations

import hmac
from hashlib import sha256
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.config.model import AdminKeyCfg, WorkspaceCfg

BEARER = "Bearer "
Entry = TypeVar("Entry")


def hash_key(key: str) -> str:
    """Return the hash under which a key is kept."""
    return sha256(key.encode()).hexdigest()


class Keyring:
    """Map the hashes of bearer keys to workspaces and administration keys."""

    def __init__(
        self, workspaces: Iterable[WorkspaceCfg], admin_keys: Iterable[AdminKeyCfg]
    ) -> None:
        self._workspaces = {
            key_hash: workspace for workspace in workspaces for key_hash in workspace.key_hashes
        }
        self._admin_keys = {key.key_hash: key for key in admin_keys}

    def workspace(self, authorization: str) -> WorkspaceCfg | None:
        """Return the workspace of an Authorization header, or None for an unknown key."""
        return _find(self._workspaces, authorization)

    def admin_key(self, authorization: str) -> AdminKeyCfg | None:
        """Return the administration key of an Authorization header, or None."""
        return _find(self._admin_keys, authorization)


def _find(entries: dict[str, Entry], authorization: str) -> Entry | None:
    if not authorization.startswith(BEARER):
        return None
    wanted = hash_key(authorization[len(BEARER) :].strip())
    found = None
    for key_hash, entry in entries.items():
        if hmac.compare_digest(key_hash, wanted):
            found = entry
    return found
