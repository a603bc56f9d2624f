"""The budget of log lines: routine lines are left out first, refusals stay."""

from __future__ import annotations

import json
import os

import eliot
import pytest

from rattangate.log_budget import LineBudget
from rattangate.log_events import LineWriter, LogEvent, log


def count_admitted(budget: LineBudget, is_routine: bool, tries: int, now: float) -> int:
    """Return how many lines of a burst are admitted."""
    return sum(budget.admits(is_routine, now) for _ in range(tries))


def test_routine_lines_end_first_and_others_go_on():
    budget = LineBudget(lines_per_s=100.0, routine_per_s=30.0)
    assert count_admitted(budget, True, 200, 1.0) == 30
    assert count_admitted(budget, False, 200, 1.0) == 70
    assert count_admitted(budget, False, 200, 1.5) == 50


def test_budget_fills_up_to_one_second():
    budget = LineBudget(lines_per_s=100.0, routine_per_s=30.0)
    count_admitted(budget, False, 200, 1.0)
    assert count_admitted(budget, False, 500, 60.0) == 100


def test_clock_that_steps_back_gives_no_lines():
    budget = LineBudget(lines_per_s=10.0, routine_per_s=10.0)
    assert count_admitted(budget, False, 20, 50.0) == 10
    assert count_admitted(budget, False, 20, 40.0) == 0


@pytest.fixture
def pipe():
    """Return the ends of a pipe."""
    ends = os.pipe()
    yield ends
    for fd in ends:
        os.close(fd)


def test_overload_leaves_out_answered_requests_and_counts_them(pipe):
    reader, fd = pipe
    writer = LineWriter(fd, budget=LineBudget(lines_per_s=60.0, routine_per_s=5.0))
    eliot.add_destinations(writer)
    try:
        for number in range(20):
            log(LogEvent.REQUEST_DONE, request_id=f"done-{number}")
            log(LogEvent.REQUEST_REFUSED, request_id=f"refused-{number}")
        writer.report_dropped()
    finally:
        eliot.remove_destination(writer)
    lines = [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    names = [line.get("request_id", "") for line in lines]
    assert sum(name.startswith("refused") for name in names) == 20
    assert sum(name.startswith("done") for name in names) == 5
    told = [line for line in lines if line["message_type"] == "log_lines_dropped"]
    assert sum(line["lines"] for line in told) == sum(line["routine"] for line in told) == 15
    assert writer.take_dropped() == 15
