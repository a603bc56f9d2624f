"""Write the tables, plots and page of the routing policy benchmark."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl
import matplotlib.pyplot as plt

from bench.policy_scenarios import ORACLES, PRODUCT, SCENARIOS_BY_NAME, WARM_UP_S

if TYPE_CHECKING:
    from pathlib import Path

    from bench.policy_scenarios import RunMetrics
    from bench.policy_targets import Check, Results

COMMAND = "make bench-policy"
PLOTTED = ("least loaded", "static rendezvous", "oracle w=1", PRODUCT)
COLUMNS = (
    ("hit rate", "hit_rate", "{:.3f}"),
    ("median s", "median_s", "{:.2f}"),
    ("p99 s", "p99_s", "{:.2f}"),
    ("before s", "before_p99_s", "{:.2f}"),
    ("after s", "after_p99_s", "{:.2f}"),
    ("needless", "needless_share", "{:.3f}"),
    ("refused", "refused_share", "{:.3f}"),
    ("in time", "within_deadline_share", "{:.3f}"),
    ("fairness", "lowest_served_share", "{:.3f}"),
    ("control B/s", "control_bytes_per_s", "{:.0f}"),
)
PAGE_HEAD = """# Benchmarks

This page is written by `{command}`, which exits with 1 while a target is missed. Seeds: {seeds};
figures are means over the seeds. Times are virtual, so a run repeats exactly.

The core's own `Gateway` runs against the engine stand-in's model of cache and time. Load is a share
of the requests a second that all engines could prefill at a hit rate of 0.7. *p99* is the 99th
percentile of the time to first token; *before* and *after* are the same before a disturbance and once
it should have settled. *Needless* is the share of prompt tokens that were prefilled although another
live engine held them. *In time* is the share of all requests with a first token within their deadline
of 10 s. *Fairness* is the lowest workspace's share served in time of what it asked for. *Control B/s*
is what one instance sends to its peers. The oracle is greedy on the exact, instant state of all caches
and queues; the targets use the weight with its lowest p99.
"""


def format_table(results: Results) -> str:
    """Return all metrics as Markdown tables."""
    parts = []
    for deployment, by_name in results.items():
        for name, by_rule in by_name.items():
            parts.append(f"### {deployment}: {name}\n\n{_format_rules(by_rule)}")
    return "\n".join(parts)


def draw_plots(directory: Path, results: Results) -> None:
    """Plot the 99th percentile over time windows, one SVG for each scenario."""
    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "policy"
    names = list(next(iter(results.values())))
    for name in names:
        figure, axes = plt.subplots(1, len(results), figsize=(10, 3.2), sharey=True)
        for axis, (deployment, by_name) in zip(axes, results.items(), strict=True):
            _draw_panel(axis, deployment, name, by_name[name])
        axes[0].set_ylabel("time to first token, p99 of 2 s [s]")
        axes[-1].legend(fontsize=7, loc="upper left")
        figure.suptitle(name, fontsize=10)
        figure.tight_layout()
        figure.savefig(directory / f"{name}.svg", metadata={"Date": None})
        plt.close(figure)


def write_page(path: Path, results: Results, checks: list[Check], seeds: tuple[int, ...]) -> None:
    """Write the benchmarks page."""
    lines = [PAGE_HEAD.format(command=COMMAND, seeds=", ".join(map(str, seeds)))]
    lines += ["## Targets", "", "| deployment | scenario | target | measured | bound | |"]
    lines += ["|---|---|---|---|---|---|"]
    lines += [
        f"| {c.deployment} | {c.scenario} | {c.name} | {c.value:.3f} | {c.bound:g} | "
        f"{'met' if c.met else '**missed**'} |"
        for c in checks
    ]
    lines += ["", "## Scenarios", ""]
    for name in next(iter(results.values())):
        lines += [f"### {name}", "", f"![{name}](benchmarks/{name}.svg)", ""]
        for deployment, by_name in results.items():
            lines += [f"{deployment}:", "", _format_rules(by_name[name])]
    path.write_text("\n".join(lines))


def _format_rules(by_rule: dict[str, RunMetrics]) -> str:
    lines = ["| rule | " + " | ".join(title for title, _, _ in COLUMNS) + " |"]
    lines.append("|---|" + "---|" * len(COLUMNS))
    for rule, metrics in by_rule.items():
        cells = [pattern.format(getattr(metrics, field)) for _, field, pattern in COLUMNS]
        lines.append(f"| {rule} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _draw_panel(axis: plt.Axes, deployment: str, name: str, by_rule: dict[str, RunMetrics]) -> None:
    for rule in PLOTTED:
        if rule not in by_rule:
            continue
        series = by_rule[rule].series
        style = "--" if rule in ORACLES else "-"
        times, values = zip(*series, strict=True)
        axis.plot(times, values, style, label=rule, linewidth=1)
    axis.set_yscale("log")
    axis.axvspan(0, WARM_UP_S, color="0.92")
    if SCENARIOS_BY_NAME[name].disturbance_s:
        axis.axvline(SCENARIOS_BY_NAME[name].disturbance_s, color="0.5", linewidth=0.8)
    axis.set_title(deployment, fontsize=9)
    axis.set_xlabel("s")
