"""The record of a booking in the table, and the messages and effects of its state machine.

All times are seconds on the monotonic clock of the instance that runs the attempt.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattangate.core.compare_and_swap import CompareAndSwapResult
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattangate.errors import Failure


class RecordState(Enum):
    """Name the states of a record, as in `specs/at_most_once.pml`.

    DISPATCHED means that the holder may send the request, UNKNOWN that it may have run, and
    ABANDONED that its holder did not run it.
    """

    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"


class AttemptState(Enum):
    """Name the states of an attempt, as in `specs/at_most_once.pml`."""

    SWAPPING = "swapping"
    READING_BACK = "reading_back"
    WAITING = "waiting"
    OWNING = "owning"
    SENDING = "sending"
    SAVING = "saving"
    ABANDONING = "abandoning"
    DONE = "done"


class SendResult(Enum):
    """Name the outcomes of a send; REFUSED means that the endpoint says it did not run it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNSENT = "unsent"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RecordKey:
    """Identify a booking by the caller's idempotency key within a workspace and route."""

    workspace: str
    route: str
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Identify one attempt; the id is unique across all instances."""

    instance: str
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Hold an endpoint's answer; `body` is None if it was too large to store."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class BookingRecord:
    """Hold the state of a booking; `run_s` limits the attempt's time after its dispatch."""

    state: RecordState
    attempt: AttemptId
    digest: bytes
    run_s: float
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class BookingRequest:
    """Describe the booking that a caller asks for."""

    key: RecordKey
    digest: bytes
    attempt: AttemptId
    deadline: float
    retention_s: float


# Messages


@dataclass(frozen=True, slots=True)
class Start:
    """Begin the attempt."""


@dataclass(frozen=True, slots=True)
class SwapEnded:
    """Report a compare-and-swap; after a conflict, `record` and `version` are the stored ones."""

    call_id: int
    result: CompareAndSwapResult
    version: int = 0
    record: BookingRecord | None = None


@dataclass(frozen=True, slots=True)
class ReadEnded:
    """Report a read; `succeeded` is true if the store answered.

    The record does not exist if `succeeded` is true and `record` is None.
    """

    call_id: int
    succeeded: bool
    version: int = 0
    record: BookingRecord | None = None


@dataclass(frozen=True, slots=True)
class SendEnded:
    """Report the end of a send."""

    call_id: int
    result: SendResult
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class HolderLost:
    """Report that no process of an instance up to this incarnation is running any more."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Report that the caller closed its connection."""


@dataclass(frozen=True, slots=True)
class WakeUp:
    """Report that `Booking.wake_at` may have passed."""


BookingMessage = Start | SwapEnded | ReadEnded | SendEnded | HolderLost | CallerGone | WakeUp

# Effects


@dataclass(frozen=True, slots=True)
class SwapRecord:
    """Write a record if its stored version equals `expected_version`, 0 if none is stored.

    `retention_s` is how long the table must keep the record, None for ever.
    """

    call_id: int
    key: RecordKey
    expected_version: int
    record: BookingRecord
    retention_s: float | None


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record."""

    call_id: int
    key: RecordKey


@dataclass(frozen=True, slots=True)
class SendBooking:
    """Send the request to a replica that is none of the `replica_index` ones tried before.

    The sender calls `Booking.begin_send` before the first byte and sends only if it permits.
    """

    call_id: int
    attempt: AttemptId
    replica_index: int


@dataclass(frozen=True, slots=True)
class ReplyToCaller:
    """Answer the caller; `replayed` marks an answer stored by an earlier attempt."""

    answer: StoredAnswer
    replayed: bool


@dataclass(frozen=True, slots=True)
class RefuseCaller:
    """Answer the caller with a failure."""

    failure: Failure


BookingEffect = SwapRecord | ReadRecord | SendBooking | ReplyToCaller | RefuseCaller
