"""One workspace sends twice the load that all engines can serve; others keep a low latency."""

from __future__ import annotations

import pytest

from rattangate.core.limits import WorkspaceLimit
from tests.simulated_deployment import SimulatedDeployment, percentile

QUIET_WORKSPACES = ("a", "b", "c")
SURGE_START_S = 6.0
MEASURE_START_S = 11.0
LOAD_END_S = 16.0


def _add_requests(simulation, workspace, start_s, per_s, prefixes):
    arrival = start_s
    while arrival < LOAD_END_S:
        arrival += simulation.rng.expovariate(per_s)
        prefix = ord(workspace[0]) * 10**12 + 2 * simulation.rng.randrange(prefixes)
        digest = simulation.rng.randbytes(16)
        instance = simulation.rng.choice(list(simulation.gateways))
        simulation.at(arrival, _send, simulation, instance, digest, (prefix, prefix + 1), workspace)


def _send(simulation, instance, digest, pieces, workspace):
    simulation.send(instance, digest, pieces, 8100, workspace=workspace, max_tokens=20)


def _p99(outcomes):
    return percentile([outcome.first_token_at - outcome.arrived_at for outcome in outcomes], 0.99)


@pytest.mark.parametrize("seed", range(2))
def test_surge_of_one_workspace_does_not_delay_the_others(seed):
    limits = tuple(
        WorkspaceLimit(name, max_streams=10_000) for name in (*QUIET_WORKSPACES, "surger")
    )
    simulation = SimulatedDeployment(
        instances=2, engines=3, seed=seed, workspaces=limits, queue_bound=16
    )
    for workspace in QUIET_WORKSPACES:
        _add_requests(simulation, workspace, 0.0, 2.0, prefixes=4)
    _add_requests(simulation, "surger", SURGE_START_S, 30.0, prefixes=10**9)
    simulation.run(LOAD_END_S + 12.0)
    quiet = [
        outcome for outcome in simulation.outcomes.values() if outcome.workspace in QUIET_WORKSPACES
    ]
    refused = [outcome for outcome in simulation.outcomes.values() if outcome.refusal]
    assert all(outcome.completed for outcome in quiet)
    assert _p99([outcome for outcome in quiet if outcome.arrived_at >= MEASURE_START_S]) < 1.0
    assert {outcome.workspace for outcome in refused} == {"surger"}
    assert all(outcome.refusal.failure.retry_delay_s > 0 for outcome in refused)
