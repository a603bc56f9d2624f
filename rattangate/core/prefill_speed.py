"""Online estimate of an endpoint's prefill speed."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

# Initial estimate.
DEFAULT_S_PER_TOKEN = 1 / 40_000
# Weight of all earlier samples when one is added.
SAMPLE_DECAY = 0.85
# Shorter prefills are not used as samples.
MIN_SAMPLE_TOKENS = 500
# Time for which samples are held back to be sorted, in seconds.
REORDER_WINDOW_S = 0.3


@dataclass(slots=True)
class PrefillSpeed:
    """Estimate seconds per prefilled token as the ratio of two exponentially decayed sums.

    Samples are the intervals between first tokens of a busy endpoint. They are held back for
    `REORDER_WINDOW_S` so that first tokens reported by peers, which arrive late, can be sorted in.
    `samples` counts the samples used; `last_first_token_at` is the time of the latest first token.
    """

    seconds: float = DEFAULT_S_PER_TOKEN * 4000
    tokens: float = 4000.0
    samples: int = 0
    last_first_token_at: float = 0.0
    _pending_samples: list[tuple[float, float, int]] = field(default_factory=list)

    @property
    def s_per_token(self) -> float:
        """Return the estimate in seconds per token."""
        return self.seconds / self.tokens

    def observe(self, placed_at: float, first_token_at: float, tokens: int) -> None:
        """Add the first token of a request that needed a prefill of `tokens` tokens."""
        heapq.heappush(self._pending_samples, (first_token_at, placed_at, tokens))
        while self._pending_samples[0][0] < first_token_at - REORDER_WINDOW_S:
            self._add_sample(*heapq.heappop(self._pending_samples))

    def observe_unqueued(self, placed_at: float, ended_at: float, tokens: int) -> None:
        """Add a sample of a request that did not wait in a queue."""
        self.seconds = self.seconds * SAMPLE_DECAY + max(0.0, ended_at - placed_at)
        self.tokens = self.tokens * SAMPLE_DECAY + tokens
        self.samples += 1

    def _add_sample(self, first_token_at: float, placed_at: float, tokens: int) -> None:
        started_at = max(placed_at, self.last_first_token_at)
        self.last_first_token_at = max(self.last_first_token_at, first_token_at)
        if tokens < MIN_SAMPLE_TOKENS:
            return
        self.seconds = self.seconds * SAMPLE_DECAY + max(0.0, first_token_at - started_at)
        self.tokens = self.tokens * SAMPLE_DECAY + tokens
        self.samples += 1
