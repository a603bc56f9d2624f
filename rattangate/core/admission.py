"""Schedule waiting requests on endpoints and refuse those that cannot meet their deadline."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

from rattangate.core.placement import choose

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from rattangate.core.fairness import FairQueue
    from rattangate.core.placement import Candidate

# Factor by which the time to the first token may be underestimated.
ESTIMATE_MARGIN = 1.1
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
# Largest random addition to a retry advice, as a fraction of it.
JITTER = 0.25
# Requests that wait for a permit wait for the first one of any endpoint, in one line.
PERMIT_LINE = ""


class WaitingRequests(Protocol):
    """Look up the properties of waiting requests that scheduling needs."""

    def candidates(self, req_id: int, now: float) -> list[Candidate]:
        """Return the endpoints that may run the request."""

    def deadline(self, req_id: int) -> float:
        """Return the deadline of the first token."""

    def priority(self, req_id: int) -> int:
        """Return the priority in the engine's queue."""

    def max_endpoint_wait_s(self, req_id: int) -> float:
        """Return the longest wait, in seconds, at an endpoint that still gets the request."""


@dataclass(frozen=True, slots=True)
class Start:
    """Dispatch a waiting request to an endpoint."""

    req_id: int
    chosen: Candidate


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse a waiting request that no endpoint can answer before its deadline."""

    req_id: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unschedulable:
    """Refuse a waiting request that no endpoint can run."""

    req_id: int


Decision = Start | Reject | Unschedulable


class Admission:
    """Decide which waiting requests are dispatched now, which keep waiting and which are refused.

    A request is dispatched while the wait at its endpoint is short; until then it waits here, where
    it can still go to another endpoint.
    """

    def __init__(self, queue: FairQueue, rng: random.Random) -> None:
        self._queue = queue
        self._rng = rng
        self.longest_wait_s = 0.0

    def plan(self, requests: WaitingRequests, contention: float, now: float) -> Iterator[Decision]:
        """Yield decisions on the waiting requests in the order of service.

        A request without a decision keeps waiting. `contention` is the work waiting at all
        instances divided by the work waiting at this one.
        """
        pending_prefill_s: dict[str, float] = {}
        self.longest_wait_s = 0.0
        for item in self._queue.in_order(now):
            decision = self._decide(item.req_id, requests, pending_prefill_s, contention, now)
            if decision is not None:
                yield decision

    def plan_one(self, requests: WaitingRequests, req_id: int, now: float) -> Iterator[Decision]:
        """Yield the decision on one waiting request, as if it were the first in the queue."""
        decision = self._decide(req_id, requests, {}, 1.0, now)
        if decision is not None:
            yield decision

    def retry_after_s(self, wait_s: float) -> float:
        """Return the retry advice for a wait, with jitter so that callers do not retry in step."""
        jittered_s = wait_s * (1 + JITTER * self._rng.random())
        return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, jittered_s)), 2)

    def _decide(
        self,
        req_id: int,
        requests: WaitingRequests,
        pending_prefill_s: dict[str, float],
        contention: float,
        now: float,
    ) -> Decision | None:
        candidates = [
            _with_pending_wait(c, pending_prefill_s) for c in requests.candidates(req_id, now)
        ]
        if not candidates:
            return Unschedulable(req_id)
        chosen = choose(candidates)
        overrun_s = now + ESTIMATE_MARGIN * chosen.first_token_s - requests.deadline(req_id)
        if overrun_s > 0:
            fastest = min(candidates, key=_first_token_s)
            overrun_s = now + ESTIMATE_MARGIN * fastest.first_token_s - requests.deadline(req_id)
            if overrun_s > 0:
                return Reject(req_id, self.retry_after_s(overrun_s))
            chosen = fastest
        if chosen.permit_wait_s:
            pending_s = pending_prefill_s.get(PERMIT_LINE, 0.0)
            self.longest_wait_s = max(self.longest_wait_s, pending_s + chosen.permit_wait_s)
            pending_prefill_s[PERMIT_LINE] = pending_s + chosen.permit_wait_s
            return None
        endpoint = chosen.endpoint
        pending_s = pending_prefill_s.get(endpoint.name, 0.0)
        wait_s = endpoint.wait_s(requests.priority(req_id), now) + pending_s
        if pending_s == 0.0 and wait_s <= requests.max_endpoint_wait_s(req_id):
            return Start(req_id, chosen)
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        prefill_s = chosen.missing_tokens * endpoint.s_per_token(now)
        pending_prefill_s[endpoint.name] = pending_s + contention * prefill_s
        return None


def _with_pending_wait(candidate: Candidate, pending_prefill_s: dict[str, float]) -> Candidate:
    line = PERMIT_LINE if candidate.permit_wait_s else candidate.endpoint.name
    pending_s = pending_prefill_s.get(line, 0.0)
    if pending_s == 0.0:
        return candidate
    return replace(
        candidate,
        first_token_s=candidate.first_token_s + pending_s,
        cost_s=candidate.cost_s + pending_s,
    )


def _first_token_s(candidate: Candidate) -> float:
    return candidate.first_token_s
