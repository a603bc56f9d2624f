"""Tests that events are forwarded complete, once and in order over several attempts."""

from __future__ import annotations

import pytest

from rattangate.core.events import EventSplicer, EventStreamError


def event(number: int, text: str = "x") -> bytes:
    """Return an encoded event with an id."""
    return f"id: {number}\ndata: {text}\n\n".encode()


def test_events_received_byte_by_byte_are_forwarded_complete():
    data = event(1, "é") + event(2) + b"id: 3\nx-weight-versions: 2\ndata: y\n\n"
    splicer = EventSplicer()
    outputs = [splicer.feed(data[at : at + 1]) for at in range(len(data))]
    assert b"".join(outputs) == data
    assert all(item.endswith(b"\n\n") for item in outputs if item)
    assert splicer.last_id == 3


def test_next_attempt_continues_without_gap_or_repeated_event():
    splicer = EventSplicer()
    assert splicer.feed(event(1) + event(2) + b"id: 3\nda") == event(1) + event(2)
    splicer.begin_attempt()
    assert splicer.feed(event(2) + event(3)) == event(3)
    splicer.finish()


@pytest.mark.parametrize("rest", [b"i", b"id: 2\ndata: x", b"id: 2\ndata: x\n"])
def test_end_inside_an_event_raises(rest):
    splicer = EventSplicer()
    assert splicer.feed(event(1) + rest) == event(1)
    with pytest.raises(EventStreamError):
        splicer.finish()


def test_blank_lines_after_the_last_event_are_no_event():
    splicer = EventSplicer()
    assert splicer.feed(event(1) + b"\n") == event(1)
    splicer.finish()


def test_gap_at_the_start_of_the_next_attempt_raises():
    splicer = EventSplicer()
    splicer.feed(event(1))
    splicer.begin_attempt()
    assert splicer.feed(event(3)) == b""
    with pytest.raises(EventStreamError):
        splicer.check()


def test_event_repeated_within_one_attempt_raises():
    splicer = EventSplicer()
    splicer.feed(event(1))
    assert splicer.feed(event(1)) == b""
    with pytest.raises(EventStreamError):
        splicer.check()


def test_resuming_caller_gets_the_events_after_its_last_id():
    splicer = EventSplicer(last_id=7)
    splicer.begin_attempt()
    assert splicer.feed(event(8)) == event(8)


def test_event_above_the_size_limit_raises():
    splicer = EventSplicer()
    with pytest.raises(EventStreamError):
        splicer.feed(b"data: " + b"x" * 1_000_001)


@pytest.mark.parametrize("faulty", [event(1), event(2)])
def test_events_before_a_faulty_one_are_forwarded_and_not_skipped_by_the_next_attempt(faulty):
    splicer = EventSplicer()
    assert splicer.feed(event(1) + event(2) + faulty + event(3)) == event(1) + event(2)
    with pytest.raises(EventStreamError):
        splicer.check()
    splicer.begin_attempt()
    splicer.check()
    assert splicer.feed(event(3)) == event(3)


def test_an_answer_with_a_faulty_event_does_not_end_well():
    splicer = EventSplicer()
    assert splicer.feed(event(1) + event(1)) == event(1)
    with pytest.raises(EventStreamError):
        splicer.finish()
