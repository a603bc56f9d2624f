"""Run a booking at most once: the state machine of one attempt.

A booking is a request that must not run twice; its caller may repeat it with the same idempotency
key, and each repeat is an attempt of its own. A request is sent only by the attempt whose own
compare-and-swap set the record to DISPATCHED: this attempt is the record's holder. No other attempt
takes the record over, since the holder may be paused and send later. Only the holder changes it.
"""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from rattangate.core.at_most_once_messages import (
    AttemptState,
    BookingEffect,
    BookingRecord,
    CallerGone,
    HolderLost,
    ReadEnded,
    ReadRecord,
    RecordState,
    RefuseCaller,
    ReplyToCaller,
    SendBooking,
    SendEnded,
    SendResult,
    Start,
    SwapEnded,
    SwapRecord,
    WakeUp,
)
from rattangate.core.compare_and_swap import CompareAndSwapResult
from rattangate.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from rattangate.core.at_most_once_messages import (
        AttemptId,
        BookingMessage,
        BookingRequest,
        StoredAnswer,
    )

MAX_SWAPS = 3
MAX_SENDS = 3
MAX_STORED_BODY_BYTES = 65_536
POLL_S = 0.25
MAX_POLL_S = 2.0
RETRY_S = 0.5
MAX_RETRY_S = 8.0
# How long the reply to the caller waits for the answer to be stored.
MAX_REPLY_DELAY_S = 1.0
WRITE_TIMEOUT_S = 600.0

_NOT_RUN_DETAIL = "This request was not sent. An earlier one with the same key may have been."
_BEFORE_OWNING = (AttemptState.SWAPPING, AttemptState.READING_BACK)
_WRITING = (AttemptState.SAVING, AttemptState.ABANDONING)


class Booking:
    """Drive one attempt from its arrival to its last write, without I/O.

    `wake_at` is when the attempt needs its next `WakeUp`, None if it waits for a message only.
    """

    def __init__(self, req: BookingRequest) -> None:
        self.req = req
        self.state = AttemptState.SWAPPING
        self.wake_at: float | None = req.deadline
        self.replied = False
        self._caller_gone = False
        self._call_id = 0
        self._swap_count = 0
        self._send_count = 0
        self._swap_may_have_applied = False
        self._version = 0
        self._record: BookingRecord | None = None
        self._answer: StoredAnswer | None = None
        self._is_reading = False
        self._wait_deadline = req.deadline
        self._write_deadline = 0.0
        self._reply_deadline = 0.0
        self._retry_at = 0.0
        self._backoff_s = 0.0

    @property
    def done(self) -> bool:
        """Tell whether the attempt has ended."""
        return self.state is AttemptState.DONE

    @property
    def waits_for(self) -> AttemptId | None:
        """Return the other attempt that this one waits for, if any."""
        if self.state is not AttemptState.WAITING or self._record is None:
            return None
        return self._record.attempt

    def handle(self, msg: BookingMessage, now: float) -> list[BookingEffect]:
        """Apply one message and return the effects to carry out."""
        if self.done:
            return []
        return self._handle(msg, now)

    def begin_send(self, call_id: int, now: float) -> bool:
        """Tell whether the first byte may be sent; not after the deadline or without a caller."""
        if self.state is not AttemptState.OWNING or call_id != self._call_id:
            return False
        if now >= self.req.deadline or self._caller_gone:
            return False
        self.state = AttemptState.SENDING
        return True

    @singledispatchmethod
    def _handle(self, msg: object, now: float) -> list[BookingEffect]:
        raise TypeError(f"expected a BookingMessage, got {msg!r}")

    @_handle.register
    def _on_start(self, msg: Start, now: float) -> list[BookingEffect]:
        if now >= self.req.deadline:
            return self._finish(RefuseCaller(Failure(ErrorKind.DEADLINE_UNREACHABLE)))
        return self._swap_to_dispatched(now)

    @_handle.register
    def _on_swap_ended(self, msg: SwapEnded, now: float) -> list[BookingEffect]:
        if msg.call_id != self._call_id:
            return []
        if self.state is AttemptState.SWAPPING:
            return self._after_dispatch_swap(msg, now)
        if self.state in _WRITING:
            return self._after_write(msg, now)
        return []

    @_handle.register
    def _on_read_ended(self, msg: ReadEnded, now: float) -> list[BookingEffect]:
        if msg.call_id != self._call_id:
            return []
        if self.state is AttemptState.READING_BACK:
            return self._after_read_back(msg, now)
        if self.state is AttemptState.WAITING:
            return self._after_poll(msg, now)
        return []

    @_handle.register
    def _on_send_ended(self, msg: SendEnded, now: float) -> list[BookingEffect]:
        if msg.call_id != self._call_id:
            return []
        if self.state is AttemptState.OWNING:
            return self._send_again_or_abandon(now)
        if self.state is not AttemptState.SENDING:
            return []
        if msg.result is SendResult.ANSWERED and msg.answer is not None:
            return self._save_answer(msg.answer, now)
        if msg.result is SendResult.REFUSED:
            self.state = AttemptState.OWNING
            return self._send_again_or_abandon(now)
        return self._save_unknown(now)

    @_handle.register
    def _on_holder_lost(self, msg: HolderLost, now: float) -> list[BookingEffect]:
        holder = self.waits_for
        if holder is None or holder.instance != msg.instance:
            return []
        if holder.incarnation > msg.incarnation:
            return []
        return self._finish(_outcome_unknown("The instance that sent the request was lost."))

    @_handle.register
    def _on_caller_gone(self, msg: CallerGone, now: float) -> list[BookingEffect]:
        self._caller_gone = True
        self.replied = True
        if self.state is AttemptState.WAITING:
            return self._finish(None)
        return []

    @_handle.register
    def _on_wake_up(self, msg: WakeUp, now: float) -> list[BookingEffect]:
        if self.state in _BEFORE_OWNING and now >= self.req.deadline:
            self._swap_may_have_applied = True
            return self._refuse_unsent(ErrorKind.DEADLINE_UNREACHABLE, now)
        if self.state is AttemptState.WAITING:
            return self._poll(now)
        if self.state is AttemptState.SENDING and now >= self.req.deadline:
            self.wake_at = None
            return self._reply(_outcome_unknown("The endpoint has not answered in time."))
        if self.state in _WRITING:
            return self._on_write_wake_up(now)
        return []

    # Before the attempt owns the record

    def _swap_to_dispatched(self, now: float) -> list[BookingEffect]:
        self.state = AttemptState.SWAPPING
        self.wake_at = self.req.deadline
        self._swap_count += 1
        run_s = max(0.0, self.req.deadline - now)
        record = BookingRecord(RecordState.DISPATCHED, self.req.attempt, self.req.digest, run_s)
        return [self._swap(record)]

    def _after_dispatch_swap(self, msg: SwapEnded, now: float) -> list[BookingEffect]:
        if msg.result is CompareAndSwapResult.APPLIED:
            return self._take_ownership(msg.version, now)
        if msg.result is CompareAndSwapResult.CONFLICT:
            return self._handle_existing_record(msg.record, msg.version, now)
        if msg.result is CompareAndSwapResult.NOT_SENT:
            return self._refuse_unsent(ErrorKind.PLATFORM_UNAVAILABLE, now)
        self._swap_may_have_applied = True
        self.state = AttemptState.READING_BACK
        return [self._read()]

    def _after_read_back(self, msg: ReadEnded, now: float) -> list[BookingEffect]:
        if not msg.succeeded:
            return self._refuse_unsent(ErrorKind.PLATFORM_UNAVAILABLE, now)
        if msg.version != self._version or msg.record is not None and self._is_own(msg.record):
            return self._handle_existing_record(msg.record, msg.version, now)
        if self._swap_count >= MAX_SWAPS:
            return self._refuse_unsent(ErrorKind.PLATFORM_UNAVAILABLE, now)
        return self._swap_to_dispatched(now)

    def _handle_existing_record(
        self, record: BookingRecord | None, version: int, now: float
    ) -> list[BookingEffect]:
        if record is None:
            return self._refuse_unsent(ErrorKind.PLATFORM_UNAVAILABLE, now)
        if record.digest != self.req.digest:
            return self._finish(RefuseCaller(Failure(ErrorKind.IDEMPOTENCY_KEY_REUSED)))
        if record.state is RecordState.ANSWERED:
            return self._finish(_replay(record))
        if record.state is RecordState.UNKNOWN:
            return self._finish(_outcome_unknown("An earlier request with this key was cut off."))
        if record.state is RecordState.ABANDONED:
            self._version = version
            self._swap_may_have_applied = False
            return self._swap_to_dispatched(now)
        if self._is_own(record):
            return self._take_ownership(version, now)
        return self._wait(record, now)

    def _refuse_unsent(self, kind: ErrorKind, now: float) -> list[BookingEffect]:
        effects = self._reply(RefuseCaller(Failure(kind, _NOT_RUN_DETAIL)))
        if self._swap_may_have_applied:
            return effects + self._write(RecordState.ABANDONED, None, now)
        return effects + self._finish(None)

    # Waiting for another attempt

    def _wait(self, record: BookingRecord, now: float) -> list[BookingEffect]:
        previous = self._record
        if self.state is not AttemptState.WAITING or previous is None:
            self._backoff_s = POLL_S
        if previous is None or previous.attempt != record.attempt:
            self._wait_deadline = min(self.req.deadline, now + record.run_s)
        self._record = record
        self.state = AttemptState.WAITING
        if now >= self._wait_deadline:
            return self._finish(_outcome_unknown("An earlier request with this key may run."))
        self.wake_at = min(self._wait_deadline, now + self._backoff_s)
        self._backoff_s = min(MAX_POLL_S, 2 * self._backoff_s)
        return []

    def _poll(self, now: float) -> list[BookingEffect]:
        if now >= self._wait_deadline:
            return self._finish(_outcome_unknown("An earlier request with this key may run."))
        if self.wake_at is not None and now < self.wake_at or self._is_reading:
            return []
        self._is_reading = True
        self.wake_at = self._wait_deadline
        return [self._read()]

    def _after_poll(self, msg: ReadEnded, now: float) -> list[BookingEffect]:
        self._is_reading = False
        if not msg.succeeded or msg.record is None:
            assert self._record is not None
            return self._wait(self._record, now)
        return self._handle_existing_record(msg.record, msg.version, now)

    # Owning the record

    def _take_ownership(self, version: int, now: float) -> list[BookingEffect]:
        self._version = version
        self._swap_may_have_applied = False
        self.state = AttemptState.OWNING
        self.wake_at = self.req.deadline
        return self._send_again_or_abandon(now)

    def _send_again_or_abandon(self, now: float) -> list[BookingEffect]:
        if now >= self.req.deadline or self._caller_gone:
            failure = Failure(ErrorKind.DEADLINE_UNREACHABLE)
        elif self._send_count >= MAX_SENDS:
            failure = Failure(ErrorKind.NO_ENDPOINT)
        else:
            self._send_count += 1
            self._call_id += 1
            return [SendBooking(self._call_id, self.req.attempt, self._send_count - 1)]
        return self._reply(RefuseCaller(failure)) + self._write(RecordState.ABANDONED, None, now)

    def _save_answer(self, answer: StoredAnswer, now: float) -> list[BookingEffect]:
        stored = answer
        if answer.body is not None and len(answer.body) > MAX_STORED_BODY_BYTES:
            stored = replace(answer, body=None)
        self._answer = answer
        return self._write(RecordState.ANSWERED, stored, now)

    def _save_unknown(self, now: float) -> list[BookingEffect]:
        refusal = _outcome_unknown("The connection to the endpoint was lost.")
        return self._reply(refusal) + self._write(RecordState.UNKNOWN, None, now)

    # The last write, retried until it is stored or its deadline passes

    def _write(
        self, state: RecordState, answer: StoredAnswer | None, now: float
    ) -> list[BookingEffect]:
        abandoned = state is RecordState.ABANDONED
        self.state = AttemptState.ABANDONING if abandoned else AttemptState.SAVING
        self._record = BookingRecord(state, self.req.attempt, self.req.digest, 0.0, answer)
        self._write_deadline = now + WRITE_TIMEOUT_S
        self._reply_deadline = min(self.req.deadline, now + MAX_REPLY_DELAY_S)
        self._backoff_s = RETRY_S
        return self._write_again(now)

    def _write_again(self, now: float) -> list[BookingEffect]:
        assert self._record is not None
        self._retry_at = self._write_deadline
        self.wake_at = self._next_wake()
        return [self._swap(self._record)]

    def _after_write(self, msg: SwapEnded, now: float) -> list[BookingEffect]:
        if msg.result is CompareAndSwapResult.APPLIED:
            return self._finish(self._own_answer())
        if msg.result is CompareAndSwapResult.CONFLICT:
            return self._after_write_conflict(msg, now)
        self._retry_at = now + self._backoff_s
        self._backoff_s = min(MAX_RETRY_S, 2 * self._backoff_s)
        self.wake_at = self._next_wake()
        return []

    def _after_write_conflict(self, msg: SwapEnded, now: float) -> list[BookingEffect]:
        current = msg.record
        if current is None or not self._is_own(current):
            return self._finish(self._own_answer())
        if current.state is not RecordState.DISPATCHED:
            return self._finish(self._own_answer())
        self._version = msg.version
        return self._write_again(now)

    def _on_write_wake_up(self, now: float) -> list[BookingEffect]:
        if now >= self._write_deadline:
            return self._finish(self._own_answer())
        effects: list[BookingEffect] = []
        if now >= self._reply_deadline:
            effects = self._reply(self._own_answer())
        if now >= self._retry_at:
            return effects + self._write_again(now)
        self.wake_at = self._next_wake()
        return effects

    def _next_wake(self) -> float:
        return self._retry_at if self.replied else min(self._retry_at, self._reply_deadline)

    # Helpers

    def _own_answer(self) -> ReplyToCaller | None:
        return None if self._answer is None else ReplyToCaller(self._answer, replayed=False)

    def _is_own(self, record: BookingRecord) -> bool:
        return record.attempt == self.req.attempt

    def _swap(self, record: BookingRecord) -> SwapRecord:
        self._call_id += 1
        final = record.state in (RecordState.ANSWERED, RecordState.ABANDONED)
        retention_s = self.req.retention_s if final else None
        return SwapRecord(self._call_id, self.req.key, self._version, record, retention_s)

    def _read(self) -> ReadRecord:
        self._call_id += 1
        return ReadRecord(self._call_id, self.req.key)

    def _reply(self, effect: ReplyToCaller | RefuseCaller | None) -> list[BookingEffect]:
        if self.replied or effect is None:
            return []
        self.replied = True
        return [effect]

    def _finish(self, effect: ReplyToCaller | RefuseCaller | None) -> list[BookingEffect]:
        self.state = AttemptState.DONE
        self.wake_at = None
        return self._reply(effect)


def _outcome_unknown(detail: str) -> RefuseCaller:
    return RefuseCaller(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))


def _replay(record: BookingRecord) -> ReplyToCaller | RefuseCaller:
    if record.answer is None or record.answer.body is None:
        return _outcome_unknown("The request ran, but its answer was too large to keep.")
    return ReplyToCaller(record.answer, replayed=True)
