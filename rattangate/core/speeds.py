"""The learned prefill speed of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_S_PER_TOKEN = 1 / 40_000
SAMPLE_DECAY = 0.85
MIN_SAMPLE_TOKENS = 500


@dataclass(slots=True)
class Speed:
    """Estimate seconds per prefilled token as a decayed ratio of sums.

    Samples are intervals between first tokens of a busy endpoint. An interval that is charged to
    the wrong request, because a peer's news came late, cancels out in the sums.
    """

    seconds: float = DEFAULT_S_PER_TOKEN * 4000
    tokens: float = 4000.0
    samples: int = 0
    last_first_token: float = 0.0

    @property
    def s_per_token(self) -> float:
        """Return the estimate in seconds per token."""
        return self.seconds / self.tokens

    def observe(self, placed_at: float, first_token_at: float, tokens: int) -> None:
        """Learn from a first token that took `tokens` of prefill."""
        started = max(placed_at, self.last_first_token)
        self.last_first_token = max(self.last_first_token, first_token_at)
        if tokens < MIN_SAMPLE_TOKENS:
            return
        self.seconds = self.seconds * SAMPLE_DECAY + max(0.0, first_token_at - started)
        self.tokens = self.tokens * SAMPLE_DECAY + tokens
        self.samples += 1
