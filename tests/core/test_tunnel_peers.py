"""Instances without links spread over the peers that can serve them, and keep to one that works."""

from __future__ import annotations

from collections import Counter

from rattangate.core.tunnel_peers import FAILED_PEER_S, TunnelPeers

PEERS = {f"entry-{number}": "riverside" if number % 2 else "uptown" for number in range(200)}


def test_peers_in_the_data_centre_of_the_endpoint_come_first():
    ranked = TunnelPeers("entry-x").ranked(PEERS, "uptown", 0.0)
    assert len(ranked) == 200
    assert {PEERS[name] for name in ranked[:100]} == {"uptown"}


def test_the_instances_of_a_data_centre_spread_over_the_peers():
    firsts = Counter(
        TunnelPeers(f"cut-{number}").ranked(PEERS, "uptown", 0.0)[0] for number in range(150)
    )
    assert max(firsts.values()) <= 8
    assert len(firsts) > 50


def test_a_peer_that_failed_is_asked_last_for_a_while():
    peers = TunnelPeers("entry-x")
    first, second, *_ = peers.ranked(PEERS, "uptown", 10.0)
    peers.record_failure(first, 10.0)
    ranked = peers.ranked(PEERS, "uptown", 10.1)
    assert (ranked[0], ranked[-1]) == (second, first)
    assert peers.ranked(PEERS, "uptown", 10.0 + FAILED_PEER_S)[0] == first


def test_a_peer_that_is_gone_is_not_returned():
    peers = TunnelPeers("entry-x")
    peers.record_failure("entry-1", 0.0)
    assert peers.ranked({"entry-2": "uptown"}, "uptown", 0.1) == ["entry-2"]


def test_a_peer_that_is_leaving_is_asked_after_those_that_stay():
    peers = TunnelPeers("entry-x")
    peers.record_failure("entry-3", 0.0)
    names = {"entry-1": "uptown", "entry-2": "riverside", "entry-3": "uptown"}
    assert peers.ranked(names, "uptown", 0.1, {"entry-1"}) == ["entry-2", "entry-1", "entry-3"]
