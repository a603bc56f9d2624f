"""The number of log lines that an instance may write, by two token buckets."""

from __future__ import annotations

from dataclasses import dataclass

# Lines of requests that are placed and answered.
ROUTINE_LINES_PER_S = 300.0
LINES_PER_S = 1000.0


@dataclass(slots=True)
class _Bucket:
    """Hold up to one second's lines."""

    rate: float
    level: float
    filled_at: float = 0.0

    def fill(self, now: float) -> None:
        gained = max(0.0, now - self.filled_at) * self.rate
        self.level = min(self.rate, self.level + gained)
        self.filled_at = now


class LineBudget:
    """Admit lines at two rates: all of them, and the routine ones among them."""

    def __init__(
        self, lines_per_s: float = LINES_PER_S, routine_per_s: float = ROUTINE_LINES_PER_S
    ) -> None:
        self._all = _Bucket(lines_per_s, lines_per_s)
        self._routine = _Bucket(routine_per_s, routine_per_s)

    def admits(self, is_routine: bool, now: float) -> bool:
        """Count a line if it is within the budget; `now` is in seconds of any steady clock."""
        buckets = [self._all, self._routine] if is_routine else [self._all]
        for bucket in buckets:
            bucket.fill(now)
        if any(bucket.level < 1.0 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.level -= 1.0
        return True
