"""Decide which failed attempts may be retried, and limit retries to a fraction of the traffic."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from rattangate.core.messages import AttemptResult

# Time constant of the decayed number of arrivals.
RATE_WINDOW_S = 10.0


class RetryReason(Enum):
    """Name the reasons for which a request is sent again."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    STREAM_CONTINUED = "stream_continued"
    ANSWER_MISMATCHED = "answer_mismatched"
    SUSPECT_PROBED = "suspect_probed"
    SUSPECT_WITHDRAWN = "suspect_withdrawn"


_RETRY_REASONS = {
    AttemptResult.NOT_SENT: RetryReason.NOT_SENT,
    AttemptResult.REFUSED: RetryReason.REFUSED,
    AttemptResult.FAILED: RetryReason.FAILED,
    AttemptResult.LOST: RetryReason.LOST,
}


def retry_reason(result: AttemptResult, repeatable: bool) -> RetryReason | None:
    """Return the reason for a retry, or None if the attempt must not be retried.

    An attempt that may have run is retried only if the request is idempotent (`repeatable`).
    """
    if result in (AttemptResult.FAILED, AttemptResult.LOST) and not repeatable:
        return None
    return _RETRY_REASONS.get(result)


@dataclass(slots=True)
class RetryBudget:
    """Limit retries with a token bucket.

    Each arriving request adds `ratio` tokens, up to `capacity`; each retry spends one.
    """

    ratio: float = 0.1
    capacity: float = 200.0
    tokens: float = 20.0
    _arrivals: float = 0.0
    _counted_at: float = -math.inf

    def count_arrival(self, now: float) -> None:
        """Add the tokens of one arriving request."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)
        self._arrivals = self._decayed_arrivals(now) + 1.0
        self._counted_at = now

    def take(self) -> bool:
        """Spend one token if there is one, and return whether there was."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self, waiting: int, now: float) -> float:
        """Estimate the seconds until there is a token for a retry with `waiting` others ahead."""
        needed = waiting + 1 - self.tokens
        if needed <= 0:
            return 0.0
        tokens_per_s = self.ratio * self._decayed_arrivals(now) / RATE_WINDOW_S
        return needed / tokens_per_s if tokens_per_s > 0 else math.inf

    def _decayed_arrivals(self, now: float) -> float:
        return self._arrivals * math.exp((self._counted_at - now) / RATE_WINDOW_S)
