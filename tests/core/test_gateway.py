"""Check placement, peer updates, incarnations and retries of the gateway core."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CacheChanged,
    Dispatch,
    EndpointState,
    EndpointStatus,
    FirstTokenSeen,
    PeerLost,
    PeerUpdateReceived,
    Refuse,
    RequestArrived,
    SendPeerUpdate,
    Tick,
    VersionedBlocks,
)
from rattangate.core.prefix import CacheScope
from rattangate.errors import ErrorKind

UNLIMITED_WORKSPACE = WorkspaceLimit("festival", max_streams=10_000)
UNLIMITED_SCHEDULER = RequestSchedulerCfg(
    workspaces=(UNLIMITED_WORKSPACE,), queue_bound=10_000, max_endpoint_wait_s=math.inf
)
CFG = GatewayCfg(block_tokens=4000, recompute_weight=1.0, scheduler=UNLIMITED_SCHEDULER)
SCOPE = CacheScope("festival", "parking", "", "v1")


def _endpoint_seen(name, incarnation=1, version="v1", state=EndpointState.LIVE, serves="parking"):
    return EndpointStatus(name, incarnation, version, state, serves, 64)


def _request(req_id, blocks, others=()):
    tokens = 4000 * len(blocks) + 100
    return RequestArrived(req_id, SCOPE, blocks, tokens, 100, b"", 0, 1e9, others)


@pytest.fixture
def gateway():
    gateway = Gateway(CFG, seed=1)
    for name in ("a", "b", "c"):
        gateway.handle(_endpoint_seen(name), 0.0)
    return gateway


def _place(gateway, req_id, blocks, now):
    (effect,) = gateway.handle(_request(req_id, blocks), now)
    return effect


def _finish(gateway, req_id, now, cached=0, attempt=1):
    gateway.handle(FirstTokenSeen(req_id, attempt, cached), now)
    gateway.handle(AttemptEnded(req_id, attempt, AttemptResult.COMPLETED), now + 0.1)


def _peer_update(gateway, instance, now):
    (sent,) = gateway.handle(Tick(), now)
    assert isinstance(sent, SendPeerUpdate)
    return PeerUpdateReceived(instance, 1, sent.seq, sent.placements, sent.releases)


def test_repeated_prompt_is_placed_on_the_endpoint_that_cached_it(gateway):
    blocks = tuple(range(10))
    first = _place(gateway, 1, blocks, 1.0)
    _finish(gateway, 1, 2.0)
    assert _place(gateway, 2, blocks, 3.0).endpoint == first.endpoint


def test_hot_prefix_is_spread_over_all_endpoints_under_load(gateway):
    blocks = tuple(range(10))
    used = {_place(gateway, req_id, blocks, 1.0).endpoint for req_id in range(2000)}
    assert used == {"a", "b", "c"}


def test_instances_choose_the_same_endpoint_for_an_uncached_prompt():
    choices = set()
    for seed in range(5):
        other = Gateway(CFG, seed)
        for name in ("c", "a", "b"):
            other.handle(_endpoint_seen(name), 0.0)
        choices.add(_place(other, 1, (7, 8, 9), 1.0).endpoint)
    assert len(choices) == 1


def test_placement_of_a_peer_updates_the_predicted_cache_and_the_queue(gateway):
    blocks = tuple(range(10))
    peer = Gateway(CFG, seed=2)
    peer.handle(_endpoint_seen("b"), 0.0)
    _place(peer, 1, blocks, 1.0)
    gateway.handle(_peer_update(peer, "peer", 1.1), 1.1)
    assert gateway.endpoints["b"].wait_s(0, 1.1) > 0.5
    _finish(peer, 1, 2.0)
    gateway.handle(_peer_update(peer, "peer", 2.1), 2.1)
    assert gateway.endpoints["b"].wait_s(0, 2.1) == 0.0
    assert _place(gateway, 1, blocks, 3.0).endpoint == "b"


def test_duplicate_peer_update_is_applied_once(gateway):
    peer = Gateway(CFG, seed=2)
    peer.handle(_endpoint_seen("b"), 0.0)
    _place(peer, 1, (1, 2), 1.0)
    update = _peer_update(peer, "peer", 1.1)
    gateway.handle(update, 1.1)
    wait_s = gateway.endpoints["b"].wait_s(0, 1.1)
    gateway.handle(update, 1.1)
    assert gateway.endpoints["b"].wait_s(0, 1.1) == wait_s


def test_requests_of_a_lost_peer_are_removed_from_the_queue(gateway):
    peer = Gateway(CFG, seed=2)
    peer.handle(_endpoint_seen("b"), 0.0)
    _place(peer, 1, (1, 2), 1.0)
    gateway.handle(_peer_update(peer, "peer", 1.1), 1.1)
    gateway.handle(PeerLost("peer"), 1.2)
    assert gateway.endpoints["b"].wait_s(0, 1.2) == 0.0


@pytest.mark.parametrize("change", [{"incarnation": 2}, {"version": "v2"}])
def test_new_incarnation_or_weights_version_clears_the_predicted_cache(gateway, change):
    blocks = tuple(range(10))
    name = _place(gateway, 1, blocks, 1.0).endpoint
    gateway.handle(_endpoint_seen(name, **change), 2.0)
    assert gateway.endpoints[name].cache.count_cached(blocks) == 0


def test_delayed_messages_of_an_old_incarnation_are_ignored(gateway):
    gateway.handle(_endpoint_seen("a", incarnation=2), 1.0)
    gateway.handle(CacheChanged("a", 1, 1, 1, (5,), ()), 1.1)
    gateway.handle(_endpoint_seen("a", incarnation=1, state=EndpointState.DOWN), 1.2)
    assert gateway.endpoints["a"].cache.count_cached((5,)) == 0
    assert gateway.endpoints["a"].status.state is EndpointState.LIVE


def test_leaving_is_final_for_an_incarnation(gateway):
    for name in ("a", "b", "c"):
        gateway.handle(_endpoint_seen(name, state=EndpointState.LEAVING), 1.0)
        gateway.handle(_endpoint_seen(name), 1.1)
        gateway.handle(_endpoint_seen(name, version="v2"), 1.2)
    refusal = _place(gateway, 1, (1,), 2.0)
    assert isinstance(refusal, Refuse)
    assert refusal.failure.kind is ErrorKind.NO_ENDPOINT
    gateway.handle(_endpoint_seen("a", incarnation=2), 3.0)
    assert _place(gateway, 2, (1,), 3.0).endpoint == "a"


def test_only_endpoints_with_the_requested_model_and_weights_version_are_used(gateway):
    gateway.handle(_endpoint_seen("a", incarnation=2, serves="catering"), 1.0)
    gateway.handle(_endpoint_seen("b", version="v2"), 1.0)
    assert {_place(gateway, req_id, (1, 2), 1.0).endpoint for req_id in range(100)} == {"c"}


def test_request_on_another_weights_version_uses_the_block_hashes_of_that_version(gateway):
    for name in ("a", "b", "c"):
        gateway.handle(_endpoint_seen(name, version="v0"), 1.0)
    request = _request(1, (1, 2), (VersionedBlocks("v0", (11, 12)),))
    (sent,) = gateway.handle(request, 2.0)
    assert sent.weights_version == "v0"
    assert gateway.endpoints[sent.endpoint].cache.count_cached((11, 12)) == 2
    assert gateway.endpoints[sent.endpoint].cache.count_cached((1, 2)) == 0
    assert gateway.weights_versions("parking") == ("v0",)


def test_lost_attempt_is_retried_on_each_endpoint_and_then_refused(gateway):
    used = [_place(gateway, 1, (1, 2), 1.0).endpoint]
    for attempt in (1, 2):
        (sent,) = gateway.handle(AttemptEnded(1, attempt, AttemptResult.LOST), 2.0)
        assert isinstance(sent, Dispatch)
        assert sent.attempt == attempt + 1
        used.append(sent.endpoint)
    assert sorted(used) == ["a", "b", "c"]
    (refusal,) = gateway.handle(AttemptEnded(1, 3, AttemptResult.LOST), 3.0)
    assert refusal.failure.kind is ErrorKind.RETRIES_EXHAUSTED


def test_messages_of_an_earlier_attempt_are_ignored(gateway):
    first = _place(gateway, 1, (1, 2), 1.0)
    gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST), 2.0)
    assert gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST), 2.1) == []
    assert gateway.handle(FirstTokenSeen(1, 1, 0), 2.1) == []
    assert gateway.endpoints[first.endpoint].wait_s(0, 2.1) == 0.0


def test_predicted_cache_is_restored_from_a_snapshot_after_a_restart(gateway):
    blocks = tuple(range(10))
    name = _place(gateway, 1, blocks, 1.0).endpoint
    restarted = Gateway(CFG, seed=9)
    for other in ("a", "b", "c"):
        restarted.handle(_endpoint_seen(other), 5.0)
    for snapshot in gateway.cache_contents():
        restarted.handle(snapshot, 5.0)
    assert _place(restarted, 1, blocks, 5.1).endpoint == name


def test_partial_response_is_resumed_only_on_the_same_weights_version(gateway):
    gateway.handle(_endpoint_seen("b", incarnation=2, version="v2"), 0.0)
    gateway.handle(_endpoint_seen("c", incarnation=2, version="v2"), 0.0)
    request = _request(1, (1,), (VersionedBlocks("v2", (2,)),))
    (first,) = gateway.handle(request, 1.0)
    while first.weights_version != "v1":
        lost = AttemptEnded(1, first.attempt, AttemptResult.LOST)
        (first,) = gateway.handle(lost, 1.0)
    partial = AttemptEnded(1, first.attempt, AttemptResult.LOST, completion_tokens=3)
    (effect,) = gateway.handle(partial, 2.0)
    assert isinstance(effect, Refuse)


def test_request_of_a_peer_expires_if_the_report_of_its_end_was_lost():
    cfg = replace(CFG, peer_request_timeout_s=6.0)
    sender, receiver = Gateway(cfg, seed=1), Gateway(cfg, seed=2)
    for gateway in (sender, receiver):
        gateway.handle(_endpoint_seen("a"), 0.0)
    sender.handle(_request(1, (1, 2)), 1.0)
    receiver.handle(_peer_update(sender, "peer", 1.1), 1.1)
    dispatch = _place(receiver, 7, (9,), 1.2)
    endpoint = receiver.endpoints["a"]
    assert len(endpoint.pending) == 2
    receiver.handle(Tick(), 6.9)
    assert len(endpoint.pending) == 2
    receiver.handle(Tick(), 8.1)
    assert list(endpoint.pending) == [("", 1)]
    assert dispatch.endpoint == "a"
