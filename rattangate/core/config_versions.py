"""The acceptance of a configuration change by compare-and-swap of the version in the table."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from hashlib import sha256

RETRY_S = 0.25


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """Describe one accepted version; `digest` identifies its content."""

    version: int
    digest: str
    change_id: str
    author: str
    reason: str
    accepted_at: str


@dataclass(frozen=True, slots=True)
class Proposal:
    """Propose a change; `edited_from` is the version that the author edited, 0 for none."""

    edited_from: int
    content: bytes
    change_id: str
    author: str
    reason: str
    proposed_at: str

    @property
    def record(self) -> ConfigRecord:
        """Return the record to store if the change is accepted."""
        return ConfigRecord(
            self.edited_from + 1,
            digest_of(self.content),
            self.change_id,
            self.author,
            self.reason,
            self.proposed_at,
        )


def digest_of(content: bytes) -> str:
    """Return the hexadecimal SHA-256 digest that identifies a content."""
    return sha256(content).hexdigest()


# Messages


@dataclass(frozen=True, slots=True)
class TableRead:
    """Deliver the newest record and the record of this change, where they exist."""

    newest: ConfigRecord | None
    own: ConfigRecord | None


@dataclass(frozen=True, slots=True)
class ContentStored:
    """Report that the content is in the object store."""


@dataclass(frozen=True, slots=True)
class Swapped:
    """Report that the compare-and-swap stored the new version in the table."""


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """Report a conflict: the table holds another newest version, or holds this change."""


@dataclass(frozen=True, slots=True)
class RecordStored:
    """Report that the record is in the object store."""


@dataclass(frozen=True, slots=True)
class StepFailed:
    """Report that the platform gave no usable reply to the last effect.

    `may_have_applied` tells whether the effect may have taken place nevertheless.
    """

    detail: str
    may_have_applied: bool


@dataclass(frozen=True, slots=True)
class RetryDue:
    """Report that the delay before a retry has passed."""


ChangeMessage = (
    TableRead | ContentStored | Swapped | SwapConflict | RecordStored | StepFailed | RetryDue
)

# Effects


@dataclass(frozen=True, slots=True)
class ReadTable:
    """Read the newest record and the record of a change."""

    change_id: str


@dataclass(frozen=True, slots=True)
class StoreContent:
    """Write the content under its digest; an existing object has the same content."""

    digest: str
    content: bytes


@dataclass(frozen=True, slots=True)
class SwapVersion:
    """Write the record if the newest version is still the preceding one."""

    record: ConfigRecord


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """Write the record of an accepted version to the object store."""

    record: ConfigRecord


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Wait until `at`, then report RetryDue."""

    at: float


@dataclass(frozen=True, slots=True)
class Accepted:
    """End the change: it is accepted; `is_repeat` means that an earlier run achieved this."""

    record: ConfigRecord
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """End the change: another one was accepted after the version that was edited."""

    proposed: ConfigRecord
    newest: ConfigRecord | None


@dataclass(frozen=True, slots=True)
class ChangeIdReused:
    """End the change: its id belongs to an accepted change with other content."""

    accepted: ConfigRecord


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """End the change: the platform was unavailable and the change has no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """End the change: it may be accepted; a retry with the same change id will tell."""

    change_id: str
    detail: str


ChangeOutcome = Accepted | ChangeConflict | ChangeIdReused | NotAccepted | OutcomeUnknown
ChangeEffect = ReadTable | StoreContent | SwapVersion | StoreRecord | RetryAt | ChangeOutcome


class ConfigChange:
    """Carry one proposal to its outcome; every message is answered by one effect."""

    def __init__(self, proposal: Proposal, deadline: float) -> None:
        self._proposal = proposal
        self._record = proposal.record
        self._deadline = deadline
        self._is_swapping = False
        self._swap_may_have_applied = False
        self._swapped = False

    def start(self) -> ChangeEffect:
        """Return the first effect."""
        return ReadTable(self._record.change_id)

    def handle(self, msg: ChangeMessage, now: float) -> ChangeEffect:
        """Apply one message and return the effect to carry out, or the outcome."""
        return self._handle(msg, now)

    @singledispatchmethod
    def _handle(self, msg: object, now: float) -> ChangeEffect:
        raise TypeError(f"expected a ChangeMessage, got {msg!r}")

    @_handle.register
    def _on_table_read(self, msg: TableRead, now: float) -> ChangeEffect:
        if msg.own is not None:
            if msg.own.digest != self._record.digest:
                return ChangeIdReused(msg.own)
            return Accepted(msg.own, is_repeat=not self._swap_may_have_applied)
        newest = msg.newest.version if msg.newest is not None else 0
        if newest != self._proposal.edited_from:
            return ChangeConflict(self._record, msg.newest)
        return StoreContent(self._record.digest, self._proposal.content)

    @_handle.register
    def _on_content_stored(self, msg: ContentStored, now: float) -> ChangeEffect:
        self._is_swapping = True
        return SwapVersion(self._record)

    @_handle.register
    def _on_swapped(self, msg: Swapped, now: float) -> ChangeEffect:
        self._swapped = True
        return StoreRecord(self._record)

    @_handle.register
    def _on_swap_refused(self, msg: SwapConflict, now: float) -> ChangeEffect:
        return ReadTable(self._record.change_id)

    @_handle.register
    def _on_record_stored(self, msg: RecordStored, now: float) -> ChangeEffect:
        return Accepted(self._record, is_repeat=False)

    @_handle.register
    def _on_step_failed(self, msg: StepFailed, now: float) -> ChangeEffect:
        if self._swapped:
            return Accepted(self._record, is_repeat=False)
        self._swap_may_have_applied |= self._is_swapping and msg.may_have_applied
        self._is_swapping = False
        if now + RETRY_S < self._deadline:
            return RetryAt(now + RETRY_S)
        if self._swap_may_have_applied:
            return OutcomeUnknown(self._record.change_id, msg.detail)
        return NotAccepted(msg.detail)

    @_handle.register
    def _on_retry_due(self, msg: RetryDue, now: float) -> ChangeEffect:
        return ReadTable(self._record.change_id)
