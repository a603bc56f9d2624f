"""Events are found wherever the bytes are cut, and no byte is searched more than a few times."""

from __future__ import annotations

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattangate.core.event_buffer import EventBuffer

END = re.compile(rb"\r?\n\r?\n")
MAX_END_BYTES = 4


class CountingPattern:
    """Count the bytes that are searched."""

    def __init__(self) -> None:
        self.searched = 0

    def finditer(self, data: bytearray, start: int):
        self.searched += len(data) - start
        return END.finditer(data, start)


@pytest.mark.parametrize("size", [1, 16, 50, 1024])
def test_bytes_that_never_end_an_event_are_searched_in_linear_time(size):
    pattern = CountingPattern()
    buffer = EventBuffer(pattern, MAX_END_BYTES)
    total = 200 * 1024
    for _ in range(total // size):
        assert buffer.feed(b"x" * size) == []
    assert len(buffer) == total // size * size
    assert pattern.searched <= total // size * (size + MAX_END_BYTES)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from([b"a", b"\n", b"\r", b"\r\n", b"\n\n", b"id: 1"])))
def test_events_do_not_depend_on_how_the_bytes_are_cut(pieces):
    whole = EventBuffer(END, MAX_END_BYTES)
    cut = EventBuffer(END, MAX_END_BYTES)
    events = whole.feed(b"".join(pieces))
    assert [event for piece in pieces for event in cut.feed(piece)] == events
    assert len(cut) == len(whole)
    assert cut.is_blank == whole.is_blank
