"""Check the validation of event streams and their continuation by another attempt."""

from __future__ import annotations

import pytest

from rattangate.core.streams import StreamChecker, StreamFault


def _event(offset, text="café ", finish=None, source="1.v1", answer_id="cmpl-req-1"):
    finish_reason = f'"{finish}"' if finish else "null"
    chunk = (
        f'{{"id":"{answer_id}","offset":{offset},"system_fingerprint":"{source}",'
        f'"choices":[{{"index":0,"text":"{text}","finish_reason":{finish_reason}}}]}}'
    )
    return f"data: {chunk}\n\n".encode()


DONE = b"data: [DONE]\n\n"
COMPLETE_STREAM = _event(0) + _event(1, "☂ ") + _event(2, "東口 ", "stop") + DONE


@pytest.fixture
def checker():
    checker = StreamChecker("req-1")
    checker.begin_attempt("1.v1")
    return checker


@pytest.mark.parametrize("size", [1, 2, 3, 7, 50, 1000])
def test_events_may_be_split_at_any_byte(checker, size):
    steps = [
        checker.feed(COMPLETE_STREAM[i : i + size]) for i in range(0, len(COMPLETE_STREAM), size)
    ]
    assert b"".join(step.forward for step in steps) == COMPLETE_STREAM[: -len(DONE)]
    assert [step.done for step in steps].count(True) == 1
    assert checker.text == "café ☂ 東口 "


def test_repeated_event_is_dropped(checker):
    step = checker.feed(_event(0) + _event(0) + _event(1))
    assert step.tokens == 2
    assert step.fault is None


def test_missing_event_is_a_gap(checker):
    step = checker.feed(_event(0) + _event(2))
    assert step.forward == _event(0)
    assert step.fault is StreamFault.GAP


def test_end_of_stream_without_a_finish_reason_is_a_gap(checker):
    assert checker.feed(_event(0) + DONE).fault is StreamFault.GAP


def test_event_with_another_system_fingerprint_is_a_fault(checker):
    assert checker.feed(_event(0, source="2.v1")).fault is StreamFault.OTHER_SOURCE


def test_event_with_the_id_of_another_request_is_a_fault(checker):
    step = checker.feed(_event(0, answer_id="cmpl-req-2"))
    assert (step.forward, step.fault) == (b"", StreamFault.OTHER_REQUEST)


def test_new_attempt_continues_and_discards_a_partial_event(checker):
    checker.feed(_event(0) + _event(1)[:20])
    checker.begin_attempt("9.v1")
    step = checker.feed(_event(1, source="9.v1") + _event(2, "x", "stop", "9.v1") + DONE)
    assert step.done
    assert checker.next_offset == 3


@pytest.mark.parametrize(
    "data", [b"data: {\n\n", b"nonsense\n\n", b"data: \xff\n\n", b"data: 3\n\n"]
)
def test_malformed_event_is_a_fault(checker, data):
    assert checker.feed(data).fault is StreamFault.MALFORMED
