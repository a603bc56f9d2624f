"""Endpoints in need name the request rate that they accept from all instances together."""

from __future__ import annotations

import random

import pytest

from rattangate.core.refusals import RefusalReason
from tests.limited_deployment import CONTACT_S, LimitedDeployment, NamedLimit

SINCE_S = 6.0
UNTIL_S = 26.0
LIMITED = "e0"
NO_TWO_ALIKE = 1_000_000


def _run(per_s, instances, load_per_s, seed=1, limited=(LIMITED,), end_s=UNTIL_S, **options):
    limits = {name: NamedLimit(per_s, SINCE_S, UNTIL_S) for name in limited}
    simulation = LimitedDeployment(limits, instances=instances, seed=seed)
    simulation.offer(list(simulation.gateways), load_per_s, end_s, max_tokens=5, **options)
    simulation.run(end_s)
    return simulation


@pytest.mark.parametrize(
    ("instances", "load_per_s", "per_s", "seed"),
    [
        *((1, 60.0, per_s, 1) for per_s in (0.2, 1.9, 4.0)),
        *((6, 60.0, per_s, seed) for per_s in (0.2, 1.0, 1.9, 4.0) for seed in (1, 2, 3)),
        *((60, 60.0, per_s, 1) for per_s in (0.2, 1.9)),
    ],
)
def test_all_instances_together_keep_to_the_limit_of_an_endpoint(
    instances, load_per_s, per_s, seed
):
    simulation = _run(per_s, instances, load_per_s, seed)
    assert simulation.excess(LIMITED, SINCE_S + CONTACT_S, UNTIL_S) <= 0


@pytest.mark.parametrize(("instances", "per_s"), [(1, 1.9), (6, 1.9), (6, 4.0), (30, 1.0)])
def test_an_endpoint_still_gets_most_of_what_it_accepts(instances, per_s):
    simulation = _run(per_s, instances, 60.0, blocks=NO_TWO_ALIKE)
    arrived = simulation.arrived(LIMITED, SINCE_S + CONTACT_S, UNTIL_S)
    assert arrived >= 0.5 * per_s * (UNTIL_S - SINCE_S - CONTACT_S)


@pytest.mark.parametrize(("instances", "per_s"), [(6, 0.2), (6, 1.9), (30, 1.0)])
def test_an_endpoint_is_used_as_before_once_its_limit_has_ended(instances, per_s):
    end_s = UNTIL_S + 30.0
    simulation = _run(per_s, instances, 60.0, end_s=end_s, blocks=NO_TWO_ALIKE)
    arrived = [simulation.arrived(name, end_s - 10.0, end_s) for name in simulation.engines]
    assert arrived[0] >= 0.5 * sum(arrived) / len(arrived)


def test_no_request_is_lost_while_other_endpoints_have_capacity():
    simulation = _run(1.0, 6, 30.0, limited=("e0", "e1"))
    assert not simulation.refusals()


def test_requests_that_no_limit_leaves_room_for_are_refused_before_their_deadline():
    simulation = _run(0.5, 6, 30.0, limited=("e0", "e1", "e2", "e3", "e4", "e5"))
    refused = [outcome for outcome in simulation.outcomes.values() if outcome.refusal]
    reasons = {outcome.refusal.reason for outcome in refused}
    assert reasons == {RefusalReason.DEADLINE_ON_ARRIVAL, RefusalReason.DEADLINE_IN_QUEUE}
    at_once = sum(outcome.refused_at == outcome.arrived_at for outcome in refused)
    assert at_once >= 0.8 * len(refused)
    served = [
        outcome
        for outcome in simulation.outcomes.values()
        if outcome.completed and outcome.first_token_at > SINCE_S + CONTACT_S
    ]
    assert len(served) >= 0.5 * 6 * 0.5 * (UNTIL_S - SINCE_S - CONTACT_S)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_partitioned_instances_keep_to_their_part_of_the_limit(seed):
    limits = {LIMITED: NamedLimit(1.9, SINCE_S, UNTIL_S)}
    simulation = LimitedDeployment(limits, instances=6, seed=seed)
    simulation.offer(list(simulation.gateways), 60.0, UNTIL_S, max_tokens=5)
    for name in ("g1", "g2"):
        simulation.at(SINCE_S - 1.0, simulation.partition, name)
    simulation.run(UNTIL_S)
    assert simulation.excess(LIMITED, SINCE_S + CONTACT_S, UNTIL_S) <= 0


@pytest.mark.parametrize("seed", range(8))
def test_limits_hold_through_crashes_and_a_partition_and_at_many_endpoints(seed):
    rng = random.Random(seed)
    limits = {
        f"e{number}": NamedLimit(rng.choice([0.05, 0.5, 1.9, 3.3]), SINCE_S + rng.random(), UNTIL_S)
        for number in range(rng.randint(1, 6))
    }
    simulation = LimitedDeployment(limits, instances=rng.choice([4, 6, 9]), seed=seed)
    simulation.offer(list(simulation.gateways), 40.0, UNTIL_S, max_tokens=5)
    simulation.at(rng.uniform(0.0, UNTIL_S), simulation.partition, "g1")
    simulation.at(rng.uniform(SINCE_S, UNTIL_S), simulation.crash, "e0")
    simulation.run(UNTIL_S)
    for endpoint in limits:
        assert simulation.excess(endpoint, SINCE_S + CONTACT_S, UNTIL_S) <= 0
