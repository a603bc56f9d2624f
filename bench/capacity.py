"""Measures the slopes of the capacity page and writes its tables and its plot."""

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
    DAEMONS,
    MEMORY_BUDGET_MB,
    Size,
    last_within,
    lines_next,
    lines_today,
    total,
)
from bench.processes import ROOT

mpl.use("svg")
from matplotlib import pyplot  # noqa: E402

if TYPE_CHECKING:
    from bench.capacity_lines import Line
    from bench.capacity_series import Series

PAGE = ROOT / "docs" / "CAPACITY.md"
PLOT = ROOT / "docs" / "capacity.svg"
PLOTTED = (2, 4, 7, 14, 28, 58, 100, 150, 200, 250, 300, 350)


def main() -> int:
    """Measure, print, and write the page's tables and plot."""
    found = {
        **capacity_costs.measure_all(),
        **capacity_state.measure_all(),
        **capacity_processes.measure_all(),
    }
    sections = {
        "machine": _machine(),
        "slopes": _slopes(found),
        "today": _lines(lines_today(found, Size())),
        "today-7": _lines(lines_today(found, Size(7))),
        "next": _lines(lines_next(found, Size())),
        "ends": _ends(found),
    }
    for name, text in sections.items():
        print(f"{name}:\n\n{text}\n")
    _plot(found)
    PAGE.write_text(_fill(PAGE.read_text(), sections))
    return 0


def _machine() -> str:
    return (
        f"{os.cpu_count()} processors ({platform.machine()}), {platform.system()}, Python "
        f"{platform.python_version()}; loopback; other work ran at the same time."
    )


def _slopes(found: dict[str, Series]) -> str:
    rows = ["| key | cost | points | line | R2 |", "|---|---|---|---|---|"]
    for series in found.values():
        points = " ".join(f"{size:g}:{_short(cost)}" for size, cost in series.points)
        line = f"{_short(series.intercept)} + {_short(series.slope)} x {series.size}"
        rows.append(
            f"| {series.key} | {series.what}, {series.unit} | {points} | {line} | {series.fit:.3f} |"
        )
    return "\n".join(rows)


def _lines(lines: list[Line]) -> str:
    rows = [
        "| role | state, MB | messages/s sent | bytes/s | CPU, % of a core | slopes measured |",
        "|---|---|---|---|---|---|",
    ]
    for line in [*lines, total(lines)]:
        rows.append(
            f"| {line.role} | {_short(line.state_mb)} | {_short(line.messages)} "
            f"| {_short(line.sent_bytes)} | {line.cpu_us / 10_000:.3f} | {line.measured} |"
        )
    rows.append(
        f"| **budget** | {MEMORY_BUDGET_MB:g} | | {BYTES_BUDGET:g} | {CPU_BUDGET_US / 10_000} | |"
    )
    return "\n".join(rows)


def _ends(found: dict[str, Series]) -> str:
    ends = (
        ("bytes sent", "sent_bytes", BYTES_BUDGET),
        ("processor time", "cpu_us", CPU_BUDGET_US),
        ("memory", "state_mb", MEMORY_BUDGET_MB),
    )
    rows = [
        "| budget | today's mechanism keeps it up to | at 7 daemons | at 350 |",
        "|---|---|---|---|",
    ]
    small, large = (total(lines_today(found, Size(count))) for count in (7, DAEMONS))
    for name, cost, budget in ends:
        last = last_within(found, cost, budget)
        held = f"{last} daemons" if last else "not even 2 daemons"
        used = [getattr(one, cost) / budget for one in (small, large)]
        rows.append(f"| {name} | {held} | {used[0]:.2g} of it | {used[1]:.3g} times |")
    return "\n".join(rows)


def _plot(found: dict[str, Series]) -> None:
    panels = (
        ("CPU, % of a core", "cpu_us", CPU_BUDGET_US, 1e-4),
        ("bytes/s sent", "sent_bytes", BYTES_BUDGET, 1.0),
        ("memory, MB", "state_mb", MEMORY_BUDGET_MB, 1.0),
    )
    mpl.rcParams["svg.hashsalt"] = "capacity"
    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.6))
    for axis, (title, cost, budget, scale) in zip(axes, panels, strict=True):
        for label, lines in (("all to all", lines_today), ("divided", lines_next)):
            costs = [getattr(total(lines(found, Size(n))), cost) * scale for n in PLOTTED]
            axis.plot(PLOTTED, costs, marker=".", label=label)
        axis.axhline(budget * scale, color="grey", linestyle="--", label="budget")
        axis.set_yscale("log")
        axis.set_xlabel("daemons, requests and engines in proportion")
        axis.set_title(title)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(PLOT, metadata={"Date": None})


def _fill(page: str, sections: dict[str, str]) -> str:
    for name, text in sections.items():
        pattern = rf"(<!-- begin {name} -->\n).*?(<!-- end {name} -->)"
        page, count = re.subn(
            pattern, lambda match, text=text: f"{match[1]}{text}\n{match[2]}", page, flags=re.S
        )
        if count != 1:
            raise SystemExit(f"{PAGE.name} has {count} sections {name!r}")
    return page


def _short(number: float) -> str:
    if number == 0:
        return "0"
    return f"{number:,.0f}" if abs(number) >= 100 else f"{number:.3g}"


if __name__ == "__main__":
    sys.exit(main())
