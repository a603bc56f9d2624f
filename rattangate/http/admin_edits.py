"""Turn an edit from the administration API into a proposed configuration version."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import singledispatch
from typing import TYPE_CHECKING

from rattangate.config.content import (
    ConfigContent,
    decode_content,
    encode_content,
    make_content,
)
from rattangate.config.diagnostics import ConfigError
from rattangate.config.edit import edit_base, read_data
from rattangate.core.config_follower import ConfigSource, ContentRead
from rattangate.core.config_versions import (
    Accepted,
    ChangeConflict,
    ChangeIdReused,
    ConfigRecord,
    NotAccepted,
    OutcomeUnknown,
    Proposal,
)
from rattangate.errors import ErrorKind, Failure
from rattangate.platform.outcomes import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from rattangate.config.edit import Edit
    from rattangate.core.config_versions import ChangeOutcome
    from rattangate.http.admin_dependencies import AdminDependencies

PROPOSE_TIMEOUT_S = 8.0


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Describe a change: its author, its reason and the version that it is based on.

    `edited_from` is 0 if no version was applied yet, and for actions that create no version.
    """

    edited_from: int
    change_id: str
    author: str
    reason: str


async def propose_edit(
    deps: AdminDependencies,
    req: ChangeRequest,
    build_edit: Callable[[dict[str, Any]], Edit | Failure],
) -> ConfigRecord | Failure:
    """Apply an edit to the version `req.edited_from` and propose the result as the next version.

    `build_edit` gets the parsed base configuration of that version.
    """
    base_content = await _read_base_content(deps, req.edited_from)
    if isinstance(base_content, Failure):
        return base_content
    edit = build_edit(read_data(base_content.base))
    if isinstance(edit, Failure):
        return edit
    try:
        edited_content = ConfigContent(edit_base(base_content.base, edit), base_content.overlays)
        content = encode_content(make_content(edited_content.sources))
    except ConfigError as exc:
        return Failure(ErrorKind.CONFIG_INVALID, "; ".join(map(str, exc.diagnostics)))
    proposed_at = datetime.now(UTC).isoformat(timespec="seconds")
    proposal = Proposal(
        req.edited_from, content, req.change_id, req.author, f"API: {req.reason}", proposed_at
    )
    outcome = await deps.config_store.propose(proposal, PROPOSE_TIMEOUT_S)
    if isinstance(outcome, Accepted):
        # Applies the version on this instance at once; peers learn of it from the next heartbeat.
        msg = ContentRead(outcome.record, content, ConfigSource.PEER)
        deps.config_watch.feed(msg)
    return _to_result(outcome)


def new_change_id() -> str:
    """Return a random id for a change that came without one."""
    return uuid.uuid4().hex


async def _read_base_content(deps: AdminDependencies, version: int) -> ConfigContent | Failure:
    if version == 0:
        detail = "no version was applied yet: apply the files with `rattangate config apply`"
        return Failure(ErrorKind.VERSION_CONFLICT, detail)
    history = await deps.config_store.read_history(version, 1)
    if isinstance(history, Unavailable):
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, history.detail)
    if not history:
        return Failure(ErrorKind.VERSION_CONFLICT, f"version {version} does not exist")
    encoded = await deps.config_store.read_content(history[0])
    if encoded is None:
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the content can't be read")
    try:
        return decode_content(encoded)
    except ConfigError as exc:
        return Failure(ErrorKind.CONFIG_INVALID, str(exc))


@singledispatch
def _to_result(outcome: ChangeOutcome) -> ConfigRecord | Failure:
    raise TypeError(f"unknown outcome {outcome!r}")


@_to_result.register
def _(outcome: Accepted) -> ConfigRecord:
    return outcome.record


@_to_result.register
def _(outcome: ChangeConflict) -> Failure:
    proposed, newest = outcome.proposed, outcome.newest
    assert newest is not None
    detail = (
        f"{proposed.author} ({proposed.reason}) edited version {proposed.version - 1}, but version "
        f"{newest.version} of {newest.author} ({newest.reason}) is newest"
    )
    return Failure(ErrorKind.VERSION_CONFLICT, detail)


@_to_result.register
def _(outcome: ChangeIdReused) -> Failure:
    detail = f"the change id belongs to version {outcome.accepted.version}"
    return Failure(ErrorKind.VERSION_CONFLICT, detail)


@_to_result.register
def _(outcome: NotAccepted) -> Failure:
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, outcome.detail)


@_to_result.register
def _(outcome: OutcomeUnknown) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, f"repeat with Change-Id {outcome.change_id}")
