"""A request that crashes each endpoint that runs it, in company, again and again, everywhere."""

from __future__ import annotations

from hashlib import blake2b

import pytest

from rattangate.core.refusals import RefusalReason
from rattangate.errors import ErrorKind
from tests.virtual_site import VirtualSite

POISON = b"poison-012345678"


def _add_innocents(site, until, per_s=20.0):
    """Let harmless requests arrive at random instances with a few common prefixes."""
    at = 0.0
    number = 0
    while at < until:
        at += site.rng.expovariate(per_s)
        number += 1
        prefix = site.rng.randrange(12)
        pieces = (prefix, 100 + prefix)
        instance = site.rng.choice(list(site.gateways))
        digest = blake2b(number.to_bytes(8, "big"), digest_size=16).digest()
        site.at(at, site.send, instance, digest, pieces, 8100)


def _send_poison(site, name):
    site.send(name, POISON, (3, 103), 8100, max_tokens=400)


def _innocent_outcomes(site):
    return [outcome for outcome in site.outcomes.values() if outcome.digest != POISON]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("crash_after_s", [0.01, 0.2, 1.5])
@pytest.mark.parametrize(("instances", "at_once"), [(1, 1), (7, 1), (7, 7)])
def test_poison_crashes_at_most_three_engines(seed, crash_after_s, instances, at_once):
    site = VirtualSite(instances=instances, seed=seed)
    site.poison[POISON] = crash_after_s
    _add_innocents(site, until=20.0)
    for step in range(20):
        for copy in range(at_once):
            name = f"g{(step + copy) % instances}"
            site.at(8.0 + 0.7 * step, _send_poison, site, name)
    site.run(35.0)
    assert len(site.crashes) <= 3
    assert all(outcome.completed for outcome in _innocent_outcomes(site))
    poisoned = [o for o in site.outcomes.values() if o.digest == POISON]
    assert {o.refusal.reason for o in poisoned} == {RefusalReason.QUARANTINED}
    for outcome in poisoned[-10:]:
        assert outcome.refused_at == outcome.arrived_at
        assert outcome.refusal.failure.kind is ErrorKind.QUARANTINED
        assert 0 < outcome.refusal.failure.advised_wait_s <= 600


@pytest.mark.parametrize("seed", range(3))
def test_kills_in_a_row_lose_no_innocent(seed):
    site = VirtualSite(instances=3, seed=seed)
    _add_innocents(site, until=15.0)
    for step in range(3):
        site.at(8.0 + 0.6 * step, site.crash, f"e{step}")
    site.run(30.0)
    assert all(outcome.completed for outcome in site.outcomes.values())


def test_late_instance_refuses_the_known_poison_at_once():
    site = VirtualSite(instances=3, seed=1)
    site.poison[POISON] = 0.05
    site.at(1.0, _send_poison, site, "g0")
    site.at(30.0, _send_poison, site, "g2")
    site.run(40.0)
    first, second = site.outcomes.values()
    assert len(site.crashes) == 3
    assert second.refused_at == second.arrived_at
    assert second.refusal.failure.advised_wait_s < first.refusal.failure.advised_wait_s
