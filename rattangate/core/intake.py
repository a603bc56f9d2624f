"""Admit requests within the limits, queue them, and start, retry or refuse their attempts."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Protocol

from rattangate.core.active_requests import ActiveRequest, incarnation_key
from rattangate.core.admission import Admission, Reject, Start
from rattangate.core.doubts import Ejections
from rattangate.core.fairness import OVERUSE_LEVELS, FairQueue, QueueItem, UsageMeter
from rattangate.core.flights import InFlightDigests
from rattangate.core.limits import DEFAULT_MAX_STREAMS, WorkspaceLimits
from rattangate.core.messages import AttemptResult, CancelAttempt, LimitsUpdate, Refuse, Verdict
from rattangate.core.prefill_speed import DEFAULT_S_PER_TOKEN
from rattangate.core.quarantine import PROPAGATION_S
from rattangate.core.refusals import RefusalReason, make_failure
from rattangate.core.retries import RetryBudget, RetryReason, retry_reason
from rattangate.core.suspects import RefuseQuarantined, Requeue, StartTrial, Suspects

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.admission import Decision
    from rattangate.core.limits import WorkspaceLimit
    from rattangate.core.messages import (
        AttemptEnded,
        Dispatch,
        Effect,
        Evidence,
        Placement,
        RequestArrived,
    )
    from rattangate.core.placement import Candidate
    from rattangate.core.stream_history import StreamOrigin
    from rattangate.core.suspects import Step

# Failed attempts after which a request is refused instead of retried.
MAX_FAILURES = 3
# Added to the recompute weight for each overuse level of the workspace.
OVER_SHARE_RECOMPUTE_WEIGHT = 2.0
# A queue up to this length is scheduled at each event, a longer one at intervals.
SHORT_QUEUE_LENGTH = 8
PLAN_INTERVAL_S = 0.02
# Greater than every queue level of a request that is not late.
LATE_LEVEL_OFFSET = 1_000
# A waiting request is not demoted as late before this fraction of the time to its target.
MIN_ON_TIME_FRACTION = 0.25
# A peer's update tells of a stream's placement within this time.
STREAM_NEWS_S = 0.4


@dataclass(frozen=True, slots=True)
class RequestSchedulerCfg:
    """Hold the settings for limits, queue and retries of one instance.

    An endpoint with a wait of more than `max_endpoint_wait_s` seconds gets no further requests
    until the wait is shorter; for workspaces above their share, `max_endpoint_wait_over_share_s`
    applies instead.
    `queue_bound` limits the waiting requests, and `first_token_s` the time to the first token, in
    seconds. The retry budget of a model gains `retry_ratio` tokens with each request; it starts
    with `retry_slack` tokens and holds up to `retry_capacity`, both divided by `retry_shares`.
    `default_max_streams` limits the streams of a workspace without a limit of its own, over all
    instances. `can_cancel` says that running attempts can be cancelled.
    """

    instance: str = ""
    instances: int = 1
    workspaces: tuple[WorkspaceLimit, ...] = ()
    queue_bound: int = 64
    max_endpoint_wait_s: float = math.inf
    max_endpoint_wait_over_share_s: float = 0.0
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_capacity: float = 200.0
    retry_shares: int = 1
    default_max_streams: float = DEFAULT_MAX_STREAMS
    first_token_s: float = math.inf
    can_cancel: bool = False


class EndpointPool(Protocol):
    """Give access to the endpoints that the gateway tracks."""

    def candidates(self, request: ActiveRequest, now: float) -> list[Candidate]:
        """Return the endpoints that may run a request."""

    def backoff_s(self, request: ActiveRequest, now: float) -> float | None:
        """Return the seconds until the first endpoint ends its back-off, None if none backs off."""

    def stream_news(self, request: ActiveRequest, now: float) -> StreamOrigin | None:
        """Return the software that began a request's stream by the news of it."""

    def stream_origin(self, request: ActiveRequest, now: float) -> StreamOrigin | None:
        """Return the software that began a request's stream, None if it cannot be known.

        The news of the stream must have had the time to arrive.
        """

    def may_continue(self, request: ActiveRequest) -> bool:
        """Tell whether an answer that has begun may go on at an endpoint, now or after a pause."""

    def dispatch(self, request: ActiveRequest, chosen: Candidate, now: float) -> Dispatch:
        """Assign a request to an endpoint and return its dispatch."""

    def release(self, request: ActiveRequest, now: float) -> None:
        """Remove a request from its endpoint."""


class RequestScheduler:
    """Manage the active requests of one instance, from arrival to the final answer."""

    def __init__(self, cfg: RequestSchedulerCfg, seed: int, pool: EndpointPool) -> None:
        self.active_requests: dict[int, ActiveRequest] = {}
        self.limits = WorkspaceLimits(cfg.instances, cfg.workspaces, cfg.default_max_streams)
        self.meter = UsageMeter(self.limits.shares())
        self.queue = FairQueue(self.meter, cfg.queue_bound)
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.suspects = Suspects(cfg.instance, PROPAGATION_S if cfg.instances > 1 else 0.0)
        self.in_flight = InFlightDigests()
        self._admission = Admission(self.queue, random.Random(seed))
        self._cfg = cfg
        self._pool = pool
        self._peer_queued_tokens: dict[str, int] = {}
        self._ejections = Ejections()
        self._latest_starts: list[tuple[float, int]] = []
        self._next_plan_at = 0.0
        # When to refuse the requests that take up a stream of unknown software.
        self._unknown_streams: dict[int, float] = {}

    def configure(
        self, instances: int, workspaces: Iterable[WorkspaceLimit], first_token_s: float
    ) -> None:
        """Apply new limits, the number of entry instances and the maximum time to first token."""
        self._cfg = replace(self._cfg, first_token_s=first_token_s)
        self.limits.configure(instances, workspaces)
        self.meter.configure(self.limits.shares())

    def share_retries(self, shares: int) -> None:
        """Divide the capacity of the retry budgets by a number of instances."""
        if shares == self._cfg.retry_shares:
            return
        self._cfg = replace(self._cfg, retry_shares=shares)
        for budget in self.retry_budgets.values():
            budget.capacity = self._cfg.retry_capacity / shares
            budget.tokens = min(budget.tokens, budget.capacity)

    def arrive(self, req: RequestArrived, now: float) -> list[Effect]:
        """Admit a request, or refuse it at once."""
        self._budget_of(req).count_arrival(now)
        request = ActiveRequest(req, now, min(req.deadline, now + self._cfg.first_token_s))
        wait_s = self.suspects.quarantined_for_s(request, now)
        if wait_s is not None:
            return [_refusal(req.req_id, RefusalReason.QUARANTINED, wait_s)]
        denial = self.limits.admit(req.scope.workspace, req.prompt_tokens, now)
        if denial is not None:
            wait_s = self._admission.retry_after_s(denial.retry_after_s)
            return [_refusal(req.req_id, denial.reason, wait_s)]
        request.req = replace(req, priority=self._engine_priority(req, now))
        self.active_requests[req.req_id] = request
        if req.soft_deadline < math.inf:
            heapq.heappush(self._latest_starts, (self._latest_start(req, now), req.req_id))
        if not req.takes_up_stream:
            return self._enqueue(request, now)
        origin = self._pool.stream_news(request, now)
        if origin is None:
            self._unknown_streams[req.req_id] = now + STREAM_NEWS_S
            return []
        return self._enqueue_pinned(request, origin, now)

    def record_first_token(self, request: ActiveRequest, now: float) -> list[Effect]:
        """Record the first token of a request and use the capacity that its prefill occupied."""
        request.first_token_at = now
        self.suspects.parts.record_first_token(request, now)
        return self._schedule(now)

    def end_attempt(self, request: ActiveRequest, msg: AttemptEnded, now: float) -> list[Effect]:
        """Finish a request, retry it or refuse it."""
        if msg.result in (AttemptResult.COMPLETED, AttemptResult.CANCELLED):
            if msg.result is AttemptResult.COMPLETED:
                self._record_completed(request, now)
            self._forget(request, now)
            return self._schedule(now)
        assert request.placed_on is not None
        if msg.result not in (AttemptResult.REFUSED, AttemptResult.FAILED):
            self._ejections.eject(incarnation_key(request.placed_on), now)
        if msg.result is not AttemptResult.NOT_SENT:
            request.failures += 1
        if msg.result is AttemptResult.LOST:
            return self._end_lost(request, now)
        self._pool.release(request, now)
        if msg.result is AttemptResult.FAILED:
            request.may_have_run = True
            request.run_count += 1
            if not request.has_runs_left:
                return self._refuse(request, RefusalReason.ATTEMPTS_USED, now)
        return self._retry(request, retry_reason(msg.result, request.req.repeatable), now)

    def abandon(self, request: ActiveRequest, now: float) -> list[Effect]:
        """Remove a request that its caller cancelled."""
        self._forget(request, now)
        return self._schedule(now)

    def has_heard_from(self, instance: str) -> bool:
        """Tell whether a peer's update was applied since the peer was last lost."""
        return instance in self._peer_queued_tokens

    def apply_peer_update(self, instance: str, update: LimitsUpdate, now: float) -> list[Effect]:
        """Apply a peer's update on its usage of limits, its queue and its suspects."""
        self.limits.set_peer_usage(instance, update.usages)
        self._peer_queued_tokens[instance] = update.queued_tokens
        digests = self.suspects.apply_peer_update(instance, update, now)
        return self._hold_suspects(digests, now)

    def merge_evidence(self, evidence: Evidence, now: float) -> list[Effect]:
        """Apply all that a peer knows of failed and of good runs."""
        return self._hold_suspects(self.suspects.merge(evidence, now), now)

    def _hold_suspects(self, digests: Iterable[bytes], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for digest in digests:
            effects.extend(self._hold_copies(digest, now))
        return [*effects, *self._refuse_poisoned(now)]

    def take_placement(self, placement: Placement, now: float) -> None:
        """Charge a request that a peer dispatched to its workspace."""
        tokens = placement.prompt_tokens + placement.max_tokens
        self.meter.charge(placement.workspace, tokens, now)
        self.in_flight.record_sent(
            placement.digest, (placement.endpoint, placement.incarnation), now
        )

    def drop_peer(self, instance: str) -> None:
        """Forget the state reported by a lost peer."""
        self.limits.drop_peer(instance)
        self.suspects.drop_peer(instance)
        self._peer_queued_tokens.pop(instance, None)

    def has_urgent_update(self, last_sent: LimitsUpdate) -> bool:
        """Tell whether suspects changed since the last update to peers."""
        return self.suspects.has_unsent or self.suspects.claims() != last_sent.claims

    def make_peer_update(self, now: float) -> LimitsUpdate:
        """Return the update for peers."""
        return LimitsUpdate(
            self.limits.usage(now),
            self.queue.queued_tokens,
            self.suspects.quarantine.suspicions(now),
            self.suspects.claims(),
            self.suspects.parts.good_runs(now),
        )

    def tick(self, now: float) -> list[Effect]:
        """Remove expired state and schedule suspects and waiting requests."""
        self._demote_late(now)
        self.suspects.quarantine.expire(now)
        self.in_flight.expire(now)
        self._ejections.expire(now)
        self.suspects.parts.record_survivors(now)
        return [
            *self._refuse_poisoned(now),
            *self._resolve_streams(now),
            *self._advance_suspects(now),
            *self._schedule(now),
        ]

    # The methods of `WaitingRequests`

    def candidates(self, req_id: int, now: float) -> list[Candidate]:
        """Return the endpoints that may run a waiting request and to which it was not sent yet.

        While an identical request is in flight, only its endpoint is returned if it can meet the
        deadline.
        """
        request = self.active_requests[req_id]
        available = self._ejections.filter(self._pool.candidates(request, now), now)
        untried = [
            candidate
            for candidate in available
            if incarnation_key(candidate.endpoint) not in request.tried
        ]
        in_flight_on = self.in_flight.endpoint_of(request.digest, now)
        colocated = [
            candidate
            for candidate in untried
            if incarnation_key(candidate.endpoint) == in_flight_on
        ]
        in_time = [
            candidate for candidate in colocated if now + candidate.first_token_s < request.deadline
        ]
        return in_time or untried

    def deadline(self, req_id: int) -> float:
        """Return the deadline of the first token of a request."""
        return self.active_requests[req_id].deadline

    def priority(self, req_id: int) -> int:
        """Return the priority of a request."""
        return self.active_requests[req_id].req.priority

    def max_endpoint_wait_s(self, req_id: int) -> float:
        """Return the longest wait, in seconds, at an endpoint that still gets the request."""
        is_over_share = _overuse_level(self.active_requests[req_id]) > 0
        return (
            self._cfg.max_endpoint_wait_over_share_s
            if is_over_share
            else self._cfg.max_endpoint_wait_s
        )

    def extra_recompute_weight(self, request: ActiveRequest) -> float:
        """Return the extra recompute weight of a request whose workspace is above its share.

        The workspace then evicts the cached prefixes of others at fewer endpoints.
        """
        return OVER_SHARE_RECOMPUTE_WEIGHT * _overuse_level(request)

    def _latest_start(self, req: RequestArrived, now: float) -> float:
        """Return the latest time at which a request can be dispatched and still meet its target.

        After that it waits at the endpoint for up to `max_endpoint_wait_s` seconds and for its own
        prefill.
        """
        endpoint_s = self._cfg.max_endpoint_wait_s + req.prompt_tokens * DEFAULT_S_PER_TOKEN
        return max(
            req.soft_deadline - endpoint_s, now + MIN_ON_TIME_FRACTION * (req.soft_deadline - now)
        )

    def _demote_late(self, now: float) -> None:
        """Move waiting requests that can no longer meet their target behind those that can."""
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, req_id = heapq.heappop(self._latest_starts)
            request = self.active_requests.get(req_id)
            if request is None:
                continue
            request.is_late = True
            if req_id in self.queue:
                self.queue.remove(req_id)
                self.queue.push(_queue_item(request), now)

    def _enqueue(self, request: ActiveRequest, now: float) -> list[Effect]:
        """Queue an admitted request, or hold it back if it is not free of suspicion."""
        if self.suspects.quarantine.verdict_on(request.digest, now) is not Verdict.FREE:
            self.suspects.hold(request, now)
            return self._advance_suspects(now)
        evicted = self.queue.push(_queue_item(request), now)
        effects = self._schedule(now, request.req.req_id)
        if evicted is not None:
            wait_s = self._admission.retry_after_s(self._admission.longest_wait_s / 2)
            effects.extend(
                self._refuse(self.active_requests[evicted], RefusalReason.QUEUE_FULL, now, wait_s)
            )
        return effects

    def _resolve_streams(self, now: float) -> list[Effect]:
        """Queue the requests whose stream a peer has told of; refuse those that waited for long."""
        effects: list[Effect] = []
        for req_id, deadline in list(self._unknown_streams.items()):
            request = self.active_requests[req_id]
            is_due = now >= deadline
            find = self._pool.stream_origin if is_due else self._pool.stream_news
            origin = find(request, now)
            if origin is not None:
                del self._unknown_streams[req_id]
                effects.extend(self._enqueue_pinned(request, origin, now))
            elif is_due:
                effects.extend(self._refuse(request, RefusalReason.STREAM_UNKNOWN, now))
        return effects

    def _enqueue_pinned(
        self, request: ActiveRequest, origin: StreamOrigin, now: float
    ) -> list[Effect]:
        """Queue a request for the software that began its stream.

        Refuse it if that is of a service to which its route does not lead.
        """
        request.stream_origin = origin
        request.pinned_software = origin.software
        if origin.software.service != request.req.scope.model:
            return self._refuse(request, RefusalReason.STREAM_ELSEWHERE, now)
        return self._enqueue(request, now)

    def _schedule(self, now: float, arrived: int | None = None) -> list[Effect]:
        """Schedule the queue; a long one at intervals, and between them only a new request."""
        if len(self.queue) <= SHORT_QUEUE_LENGTH or now >= self._next_plan_at:
            self._next_plan_at = now + PLAN_INTERVAL_S
            return self._apply_decisions(self._admission.plan(self, self._contention(), now), now)
        if arrived is not None and arrived in self.queue:
            return self._apply_decisions(self._admission.plan_one(self, arrived, now), now)
        return []

    def _apply_decisions(self, decisions: Iterable[Decision], now: float) -> list[Effect]:
        effects: list[Effect] = []
        retries_ahead = 0
        for decision in decisions:
            request = self.active_requests[decision.req_id]
            if isinstance(decision, Reject):
                reason = request.deadline_reason(now)
                effects.extend(self._refuse(request, reason, now, decision.retry_after_s))
            elif not isinstance(decision, Start):
                effects.extend(self._refuse_unschedulable(request, now))
            elif request.retry_reason is None or self._budget_of(request.req).take():
                self.queue.remove(decision.req_id)
                effects.append(self._start(request, decision.chosen, now))
            else:
                effects.extend(self._await_retry_token(request, retries_ahead, now))
                retries_ahead += 1
        return effects

    def _await_retry_token(
        self, request: ActiveRequest, retries_ahead: int, now: float
    ) -> list[Effect]:
        """Keep a retry waiting, or refuse it if its budget has no token before the deadline."""
        wait_s = self._budget_of(request.req).wait_s(retries_ahead, now)
        if now + wait_s <= request.deadline:
            return []
        wait_s = self._admission.retry_after_s(wait_s)
        return self._refuse(request, RefusalReason.RETRY_BUDGET_EMPTY, now, wait_s)

    def _start(self, request: ActiveRequest, chosen: Candidate, now: float) -> Dispatch:
        req = request.req
        self.meter.charge(req.scope.workspace, req.prompt_tokens + req.max_tokens, now)
        request.placed_at = now
        request.first_token_at = None
        request.tried.add(incarnation_key(chosen.endpoint))
        self.in_flight.record_sent(request.digest, incarnation_key(chosen.endpoint), now)
        dispatch = self._pool.dispatch(request, chosen, now)
        request.retry_reason = None
        return dispatch

    def _end_lost(self, request: ActiveRequest, now: float) -> list[Effect]:
        assert request.placed_on is not None
        key = incarnation_key(request.placed_on)
        self._pool.release(request, now)
        request.may_have_run = True
        request.run_count += 1
        request.extend_deadline(now)
        self.in_flight.record_lost(request.digest)
        if not request.digest and request.has_runs_left:
            return self._retry(
                request, retry_reason(AttemptResult.LOST, request.req.repeatable), now
            )
        if request.digest:
            self.suspects.record_lost(request, key, now)
        if not request.req.repeatable:
            return self._refuse(request, RefusalReason.NOT_REPEATABLE, now)
        if not request.has_runs_left:
            return self._refuse(request, RefusalReason.ATTEMPTS_USED, now)
        if request.pinned_software is not None and not self._pool.may_continue(request):
            return self._refuse_unschedulable(request, now)
        request.retry_reason = RetryReason.SUSPECT_PROBED
        self.suspects.hold(request, now)
        return [*self._hold_copies(request.digest, now), *self._advance_suspects(now)]

    def _retry(
        self, request: ActiveRequest, reason: RetryReason | None, now: float
    ) -> list[Effect]:
        if reason is None:
            return self._refuse(request, RefusalReason.NOT_REPEATABLE, now)
        if request.failures >= MAX_FAILURES:
            return self._refuse_unschedulable(request, now)
        request.retry_reason = reason
        if self.suspects.is_in_trial(request):
            self.suspects.hold(request, now)
            return []
        self.queue.push_front(_queue_item(request))
        return self._schedule(now)

    def _hold_copies(self, digest: bytes, now: float) -> list[Effect]:
        """Hold the copies of a new suspect back; cancel attempts that run outside of a trial."""
        effects: list[Effect] = []
        for req_id, request in self.active_requests.items():
            if request.digest != digest or self.suspects.holds(request):
                continue
            if req_id in self._unknown_streams:
                continue
            if request.placed_on is not None and not self._cfg.can_cancel:
                continue
            if request.placed_on is not None:
                effects.append(CancelAttempt(req_id, request.attempt))
                request.attempt += 1
                request.may_have_run = True
                request.retry_reason = RetryReason.SUSPECT_WITHDRAWN
                request.extend_deadline(now)
                self._pool.release(request, now)
            self.queue.remove(req_id)
            self.suspects.hold(request, now)
        return effects

    def _advance_suspects(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for step in self.suspects.steps(partial(self._live_endpoints, now=now), now):
            effects.extend(self._apply_step(step, now))
        return effects

    def _apply_step(self, step: Step, now: float) -> list[Effect]:
        request = step.request
        if isinstance(step, StartTrial):
            return self._start_trial(request, step.endpoint, now)
        if isinstance(step, RefuseQuarantined):
            return self._refuse(request, RefusalReason.QUARANTINED, now, step.retry_after_s)
        if isinstance(step, Requeue):
            return self._requeue(request, now)
        return self._refuse(request, request.deadline_reason(now), now)

    def _start_trial(self, request: ActiveRequest, endpoint: str, now: float) -> list[Effect]:
        chosen = [
            candidate
            for candidate in self._pool.candidates(request, now)
            if candidate.endpoint.name == endpoint and not candidate.permit_wait_s
        ]
        if not chosen:
            return []
        if request.retry_reason is not None and not self._budget_of(request.req).take():
            return self._await_retry_token(request, 0, now)
        dispatch = self._start(request, chosen[0], now)
        self.suspects.begin_trial(request, now)
        return [dispatch]

    def _requeue(self, request: ActiveRequest, now: float) -> list[Effect]:
        self.suspects.discard(request, now)
        request.failures = 0
        self.queue.push_front(_queue_item(request))
        return []

    def _refuse_poisoned(self, now: float) -> list[Effect]:
        """Refuse the active requests with newly quarantined parts before they crash an endpoint."""
        effects: list[Effect] = []
        for entry in self.suspects.parts.judge(now):
            for request in list(self.active_requests.values()):
                if not entry.parts.issubset(request.req.parts):
                    continue
                if request.placed_on is not None:
                    effects.append(CancelAttempt(request.req.req_id, request.attempt))
                wait_s = entry.deadline - now
                effects.extend(self._refuse(request, RefusalReason.QUARANTINED, now, wait_s))
        return effects

    def _record_completed(self, request: ActiveRequest, now: float) -> None:
        self.suspects.record_completed(request, now)
        if request.digest:
            self.in_flight.record_completed(request.digest)

    def _refuse(
        self,
        request: ActiveRequest,
        reason: RefusalReason,
        now: float,
        retry_after_s: float | None = None,
    ) -> list[Effect]:
        self._forget(request, now)
        return [_refusal(request.req.req_id, reason, retry_after_s)]

    def _refuse_unschedulable(self, request: ActiveRequest, now: float) -> list[Effect]:
        """Refuse a request that no endpoint takes; advise a retry when the first back-off ends."""
        backoff_s = self._pool.backoff_s(request, now)
        wait_s = None if backoff_s is None else self._admission.retry_after_s(backoff_s)
        return self._refuse(request, request.no_endpoint_reason(), now, wait_s)

    def _forget(self, request: ActiveRequest, now: float) -> None:
        del self.active_requests[request.req.req_id]
        self._pool.release(request, now)
        self.queue.remove(request.req.req_id)
        self._unknown_streams.pop(request.req.req_id, None)
        self.suspects.discard(request, now)
        self.limits.release(request.req.scope.workspace, now)

    def _budget_of(self, req: RequestArrived) -> RetryBudget:
        """Return the retry budget of a model or service, so that none spends another's tokens."""
        name = req.scope.model
        if name not in self.retry_budgets:
            cfg = self._cfg
            self.retry_budgets[name] = RetryBudget(
                cfg.retry_ratio,
                cfg.retry_capacity / cfg.retry_shares,
                cfg.retry_slack / cfg.retry_shares,
            )
        return self.retry_budgets[name]

    def _engine_priority(self, req: RequestArrived, now: float) -> int:
        """Order requests by the caller's priority, then by the overuse level of the workspace."""
        return OVERUSE_LEVELS * max(0, req.priority) + self.meter.overuse_level(
            req.scope.workspace, now
        )

    def _contention(self) -> float:
        local_tokens = max(1, self.queue.queued_tokens)
        return (local_tokens + sum(self._peer_queued_tokens.values())) / local_tokens

    def _live_endpoints(self, request: ActiveRequest, now: float) -> list[str]:
        available = self._ejections.filter(self._pool.candidates(request, now), now)
        return [candidate.endpoint.name for candidate in available if not candidate.permit_wait_s]


def _queue_item(request: ActiveRequest) -> QueueItem:
    req = request.req
    tokens = req.prompt_tokens + req.max_tokens
    level = req.priority + (LATE_LEVEL_OFFSET if request.is_late else 0)
    return QueueItem(req.req_id, req.scope.workspace, level, tokens)


def _overuse_level(request: ActiveRequest) -> int:
    return request.req.priority % OVERUSE_LEVELS


def _refusal(req_id: int, reason: RefusalReason, retry_after_s: float | None = None) -> Refuse:
    return Refuse(req_id, make_failure(reason, retry_after_s), reason)
