"""An endpoint that fails more often than the others receives few requests.

Without a cost for failures, placement keeps using it, and requests that must not be retried fail
for their callers.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

import pytest

from rattangate.core.failure_rate import HALF_LIFE_S, FailureRate
from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    Dispatch,
    EndpointState,
    EndpointStatus,
    RequestArrived,
)
from rattangate.core.prefix import CacheScope

SCOPE = CacheScope("", "desk", "", "")
REQUESTS = 400
ARRIVAL_INTERVAL_S = 0.1
SERVICE_TIME_S = 0.03


@dataclass(frozen=True)
class Outcome:
    """Hold the share of requests that failed and the number of dispatches per endpoint."""

    failed_share: float
    dispatched: Counter[str]


def run_requests(failure_cost_s: float, failure_rates: dict[str, float], seed: int = 3) -> Outcome:
    """Send requests that must not be retried, at a fixed rate."""
    cfg = GatewayCfg(128, 1.0, scheduler=RequestSchedulerCfg(), failure_cost_s=failure_cost_s)
    gateway = Gateway(cfg, seed=1)
    rng = random.Random(seed)
    for name in failure_rates:
        seen = EndpointStatus(name, 1, "", EndpointState.LIVE, serves="desk", slots=4)
        gateway.handle(seen, 0.0)
    failed_count = 0
    dispatched: Counter[str] = Counter()
    for number in range(REQUESTS):
        now = 1.0 + number * ARRIVAL_INTERVAL_S
        req = RequestArrived(
            number + 1, SCOPE, (), 1000, 0, b"%d" % number, 0, now + 1.0, repeatable=False
        )
        (dispatch,) = [
            effect for effect in gateway.handle(req, now) if isinstance(effect, Dispatch)
        ]
        has_failed = rng.random() < failure_rates[dispatch.endpoint]
        failed_count += has_failed
        dispatched[dispatch.endpoint] += 1
        ended = AttemptEnded(
            dispatch.req_id, dispatch.attempt, AttemptResult.COMPLETED, reports_error=has_failed
        )
        gateway.handle(ended, now + SERVICE_TIME_S)
    return Outcome(failed_count / REQUESTS, dispatched)


def test_failure_cost_diverts_requests_from_a_failing_endpoint():
    failure_rates = {"desk-1": 0.45, "desk-2": 0.0, "desk-3": 0.0}
    without_cost = run_requests(0.0, failure_rates).failed_share
    assert without_cost > 0.1
    assert run_requests(0.5, failure_rates).failed_share < 0.25 * without_cost


@pytest.mark.parametrize("seed", range(4))
def test_equal_failure_rates_exclude_no_endpoint(seed):
    failure_rates = {"desk-1": 0.14, "desk-2": 0.14, "desk-3": 0.14}
    assert min(run_requests(0.5, failure_rates, seed).dispatched.values()) > 0.03 * REQUESTS


def test_failure_share_decays_over_time():
    failure_rate = FailureRate()
    for _ in range(10):
        failure_rate.record(True, 1.0)
    before = failure_rate.rate(1.0)
    assert before > 0.5
    assert failure_rate.rate(1.0 + 6 * HALF_LIFE_S) < 0.05


def test_one_failure_among_few_attempts_has_little_weight():
    failure_rate = FailureRate()
    failure_rate.record(True, 1.0)
    assert failure_rate.rate(1.0) < 0.15
