"""Retries stay within the budget, and refusals come at once, while engines are killed at random."""

from __future__ import annotations

import pytest

from tests.virtual_site import VirtualSite

INSTANCES = 3
RESERVE = 20


@pytest.mark.parametrize("seed", range(3))
def test_random_kills_do_not_multiply_traffic(seed):
    site = VirtualSite(instances=INSTANCES, seed=seed)
    at = 0.0
    for number in range(400):
        at += site.rng.expovariate(20.0)
        digest = number.to_bytes(4, "big")
        site.at(at, site.send, f"g{number % INSTANCES}", digest, (number % 9,), 4100)
    for step in range(20):
        site.at(2.0 + 0.8 * step, _kill_one, site)
    site.run(60.0)
    assert sum(site.retries.values()) <= 0.1 * len(site.outcomes) + RESERVE * INSTANCES
    for outcome in site.outcomes.values():
        assert outcome.completed != (outcome.refusal is not None)
        if outcome.refusal is not None:
            assert outcome.refusal.failure.advised_wait_s > 0


def _kill_one(site):
    site.crash(site.rng.choice([name for name in site.engines if name not in site.down]))
