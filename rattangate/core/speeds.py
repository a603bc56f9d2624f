"""The learned prefill speed of an endpoint."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

DEFAULT_S_PER_TOKEN = 1 / 40_000
SAMPLE_DECAY = 0.85
MIN_SAMPLE_TOKENS = 500
REORDER_S = 0.3


@dataclass(slots=True)
class Speed:
    """Estimate seconds per prefilled token as a decayed ratio of sums.

    Samples are intervals between first tokens of a busy endpoint. They wait for `REORDER_S` so
    that a peer's news, which comes late, is sorted in before them.
    """

    seconds: float = DEFAULT_S_PER_TOKEN * 4000
    tokens: float = 4000.0
    samples: int = 0
    last_first_token: float = 0.0
    _waiting: list[tuple[float, float, int]] = field(default_factory=list)

    @property
    def s_per_token(self) -> float:
        """Return the estimate in seconds per token."""
        return self.seconds / self.tokens

    def observe(self, placed_at: float, first_token_at: float, tokens: int) -> None:
        """Learn from a first token that took `tokens` of prefill."""
        heapq.heappush(self._waiting, (first_token_at, placed_at, tokens))
        while self._waiting[0][0] < first_token_at - REORDER_S:
            self._learn(*heapq.heappop(self._waiting))

    def observe_alone(self, placed_at: float, ended_at: float, tokens: int) -> None:
        """Learn from work that did not wait for other work."""
        self.seconds = self.seconds * SAMPLE_DECAY + max(0.0, ended_at - placed_at)
        self.tokens = self.tokens * SAMPLE_DECAY + tokens
        self.samples += 1

    def _learn(self, first_token_at: float, placed_at: float, tokens: int) -> None:
        started = max(placed_at, self.last_first_token)
        self.last_first_token = max(self.last_first_token, first_token_at)
        if tokens < MIN_SAMPLE_TOKENS:
            return
        self.seconds = self.seconds * SAMPLE_DECAY + max(0.0, first_token_at - started)
        self.tokens = self.tokens * SAMPLE_DECAY + tokens
        self.samples += 1
