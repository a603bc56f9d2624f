"""Invariants of the placement policy and of its simulation, checked on short runs."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bench.policy_scenarios import PRODUCT, SCENARIOS_BY_NAME, make_simulation
from bench.policy_workload import MAGNOLIA_BEND, Demand, make_arrivals
from bench.policy_world import Fault

DURATION_S = 40.0
SEED = 5


def _run(rule, load=0.6, faults=(), name="steady-0.6"):
    sim = make_simulation(MAGNOLIA_BEND, SCENARIOS_BY_NAME[name], rule, SEED)
    arrivals = make_arrivals(MAGNOLIA_BEND, (Demand(0.0, load),), DURATION_S, SEED)
    sim.run(arrivals, faults, DURATION_S + 40.0)
    assert len(sim.outcomes) == len(arrivals)
    return sim


def _first_tokens(sim):
    return [o.first_token_s for o in sim.outcomes.values()]


def test_runs_with_the_same_seed_are_identical():
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
def test_every_request_is_either_served_or_refused(faults):
    sim = _run(PRODUCT, faults=faults)
    for outcome in sim.outcomes.values():
        assert (outcome.first_token_s >= 0) != (outcome.refused_s >= 0)
    assert not any(engine.jobs for engine in sim.engines)
    assert not any(router.scheduler.active_requests for router in sim.routers)


def test_no_pending_work_is_recorded_after_all_requests_are_served():
    sim = _run(PRODUCT)
    for router in sim.routers:
        for endpoint in router.endpoints.values():
            assert not endpoint.pending
            assert endpoint.wait_s(0, sim.now) == 0.0


def test_cache_models_match_the_engine_caches():
    sim = _run(PRODUCT)
    for router in sim.routers:
        for name, endpoint in router.endpoints.items():
            engine = sim.engines[int(name)]
            differing = set(endpoint.cache.best_model.blocks) ^ set(engine.model.cache)
            assert len(differing) <= 0.2 * engine.model.spec.cache_pieces


def test_cache_hits_are_close_to_the_oracle_and_far_above_least_loaded():
    product, oracle, least_loaded = (
        sum(o.cached_tokens for o in _run(rule).outcomes.values())
        for rule in (PRODUCT, "oracle w=1", "least loaded")
    )
    assert product > 0.95 * oracle
    assert product > 1.5 * least_loaded


def test_overload_is_refused_at_once_and_admitted_requests_meet_their_deadline():
    outcomes = list(_run(PRODUCT, load=2.5).outcomes.values())
    refused = [o.refused_s for o in outcomes if o.refused_s >= 0]
    assert refused
    assert max(refused) < 0.05
    after_warm_up = [o.first_token_s for o in outcomes if o.at >= 10.0 and o.first_token_s >= 0]
    assert sum(seconds > 10.0 for seconds in after_warm_up) <= 0.01 * len(after_warm_up)


def test_arrival_rate_follows_the_demand():
    arrivals = make_arrivals(MAGNOLIA_BEND, (Demand(0.0, 0.5), Demand(20.0, 1.5)), 40.0, SEED)
    late = sum(arrival.at >= 20.0 for arrival in arrivals)
    assert 2.0 < late / (len(arrivals) - late) < 4.5
    assert replace(arrivals[0], at=0.0).workspace == arrivals[0].document.workspace
