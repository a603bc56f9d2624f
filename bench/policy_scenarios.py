"""The scenarios and policies (rules) of the benchmark and the metrics of one run."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import numpy as np

from bench.policy_rules import (
    LeastLoaded,
    Oracle,
    PrefixFirst,
    RandomChoice,
    RoundRobin,
    StaticRendezvous,
)
from bench.policy_workload import (
    PIECE_TOKENS,
    WORKSPACE_SHARES,
    Demand,
    make_arrivals,
)
from bench.policy_world import DEADLINE_S, Conditions, Fault, Simulation
from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.standins.engine_model import Eviction

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.policy_rules import Router
    from bench.policy_workload import Deployment
    from bench.policy_world import Outcome

WARM_UP_S = 60.0
DISTURBANCE_S = 150.0
DURATION_S = 240.0
DRAIN_S = 120.0
OVERLOAD_S = 60.0
WINDOW_S = 2.0
EVENT_LOSS = 0.05
ORACLE_WEIGHTS = (0.0, 1.0, 3.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one scenario; `disturbance_s` is when its disturbance starts, 0 if there is none.

    Metrics after the disturbance count from `settle_s` later. `limit_factor` bounds the prompt
    tokens of each workspace to this multiple of its share of capacity.
    """

    name: str
    demands: tuple[Demand, ...]
    conditions: Conditions = field(default_factory=Conditions)
    faults: tuple[Fault, ...] = ()
    disturbance_s: float = 0.0
    settle_s: float = 0.0
    limit_factor: float = math.inf


def _steady(load: float) -> tuple[Demand, ...]:
    return (Demand(0.0, load),)


_ROLLOUT = tuple(Fault(DISTURBANCE_S + 3.0 * (n // 2), "rollout", n, 1.5) for n in range(6))

SCENARIOS = (
    Scenario("steady-0.6", _steady(0.6)),
    Scenario("steady-0.8", _steady(0.8)),
    Scenario("steady-1.0", _steady(1.0)),
    Scenario("not-lru-fifo", _steady(0.8), Conditions(eviction=Eviction.FIFO)),
    Scenario("not-lru-random", _steady(0.8), Conditions(eviction=Eviction.RANDOM)),
    Scenario("not-lru-fifo-0.5", _steady(0.5), Conditions(eviction=Eviction.FIFO)),
    Scenario("not-lru-random-0.3", _steady(0.3), Conditions(eviction=Eviction.RANDOM)),
    Scenario("capacity-under", _steady(0.8), Conditions(declared_capacity=0.75)),
    Scenario("capacity-over", _steady(0.8), Conditions(declared_capacity=1.25)),
    Scenario("capacity-unknown", _steady(0.8), Conditions(declared_capacity=0.0)),
    Scenario("event-gaps", _steady(0.8), Conditions(event_loss=EVENT_LOSS)),
    Scenario(
        "gaps-and-capacity", _steady(0.8), Conditions(declared_capacity=1.25, event_loss=EVENT_LOSS)
    ),
    Scenario("lagging-0.1", _steady(0.8), Conditions(report_lag_s=0.1)),
    Scenario("lagging-2.0", _steady(0.8), Conditions(report_lag_s=2.0, event_lag_s=2.0)),
    Scenario(
        "hot-shift",
        (Demand(0.0, 0.8, 0.4, 1), Demand(DISTURBANCE_S, 0.8, 0.4, 20)),
        disturbance_s=DISTURBANCE_S,
        settle_s=5.0,
    ),
    Scenario(
        "crash",
        _steady(0.6),
        faults=(Fault(DISTURBANCE_S, "crash", 2), Fault(DISTURBANCE_S + 5.0, "return", 2)),
        disturbance_s=DISTURBANCE_S,
        settle_s=1.0 + 3.0,
    ),
    Scenario(
        "slow-endpoint",
        _steady(0.6),
        faults=(Fault(DISTURBANCE_S, "slow", 1, 5.0),),
        disturbance_s=DISTURBANCE_S,
    ),
    Scenario(
        "one-workspace-tenfold",
        (Demand(0.0, 0.6), Demand(DISTURBANCE_S, 0.6, surge=10.0)),
        disturbance_s=DISTURBANCE_S,
        limit_factor=3.0,
    ),
    Scenario(
        "overload-1.5",
        (Demand(0.0, 0.8), Demand(DISTURBANCE_S, 1.5), Demand(DISTURBANCE_S + OVERLOAD_S, 0.6)),
        disturbance_s=DISTURBANCE_S,
        settle_s=OVERLOAD_S + 15.0,
    ),
    Scenario(
        "weight-rollout", _steady(0.6), faults=_ROLLOUT, disturbance_s=DISTURBANCE_S, settle_s=15.0
    ),
    Scenario(
        "entries-restart",
        _steady(0.8),
        faults=(Fault(DISTURBANCE_S, "restart"),),
        disturbance_s=DISTURBANCE_S,
        settle_s=3.0,
    ),
)
SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}

BASELINES: dict[str, Callable[[int], Router]] = {
    "round robin": RoundRobin,
    "random": RandomChoice,
    "least loaded": LeastLoaded,
    "static rendezvous": StaticRendezvous,
    "prefix first": PrefixFirst,
}
ORACLES = {f"oracle w={weight:g}": weight for weight in ORACLE_WEIGHTS}
PRODUCT = "rattangate"
WITHOUT_LEARNING = "rattangate, no learning"
RULES = (*BASELINES, PRODUCT, *ORACLES)


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """Hold the metrics of one run; times in seconds, sizes in tokens and bytes."""

    requests: int
    hit_rate: float
    median_s: float
    p99_s: float
    before_p99_s: float
    after_p99_s: float
    needless_share: float
    recomputed_share: float
    refused_share: float
    slowest_refusal_s: float
    within_deadline_share: float
    served_of_capacity: float
    retries_share: float
    lowest_served_share: float
    worst_other_ratio: float
    control_bytes_per_s: float
    series: tuple[tuple[float, float], ...]


def make_simulation(
    deployment: Deployment, scenario: Scenario, rule: str, seed: int, cfg: GatewayCfg | None = None
) -> Simulation:
    """Return the simulation of one run."""
    if cfg is None:
        cfg = GatewayCfg(PIECE_TOKENS, deployment.recompute_weight)
    if rule == WITHOUT_LEARNING:
        cfg = replace(cfg, learn_caches=False)
    limits = tuple(
        WorkspaceLimit(str(number), share) for number, share in enumerate(WORKSPACE_SHARES)
    )

    def create_router(sim: Simulation, instance: int, router_seed: int) -> Router:
        instance_seed = router_seed * 1000 + instance
        if rule in BASELINES:
            return BASELINES[rule](instance_seed)
        if rule in ORACLES:
            forecasts = {str(n): engine.forecast for n, engine in enumerate(sim.engines)}
            return Oracle(instance_seed, forecasts, ORACLES[rule])
        scheduler = replace(
            cfg.scheduler,
            instance=str(instance),
            instances=deployment.instances,
            workspaces=limits,
            first_token_s=DEADLINE_S,
        )
        return Gateway(replace(cfg, scheduler=scheduler), instance_seed)

    return Simulation(deployment, scenario.conditions, create_router, seed)


def run_one(
    deployment: Deployment, scenario: Scenario, rule: str, seed: int, cfg: GatewayCfg | None = None
) -> RunMetrics:
    """Run one policy through one scenario."""
    sim = make_simulation(deployment, scenario, rule, seed, cfg)
    arrivals = make_arrivals(deployment, scenario.demands, DURATION_S, seed)
    faults = tuple(f for f in scenario.faults if f.endpoint < len(deployment.speeds))
    sim.run(arrivals, faults, DURATION_S + DRAIN_S)
    return _summarize(sim, scenario)


def _summarize(sim: Simulation, scenario: Scenario) -> RunMetrics:
    measured = [o for o in sim.outcomes.values() if o.at >= WARM_UP_S]
    served = [o for o in measured if o.first_token_s >= 0]
    before = [o for o in measured if scenario.disturbance_s and o.at < scenario.disturbance_s]
    after = [
        o
        for o in measured
        if scenario.disturbance_s and o.at >= scenario.disturbance_s + scenario.settle_s
    ]
    refused = [o for o in measured if o.refused_s >= 0]
    prompt = sum(o.prompt_tokens for o in served)
    cached = sum(o.cached_tokens for o in served)
    needless = sum(max(0, o.best_cached_tokens - o.cached_tokens) for o in served)
    return RunMetrics(
        requests=len(measured),
        hit_rate=cached / max(1, prompt),
        median_s=_percentile(measured, 50),
        p99_s=_percentile(measured, 99),
        before_p99_s=_percentile(before, 99),
        after_p99_s=_percentile(after, 99),
        needless_share=needless / max(1, prompt),
        recomputed_share=(prompt - cached) / max(1, prompt),
        refused_share=len(refused) / max(1, len(measured)),
        slowest_refusal_s=max((o.refused_s for o in refused), default=0.0),
        within_deadline_share=sum(o.first_token_s <= DEADLINE_S for o in served)
        / max(1, len(measured)),
        served_of_capacity=_served_of_capacity(sim, scenario),
        retries_share=sum(max(0, o.attempts - 1) for o in measured) / max(1, len(measured)),
        lowest_served_share=_lowest_served_share(measured),
        worst_other_ratio=_worst_other_ratio(before, after, scenario),
        control_bytes_per_s=sim.control_bytes / len(sim.routers) / DURATION_S,
        series=_series(sim),
    )


def _percentile(outcomes: list[Outcome], share: float) -> float:
    """Return a percentile of the time to first token; a request without one counts `DRAIN_S`."""
    times = [o.first_token_s if o.first_token_s >= 0 else DRAIN_S for o in _not_refused(outcomes)]
    return float(np.percentile(times, share)) if times else 0.0


def _not_refused(outcomes: list[Outcome]) -> list[Outcome]:
    return [o for o in outcomes if o.refused_s < 0]


def _served_of_capacity(sim: Simulation, scenario: Scenario) -> float:
    """Return the rate served within the deadline at peak demand, as a share of capacity."""
    peak = max(scenario.demands, key=lambda demand: demand.load)
    end = peak.start + OVERLOAD_S if peak.start else DURATION_S
    start = max(peak.start, WARM_UP_S)
    offered = [o for o in sim.outcomes.values() if start <= o.at < end]
    in_time = sum(0 <= o.first_token_s <= DEADLINE_S for o in offered)
    return peak.load * in_time / max(1, len(offered))


def _lowest_served_share(measured: list[Outcome]) -> float:
    """Return the lowest share of requests served within the deadline over all workspaces."""
    shares = []
    for workspace in range(len(WORKSPACE_SHARES)):
        selected = [o for o in measured if o.workspace == workspace]
        in_time = sum(0 <= o.first_token_s <= DEADLINE_S for o in selected)
        shares.append(in_time / max(1, len(selected)))
    return min(shares)


def _worst_other_ratio(before: list[Outcome], after: list[Outcome], scenario: Scenario) -> float:
    surged = {d.surge_workspace for d in scenario.demands if d.surge != 1.0}
    if not surged:
        return 0.0
    ratios = []
    for workspace in set(range(len(WORKSPACE_SHARES))) - surged:
        p99_before = _percentile([o for o in before if o.workspace == workspace], 99)
        p99_after = _percentile([o for o in after if o.workspace == workspace], 99)
        ratios.append(p99_after / max(p99_before, 1e-9))
    return max(ratios)


def _series(sim: Simulation) -> tuple[tuple[float, float], ...]:
    """Return the 99th percentile of the requests that arrived in each time window."""
    windows: dict[int, list[Outcome]] = {}
    for outcome in sim.outcomes.values():
        windows.setdefault(int(outcome.at / WINDOW_S), []).append(outcome)
    return tuple(
        (n * WINDOW_S, _percentile(selected, 99)) for n, selected in sorted(windows.items())
    )
