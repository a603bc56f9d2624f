"""Check placement, news, incarnations and retries of the gateway core."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.intake import IntakeCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.core.messages import (
    AttemptEnded,
    AttemptResult,
    CacheChanged,
    Dispatch,
    EndpointSeen,
    EndpointState,
    FirstTokenSeen,
    NewsReceived,
    PeerLost,
    Refuse,
    RequestArrived,
    SendNews,
    Tick,
    VersionedPieces,
)
from rattangate.core.prefix import Scope
from rattangate.errors import ErrorKind

WIDE = WorkspaceLimit("festival", max_streams=10_000)
EAGER = IntakeCfg(workspaces=(WIDE,), queue_bound=10_000, bind_wait_s=math.inf)
CFG = GatewayCfg(piece_tokens=4000, recompute_weight=1.0, intake=EAGER)
SCOPE = Scope("festival", "parking", "", "v1")


def _seen(name, incarnation=1, version="v1", state=EndpointState.LIVE, serves="parking"):
    return EndpointSeen(name, incarnation, version, state, serves, 64)


def _request(req_id, pieces, others=()):
    tokens = 4000 * len(pieces) + 100
    return RequestArrived(req_id, SCOPE, pieces, tokens, 100, b"", 0, 1e9, others)


@pytest.fixture
def gateway():
    gateway = Gateway(CFG, seed=1)
    for name in ("a", "b", "c"):
        gateway.handle(_seen(name), 0.0)
    return gateway


def _place(gateway, req_id, pieces, now):
    (effect,) = gateway.handle(_request(req_id, pieces), now)
    return effect


def _finish(gateway, req_id, now, cached=0, attempt=1):
    gateway.handle(FirstTokenSeen(req_id, attempt, cached), now)
    gateway.handle(AttemptEnded(req_id, attempt, AttemptResult.COMPLETED), now + 0.1)


def _news(gateway, instance, now):
    (sent,) = gateway.handle(Tick(), now)
    assert isinstance(sent, SendNews)
    return NewsReceived(instance, 1, sent.seq, sent.placements, sent.departures)


def test_repeated_prompt_returns_to_its_endpoint(gateway):
    pieces = tuple(range(10))
    first = _place(gateway, 1, pieces, 1.0)
    _finish(gateway, 1, 2.0)
    assert _place(gateway, 2, pieces, 3.0).endpoint == first.endpoint


def test_waiting_work_spreads_a_hot_prefix(gateway):
    pieces = tuple(range(10))
    used = {_place(gateway, req_id, pieces, 1.0).endpoint for req_id in range(2000)}
    assert used == {"a", "b", "c"}


def test_instances_without_a_picture_agree():
    choices = set()
    for seed in range(5):
        other = Gateway(CFG, seed)
        for name in ("c", "a", "b"):
            other.handle(_seen(name), 0.0)
        choices.add(_place(other, 1, (7, 8, 9), 1.0).endpoint)
    assert len(choices) == 1


def test_peer_placement_enters_picture_and_work(gateway):
    pieces = tuple(range(10))
    peer = Gateway(CFG, seed=2)
    peer.handle(_seen("b"), 0.0)
    _place(peer, 1, pieces, 1.0)
    gateway.handle(_news(peer, "peer", 1.1), 1.1)
    assert gateway.endpoints["b"].wait_s(0, 1.1) > 0.5
    _finish(peer, 1, 2.0)
    gateway.handle(_news(peer, "peer", 2.1), 2.1)
    assert gateway.endpoints["b"].wait_s(0, 2.1) == 0.0
    assert _place(gateway, 1, pieces, 3.0).endpoint == "b"


def test_repeated_news_counts_once(gateway):
    peer = Gateway(CFG, seed=2)
    peer.handle(_seen("b"), 0.0)
    _place(peer, 1, (1, 2), 1.0)
    news = _news(peer, "peer", 1.1)
    gateway.handle(news, 1.1)
    once = gateway.endpoints["b"].wait_s(0, 1.1)
    gateway.handle(news, 1.1)
    assert gateway.endpoints["b"].wait_s(0, 1.1) == once


def test_lost_peer_releases_its_work(gateway):
    peer = Gateway(CFG, seed=2)
    peer.handle(_seen("b"), 0.0)
    _place(peer, 1, (1, 2), 1.0)
    gateway.handle(_news(peer, "peer", 1.1), 1.1)
    gateway.handle(PeerLost("peer"), 1.2)
    assert gateway.endpoints["b"].wait_s(0, 1.2) == 0.0


@pytest.mark.parametrize("change", [{"incarnation": 2}, {"version": "v2"}])
def test_new_incarnation_or_version_drops_the_picture(gateway, change):
    pieces = tuple(range(10))
    name = _place(gateway, 1, pieces, 1.0).endpoint
    gateway.handle(_seen(name, **change), 2.0)
    assert gateway.endpoints[name].cache.cached(pieces) == 0


def test_late_messages_of_an_old_incarnation_are_ignored(gateway):
    gateway.handle(_seen("a", incarnation=2), 1.0)
    gateway.handle(CacheChanged("a", 1, 1, 1, (5,), ()), 1.1)
    gateway.handle(_seen("a", incarnation=1, state=EndpointState.DOWN), 1.2)
    assert gateway.endpoints["a"].cache.cached((5,)) == 0
    assert gateway.endpoints["a"].seen.state is EndpointState.LIVE


def test_leaving_never_clears_for_an_incarnation(gateway):
    for name in ("a", "b", "c"):
        gateway.handle(_seen(name, state=EndpointState.LEAVING), 1.0)
        gateway.handle(_seen(name), 1.1)
        gateway.handle(_seen(name, version="v2"), 1.2)
    refusal = _place(gateway, 1, (1,), 2.0)
    assert isinstance(refusal, Refuse)
    assert refusal.failure.kind is ErrorKind.NO_ENDPOINT
    gateway.handle(_seen("a", incarnation=2), 3.0)
    assert _place(gateway, 2, (1,), 3.0).endpoint == "a"


def test_only_endpoints_of_the_model_and_version_are_used(gateway):
    gateway.handle(_seen("a", incarnation=2, serves="catering"), 1.0)
    gateway.handle(_seen("b", version="v2"), 1.0)
    assert {_place(gateway, req_id, (1, 2), 1.0).endpoint for req_id in range(100)} == {"c"}


def test_other_version_is_placed_with_its_own_pieces(gateway):
    for name in ("a", "b", "c"):
        gateway.handle(_seen(name, version="v0"), 1.0)
    request = _request(1, (1, 2), (VersionedPieces("v0", (11, 12)),))
    (sent,) = gateway.handle(request, 2.0)
    assert sent.weights_version == "v0"
    assert gateway.endpoints[sent.endpoint].cache.cached((11, 12)) == 2
    assert gateway.endpoints[sent.endpoint].cache.cached((1, 2)) == 0
    assert gateway.weights_versions("parking") == ("v0",)


def test_lost_attempt_runs_elsewhere_and_then_is_refused(gateway):
    used = [_place(gateway, 1, (1, 2), 1.0).endpoint]
    for attempt in (1, 2):
        (sent,) = gateway.handle(AttemptEnded(1, attempt, AttemptResult.LOST), 2.0)
        assert isinstance(sent, Dispatch)
        assert sent.attempt == attempt + 1
        used.append(sent.endpoint)
    assert sorted(used) == ["a", "b", "c"]
    (refusal,) = gateway.handle(AttemptEnded(1, 3, AttemptResult.LOST), 3.0)
    assert refusal.failure.kind is ErrorKind.RETRIES_EXHAUSTED


def test_message_of_an_old_attempt_changes_nothing(gateway):
    first = _place(gateway, 1, (1, 2), 1.0)
    gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST), 2.0)
    assert gateway.handle(AttemptEnded(1, 1, AttemptResult.LOST), 2.1) == []
    assert gateway.handle(FirstTokenSeen(1, 1, 0), 2.1) == []
    assert gateway.endpoints[first.endpoint].wait_s(0, 2.1) == 0.0


def test_picture_survives_a_restart_by_snapshot(gateway):
    pieces = tuple(range(10))
    name = _place(gateway, 1, pieces, 1.0).endpoint
    restarted = Gateway(CFG, seed=9)
    for other in ("a", "b", "c"):
        restarted.handle(_seen(other), 5.0)
    for picture in gateway.pictures():
        restarted.handle(picture, 5.0)
    assert _place(restarted, 1, pieces, 5.1).endpoint == name


def test_a_begun_answer_continues_only_on_the_same_weights_version(gateway):
    gateway.handle(_seen("b", incarnation=2, version="v2"), 0.0)
    gateway.handle(_seen("c", incarnation=2, version="v2"), 0.0)
    request = _request(1, (1,), (VersionedPieces("v2", (2,)),))
    (first,) = gateway.handle(request, 1.0)
    while first.weights_version != "v1":
        lost = AttemptEnded(1, first.attempt, AttemptResult.LOST)
        (first,) = gateway.handle(lost, 1.0)
    begun = AttemptEnded(1, first.attempt, AttemptResult.LOST, completion_tokens=3)
    (effect,) = gateway.handle(begun, 2.0)
    assert isinstance(effect, Refuse)


def test_work_of_a_peer_whose_end_was_lost_does_not_hold_an_endpoint_for_busy():
    cfg = replace(CFG, peer_work_s=6.0)
    teller, hearer = Gateway(cfg, seed=1), Gateway(cfg, seed=2)
    for gateway in (teller, hearer):
        gateway.handle(_seen("a"), 0.0)
    teller.handle(_request(1, (1, 2)), 1.0)
    hearer.handle(_news(teller, "peer", 1.1), 1.1)
    own = _place(hearer, 7, (9,), 1.2)
    endpoint = hearer.endpoints["a"]
    assert len(endpoint.work) == 2
    hearer.handle(Tick(), 6.9)
    assert len(endpoint.work) == 2
    hearer.handle(Tick(), 8.1)
    assert list(endpoint.work) == [("", 1)]
    assert own.endpoint == "a"
