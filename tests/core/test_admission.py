"""Check refusals on arrival and in the queue, workspaces above their share, and retries."""

from __future__ import annotations

import pytest

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    Dispatch,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    Refuse,
    RequestAbandoned,
    RequestArrived,
)
from rattangate.core.prefix import CacheScope
from rattangate.core.refusals import KINDS, RefusalReason
from rattangate.core.retries import RetryReason
from rattangate.errors import RunState


def _gateway(names=("a",), **scheduler):
    gateway = Gateway(GatewayCfg(4000, 1.0, scheduler=RequestSchedulerCfg(**scheduler)), seed=1)
    for name in names:
        gateway.handle(EndpointStatus(name, 1, "v1", EndpointState.LIVE, "m", 64), 0.0)
    return gateway


def _send(gateway, req_id, now=0.0, *, tokens=40_000, deadline=10.0, digest=b"", **fields):
    scope = CacheScope(fields.pop("workspace", "w"), "m", "", "v1")
    priority = fields.pop("priority", 0)
    req = RequestArrived(
        req_id, scope, (req_id,), tokens, 10, digest, priority, now + deadline, **fields
    )
    return gateway.handle(req, now)


def _refusal(effects):
    (effect,) = [effect for effect in effects if isinstance(effect, Refuse)]
    return effect


def test_unreachable_deadline_is_refused_on_arrival_with_retry_advice():
    gateway = _gateway()
    effects = []
    while not any(isinstance(effect, Refuse) for effect in effects):
        effects = _send(gateway, len(gateway.scheduler.active_requests))
    refusal = _refusal(effects)
    assert refusal.reason is RefusalReason.DEADLINE_ON_ARRIVAL
    assert refusal.failure.response.run_state is RunState.NOT_RUN
    assert 0.1 <= refusal.failure.retry_delay_s <= 5.0
    assert gateway.scheduler.limits.usage(0.0)[0].streams == len(gateway.scheduler.active_requests)


def test_reachable_deadline_is_admitted_by_a_loaded_endpoint():
    gateway = _gateway()
    for req_id in range(20):
        _send(gateway, req_id)
    (sent,) = _send(gateway, 99, deadline=100.0)
    assert isinstance(sent, Dispatch)


def test_queued_request_is_refused_once_its_deadline_is_unreachable():
    gateway = _gateway(max_endpoint_wait_s=0.0)
    _send(gateway, 1, tokens=100_000)
    assert _send(gateway, 2, deadline=4.0, priority=1) == []
    refusal = _refusal(_send(gateway, 3, now=0.1, tokens=100_000))
    assert (refusal.req_id, refusal.reason) == (2, RefusalReason.DEADLINE_IN_QUEUE)
    assert refusal.failure.response.run_state is RunState.NOT_RUN


def test_full_queue_refuses_a_request_at_once():
    gateway = _gateway(max_endpoint_wait_s=0.5, queue_bound=3)
    for req_id in range(4):
        _send(gateway, req_id, deadline=1000.0)
    refusal = _refusal(_send(gateway, 4, deadline=1000.0))
    assert refusal.reason is RefusalReason.QUEUE_FULL
    assert refusal.failure.retry_delay_s > 0


def test_workspace_above_its_share_waits_with_lower_priority():
    gateway = _gateway(workspaces=(WorkspaceLimit("w"), WorkspaceLimit("greedy")))
    gateway.scheduler.meter.charge("w", 0, -10.0)
    for workspace in ("w", "x", "y"):
        gateway.scheduler.meter.charge(workspace, 1000, 0.0)
    gateway.scheduler.meter.charge("greedy", 1_000_000, 0.0)
    (first,) = _send(gateway, 1, workspace="greedy")
    assert _send(gateway, 2, workspace="greedy") == []
    (other,) = _send(gateway, 3, workspace="w")
    assert other.priority < first.priority
    assert gateway.handle(FirstTokenSeen(1, 1, 0), 1.0) == []
    (dispatched,) = gateway.handle(FirstTokenSeen(3, 1, 0), 2.0)
    assert (dispatched.req_id, dispatched.priority) == (2, first.priority)


def test_abandoned_request_is_not_retried():
    gateway = _gateway(names=("a", "b"))
    _send(gateway, 1)
    gateway.handle(RequestAbandoned(1), 0.1)
    assert gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST), 0.2) == []
    assert gateway.scheduler.active_requests == {}


@pytest.mark.parametrize("digest", [b"", b"digest"])
def test_lost_non_idempotent_request_is_not_retried(digest):
    gateway = _gateway(names=("a", "b"))
    _send(gateway, 1, digest=digest, repeatable=False)
    refusal = _refusal(gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST), 0.1))
    assert refusal.reason is RefusalReason.NOT_REPEATABLE
    assert refusal.failure.response.run_state is RunState.MAY_HAVE_RUN


def test_empty_retry_budget_refuses_a_request_that_may_have_run():
    gateway = _gateway(names=("a", "b"))
    _send(gateway, 1)
    for budget in gateway.scheduler.retry_budgets.values():
        budget.tokens = 0.0
    refusal = _refusal(gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST), 0.1))
    assert refusal.reason is RefusalReason.RETRY_BUDGET_EMPTY
    assert refusal.failure.response.run_state is RunState.MAY_HAVE_RUN


def test_retry_has_a_reason_and_avoids_the_failed_endpoint():
    gateway = _gateway(names=("a", "b"))
    (first,) = _send(gateway, 1)
    (second,) = gateway.handle(AttemptEnded(1, 1, AttemptResult.NOT_SENT), 0.1)
    assert second.retry_reason is RetryReason.NOT_SENT
    assert {first.endpoint, second.endpoint} == {"a", "b"}
    (third,) = _send(gateway, 2, now=0.2)
    assert third.endpoint == second.endpoint


def test_every_refusal_reason_has_an_error_kind():
    assert set(KINDS) == set(RefusalReason)
