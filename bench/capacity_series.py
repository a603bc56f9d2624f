"""Measured points of a cost and the straight line through them."""

from __future__ import annotations

import statistics
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATS = 5
MIN_SAMPLE_S = 0.05
MICROS_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class Series:
    """Hold the points of one cost, in `unit`, against a size."""

    key: str
    what: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Return the cost of one more of the size."""
        return self._line().slope

    @property
    def intercept(self) -> float:
        """Return the cost at size nought."""
        return self._line().intercept

    @property
    def fit(self) -> float:
        """Return the share of the variance that the line explains."""
        sizes, costs = zip(*self.points, strict=True)
        if len(set(costs)) == 1:
            return 1.0
        return statistics.correlation(sizes, costs) ** 2

    def at(self, size: float) -> float:
        """Return the cost that the line gives for a size."""
        return self.intercept + self.slope * size

    def _line(self) -> statistics.LinearRegression:
        sizes, costs = zip(*self.points, strict=True)
        return statistics.linear_regression(sizes, costs)


def cpu_micros(work: Callable[[], object]) -> float:
    """Return the least processor time of several runs of some work, in microseconds."""
    loops = _loops(work)
    samples = []
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(loops):
            work()
        samples.append((time.process_time() - began) / loops)
    return min(samples) * MICROS_PER_S


def _loops(work: Callable[[], object]) -> int:
    loops = 1
    while True:
        began = time.process_time()
        for _ in range(loops):
            work()
        taken = time.process_time() - began
        if taken >= MIN_SAMPLE_S / 4:
            return max(1, int(loops * MIN_SAMPLE_S / taken))
        loops *= 4
