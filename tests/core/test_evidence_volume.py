"""What instances tell each other of crashes grows with the crashed runs, not with the instances."""

from __future__ import annotations

from collections import Counter

import pytest

from rattangate.core.messages import SendPeerUpdate
from rattangate.core.quarantine import RESENDS
from tests.simulated_deployment import SimulatedDeployment

CRASHED = ("e0", "e1", "e2", "e3")
CRASH_AT = 2.0
END = 12.0
REQUESTS = 80
# Told when it is known, confirmed and cleared, and each time repeated in case that is lost.
MAX_TOLD = 3 * (1 + RESENDS)


class MeteredDeployment(SimulatedDeployment):
    """Count the items of evidence that the instances send, by second."""

    def __init__(self, **cfg):
        super().__init__(**cfg)
        self.suspicions = Counter()
        self.good_runs = Counter()

    def _execute(self, instance, effect):
        if isinstance(effect, SendPeerUpdate) and effect.limits is not None:
            self.suspicions[int(self.now)] += len(effect.limits.suspicions)
            self.good_runs[int(self.now)] += len(effect.limits.good_runs)
        super()._execute(instance, effect)


def run_crash_of_four_engines(instances: int) -> MeteredDeployment:
    """Crash four of eight engines while they run requests that share parts of their prompts."""
    deployment = MeteredDeployment(instances=instances, engines=8)
    names = list(deployment.gateways)

    def send(number: int) -> None:
        name = names[number % instances]
        parts = (f"shared-{number % 5}", f"own-{number}")
        deployment.send(name, b"d%d" % number, (number,), 400, max_tokens=150, parts=parts)

    for number in range(REQUESTS):
        deployment.at(0.5 + number * 0.001, send, number)
        deployment.at(CRASH_AT - 0.4 + number * 0.001, send, number + REQUESTS)
    for endpoint in CRASHED:
        deployment.at(CRASH_AT, deployment.crash, endpoint)
    deployment.run(END)
    return deployment


@pytest.mark.parametrize("instances", [10, 60])
def test_crashed_runs_are_told_by_the_instance_that_lost_them_and_not_by_all_without_end(instances):
    deployment = run_crash_of_four_engines(instances)
    lost = sum(len(outcome.dispatches) > 1 for outcome in deployment.outcomes.values())
    assert lost > 20
    assert lost <= deployment.suspicions.total() <= MAX_TOLD * lost
    assert deployment.suspicions[int(END) - 1] == 0


@pytest.mark.parametrize("instances", [10, 60])
def test_good_runs_of_suspect_parts_are_told_by_a_few_instances_only(instances):
    deployment = run_crash_of_four_engines(instances)
    parts = 2 * REQUESTS + 5
    assert 0 < deployment.good_runs.total() <= MAX_TOLD * parts
    assert deployment.good_runs[int(END) - 1] == 0
