"""Simulate limits under a surge, overload, poison requests and random crashes of engines.

Run `python -m bench.limits_trial surge|overload|poison|kills [--seeds N]`.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from enum import Enum
from functools import partial
from hashlib import blake2b
from typing import TYPE_CHECKING

import numpy as np
import typer

from bench.policy_scenarios import DISTURBANCE_S, DRAIN_S, DURATION_S, WARM_UP_S
from bench.policy_workload import (
    DEPLOYMENTS,
    PIECE_TOKENS,
    WORKSPACE_SHARES,
    Demand,
    make_arrivals,
)
from bench.policy_world import DEADLINE_S, Conditions, Engine, Simulation
from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.core.messages import PeerUpdateReceived
from rattangate.standins.engine_model import EngineModel, EngineSpec
from tests.simulated_deployment import SimulatedDeployment

if TYPE_CHECKING:
    from bench.policy_workload import Deployment
    from bench.policy_world import Outcome
    from rattangate.core.messages import Dispatch, SendPeerUpdate
    from rattangate.standins.engine_model import Job

POISON = b"poison"
PREFILL_RATES = (20_000, 30_000, 40_000, 40_000, 60_000, 80_000)
CRASH_DELAYS_S = (0.01, 0.1, 0.5, 1.0, 2.0)
INSTANCES = 7
SURGE_WORKSPACE = Demand(0.0, 0.0).surge_workspace

app = typer.Typer(add_completion=False)


class Trial(Enum):
    """Name the simulated scenarios."""

    SURGE = "surge"
    OVERLOAD = "overload"
    POISON = "poison"
    KILLS = "kills"


class PriorityEngine(EngineModel):
    """Serve jobs in the order of the priority that their dispatch carries."""

    next_priority = 0

    def submit(self, job: Job, now: float) -> None:
        """Queue a job with the priority of its dispatch."""
        super().submit(replace(job, priority=self.next_priority), now)


class LimitsSimulation(Simulation):
    """Extend the simulation by usage updates between peers and priorities of dispatches."""

    def _make_engine(self, index: int) -> Engine:
        engine = super()._make_engine(index)
        model = PriorityEngine(engine.model.spec, engine.model.rng)
        return replace(engine, model=model, forecast=type(engine.forecast)(model))

    def _submit(self, index: int, effect: Dispatch) -> None:
        self.engines[index].model.next_priority = effect.priority
        super()._submit(index, effect)

    def _send_peer_update(self, sent: SendPeerUpdate, instance: int) -> None:
        parts = (sent.seq, sent.placements, sent.releases, sent.limits)
        update = PeerUpdateReceived(str(instance), self.generation, *parts)
        for peer, router in enumerate(self.routers):
            if peer != instance:
                callback = partial(self._deliver, router, update, peer)
                self._schedule_after(self.deployment.inner_delay_s, callback)


@app.command()
def main(trial: Trial, seeds: int = 3) -> None:
    """Run one trial for each seed and print a line of results."""
    for seed in range(1, seeds + 1):
        if trial in (Trial.SURGE, Trial.OVERLOAD):
            for deployment in DEPLOYMENTS:
                _run_demand(deployment, trial, seed)
        else:
            _run_faults(trial, seed)


def _run_demand(deployment: Deployment, trial: Trial, seed: int) -> None:
    if trial is Trial.SURGE:
        demands = (Demand(0.0, 0.6), Demand(DISTURBANCE_S, 0.6, surge=10.0))
    else:
        demands = (Demand(0.0, 0.8), Demand(DISTURBANCE_S, 2.5), Demand(DISTURBANCE_S + 60.0, 0.6))
    workspaces = tuple(
        WorkspaceLimit(str(n), share, max_streams=100_000)
        for n, share in enumerate(WORKSPACE_SHARES)
    )
    scheduler = RequestSchedulerCfg(instances=deployment.instances, workspaces=workspaces)
    cfg = GatewayCfg(PIECE_TOKENS, deployment.recompute_weight, scheduler=scheduler)

    def create_router(sim: Simulation, instance: int, router_seed: int) -> Gateway:
        return Gateway(cfg, router_seed * 1000 + instance)

    sim = LimitsSimulation(deployment, Conditions(), create_router, seed)
    sim.run(make_arrivals(deployment, demands, DURATION_S, seed), (), DURATION_S + DRAIN_S)
    outcomes = list(sim.outcomes.values())
    others = [o for o in outcomes if trial is Trial.OVERLOAD or o.workspace != SURGE_WORKSPACE]
    before = [o for o in others if WARM_UP_S <= o.at < DISTURBANCE_S]
    during = [o for o in others if DISTURBANCE_S + 5.0 <= o.at < DISTURBANCE_S + 60.0]
    after = [o for o in others if o.at >= DISTURBANCE_S + 65.0]
    parts = (_describe("before", before), _describe("during", during), _describe("after", after))
    typer.echo(f"{trial.value} {deployment.name} seed {seed}: " + "; ".join(parts))


def _describe(name: str, outcomes: list[Outcome]) -> str:
    times = [o.first_token_s for o in outcomes if o.first_token_s >= 0]
    refused = [o.refused_s for o in outcomes if o.refused_s >= 0]
    in_time = sum(time <= DEADLINE_S for time in times) / len(outcomes)
    return (
        f"{name} n={len(outcomes)} p50={np.percentile(times, 50):.2f}"
        f" p99={np.percentile(times, 99):.2f} s, in time {in_time:.3f}, refused {len(refused)}"
        f" after at most {max(refused, default=0.0):.3f} s"
    )


def _run_faults(trial: Trial, seed: int) -> None:
    specs = [EngineSpec(prefill_tokens_per_s=s, decode_tokens_per_s=100.0) for s in PREFILL_RATES]
    site = SimulatedDeployment(instances=INSTANCES, seed=seed, specs=specs)
    _add_normal_requests(site, 60.0)
    if trial is Trial.POISON:
        site.poison[POISON] = site.rng.choice(CRASH_DELAYS_S)
        for step in range(30):
            for instance in site.gateways:
                site.at(10.0 + 0.7 * step, partial(site.send, max_tokens=400), instance, POISON)
    else:
        at = 10.0
        while at < 60.0:
            site.at(at, _crash_random_engine, site)
            at += site.rng.expovariate(1 / 1.5)
    site.run(120.0)
    normal_requests = [o for o in site.outcomes.values() if o.digest != POISON]
    lost = Counter(o.refusal.reason.value for o in normal_requests if o.refusal)
    typer.echo(
        f"{trial.value} seed {seed}: crashes {len(site.crashes)},"
        f" normal requests {len(normal_requests)}, refused {dict(lost)},"
        f" retries {sum(site.retries.values())}"
    )


def _add_normal_requests(site: SimulatedDeployment, until: float) -> None:
    at = 0.0
    while at < until:
        at += site.rng.expovariate(25.0)
        prefix = site.rng.randrange(12)
        digest = blake2b(str(at).encode(), digest_size=16).digest()
        instance = site.rng.choice(list(site.gateways))
        site.at(at, site.send, instance, digest, (prefix, 100 + prefix), 8100)


def _crash_random_engine(site: SimulatedDeployment) -> None:
    site.crash(site.rng.choice([name for name in site.engines if name not in site.down]))


if __name__ == "__main__":
    app()
