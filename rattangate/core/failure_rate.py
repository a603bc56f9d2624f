"""The failure rate of the attempts of one instance at one endpoint."""

from __future__ import annotations

HALF_LIFE_S = 4.0
# Number of successful attempts assumed before the first one, so that few failures weigh little.
PRIOR_ATTEMPTS = 6.0


class FailureRate:
    """Count attempts and failures, which decay exponentially with a half-life of `HALF_LIFE_S`."""

    def __init__(self) -> None:
        self._attempts = 0.0
        self._failures = 0.0
        self._decayed_at = 0.0

    def record(self, failed: bool, now: float) -> None:
        """Count the end of an attempt."""
        self._decay(now)
        self._attempts += 1.0
        self._failures += failed

    def rate(self, now: float) -> float:
        """Return the fraction of attempts that fail, biased towards 0 while there were few."""
        if not self._failures:
            return 0.0
        self._decay(now)
        return self._failures / (self._attempts + PRIOR_ATTEMPTS)

    def _decay(self, now: float) -> None:
        if now > self._decayed_at:
            factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_S)
            self._attempts *= factor
            self._failures *= factor
            self._decayed_at = now
