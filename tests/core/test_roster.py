"""Tests of the states of peers as one instance tracks them."""

from __future__ import annotations

from rattangate.core.peer_registry import PeerRegistry, PeerState, PeerStatus


def make_status(incarnation=1, seq=0, leaving=False, config_version=0):
    return PeerStatus("b", incarnation, config_version, leaving, seq)


def test_peer_is_found_lost_after_the_timeout_and_found_again():
    peer_registry = PeerRegistry(["b", "c"], lost_after_s=2.0)
    assert peer_registry.record_status(make_status(), 0.0).is_found
    assert not peer_registry.record_status(make_status(), 1.0).is_found
    assert peer_registry.expire(3.0) == []
    assert peer_registry.expire(3.1) == ["b"]
    assert peer_registry.expire(3.2) == []
    assert peer_registry.record_status(make_status(), 4.0).is_found
    assert peer_registry.count_reachable() == 1


def test_status_of_an_older_incarnation_is_ignored():
    peer_registry = PeerRegistry(["b"], 2.0)
    peer_registry.record_status(make_status(incarnation=2, config_version=7), 0.0)
    assert peer_registry.record_status(make_status(incarnation=1, config_version=6), 0.1).is_stale
    assert peer_registry.peers["b"].config_version == 7


def test_missed_updates_are_counted_per_incarnation():
    peer_registry = PeerRegistry(["b"], 2.0)
    assert peer_registry.record_status(make_status(seq=5), 0.0).missed_updates == 0
    assert peer_registry.record_status(make_status(seq=6), 0.1).missed_updates == 0
    assert peer_registry.record_status(make_status(), 0.2).missed_updates == 0
    assert peer_registry.record_status(make_status(seq=9), 0.3).missed_updates == 2
    assert peer_registry.record_status(make_status(incarnation=2, seq=1), 0.4).missed_updates == 0


def test_leaving_is_reported_once_and_ends_the_live_state():
    peer_registry = PeerRegistry(["b", "c"], 2.0)
    assert not peer_registry.record_status(make_status(), 0.0).is_newly_leaving
    assert peer_registry.live_names() == ["b"]
    assert peer_registry.record_status(make_status(leaving=True), 0.1).is_newly_leaving
    assert not peer_registry.record_status(make_status(leaving=True), 0.2).is_newly_leaving
    assert peer_registry.live_names() == []


def test_peer_that_was_never_heard_from_may_still_be_running():
    peer_registry = PeerRegistry(["b"], 2.0)
    assert not peer_registry.is_gone("b", 1)
    assert peer_registry.is_gone("unknown", 1)
    peer_registry.record_status(make_status(incarnation=3), 0.0)
    assert peer_registry.is_gone("b", 2)
    assert not peer_registry.is_gone("b", 3)
    peer_registry.expire(9.0)
    assert peer_registry.is_gone("b", 3)


def test_reconfiguration_keeps_the_records_of_remaining_peers():
    peer_registry = PeerRegistry(["b", "c"], 2.0)
    peer_registry.record_status(make_status(), 0.0)
    peer_registry.configure(["b", "d"], 2.0)
    assert peer_registry.peers["b"].state is PeerState.LIVE
    assert set(peer_registry.peers) == {"b", "d"}


def test_report_of_a_third_instance_extends_the_deadline_of_a_peer():
    peer_registry = PeerRegistry(("b", "c"), 2.0)
    assert peer_registry.record_indirect_contact("b", 7, deadline=3.0, now=1.0)
    assert not peer_registry.record_indirect_contact("b", 7, deadline=4.0, now=1.0)
    assert peer_registry.live_names() == ["b"]
    assert peer_registry.expire(3.5) == []
    assert peer_registry.expire(4.1) == ["b"]
    assert peer_registry.record_indirect_contact("b", 7, deadline=8.0, now=1.0)


def test_report_of_a_third_instance_does_not_override_a_leaving_peer():
    peer_registry = PeerRegistry(("b",), 2.0)
    peer_registry.record_status(PeerStatus("b", 7, 1, True, 1), 0.0)
    assert not peer_registry.record_indirect_contact("b", 7, deadline=9.0, now=1.0)
    assert not peer_registry.record_indirect_contact("b", 6, deadline=9.0, now=1.0)
    assert not peer_registry.record_indirect_contact("unknown", 7, deadline=9.0, now=1.0)
    assert peer_registry.live_names() == []
    assert not peer_registry.record_indirect_contact("b", 8, deadline=9.0, now=1.0)
    assert peer_registry.live_names() == ["b"]
