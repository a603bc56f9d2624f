"""Authenticates bearer keys by their SHA-256 hashes."""

from __future__ import annotations

import hmac
from hashlib import sha256
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.config.model import AdminKeyCfg, WorkspaceCfg

BEARER = "Bearer "
Owner = TypeVar("Owner")


def hash_key(key: str) -> str:
    """Return the hash by which settings and stores identify a key."""
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
        """Return the workspace of the key in an Authorization header, None if it is unknown."""
        return _find_owner(self._workspaces, authorization)

    def admin_key(self, authorization: str) -> AdminKeyCfg | None:
        """Return the administration key in an Authorization header, None if it is unknown."""
        return _find_owner(self._admin_keys, authorization)


def _find_owner(owners: dict[str, Owner], authorization: str) -> Owner | None:
    if not authorization.startswith(BEARER):
        return None
    presented_hash = hash_key(authorization[len(BEARER) :].strip())
    found = None
    # Compares with every hash in constant time, so that the duration does not reveal a match.
    for key_hash, owner in owners.items():
        if hmac.compare_digest(key_hash, presented_hash):
            found = owner
    return found
