"""Check invariants of the policy and of its bench on short runs."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bench.policy_scenarios import BY_NAME, PRODUCT, make_world
from bench.policy_workload import MAGNOLIA_BEND, Demand, make_arrivals
from bench.policy_world import Fault

SECONDS = 40.0
SEED = 5


def _run(rule, load=0.6, faults=(), name="steady-0.6"):
    world = make_world(MAGNOLIA_BEND, BY_NAME[name], rule, SEED)
    arrivals = make_arrivals(MAGNOLIA_BEND, (Demand(0.0, load),), SECONDS, SEED)
    world.run(arrivals, faults, SECONDS + 40.0)
    assert len(world.outcomes) == len(arrivals)
    return world


def _first_tokens(world):
    return [o.first_token_s for o in world.outcomes.values()]


def test_same_seed_gives_the_same_run():
    assert _first_tokens(_run(PRODUCT)) == _first_tokens(_run(PRODUCT))


@pytest.mark.parametrize(
    "faults",
    [
        (),
        (Fault(20.0, "crash", 2), Fault(25.0, "return", 2)),
        (Fault(20.0, "restart"),),
        (Fault(20.0, "rollout", 0, 1.0), Fault(22.0, "rollout", 1, 1.0)),
    ],
)
def test_every_request_is_served_or_refused_once(faults):
    world = _run(PRODUCT, faults=faults)
    for outcome in world.outcomes.values():
        assert (outcome.first_token_s >= 0) != (outcome.refused_s >= 0)
    assert not any(engine.jobs for engine in world.engines)
    assert not any(router.intake.runs for router in world.routers)


def test_no_work_stays_behind_when_all_is_served():
    world = _run(PRODUCT)
    for router in world.routers:
        for endpoint in router.endpoints.values():
            assert not endpoint.work
            assert endpoint.wait_s(0, world.now) == 0.0


def test_cache_models_match_the_engines():
    world = _run(PRODUCT)
    for router in world.routers:
        for name, endpoint in router.endpoints.items():
            engine = world.engines[int(name)]
            differing = set(endpoint.cache.best.held) ^ set(engine.model.cache)
            assert len(differing) <= 0.2 * engine.model.spec.cache_pieces


def test_placement_is_near_the_oracle_and_far_from_least_loaded():
    ours, oracle, least = (
        sum(o.cached_tokens for o in _run(rule).outcomes.values())
        for rule in (PRODUCT, "oracle w=1", "least loaded")
    )
    assert ours > 0.95 * oracle
    assert ours > 1.5 * least


def test_overload_is_refused_at_once_and_leaves_the_rest_in_time():
    outcomes = list(_run(PRODUCT, load=2.5).outcomes.values())
    refused = [o.refused_s for o in outcomes if o.refused_s >= 0]
    assert refused
    assert max(refused) < 0.05
    learned = [o.first_token_s for o in outcomes if o.at >= 10.0 and o.first_token_s >= 0]
    assert sum(seconds > 10.0 for seconds in learned) <= 0.01 * len(learned)


def test_arrivals_follow_the_demand():
    arrivals = make_arrivals(MAGNOLIA_BEND, (Demand(0.0, 0.5), Demand(20.0, 1.5)), 40.0, SEED)
    late = sum(arrival.at >= 20.0 for arrival in arrivals)
    assert 2.0 < late / (len(arrivals) - late) < 4.5
    assert replace(arrivals[0], at=0.0).workspace == arrivals[0].document.workspace
