"""Carries an edit that arrives at the administration API to a new configuration version."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import singledispatch
from typing import TYPE_CHECKING

from rattangate.config.content import (
    ConfigContent,
    content_of,
    decode_content,
    encode_content,
)
from rattangate.config.edit import edit_base, read_data
from rattangate.config.faults import ConfigError
from rattangate.core.config_follower import ConfigSource, ContentRead
from rattangate.core.config_versions import (
    Accepted,
    ChangeIdReused,
    ConfigRecord,
    NotAccepted,
    OutcomeUnknown,
    Proposal,
    Raced,
)
from rattangate.errors import ErrorKind, Failure
from rattangate.platform.outcomes import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from rattangate.config.edit import Edit
    from rattangate.core.config_versions import ChangeOutcome
    from rattangate.http.admin_parts import AdminParts

PROPOSE_TIMEOUT_S = 8.0


@dataclass(frozen=True, slots=True)
class EditRequest:
    """Describe who asks for an edit, why, and from which version."""

    edited_from: int
    change_id: str
    author: str
    reason: str


async def carry_out_edit(
    parts: AdminParts, req: EditRequest, make_edit: Callable[[dict[str, Any]], Edit | Failure]
) -> ConfigRecord | Failure:
    """Edit the content of the version that the caller read, and propose it as the next one."""
    before = await _read_content(parts, req.edited_from)
    if isinstance(before, Failure):
        return before
    edit = make_edit(read_data(before.base))
    if isinstance(edit, Failure):
        return edit
    try:
        after = ConfigContent(edit_base(before.base, edit), before.overlays)
        content = encode_content(content_of(after.sources))
    except ConfigError as exc:
        return Failure(ErrorKind.CONFIG_INVALID, "; ".join(map(str, exc.faults)))
    at = datetime.now(UTC).isoformat(timespec="seconds")
    proposal = Proposal(
        req.edited_from, content, req.change_id, req.author, f"API: {req.reason}", at
    )
    outcome = await parts.config_store.propose(proposal, PROPOSE_TIMEOUT_S)
    if isinstance(outcome, Accepted):
        # Enforces the version here at once; the peers hear of it with the next heartbeat.
        msg = ContentRead(outcome.record, content, ConfigSource.PEER)
        parts.config_watch.feed(msg)
    return _result_of(outcome)


def new_change_id() -> str:
    """Return the id of a change whose caller gave none."""
    return uuid.uuid4().hex


async def _read_content(parts: AdminParts, version: int) -> ConfigContent | Failure:
    if version == 0:
        detail = "no version was applied yet: apply the files with `rattangate config apply`"
        return Failure(ErrorKind.VERSION_CONFLICT, detail)
    history = await parts.config_store.read_history(version, 1)
    if isinstance(history, Unavailable):
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, history.detail)
    if not history:
        return Failure(ErrorKind.VERSION_CONFLICT, f"version {version} does not exist")
    data = await parts.config_store.read_content(history[0])
    if data is None:
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the content can't be read")
    try:
        return decode_content(data)
    except ConfigError as exc:
        return Failure(ErrorKind.CONFIG_INVALID, str(exc))


@singledispatch
def _result_of(outcome: ChangeOutcome) -> ConfigRecord | Failure:
    raise TypeError(f"unknown outcome {outcome!r}")


@_result_of.register
def _(outcome: Accepted) -> ConfigRecord:
    return outcome.record


@_result_of.register
def _(outcome: Raced) -> Failure:
    mine, newest = outcome.proposed, outcome.newest
    assert newest is not None
    detail = (
        f"{mine.author} ({mine.reason}) edited version {mine.version - 1}, but version "
        f"{newest.version} of {newest.author} ({newest.reason}) is newest"
    )
    return Failure(ErrorKind.VERSION_CONFLICT, detail)


@_result_of.register
def _(outcome: ChangeIdReused) -> Failure:
    detail = f"the change id belongs to version {outcome.accepted.version}"
    return Failure(ErrorKind.VERSION_CONFLICT, detail)


@_result_of.register
def _(outcome: NotAccepted) -> Failure:
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, outcome.detail)


@_result_of.register
def _(outcome: OutcomeUnknown) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, f"repeat with Change-Id {outcome.change_id}")
