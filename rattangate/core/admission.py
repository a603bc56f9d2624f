"""Plan the waiting requests onto endpoints and refuse those that cannot meet their deadline."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

from rattangate.core.placement import choose

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from rattangate.core.fairness import FairQueue
    from rattangate.core.placement import Candidate

ESTIMATE_MARGIN = 1.1
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
JITTER = 0.25


class Planned(Protocol):
    """Look up what the plan needs of a waiting request."""

    def candidates(self, req_id: int, now: float) -> list[Candidate]:
        """Return the endpoints that may run the request."""

    def deadline(self, req_id: int) -> float:
        """Return the deadline of the first token."""

    def priority(self, req_id: int) -> int:
        """Return the priority at the engine."""

    def bind_wait_s(self, req_id: int) -> float:
        """Return the wait at an endpoint up to which the request is sent there, in seconds."""


@dataclass(frozen=True, slots=True)
class Start:
    """Send a waiting request to an endpoint."""

    req_id: int
    chosen: Candidate


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse a waiting request whose deadline is out of reach."""

    req_id: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Stranded:
    """Refuse a waiting request that no endpoint can run."""

    req_id: int


Decision = Start | Reject | Stranded


class Admission:
    """Send requests on while little waits before them, and plan when the others follow."""

    def __init__(self, queue: FairQueue, rng: random.Random) -> None:
        self._queue = queue
        self._rng = rng
        self.longest_wait_s = 0.0

    def plan(self, requests: Planned, contention: float, now: float) -> Iterator[Decision]:
        """Yield what to do with the waiting requests, in the order of service.

        `contention` is the work waiting at all instances over that waiting here.
        """
        pending: dict[str, float] = {}
        self.longest_wait_s = 0.0
        for item in self._queue.in_order(now):
            decision = self._decide(item.req_id, requests, pending, contention, now)
            if decision is not None:
                yield decision

    def plan_one(self, requests: Planned, req_id: int, now: float) -> Iterator[Decision]:
        """Yield what to do with one waiting request, as if it were the first."""
        decision = self._decide(req_id, requests, {}, 1.0, now)
        if decision is not None:
            yield decision

    def retry_after_s(self, wait_s: float) -> float:
        """Return advice near a wait, spread so that callers do not return in step."""
        spread = wait_s * (1 + JITTER * self._rng.random())
        return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, spread)), 2)

    def _decide(
        self,
        req_id: int,
        requests: Planned,
        pending: dict[str, float],
        contention: float,
        now: float,
    ) -> Decision | None:
        candidates = [_delay(c, pending) for c in requests.candidates(req_id, now)]
        if not candidates:
            return Stranded(req_id)
        chosen = choose(candidates)
        late_s = now + ESTIMATE_MARGIN * chosen.first_token_s - requests.deadline(req_id)
        if late_s > 0:
            soonest = min(candidates, key=_first_token_s)
            late_s = now + ESTIMATE_MARGIN * soonest.first_token_s - requests.deadline(req_id)
            if late_s > 0:
                return Reject(req_id, self.retry_after_s(late_s))
            chosen = soonest
        endpoint = chosen.endpoint
        ahead_s = pending.get(endpoint.name, 0.0)
        wait_s = endpoint.wait_s(requests.priority(req_id), now) + ahead_s
        if ahead_s == 0.0 and wait_s <= requests.bind_wait_s(req_id):
            return Start(req_id, chosen)
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        prefill_s = chosen.missing_tokens * endpoint.s_per_token(now)
        pending[endpoint.name] = ahead_s + contention * prefill_s
        return None


def _delay(candidate: Candidate, pending: dict[str, float]) -> Candidate:
    ahead_s = pending.get(candidate.endpoint.name, 0.0)
    if ahead_s == 0.0:
        return candidate
    return replace(
        candidate,
        first_token_s=candidate.first_token_s + ahead_s,
        cost_s=candidate.cost_s + ahead_s,
    )


def _first_token_s(candidate: Candidate) -> float:
    return candidate.first_token_s
