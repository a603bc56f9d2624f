"""Under overload, requests that can still meet their latency target run before late ones.

In order of arrival, a queue longer than the target delays every request beyond it, even after the
burst that filled the queue.
"""

from __future__ import annotations

import heapq
import math

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    Dispatch,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    RequestArrived,
    Tick,
)
from rattangate.core.prefix import CacheScope

BLOCK_TOKENS = 100
PROMPT_TOKENS = 4_000
PREFILL_S = 0.1
TARGET_S = 1.0
DEADLINE_S = 5.0


def arrivals() -> list[float]:
    """Return a burst at twice the capacity for 4 s, then half of it for 8 s."""
    burst = [number * 0.05 for number in range(80)]
    return burst + [4.0 + number * 0.2 for number in range(40)]


def simulate(has_target: bool) -> tuple[int, int]:
    """Simulate one engine that prefills in order of dispatch.

    Returns the numbers of requests whose first token came within the target, and after it but
    before the deadline.
    """
    scheduler = RequestSchedulerCfg(queue_bound=1_000, max_endpoint_wait_s=0.3)
    gateway = Gateway(
        GatewayCfg(BLOCK_TOKENS, 1.0, learn_caches=False, scheduler=scheduler), seed=1
    )
    gateway.handle(EndpointStatus("e", 1, "1", EndpointState.LIVE, "llm", 100_000), 0.0)
    events: list[tuple[float, int, str, int]] = []
    for number, at in enumerate(arrivals()):
        heapq.heappush(events, (at, number, "arrive", number))
    for step in range(1_500):
        heapq.heappush(events, (step * 0.01, 100_000 + step, "tick", 0))
    arrived_at = dict(enumerate(arrivals()))
    free_at = 0.0
    on_time = late = 0
    while events:
        now, order, kind, number = heapq.heappop(events)
        if kind == "arrive":
            effects = gateway.handle(make_request(number, now, has_target), now)
        elif kind == "tick":
            effects = gateway.handle(Tick(), now)
        else:
            waited_s = now - arrived_at[number]
            on_time += waited_s <= TARGET_S
            late += TARGET_S < waited_s <= DEADLINE_S
            effects = gateway.handle(FirstTokenSeen(number, 1, None), now)
            ended = AttemptEnded(number, 1, AttemptResult.COMPLETED, 1)
            effects += gateway.handle(ended, now)
        for effect in effects:
            if isinstance(effect, Dispatch):
                free_at = max(now, free_at) + PREFILL_S
                heapq.heappush(events, (free_at, 200_000 + order, "first", effect.req_id))
    return on_time, late


def make_request(number: int, now: float, has_target: bool) -> RequestArrived:
    """Make a request that shares no blocks with any other."""
    blocks = tuple(range(number * 1_000, number * 1_000 + PROMPT_TOKENS // BLOCK_TOKENS))
    return RequestArrived(
        number,
        CacheScope("", "llm", "m", "1"),
        blocks,
        PROMPT_TOKENS,
        10,
        b"",
        1,
        now + DEADLINE_S,
        soft_deadline=now + TARGET_S if has_target else math.inf,
    )


def test_target_increases_on_time_responses_at_about_the_same_total():
    on_time, late = simulate(has_target=True)
    baseline_on_time, baseline_late = simulate(has_target=False)
    assert on_time >= baseline_on_time + 30
    assert on_time + late >= baseline_on_time + baseline_late - 5
