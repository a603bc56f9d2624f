"""Check how endpoints are marked as leaving by reports, peers and the instance list."""

from __future__ import annotations

from rattangate.core.leaving import LeavingEndpoints


def test_mark_applies_to_its_incarnation_and_earlier_ones_only():
    marks = LeavingEndpoints()
    assert marks.mark("a", 5)
    assert marks.is_leaving("a", 4)
    assert marks.is_leaving("a", 5)
    assert not marks.is_leaving("a", 6)
    assert not marks.mark("a", 5)


def test_stale_instance_list_does_not_mark_a_restarted_endpoint():
    marks = LeavingEndpoints()
    assert marks.apply_instance_list({"a": "leaving"}, {"a": 5}) == ["a"]
    assert marks.apply_instance_list({"a": "leaving"}, {"a": 6}) == []
    assert not marks.is_leaving("a", 6)
    assert marks.apply_instance_list({"a": "live"}, {"a": 6}) == []
    assert marks.apply_instance_list({"a": "leaving"}, {"a": 6}) == ["a"]


def test_live_entry_in_the_instance_list_removes_no_mark():
    marks = LeavingEndpoints()
    marks.mark("a", 5)
    marks.apply_instance_list({"a": "live"}, {"a": 5})
    assert marks.is_leaving("a", 5)


def test_endpoint_listed_before_its_first_report_is_marked_after_it():
    marks = LeavingEndpoints()
    assert marks.apply_instance_list({"a": "leaving"}, {"a": 0}) == []
    assert marks.apply_instance_list({"a": "leaving"}, {"a": 5}) == ["a"]


def test_marks_are_merged_from_peers():
    marks, peer = LeavingEndpoints(), LeavingEndpoints()
    peer.mark("a", 5)
    assert marks.merge(peer.snapshot()) == ["a"]
    assert marks.merge(peer.snapshot()) == []
    assert marks.is_leaving("a", 5)
