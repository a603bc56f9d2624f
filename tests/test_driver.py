"""Tests of the connection between the gateway core and the tasks of requests."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
import trio

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.messages import (
    AttemptResult,
    Dispatch,
    EndpointState,
    EndpointStatus,
    LimitsUpdate,
    PeerUpdateReceived,
    RequestArrived,
    Suspicion,
)
from rattangate.core.prefix import CacheScope
from rattangate.driver import Driver
from rattangate.metrics import Metrics

REQUEST = RequestArrived(1, CacheScope("w", "m", "", "v1"), (1,), 4000, 8, b"", 0, math.inf)


@pytest.fixture
def driver():
    gateway = Gateway(GatewayCfg(block_tokens=4000, recompute_weight=1.0), seed=1)
    driver = Driver(gateway, Metrics(), lambda update: None)

    async def feed_endpoint():
        driver.feed(EndpointStatus("a", 7, "v1", EndpointState.LIVE))

    trio.run(feed_endpoint)
    return driver


def test_attempt_is_cancelled_at_once_if_its_endpoint_was_lost_before_it_began(driver):
    async def main():
        with driver.exchange(REQUEST) as exchange:
            driver.cancel_attempts_at("a", 7)
            effect = await exchange.next_effect()
            assert isinstance(effect, Dispatch)
            with exchange.attempt_scope(effect, math.inf) as scope:
                await trio.lowlevel.checkpoint()
            return scope.cancelled_caught

    assert trio.run(main)


def test_attempt_in_progress_is_cancelled_when_its_endpoint_is_lost(driver):
    async def main():
        with driver.exchange(REQUEST) as exchange:
            effect = await exchange.next_effect()
            with exchange.attempt_scope(effect, math.inf) as scope:
                driver.cancel_attempts_at("a", 7)
                await trio.sleep_forever()
            return scope.cancelled_caught

    assert trio.run(main)


def test_attempt_at_another_incarnation_of_the_endpoint_is_not_cancelled(driver):
    async def main():
        with driver.exchange(REQUEST) as exchange:
            effect = await exchange.next_effect()
            driver.cancel_attempts_at("a", 6)
            with exchange.attempt_scope(effect, math.inf) as scope:
                await trio.lowlevel.checkpoint()
            return scope.cancelled_caught

    assert not trio.run(main)


def test_a_request_withdrawn_while_the_end_of_its_answer_is_written_leaves_the_gateway():
    request = replace(REQUEST, digest=bytes(16), max_runs=2)

    async def main():
        scheduler = RequestSchedulerCfg(instance="g1", can_cancel=True)
        gateway = Gateway(GatewayCfg(4000, 1.0, scheduler=scheduler), seed=1)
        driver = Driver(gateway, Metrics(), lambda update: None)
        driver.feed(EndpointStatus("a", 7, "v1", EndpointState.LIVE))
        with driver.exchange(request) as exchange:
            dispatch = await exchange.next_effect()
            suspicion = Suspicion(bytes(16), "b", 1, 0.1, 600.0)
            limits = LimitsUpdate(suspicions=(suspicion,))
            driver.feed(PeerUpdateReceived("g2", 1, 1, (), (), limits))
            exchange.end_attempt(dispatch, AttemptResult.COMPLETED, 3)
        assert not gateway.scheduler.active_requests

    trio.run(main)
