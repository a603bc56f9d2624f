"""How long data read from the store may be used without another read."""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("-inf")
# Share of `revoke_s` for which keys are accepted after a read.
USABLE_SHARE = 0.8


@dataclass(slots=True)
class KeyLease:
    """Limit the time for which cached API keys of workspaces are accepted without a new read.

    `revoke_s` is the time within which a revoked key must stop working, in seconds; `deadline` is
    the end of the lease. Times are of a clock that keeps running while the instance is suspended.
    """

    revoke_s: float
    deadline: float = NEVER

    @property
    def duration_s(self) -> float:
        """Return for how long keys are accepted after a read was sent, in seconds."""
        return USABLE_SHARE * self.revoke_s

    def renew(self, asked_at: float) -> None:
        """Extend the lease after an answered read; it starts when the read was sent."""
        self.deadline = max(self.deadline, asked_at + self.duration_s)

    def holds(self, now: float) -> bool:
        """Tell whether the lease is valid, so that keys may be accepted."""
        return now < self.deadline
