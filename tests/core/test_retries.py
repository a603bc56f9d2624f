"""Check the retry budget and what may be repeated."""

from __future__ import annotations

import math

import pytest

from rattangate.core.messages import AttemptResult
from rattangate.core.retries import RetryBudget, RetryReason, retry_reason


def test_retries_stay_below_a_tenth_of_traffic():
    budget = RetryBudget(tokens=0.0)
    taken = 0
    for step in range(10_000):
        budget.count_arrival(step * 0.01)
        taken += budget.take() + budget.take()
    assert 990 <= taken <= 1000


def test_saved_tokens_are_bounded():
    budget = RetryBudget(capacity=5.0)
    for step in range(1000):
        budget.count_arrival(step * 0.01)
    assert [budget.take() for _ in range(6)] == [True] * 5 + [False]


def test_wait_follows_the_rate_of_traffic():
    budget = RetryBudget(tokens=0.0)
    assert budget.wait_s(0, 0.0) == math.inf
    for step in range(2000):
        budget.count_arrival(step * 0.05)
    budget.tokens = 0.0
    assert budget.wait_s(0, 100.0) == pytest.approx(0.5, rel=0.05)
    assert budget.wait_s(3, 100.0) == pytest.approx(2.0, rel=0.05)


def test_only_what_may_have_run_is_bound_by_repeatability():
    assert retry_reason(AttemptResult.LOST, repeatable=False) is None
    assert retry_reason(AttemptResult.NOT_SENT, repeatable=False) is RetryReason.NOT_SENT
    assert retry_reason(AttemptResult.LOST, repeatable=True) is RetryReason.LOST
    assert retry_reason(AttemptResult.COMPLETED, repeatable=True) is None
