"""Tests of the states of peers as one instance tracks them."""

from __future__ import annotations

from rattangate.core.peer_registry import Greeting, PeerState, Roster


def make_status(incarnation=1, seq=0, leaving=False, config_version=0):
    return Greeting("b", incarnation, config_version, leaving, seq)


def test_peer_is_found_lost_after_the_timeout_and_found_again():
    roster = Roster(["b", "c"], lost_after_s=2.0)
    assert roster.hear(make_status(), 0.0).is_found
    assert not roster.hear(make_status(), 1.0).is_found
    assert roster.expire(3.0) == []
    assert roster.expire(3.1) == ["b"]
    assert roster.expire(3.2) == []
    assert roster.hear(make_status(), 4.0).is_found
    assert roster.count_heard() == 1


def test_status_of_an_older_incarnation_is_ignored():
    roster = Roster(["b"], 2.0)
    roster.hear(make_status(incarnation=2, config_version=7), 0.0)
    assert roster.hear(make_status(incarnation=1, config_version=6), 0.1).is_stale
    assert roster.peers["b"].config_version == 7


def test_missed_updates_are_counted_per_incarnation():
    roster = Roster(["b"], 2.0)
    assert roster.hear(make_status(seq=5), 0.0).lost_news == 0
    assert roster.hear(make_status(seq=6), 0.1).lost_news == 0
    assert roster.hear(make_status(), 0.2).lost_news == 0
    assert roster.hear(make_status(seq=9), 0.3).lost_news == 2
    assert roster.hear(make_status(incarnation=2, seq=1), 0.4).lost_news == 0


def test_leaving_is_reported_once_and_ends_the_live_state():
    roster = Roster(["b", "c"], 2.0)
    assert not roster.hear(make_status(), 0.0).is_newly_leaving
    assert roster.staying() == ["b"]
    assert roster.hear(make_status(leaving=True), 0.1).is_newly_leaving
    assert not roster.hear(make_status(leaving=True), 0.2).is_newly_leaving
    assert roster.staying() == []


def test_peer_that_was_never_heard_from_may_still_be_running():
    roster = Roster(["b"], 2.0)
    assert not roster.is_gone("b", 1)
    assert roster.is_gone("unknown", 1)
    roster.hear(make_status(incarnation=3), 0.0)
    assert roster.is_gone("b", 2)
    assert not roster.is_gone("b", 3)
    roster.expire(9.0)
    assert roster.is_gone("b", 3)


def test_reconfiguration_keeps_the_records_of_remaining_peers():
    roster = Roster(["b", "c"], 2.0)
    roster.hear(make_status(), 0.0)
    roster.configure(["b", "d"], 2.0)
    assert roster.peers["b"].state is PeerState.LIVE
    assert set(roster.peers) == {"b", "d"}


def test_report_of_a_third_instance_extends_the_deadline_of_a_peer():
    roster = Roster(("b", "c"), 2.0)
    assert roster.record_indirect_contact("b", 7, deadline=3.0)
    assert not roster.record_indirect_contact("b", 7, deadline=4.0)
    assert roster.staying() == ["b"]
    assert roster.expire(3.5) == []
    assert roster.expire(4.1) == ["b"]
    assert roster.record_indirect_contact("b", 7, deadline=8.0)


def test_report_of_a_third_instance_does_not_override_a_leaving_peer():
    roster = Roster(("b",), 2.0)
    roster.hear(Greeting("b", 7, 1, True, 1), 0.0)
    assert not roster.record_indirect_contact("b", 7, deadline=9.0)
    assert not roster.record_indirect_contact("b", 6, deadline=9.0)
    assert not roster.record_indirect_contact("unknown", 7, deadline=9.0)
    assert roster.staying() == []
    assert not roster.record_indirect_contact("b", 8, deadline=9.0)
    assert roster.staying() == ["b"]
