"""A poison request crashes every engine that runs it.

It is sent repeatedly and at several instances, while the engines serve other requests.
"""

from __future__ import annotations

from hashlib import blake2b

import pytest

from rattangate.core.refusals import RefusalReason
from rattangate.errors import ErrorKind
from tests.simulated_deployment import SimulatedDeployment

POISON = b"poison-012345678"


def _add_harmless_requests(simulation, until, per_s=20.0):
    """Schedule harmless requests at random instances, with a few common prefixes."""
    arrival = 0.0
    number = 0
    while arrival < until:
        arrival += simulation.rng.expovariate(per_s)
        number += 1
        prefix = simulation.rng.randrange(12)
        pieces = (prefix, 100 + prefix)
        instance = simulation.rng.choice(list(simulation.gateways))
        digest = blake2b(number.to_bytes(8, "big"), digest_size=16).digest()
        simulation.at(arrival, simulation.send, instance, digest, pieces, 8100)


def _send_poison(simulation, name):
    simulation.send(name, POISON, (3, 103), 8100, max_tokens=400)


def _harmless_outcomes(simulation):
    return [outcome for outcome in simulation.outcomes.values() if outcome.digest != POISON]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("crash_after_s", [0.01, 0.2, 1.5])
@pytest.mark.parametrize(("instances", "copies"), [(1, 1), (7, 1), (7, 7)])
def test_poison_request_crashes_at_most_three_engines(seed, crash_after_s, instances, copies):
    simulation = SimulatedDeployment(instances=instances, seed=seed)
    simulation.poison[POISON] = crash_after_s
    _add_harmless_requests(simulation, until=20.0)
    for step in range(20):
        for copy_index in range(copies):
            name = f"g{(step + copy_index) % instances}"
            simulation.at(8.0 + 0.7 * step, _send_poison, simulation, name)
    simulation.run(35.0)
    assert len(simulation.crashes) <= 3
    assert all(outcome.completed for outcome in _harmless_outcomes(simulation))
    poisoned = [outcome for outcome in simulation.outcomes.values() if outcome.digest == POISON]
    assert {outcome.refusal.reason for outcome in poisoned} == {RefusalReason.QUARANTINED}
    for outcome in poisoned[-10:]:
        assert outcome.refused_at == outcome.arrived_at
        assert outcome.refusal.failure.kind is ErrorKind.QUARANTINED
        assert 0 < outcome.refusal.failure.retry_delay_s <= 600


@pytest.mark.parametrize("seed", range(3))
def test_successive_crashes_fail_no_request(seed):
    simulation = SimulatedDeployment(instances=3, seed=seed)
    _add_harmless_requests(simulation, until=15.0)
    for step in range(3):
        simulation.at(8.0 + 0.6 * step, simulation.crash, f"e{step}")
    simulation.run(30.0)
    assert all(outcome.completed for outcome in simulation.outcomes.values())


def test_other_instance_refuses_a_quarantined_request_at_once():
    simulation = SimulatedDeployment(instances=3, seed=1)
    simulation.poison[POISON] = 0.05
    simulation.at(1.0, _send_poison, simulation, "g0")
    simulation.at(30.0, _send_poison, simulation, "g2")
    simulation.run(40.0)
    first, second = simulation.outcomes.values()
    assert len(simulation.crashes) == 3
    assert second.refused_at == second.arrived_at
    assert second.refusal.failure.retry_delay_s < first.refusal.failure.retry_delay_s
