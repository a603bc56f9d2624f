"""Tests of the rate limit of log lines: routine lines are dropped first, refusals are kept."""

from __future__ import annotations

import json
import os

import eliot
import pytest

from rattangate.log_events import LineWriter, LogEvent, log
from rattangate.log_rate_limit import LogRateLimiter


def count_allowed(
    rate_limiter: LogRateLimiter, is_routine: bool, line_count: int, now: float
) -> int:
    """Return how many lines of a burst are allowed."""
    return sum(rate_limiter.allow(is_routine, now) for _ in range(line_count))


def test_routine_lines_reach_their_limit_before_other_lines():
    rate_limiter = LogRateLimiter(lines_per_s=100.0, routine_per_s=30.0)
    assert count_allowed(rate_limiter, True, 200, 1.0) == 30
    assert count_allowed(rate_limiter, False, 200, 1.0) == 70
    assert count_allowed(rate_limiter, False, 200, 1.5) == 50


def test_buckets_refill_up_to_one_second_of_lines():
    rate_limiter = LogRateLimiter(lines_per_s=100.0, routine_per_s=30.0)
    count_allowed(rate_limiter, False, 200, 1.0)
    assert count_allowed(rate_limiter, False, 500, 60.0) == 100


def test_clock_stepping_back_adds_no_tokens():
    rate_limiter = LogRateLimiter(lines_per_s=10.0, routine_per_s=10.0)
    assert count_allowed(rate_limiter, False, 20, 50.0) == 10
    assert count_allowed(rate_limiter, False, 20, 40.0) == 0


@pytest.fixture
def pipe():
    """Return the read and write descriptors of a pipe."""
    descriptors = os.pipe()
    yield descriptors
    for fd in descriptors:
        os.close(fd)


def test_rate_limit_drops_and_counts_answered_requests_only(pipe):
    reader, fd = pipe
    writer = LineWriter(fd, rate_limiter=LogRateLimiter(lines_per_s=60.0, routine_per_s=5.0))
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
    reports = [line for line in lines if line["message_type"] == "log_lines_dropped"]
    assert sum(line["lines"] for line in reports) == sum(line["routine"] for line in reports) == 15
    assert writer.take_dropped() == 15
