"""Events are passed on whole, once and in order, over several attempts."""

from __future__ import annotations

import pytest

from rattangate.core.events import EventFault, EventSplicer


def event(number: int, text: str = "x") -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: {text}\n\n".encode()


def test_events_split_anywhere_come_out_whole():
    data = event(1, "é") + event(2) + b"id: 3\nx-weight-versions: 2\ndata: y\n\n"
    splicer = EventSplicer()
    passed = [splicer.feed(data[at : at + 1]) for at in range(len(data))]
    assert b"".join(passed) == data
    assert all(item.endswith(b"\n\n") for item in passed if item)
    assert splicer.last_id == 3


def test_another_source_goes_on_without_gap_or_repeat():
    splicer = EventSplicer()
    assert splicer.feed(event(1) + event(2) + b"id: 3\nda") == event(1) + event(2)
    splicer.begin_attempt()
    assert splicer.feed(event(2) + event(3)) == event(3)
    assert splicer.finish() == b""


def test_a_gap_after_a_change_of_source_is_a_fault():
    splicer = EventSplicer()
    splicer.feed(event(1))
    splicer.begin_attempt()
    with pytest.raises(EventFault):
        splicer.feed(event(3))


def test_an_event_twice_from_one_source_is_a_fault():
    splicer = EventSplicer()
    splicer.feed(event(1))
    with pytest.raises(EventFault):
        splicer.feed(event(1))


def test_a_caller_that_resumes_gets_what_follows():
    splicer = EventSplicer(last_id=7)
    splicer.begin_attempt()
    assert splicer.feed(event(8)) == event(8)


def test_an_endless_event_is_a_fault():
    splicer = EventSplicer()
    with pytest.raises(EventFault):
        splicer.feed(b"data: " + b"x" * 1_000_001)
