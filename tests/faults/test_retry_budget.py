"""Retries stay within the budget, and refusals come at once, while engines crash at random."""

from __future__ import annotations

import pytest

from tests.simulated_deployment import SimulatedDeployment

INSTANCES = 3
RETRY_RESERVE = 20


@pytest.mark.parametrize("seed", range(3))
def test_retries_stay_within_the_budget_while_engines_crash(seed):
    simulation = SimulatedDeployment(instances=INSTANCES, seed=seed)
    arrival = 0.0
    for number in range(400):
        arrival += simulation.rng.expovariate(20.0)
        digest = number.to_bytes(4, "big")
        simulation.at(
            arrival, simulation.send, f"g{number % INSTANCES}", digest, (number % 9,), 4100
        )
    for step in range(20):
        simulation.at(2.0 + 0.8 * step, _crash_random_engine, simulation)
    simulation.run(60.0)
    assert (
        sum(simulation.retries.values())
        <= 0.1 * len(simulation.outcomes) + RETRY_RESERVE * INSTANCES
    )
    for outcome in simulation.outcomes.values():
        assert outcome.completed != (outcome.refusal is not None)
        if outcome.refusal is not None:
            assert outcome.refusal.failure.retry_delay_s > 0


def _crash_random_engine(simulation):
    simulation.crash(
        simulation.rng.choice([name for name in simulation.engines if name not in simulation.down])
    )
