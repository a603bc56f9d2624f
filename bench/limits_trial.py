"""Trials of limits in virtual time: surge, overload, poison and random kills of engines.

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

from bench.policy_scenarios import CHANGE_S, DRAIN_S, DURATION_S, WARM_UP_S
from bench.policy_workload import (
    DEPLOYMENTS,
    PIECE_TOKENS,
    WORKSPACE_SHARES,
    Demand,
    make_arrivals,
)
from bench.policy_world import DEADLINE_S, Conditions, Engine, World
from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import IntakeCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.core.messages import NewsReceived
from rattangate.standins.engine_model import EngineModel, EngineSpec
from tests.virtual_site import VirtualSite

if TYPE_CHECKING:
    from bench.policy_workload import Deployment
    from bench.policy_world import Outcome
    from rattangate.core.messages import Dispatch, SendNews
    from rattangate.standins.engine_model import Job

POISON = b"poison"
SPEEDS = (20_000, 30_000, 40_000, 40_000, 60_000, 80_000)
CRASH_DELAYS_S = (0.01, 0.1, 0.5, 1.0, 2.0)
INSTANCES = 7
SURGER = Demand(0.0, 0.0).surge_workspace

app = typer.Typer(add_completion=False)


class Trial(Enum):
    """Name the trials."""

    SURGE = "surge"
    OVERLOAD = "overload"
    POISON = "poison"
    KILLS = "kills"


class PriorityEngine(EngineModel):
    """Order jobs by the priority of their dispatch."""

    next_priority = 0

    def submit(self, job: Job, now: float) -> None:
        """Queue a job at the priority of its dispatch."""
        super().submit(replace(job, priority=self.next_priority), now)


class LimitsWorld(World):
    """Pass on the news of limits and the priorities of dispatches."""

    def _make_engine(self, index: int) -> Engine:
        engine = super()._make_engine(index)
        model = PriorityEngine(engine.model.spec, engine.model.rng)
        return replace(engine, model=model, future=type(engine.future)(model))

    def _submit(self, index: int, effect: Dispatch) -> None:
        self.engines[index].model.next_priority = effect.priority
        super()._submit(index, effect)

    def _send_news(self, sent: SendNews, entry: int) -> None:
        parts = (sent.seq, sent.placements, sent.departures, sent.limits)
        news = NewsReceived(str(entry), self.generation, *parts)
        for peer, router in enumerate(self.routers):
            if peer != entry:
                act = partial(self._give, router, news, peer)
                self._later(self.deployment.inner_delay_s, act)


@app.command()
def main(trial: Trial, seeds: int = 3) -> None:
    """Run one trial over some seeds and print a line for each."""
    for seed in range(1, seeds + 1):
        if trial in (Trial.SURGE, Trial.OVERLOAD):
            for deployment in DEPLOYMENTS:
                _run_demand(deployment, trial, seed)
        else:
            _run_faults(trial, seed)


def _run_demand(deployment: Deployment, trial: Trial, seed: int) -> None:
    if trial is Trial.SURGE:
        demands = (Demand(0.0, 0.6), Demand(CHANGE_S, 0.6, surge=10.0))
    else:
        demands = (Demand(0.0, 0.8), Demand(CHANGE_S, 2.5), Demand(CHANGE_S + 60.0, 0.6))
    workspaces = tuple(
        WorkspaceLimit(str(n), share, max_streams=100_000)
        for n, share in enumerate(WORKSPACE_SHARES)
    )
    intake = IntakeCfg(instances=deployment.entries, workspaces=workspaces)
    cfg = GatewayCfg(PIECE_TOKENS, deployment.recompute_weight, intake=intake)

    def make_router(world: World, entry: int, router_seed: int) -> Gateway:
        return Gateway(cfg, router_seed * 1000 + entry)

    world = LimitsWorld(deployment, Conditions(), make_router, seed)
    world.run(make_arrivals(deployment, demands, DURATION_S, seed), (), DURATION_S + DRAIN_S)
    outcomes = list(world.outcomes.values())
    others = [o for o in outcomes if trial is Trial.OVERLOAD or o.workspace != SURGER]
    before = [o for o in others if WARM_UP_S <= o.at < CHANGE_S]
    during = [o for o in others if CHANGE_S + 5.0 <= o.at < CHANGE_S + 60.0]
    after = [o for o in others if o.at >= CHANGE_S + 65.0]
    parts = (_describe("before", before), _describe("during", during), _describe("after", after))
    typer.echo(f"{trial.value} {deployment.name} seed {seed}: " + "; ".join(parts))


def _describe(name: str, outcomes: list[Outcome]) -> str:
    times = [o.first_token_s for o in outcomes if o.first_token_s >= 0]
    refused = [o.refused_s for o in outcomes if o.refused_s >= 0]
    good = sum(time <= DEADLINE_S for time in times) / len(outcomes)
    return (
        f"{name} n={len(outcomes)} p50={np.percentile(times, 50):.2f}"
        f" p99={np.percentile(times, 99):.2f} s, in time {good:.3f}, refused {len(refused)}"
        f" after at most {max(refused, default=0.0):.3f} s"
    )


def _run_faults(trial: Trial, seed: int) -> None:
    specs = [EngineSpec(prefill_tokens_per_s=s, decode_tokens_per_s=100.0) for s in SPEEDS]
    site = VirtualSite(instances=INSTANCES, seed=seed, specs=specs)
    _add_innocents(site, 60.0)
    if trial is Trial.POISON:
        site.poison[POISON] = site.rng.choice(CRASH_DELAYS_S)
        for step in range(30):
            for instance in site.gateways:
                site.at(10.0 + 0.7 * step, partial(site.send, max_tokens=400), instance, POISON)
    else:
        at = 10.0
        while at < 60.0:
            site.at(at, _kill_one, site)
            at += site.rng.expovariate(1 / 1.5)
    site.run(120.0)
    innocents = [o for o in site.outcomes.values() if o.digest != POISON]
    lost = Counter(o.refusal.reason.value for o in innocents if o.refusal)
    typer.echo(
        f"{trial.value} seed {seed}: crashes {len(site.crashes)}, innocents {len(innocents)},"
        f" refused {dict(lost)}, retries {sum(site.retries.values())}"
    )


def _add_innocents(site: VirtualSite, until: float) -> None:
    at = 0.0
    while at < until:
        at += site.rng.expovariate(25.0)
        prefix = site.rng.randrange(12)
        digest = blake2b(str(at).encode(), digest_size=16).digest()
        instance = site.rng.choice(list(site.gateways))
        site.at(at, site.send, instance, digest, (prefix, 100 + prefix), 8100)


def _kill_one(site: VirtualSite) -> None:
    site.crash(site.rng.choice([name for name in site.engines if name not in site.down]))


if __name__ == "__main__":
    app()
