"""The state machine of one booking attempt, under hand-written messages."""

from __future__ import annotations

import pytest

from rattangate.core.at_most_once import MAX_SENDS, MAX_STORED_BODY_BYTES, Booking
from rattangate.core.at_most_once_messages import (
    AttemptId,
    AttemptState,
    BookingRecord,
    BookingRequest,
    CallerGone,
    HolderLost,
    ReadEnded,
    ReadRecord,
    RecordKey,
    RecordState,
    RefuseCaller,
    ReplyToCaller,
    SendBooking,
    SendEnded,
    SendResult,
    Start,
    StoredAnswer,
    SwapEnded,
    SwapRecord,
    WakeUp,
)
from rattangate.core.compare_and_swap import CompareAndSwapResult
from rattangate.errors import ErrorKind, RunState

KEY = RecordKey("town", "/passes", "k1")
ANSWER = StoredAnswer(201, (("content-type", "application/json"),), b'{"pass": 7}')
OTHER = AttemptId("b", 1, 1)


def make_booking(number: int = 1, digest: bytes = b"d", deadline: float = 10.0) -> Booking:
    return Booking(BookingRequest(KEY, digest, AttemptId("a", 1, number), deadline, 86_400.0))


def record(state: RecordState, attempt: AttemptId = OTHER, **kwargs) -> BookingRecord:
    return BookingRecord(state, attempt, kwargs.pop("digest", b"d"), 5.0, **kwargs)


def start(booking: Booking) -> SwapRecord:
    (swap,) = booking.handle(Start(), 0.0)
    assert isinstance(swap, SwapRecord)
    return swap


def take_ownership(booking: Booking) -> SendBooking:
    swap = start(booking)
    (send,) = booking.handle(SwapEnded(swap.call_id, CompareAndSwapResult.APPLIED, 1), 0.1)
    assert isinstance(send, SendBooking)
    return send


def refusal_kind(effects: list) -> ErrorKind:
    (kind,) = [e.failure.kind for e in effects if isinstance(e, RefuseCaller)]
    return kind


def test_booking_without_faults_needs_two_writes() -> None:
    booking = make_booking()
    send = take_ownership(booking)
    assert booking.begin_send(send.call_id, 0.2)
    (save,) = booking.handle(SendEnded(send.call_id, SendResult.ANSWERED, ANSWER), 0.3)
    assert (save.expected_version, save.record.state) == (1, RecordState.ANSWERED)
    assert save.retention_s == 86_400.0
    effects = booking.handle(SwapEnded(save.call_id, CompareAndSwapResult.APPLIED, 2), 0.4)
    assert effects == [ReplyToCaller(ANSWER, replayed=False)]
    assert booking.done


def test_lost_swap_reply_is_resolved_by_reading_the_record() -> None:
    booking = make_booking()
    swap = start(booking)
    (read,) = booking.handle(SwapEnded(swap.call_id, CompareAndSwapResult.UNKNOWN), 0.1)
    assert isinstance(read, ReadRecord)
    own_record = record(RecordState.DISPATCHED, booking.req.attempt)
    (send,) = booking.handle(ReadEnded(read.call_id, True, 1, own_record), 0.2)
    assert isinstance(send, SendBooking)


def test_unreadable_record_is_refused_as_not_run_and_abandoned() -> None:
    booking = make_booking()
    swap = start(booking)
    (read,) = booking.handle(SwapEnded(swap.call_id, CompareAndSwapResult.UNKNOWN), 0.1)
    refuse, abandon = booking.handle(ReadEnded(read.call_id, False), 0.2)
    assert refuse.failure.response.run_state is RunState.NOT_RUN
    assert abandon.record.state is RecordState.ABANDONED
    own_record = record(RecordState.DISPATCHED, booking.req.attempt)
    conflict = SwapEnded(abandon.call_id, CompareAndSwapResult.CONFLICT, 1, own_record)
    (retried,) = booking.handle(conflict, 0.3)
    assert (retried.expected_version, retried.record.state) == (1, RecordState.ABANDONED)


def test_unavailable_table_refuses_the_caller_at_once() -> None:
    booking = make_booking()
    effects = booking.handle(SwapEnded(start(booking).call_id, CompareAndSwapResult.NOT_SENT), 0.1)
    assert refusal_kind(effects) is ErrorKind.PLATFORM_UNAVAILABLE
    assert booking.done


@pytest.mark.parametrize(
    ("found", "kind"),
    [
        (record(RecordState.UNKNOWN), ErrorKind.OUTCOME_UNKNOWN),
        (record(RecordState.DISPATCHED, digest=b"e"), ErrorKind.IDEMPOTENCY_KEY_REUSED),
        (record(RecordState.ANSWERED, digest=b"e"), ErrorKind.IDEMPOTENCY_KEY_REUSED),
        (
            record(RecordState.ANSWERED, answer=StoredAnswer(200, (), None)),
            ErrorKind.OUTCOME_UNKNOWN,
        ),
    ],
)
def test_repeat_is_refused_for_other_content_or_without_a_stored_answer(
    found: BookingRecord, kind: ErrorKind
) -> None:
    booking = make_booking()
    conflict = SwapEnded(start(booking).call_id, CompareAndSwapResult.CONFLICT, 1, found)
    assert refusal_kind(booking.handle(conflict, 0.1)) is kind
    assert booking.done


def test_repeat_waits_for_the_holder_and_gets_its_answer() -> None:
    booking = make_booking()
    held = record(RecordState.DISPATCHED)
    assert (
        booking.handle(SwapEnded(start(booking).call_id, CompareAndSwapResult.CONFLICT, 1, held), 0)
        == []
    )
    assert booking.state is AttemptState.WAITING
    (read,) = booking.handle(WakeUp(), booking.wake_at or 0)
    answered = record(RecordState.ANSWERED, answer=ANSWER)
    effects = booking.handle(ReadEnded(read.call_id, True, 2, answered), 1.0)
    assert effects == [ReplyToCaller(ANSWER, replayed=True)]


@pytest.mark.parametrize(("msg", "at"), [(HolderLost("b", 1), 0.5), (WakeUp(), 5.0)])
def test_repeat_never_takes_over_a_dispatched_record(msg, at: float) -> None:
    booking = make_booking()
    held = record(RecordState.DISPATCHED)
    booking.handle(SwapEnded(start(booking).call_id, CompareAndSwapResult.CONFLICT, 1, held), 0.0)
    assert booking.handle(HolderLost("b", 0), 0.1) == []
    assert refusal_kind(booking.handle(msg, at)) is ErrorKind.OUTCOME_UNKNOWN
    assert booking.done


def test_abandoned_record_is_dispatched_again() -> None:
    booking = make_booking()
    abandoned = record(RecordState.ABANDONED)
    (swap,) = booking.handle(
        SwapEnded(start(booking).call_id, CompareAndSwapResult.CONFLICT, 2, abandoned), 0.1
    )
    assert (swap.expected_version, swap.record.state) == (2, RecordState.DISPATCHED)


@pytest.mark.parametrize("caller_gone", [False, True])
def test_send_is_withdrawn_after_the_deadline_or_without_a_caller(caller_gone: bool) -> None:
    booking = make_booking()
    send = take_ownership(booking)
    if caller_gone:
        assert booking.handle(CallerGone(), 0.2) == []
    assert not booking.begin_send(send.call_id, 0.3 if caller_gone else 10.0)
    effects = booking.handle(SendEnded(send.call_id, SendResult.UNSENT), 10.0)
    assert effects[-1].record.state is RecordState.ABANDONED
    assert caller_gone or refusal_kind(effects) is ErrorKind.DEADLINE_UNREACHABLE


def test_other_replicas_are_tried_until_the_maximum_number_of_sends() -> None:
    booking = make_booking()
    send = take_ownership(booking)
    for index in range(MAX_SENDS - 1):
        assert send.replica_index == index
        assert booking.begin_send(send.call_id, 0.2)
        (send,) = booking.handle(SendEnded(send.call_id, SendResult.REFUSED), 0.2)
    effects = booking.handle(SendEnded(send.call_id, SendResult.UNSENT), 0.3)
    assert refusal_kind(effects) is ErrorKind.NO_ENDPOINT
    assert effects[-1].record.state is RecordState.ABANDONED


def test_connection_lost_after_the_send_gives_an_unknown_outcome() -> None:
    booking = make_booking()
    send = take_ownership(booking)
    booking.begin_send(send.call_id, 0.2)
    refuse, save = booking.handle(SendEnded(send.call_id, SendResult.LOST), 0.3)
    assert refuse.failure.kind is ErrorKind.OUTCOME_UNKNOWN
    assert (save.record.state, save.retention_s) == (RecordState.UNKNOWN, None)


def test_answer_is_delivered_while_the_table_is_down_and_stored_later() -> None:
    booking = make_booking()
    send = take_ownership(booking)
    booking.begin_send(send.call_id, 0.2)
    large_answer = StoredAnswer(200, (), b"x" * (MAX_STORED_BODY_BYTES + 1))
    (save,) = booking.handle(SendEnded(send.call_id, SendResult.ANSWERED, large_answer), 0.3)
    assert save.record.answer == StoredAnswer(200, (), None)
    assert booking.handle(SwapEnded(save.call_id, CompareAndSwapResult.NOT_SENT), 0.4) == []
    (retried,) = booking.handle(WakeUp(), 0.9)
    assert booking.handle(WakeUp(), 1.3) == [ReplyToCaller(large_answer, replayed=False)]
    assert booking.handle(SwapEnded(retried.call_id, CompareAndSwapResult.APPLIED, 2), 1.4) == []
    assert booking.done
