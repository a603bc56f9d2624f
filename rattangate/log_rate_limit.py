"""Limits the rate of the log lines of an instance with two token buckets."""

from __future__ import annotations

from dataclasses import dataclass

# Routine lines are those of requests that are placed and answered without an error.
ROUTINE_LINES_PER_S = 300.0
LINES_PER_S = 1000.0


@dataclass(slots=True)
class _TokenBucket:
    """Hold the tokens of a bucket; it is full with those of one second."""

    rate: float
    tokens: float
    refilled_at: float = 0.0

    def refill(self, now: float) -> None:
        new_tokens = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.rate, self.tokens + new_tokens)
        self.refilled_at = now


class LogRateLimiter:
    """Limit the rate of all lines and, more strictly, that of the routine lines among them."""

    def __init__(
        self, lines_per_s: float = LINES_PER_S, routine_per_s: float = ROUTINE_LINES_PER_S
    ) -> None:
        self._all = _TokenBucket(lines_per_s, lines_per_s)
        self._routine = _TokenBucket(routine_per_s, routine_per_s)

    def allow(self, is_routine: bool, now: float) -> bool:
        """Return whether a line may be written and, if so, take its tokens.

        `now` is the time in seconds of a monotonic clock.
        """
        buckets = [self._all, self._routine] if is_routine else [self._all]
        for bucket in buckets:
            bucket.refill(now)
        if any(bucket.tokens < 1.0 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.tokens -= 1.0
        return True
