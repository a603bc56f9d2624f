"""The state of one active request, from its arrival to its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rattangate.core.refusals import RefusalReason

if TYPE_CHECKING:
    from rattangate.core.endpoint_state import Endpoint
    from rattangate.core.messages import RequestArrived
    from rattangate.core.retries import RetryReason
    from rattangate.core.stream_history import Software, StreamOrigin

DIGEST_BYTES = 16


@dataclass(slots=True)
class ActiveRequest:
    """Track one active request over all its attempts.

    `deadline` is that of the first token of the next attempt; `time_to_deadline_s` is the time that
    the request had for it on arrival. `attempt` numbers the attempts; `failures` counts those that
    failed after they were sent, and `run_count` those that may have run at an endpoint. `is_late`
    says that the latency target can no longer be met. `placement_number` identifies the current placement
    among those of this instance, on the endpoint `placed_on`. Once tokens were delivered,
    `pinned_version` is the weights version that has to continue the answer, and `pinned_software`
    the endpoint's software; `stream_origin` tells where the latter comes from for a
    stream that is taken up. `tried` holds the endpoint incarnations to which the request was sent.
    """

    req: RequestArrived
    arrived_at: float
    deadline: float
    time_to_deadline_s: float = field(init=False)
    attempt: int = 0
    failures: int = 0
    run_count: int = 0
    is_late: bool = False
    placement_number: int = 0
    placed_on: Endpoint | None = None
    placed_at: float = 0.0
    first_token_at: float | None = None
    retry_reason: RetryReason | None = None
    may_have_run: bool = False
    pinned_version: str | None = None
    pinned_software: Software | None = None
    stream_origin: StreamOrigin | None = None
    tried: set[tuple[str, int]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.time_to_deadline_s = self.deadline - self.arrived_at

    @property
    def has_runs_left(self) -> bool:
        """Tell whether `max_runs` allows the request to run at one more endpoint."""
        return self.req.max_runs is None or self.run_count < self.req.max_runs

    @property
    def digest(self) -> bytes:
        """Return the digest that identical requests share."""
        return self.req.digest[:DIGEST_BYTES]

    def may_continue_at(self, endpoint: Endpoint) -> bool:
        """Tell whether an answer that has begun would continue with the same versions."""
        status = endpoint.status
        return self.pinned_version in (None, status.weights_version) and (
            self.pinned_software in (None, status.software)
        )

    def pin(self) -> None:
        """Keep the answer, which has begun, to the versions of the endpoint that it is placed on."""
        assert self.placed_on is not None
        self.pinned_version = self.placed_on.status.weights_version
        self.pinned_software = self.placed_on.status.software

    def extend_deadline(self, now: float) -> None:
        """Give a request whose attempt was lost as much time as it had on arrival."""
        self.deadline = max(self.deadline, now + self.time_to_deadline_s)

    def deadline_reason(self, now: float) -> RefusalReason:
        """Return the refusal reason for a deadline that can no longer be met."""
        if self.may_have_run:
            return RefusalReason.DEADLINE_IN_RETRY
        if now <= self.arrived_at:
            return RefusalReason.DEADLINE_ON_ARRIVAL
        return RefusalReason.DEADLINE_IN_QUEUE

    def no_endpoint_reason(self) -> RefusalReason:
        """Return the refusal reason for a request that no endpoint can run."""
        return RefusalReason.ATTEMPTS_USED if self.may_have_run else RefusalReason.NO_ENDPOINT


def incarnation_key(endpoint: Endpoint) -> tuple[str, int]:
    """Return the name and the incarnation of an endpoint."""
    return (endpoint.name, endpoint.status.incarnation)
