"""The targets of the routing policy benchmark, which guard against regressions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.policy_scenarios import BASELINES, ORACLES, PRODUCT

if TYPE_CHECKING:
    from bench.policy_scenarios import RunMetrics

    ByRule = dict[str, RunMetrics]
    Results = dict[str, dict[str, ByRule]]

STEADY = ("steady-0.6", "steady-0.8", "steady-1.0")
INEXACT = (
    "not-lru-fifo",
    "not-lru-random",
    "not-lru-fifo-0.5",
    "not-lru-random-0.3",
    "capacity-under",
    "capacity-over",
    "capacity-unknown",
    "event-gaps",
    "gaps-and-capacity",
)
LOAD_AWARE = "least loaded"
MIN_HIT_RATIO = 0.97
MAX_STEADY_P99_RATIO = 1.25
MAX_BASELINE_P99_RATIO = 0.3
MAX_NEEDLESS_RATIO = 0.5
MAX_INEXACT_P99_RATIO = 2.0
MAX_RECOVERED_P99_RATIO = 1.25
MAX_SLOW_P99_RATIO = 1.5
MAX_OTHERS_P99_RATIO = 1.2
MIN_SERVED_OF_CAPACITY = 0.9
MAX_REFUSAL_S = 0.05
MAX_RETRIES_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Check:
    """Hold one target with its measured value."""

    deployment: str
    scenario: str
    name: str
    value: float
    bound: float
    met: bool

    @property
    def line(self) -> str:
        """Return the check as a line of the console report."""
        verdict = "met" if self.met else "MISSED"
        return (
            f"{verdict:6} {self.deployment:13} {self.scenario:22} "
            f"{self.name}: {self.value:.3f} (bound {self.bound:g})"
        )


def best_oracle(by_rule: ByRule) -> RunMetrics:
    """Return the metrics of the oracle weight with the lowest 99th percentile."""
    return min((by_rule[rule] for rule in ORACLES), key=lambda metrics: metrics.p99_s)


def check_targets(results: Results) -> list[Check]:
    """Check every target whose scenario was run."""
    checks = []
    for deployment, by_name in results.items():
        for name, by_rule in by_name.items():
            for target, value, bound, at_most in _targets(name, by_rule):
                met = value <= bound if at_most else value >= bound
                checks.append(Check(deployment, name, target, value, bound, met))
    return checks


def _targets(name: str, by_rule: ByRule) -> list[tuple[str, float, float, bool]]:
    product = by_rule[PRODUCT]
    oracle = best_oracle(by_rule)
    p99_to_oracle = product.p99_s / oracle.p99_s
    recovered = product.after_p99_s / max(product.before_p99_s, 1e-9)
    if name in STEADY:
        baseline = min(by_rule[rule].p99_s for rule in BASELINES)
        needless = product.needless_share / by_rule[LOAD_AWARE].needless_share
        return [
            ("hit rate to the oracle's", product.hit_rate / oracle.hit_rate, MIN_HIT_RATIO, False),
            ("p99 to the oracle's", p99_to_oracle, MAX_STEADY_P99_RATIO, True),
            ("p99 to the best baseline's", product.p99_s / baseline, MAX_BASELINE_P99_RATIO, True),
            ("needless recomputation to least loaded's", needless, MAX_NEEDLESS_RATIO, True),
        ]
    if name in INEXACT:
        return [("p99 to the oracle's", p99_to_oracle, MAX_INEXACT_P99_RATIO, True)]
    if name in ("hot-shift", "crash"):
        return [("p99 after to before", recovered, MAX_RECOVERED_P99_RATIO, True)]
    if name == "slow-endpoint":
        return [("p99 after to before", recovered, MAX_SLOW_P99_RATIO, True)]
    if name == "one-workspace-tenfold":
        worst = product.worst_other_ratio
        return [("worst other workspace's p99 to before", worst, MAX_OTHERS_P99_RATIO, True)]
    if name == "overload-1.5":
        return [
            (
                "served in time of capacity",
                product.served_of_capacity,
                MIN_SERVED_OF_CAPACITY,
                False,
            ),
            ("slowest refusal in s", product.slowest_refusal_s, MAX_REFUSAL_S, True),
            ("retries of traffic", product.retries_share, MAX_RETRIES_SHARE, True),
            ("p99 15 s after the end to before", recovered, MAX_RECOVERED_P99_RATIO, True),
        ]
    return []
