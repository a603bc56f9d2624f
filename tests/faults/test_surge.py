"""One workspace asks for twice what all engines can do; the others hardly notice."""

from __future__ import annotations

import pytest

from rattangate.core.limits import WorkspaceLimit
from tests.virtual_site import VirtualSite, percentile

QUIET = ("a", "b", "c")
SURGE_S = 6.0
NOTICED_S = 11.0
END_S = 16.0


def _add_requests(site, workspace, start, per_s, prefixes):
    at = start
    while at < END_S:
        at += site.rng.expovariate(per_s)
        prefix = ord(workspace[0]) * 10**12 + 2 * site.rng.randrange(prefixes)
        digest = site.rng.randbytes(16)
        instance = site.rng.choice(list(site.gateways))
        site.at(at, _send, site, instance, digest, (prefix, prefix + 1), workspace)


def _send(site, instance, digest, pieces, workspace):
    site.send(instance, digest, pieces, 8100, workspace=workspace, max_tokens=20)


def _p99(outcomes):
    return percentile([one.first_token_at - one.arrived_at for one in outcomes], 0.99)


@pytest.mark.parametrize("seed", range(2))
def test_surge_of_one_workspace_spares_the_others(seed):
    limits = tuple(WorkspaceLimit(name, max_streams=10_000) for name in (*QUIET, "surger"))
    site = VirtualSite(instances=2, engines=3, seed=seed, workspaces=limits, queue_bound=16)
    for workspace in QUIET:
        _add_requests(site, workspace, 0.0, 2.0, prefixes=4)
    _add_requests(site, "surger", SURGE_S, 30.0, prefixes=10**9)
    site.run(END_S + 12.0)
    quiet = [one for one in site.outcomes.values() if one.workspace in QUIET]
    refused = [one for one in site.outcomes.values() if one.refusal]
    assert all(one.completed for one in quiet)
    assert _p99([one for one in quiet if one.arrived_at >= NOTICED_S]) < 1.0
    assert {one.workspace for one in refused} == {"surger"}
    assert all(one.refusal.failure.advised_wait_s > 0 for one in refused)
