"""The state of one request between its arrival and its end."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rattangate.core.refusals import RefusalReason

if TYPE_CHECKING:
    from rattangate.core.endpoint_state import Endpoint
    from rattangate.core.messages import RequestArrived
    from rattangate.core.retries import RetryReason

DIGEST_BYTES = 16


@dataclass(slots=True)
class Run:
    """Follow one request; `deadline` is that of its next first token."""

    req: RequestArrived
    arrived_at: float
    deadline: float
    allowance_s: float = field(init=False)
    attempt: int = 0
    failures: int = 0
    runs: int = 0
    is_late: bool = False
    number: int = 0
    placed_on: Endpoint | None = None
    placed_at: float = 0.0
    first_token_at: float | None = None
    retry_reason: RetryReason | None = None
    may_have_run: bool = False
    pinned_version: str | None = None
    tried: set[tuple[str, int]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.allowance_s = self.deadline - self.arrived_at

    @property
    def has_runs_left(self) -> bool:
        """Tell whether the request may run at one more endpoint."""
        return self.req.max_runs is None or self.runs < self.req.max_runs

    @property
    def digest(self) -> bytes:
        """Return the digest by which copies of the request are known."""
        return self.req.digest[:DIGEST_BYTES]

    def may_continue_at(self, endpoint: Endpoint) -> bool:
        """Tell whether an answer that has begun would continue with the same weights."""
        return self.pinned_version in (None, endpoint.seen.weights_version)

    def renew_deadline(self, now: float) -> None:
        """Allow a lost request as long again as it had on arrival."""
        self.deadline = max(self.deadline, now + self.allowance_s)

    def late_reason(self, now: float) -> RefusalReason:
        """Return why the request is refused when its deadline is out of reach."""
        if self.may_have_run:
            return RefusalReason.DEADLINE_IN_RETRY
        if now <= self.arrived_at:
            return RefusalReason.DEADLINE_ON_ARRIVAL
        return RefusalReason.DEADLINE_IN_QUEUE

    def stranded_reason(self) -> RefusalReason:
        """Return why the request is refused when no endpoint is left for it."""
        return RefusalReason.ATTEMPTS_USED if self.may_have_run else RefusalReason.NO_ENDPOINT


def life_of(endpoint: Endpoint) -> tuple[str, int]:
    """Name one incarnation of an endpoint."""
    return (endpoint.name, endpoint.seen.incarnation)
