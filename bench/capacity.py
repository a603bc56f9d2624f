"""Measure cost against cluster size and write the tables and the plot of the capacity page."""

from __future__ import annotations

import os
import platform
import re
import sys
from typing import TYPE_CHECKING

import matplotlib as mpl

from bench import capacity_costs, capacity_processes, capacity_state
from bench.capacity_lines import (
    BYTES_BUDGET,
    CPU_BUDGET_US,
    MEMORY_BUDGET_MB,
    TARGET_INSTANCES,
    ClusterSize,
    full_replication_costs,
    max_instances_within,
    partitioned_costs,
    total,
)
from bench.processes import ROOT

mpl.use("svg")
from matplotlib import pyplot  # noqa: E402

if TYPE_CHECKING:
    from bench.capacity_lines import RoleCost
    from bench.capacity_series import Series

PAGE = ROOT / "docs" / "CAPACITY.md"
PLOT = ROOT / "docs" / "capacity.svg"
PLOTTED = (2, 4, 7, 14, 28, 58, 100, 150, 200, 250, 300, 350)


def main() -> int:
    """Measure, print and write the tables and the plot of the page."""
    fits = {
        **capacity_costs.measure_all(),
        **capacity_state.measure_all(),
        **capacity_processes.measure_all(),
    }
    sections = {
        "machine": _describe_machine(),
        "slopes": _format_slopes(fits),
        "today": _format_costs(full_replication_costs(fits, ClusterSize())),
        "today-7": _format_costs(full_replication_costs(fits, ClusterSize(7))),
        "next": _format_costs(partitioned_costs(fits, ClusterSize())),
        "ends": _format_limits(fits),
    }
    for name, text in sections.items():
        print(f"{name}:\n\n{text}\n")
    _plot(fits)
    PAGE.write_text(_replace_sections(PAGE.read_text(), sections))
    return 0


def _describe_machine() -> str:
    return (
        f"{os.cpu_count()} processors ({platform.machine()}), {platform.system()}, Python "
        f"{platform.python_version()}; loopback; other work ran at the same time."
    )


def _format_slopes(fits: dict[str, Series]) -> str:
    rows = ["| key | cost | points | line | R2 |", "|---|---|---|---|---|"]
    for series in fits.values():
        points = " ".join(f"{size:g}:{_format_number(cost)}" for size, cost in series.points)
        line = (
            f"{_format_number(series.intercept)} + {_format_number(series.slope)} x {series.size}"
        )
        rows.append(
            f"| {series.key} | {series.what}, {series.unit} | {points} | {line} | {series.fit:.3f} |"
        )
    return "\n".join(rows)


def _format_costs(costs: list[RoleCost]) -> str:
    rows = [
        "| role | state, MB | messages/s sent | bytes/s | CPU, % of a core | slopes measured |",
        "|---|---|---|---|---|---|",
    ]
    for cost in [*costs, total(costs)]:
        rows.append(
            f"| {cost.role} | {_format_number(cost.state_mb)} | {_format_number(cost.messages)} "
            f"| {_format_number(cost.sent_bytes)} | {cost.cpu_us / 10_000:.3f} | {cost.measured} |"
        )
    rows.append(
        f"| **budget** | {MEMORY_BUDGET_MB:g} | | {BYTES_BUDGET:g} | {CPU_BUDGET_US / 10_000} | |"
    )
    return "\n".join(rows)


def _format_limits(fits: dict[str, Series]) -> str:
    budgets = (
        ("bytes sent", "sent_bytes", BYTES_BUDGET),
        ("processor time", "cpu_us", CPU_BUDGET_US),
        ("memory", "state_mb", MEMORY_BUDGET_MB),
    )
    rows = [
        "| budget | full replication stays within it up to | at 7 instances | at 350 |",
        "|---|---|---|---|",
    ]
    small, large = (
        total(full_replication_costs(fits, ClusterSize(count))) for count in (7, TARGET_INSTANCES)
    )
    for name, field, budget in budgets:
        largest = max_instances_within(fits, field, budget)
        limit = f"{largest} instances" if largest else "not even 2 instances"
        shares = [getattr(cost, field) / budget for cost in (small, large)]
        rows.append(f"| {name} | {limit} | {shares[0]:.2g} of it | {shares[1]:.3g} times |")
    return "\n".join(rows)


def _plot(fits: dict[str, Series]) -> None:
    panels = (
        ("CPU, % of a core", "cpu_us", CPU_BUDGET_US, 1e-4),
        ("bytes/s sent", "sent_bytes", BYTES_BUDGET, 1.0),
        ("memory, MB", "state_mb", MEMORY_BUDGET_MB, 1.0),
    )
    mpl.rcParams["svg.hashsalt"] = "capacity"
    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.6))
    for axis, (title, field, budget, scale) in zip(axes, panels, strict=True):
        for label, compute_costs in (
            ("full replication", full_replication_costs),
            ("partitioned", partitioned_costs),
        ):
            costs = [
                getattr(total(compute_costs(fits, ClusterSize(n))), field) * scale for n in PLOTTED
            ]
            axis.plot(PLOTTED, costs, marker=".", label=label)
        axis.axhline(budget * scale, color="grey", linestyle="--", label="budget")
        axis.set_yscale("log")
        axis.set_xlabel("instances, with requests and engines in proportion")
        axis.set_title(title)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(PLOT, metadata={"Date": None})


def _replace_sections(page: str, sections: dict[str, str]) -> str:
    for name, text in sections.items():
        pattern = rf"(<!-- begin {name} -->\n).*?(<!-- end {name} -->)"
        page, count = re.subn(
            pattern, lambda match, text=text: f"{match[1]}{text}\n{match[2]}", page, flags=re.S
        )
        if count != 1:
            raise SystemExit(f"{PAGE.name}: found {count} sections {name!r}, expected 1")
    return page


def _format_number(number: float) -> str:
    if number == 0:
        return "0"
    return f"{number:,.0f}" if abs(number) >= 100 else f"{number:.3g}"


if __name__ == "__main__":
    sys.exit(main())
