"""Measured costs at several sizes and the linear regression through them."""

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
    """Hold the measured points (size, cost) of one cost; costs are in `unit`."""

    key: str
    what: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Return the cost of one more unit of size."""
        return self._line().slope

    @property
    def intercept(self) -> float:
        """Return the cost at size zero."""
        return self._line().intercept

    @property
    def fit(self) -> float:
        """Return the coefficient of determination (R2) of the regression."""
        sizes, costs = zip(*self.points, strict=True)
        if len(set(costs)) == 1:
            return 1.0
        return statistics.correlation(sizes, costs) ** 2

    def at(self, size: float) -> float:
        """Return the cost that the regression predicts for a size."""
        return self.intercept + self.slope * size

    def _line(self) -> statistics.LinearRegression:
        sizes, costs = zip(*self.points, strict=True)
        return statistics.linear_regression(sizes, costs)


def cpu_micros(func: Callable[[], object]) -> float:
    """Return the lowest processor time of one call over several samples, in microseconds."""
    loops = _calibrate_loops(func)
    samples = []
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(loops):
            func()
        samples.append((time.process_time() - started) / loops)
    return min(samples) * MICROS_PER_S


def _calibrate_loops(func: Callable[[], object]) -> int:
    loops = 1
    while True:
        started = time.process_time()
        for _ in range(loops):
            func()
        elapsed_s = time.process_time() - started
        if elapsed_s >= MIN_SAMPLE_S / 4:
            return max(1, int(loops * MIN_SAMPLE_S / elapsed_s))
        loops *= 4
