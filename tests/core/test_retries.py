"""Check the retry budget and which attempts may be retried."""

from __future__ import annotations

import math

import pytest

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.messages import AttemptResult, RequestArrived
from rattangate.core.prefix import CacheScope
from rattangate.core.retries import RetryBudget, RetryReason, retry_reason


def test_retries_stay_within_a_tenth_of_the_requests():
    budget = RetryBudget(tokens=0.0)
    taken = 0
    for step in range(10_000):
        budget.count_arrival(step * 0.01)
        taken += budget.take() + budget.take()
    assert 990 <= taken <= 1000


def test_budget_holds_at_most_its_capacity():
    budget = RetryBudget(capacity=5.0)
    for step in range(1000):
        budget.count_arrival(step * 0.01)
    assert [budget.take() for _ in range(6)] == [True] * 5 + [False]


def test_wait_for_a_token_follows_the_request_rate():
    budget = RetryBudget(tokens=0.0)
    assert budget.wait_s(0, 0.0) == math.inf
    for step in range(2000):
        budget.count_arrival(step * 0.05)
    budget.tokens = 0.0
    assert budget.wait_s(0, 100.0) == pytest.approx(0.5, rel=0.05)
    assert budget.wait_s(3, 100.0) == pytest.approx(2.0, rel=0.05)


def test_non_idempotent_request_is_retried_only_if_it_cannot_have_run():
    assert retry_reason(AttemptResult.LOST, repeatable=False) is None
    assert retry_reason(AttemptResult.NOT_SENT, repeatable=False) is RetryReason.NOT_SENT
    assert retry_reason(AttemptResult.LOST, repeatable=True) is RetryReason.LOST
    assert retry_reason(AttemptResult.COMPLETED, repeatable=True) is None


@pytest.mark.parametrize("instances", [3, 8, 63])
def test_initial_tokens_are_divided_among_the_instances(instances):
    slack = 40.0
    cfg = RequestSchedulerCfg(
        retry_slack=slack, retry_capacity=slack, retry_ratio=0.0, retry_shares=8
    )
    spent = 0
    for number in range(instances):
        gateway = Gateway(GatewayCfg(128, 1.0, scheduler=cfg), seed=number)
        gateway.scheduler.share_retries(max(8, instances))
        req = RequestArrived(1, CacheScope("", "desk", "", ""), (), 10, 0, b"", 0, 9.0)
        budget = gateway.scheduler._budget_of(req)
        while budget.take():
            spent += 1
    assert spent <= slack


def test_smaller_share_removes_tokens_above_the_new_capacity():
    cfg = RequestSchedulerCfg(retry_slack=40.0, retry_capacity=40.0, retry_ratio=1.0)
    gateway = Gateway(GatewayCfg(128, 1.0, scheduler=cfg), seed=1)
    req = RequestArrived(1, CacheScope("", "desk", "", ""), (), 10, 0, b"", 0, 9.0)
    budget = gateway.scheduler._budget_of(req)
    gateway.scheduler.share_retries(10)
    assert (budget.tokens, budget.capacity) == (4.0, 4.0)
