"""The share of attempts that fail at one endpoint, as one instance sees it."""

from __future__ import annotations

HALF_LIFE_S = 4.0
# Attempts that are taken to have gone well before the first one.
PRIOR_ATTEMPTS = 6.0


class FailureShare:
    """Count attempts and failures, each forgotten by half within the half-life."""

    def __init__(self) -> None:
        self._attempts = 0.0
        self._failures = 0.0
        self._at = 0.0

    def note(self, failed: bool, now: float) -> None:
        """Count the end of an attempt."""
        self._forget(now)
        self._attempts += 1.0
        self._failures += failed

    def share(self, now: float) -> float:
        """Return the share of attempts that fail, cautiously where there were few."""
        if not self._failures:
            return 0.0
        self._forget(now)
        return self._failures / (self._attempts + PRIOR_ATTEMPTS)

    def _forget(self, now: float) -> None:
        if now > self._at:
            kept = 0.5 ** ((now - self._at) / HALF_LIFE_S)
            self._attempts *= kept
            self._failures *= kept
            self._at = now
