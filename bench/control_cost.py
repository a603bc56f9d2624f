"""Compare the control cost of a running entry instance with 6 peers to its budget."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass

import trio

from bench.capacity_lines import BYTES_BUDGET, CPU_BUDGET_US, MEMORY_BUDGET_MB
from bench.capacity_processes import (
    MEASURE_S,
    SETTLE_S,
    Usage,
    measure_usage,
    open_deployment,
    send_requests,
)

PEERS = 6
ENGINES = 6
REQUESTS_PER_S = 4
US_PER_PERCENT = 10_000


@dataclass(frozen=True, slots=True)
class Measurement:
    """Hold one measured value with its upper bound."""

    name: str
    value: float
    unit: str
    bound: float

    @property
    def verdict(self) -> str:
        """Return whether the value is within its bound, as text."""
        return "ok" if self.value <= self.bound else "exceeded"


def measure() -> list[Measurement]:
    """Measure an instance while idle and under load."""
    with open_deployment(PEERS + 1, ENGINES) as deployment:
        time.sleep(SETTLE_S)
        idle = measure_usage(deployment, lambda: time.sleep(MEASURE_S))
        loaded = measure_usage(
            deployment, lambda: trio.run(send_requests, deployment, REQUESTS_PER_S)
        )
    return [
        *_to_measurements("idle", idle),
        Measurement("memory, loaded", loaded.memory_mb, "MB", MEMORY_BUDGET_MB),
        Measurement("bytes between instances, loaded", loaded.peer_bytes, "bytes/s", BYTES_BUDGET),
    ]


def main() -> int:
    """Print the measurements; return 1 if a bound is exceeded."""
    results = measure()
    print("| figure | value | unit | bound | verdict |\n|---|---|---|---|---|")
    for row in results:
        print(f"| {row.name} | {row.value:.3g} | {row.unit} | {row.bound:g} | {row.verdict} |")
    return int(any(row.verdict != "ok" for row in results))


def _to_measurements(state: str, usage: Usage) -> list[Measurement]:
    percent = CPU_BUDGET_US / US_PER_PERCENT
    return [
        Measurement(f"control CPU, {state}", usage.cpu_us / US_PER_PERCENT, "% of a core", percent),
        Measurement(f"memory, {state}", usage.memory_mb, "MB", MEMORY_BUDGET_MB),
        Measurement(f"bytes between instances, {state}", usage.peer_bytes, "bytes/s", BYTES_BUDGET),
        Measurement(f"bytes of all control, {state}", usage.all_bytes, "bytes/s", BYTES_BUDGET),
    ]


if __name__ == "__main__":
    sys.exit(main())
