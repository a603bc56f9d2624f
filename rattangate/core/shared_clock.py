"""The difference of a clock that all instances read to the local one, from timed answers."""

from __future__ import annotations

import math

# An answer replaces an older estimate after this time, as clocks drift apart.
ESTIMATE_LIFETIME_S = 300.0


class SharedClock:
    """Estimate what has to be added to the local time for the shared one.

    An answer that states the shared time was on its way for an unknown time, so each gives an
    offset that is too small by that time: of several, the greatest is the best.
    """

    def __init__(self) -> None:
        self._offset_s = -math.inf
        self._estimated_at = -math.inf

    @property
    def offset_s(self) -> float:
        """Return the offset in seconds, 0 before the first answer."""
        return 0.0 if math.isinf(self._offset_s) else self._offset_s

    def observe(self, shared_at: float, received_at: float) -> None:
        """Record an answer with the shared time, received at a local time."""
        offset_s = shared_at - received_at
        if offset_s < self._offset_s and received_at < self._estimated_at + ESTIMATE_LIFETIME_S:
            return
        self._offset_s = offset_s
        self._estimated_at = received_at
