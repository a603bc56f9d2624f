"""Measures the control cost of a running entry instance with 6 peers against its budget."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass

import trio

from bench.capacity_lines import BYTES_BUDGET, CPU_BUDGET_US, MEMORY_BUDGET_MB
from bench.capacity_processes import (
    SETTLE_S,
    WATCH_S,
    Usage,
    open_deployment,
    send_requests,
    watch,
)

PEERS = 6
ENGINES = 6
REQUESTS_PER_S = 4
US_PER_PERCENT = 10_000


@dataclass(frozen=True, slots=True)
class Figure:
    """Hold one figure with the bound that it must not exceed."""

    name: str
    value: float
    unit: str
    bound: float

    @property
    def verdict(self) -> str:
        """Say whether the figure keeps its bound."""
        return "ok" if self.value <= self.bound else "exceeded"


def measure() -> list[Figure]:
    """Measure an idle instance, and the same under load."""
    with open_deployment(PEERS + 1, ENGINES) as deployment:
        time.sleep(SETTLE_S)
        idle = watch(deployment, lambda: time.sleep(WATCH_S))
        loaded = watch(deployment, lambda: trio.run(send_requests, deployment, REQUESTS_PER_S))
    return [
        *_figures("idle", idle),
        Figure("memory, loaded", loaded.memory_mb, "MB", MEMORY_BUDGET_MB),
        Figure("bytes between instances, loaded", loaded.peer_bytes, "bytes/s", BYTES_BUDGET),
    ]


def main() -> int:
    """Print the figures; return 1 when a bound is exceeded."""
    figures = measure()
    print("| figure | value | unit | bound | verdict |\n|---|---|---|---|---|")
    for one in figures:
        print(f"| {one.name} | {one.value:.3g} | {one.unit} | {one.bound:g} | {one.verdict} |")
    return int(any(one.verdict != "ok" for one in figures))


def _figures(state: str, usage: Usage) -> list[Figure]:
    percent = CPU_BUDGET_US / US_PER_PERCENT
    return [
        Figure(f"control CPU, {state}", usage.cpu_us / US_PER_PERCENT, "% of a core", percent),
        Figure(f"memory, {state}", usage.memory_mb, "MB", MEMORY_BUDGET_MB),
        Figure(f"bytes between instances, {state}", usage.peer_bytes, "bytes/s", BYTES_BUDGET),
        Figure(f"bytes of all control, {state}", usage.all_bytes, "bytes/s", BYTES_BUDGET),
    ]


if __name__ == "__main__":
    sys.exit(main())
