"""Check how endpoints are marked as leaving by reports, peers and the instance list."""

from __future__ import annotations

from rattangate.core.leaving import LeavingMarks


def test_mark_applies_to_its_incarnation_and_earlier_ones_only():
    marks = LeavingMarks()
    assert marks.mark("a", 5)
    assert marks.is_leaving("a", 4)
    assert marks.is_leaving("a", 5)
    assert not marks.is_leaving("a", 6)
    assert not marks.mark("a", 5)


def test_stale_instance_list_does_not_mark_a_restarted_endpoint():
    marks = LeavingMarks()
    assert marks.mark_listed({"a": "leaving"}, {"a": 5}) == ["a"]
    assert marks.mark_listed({"a": "leaving"}, {"a": 6}) == []
    assert not marks.is_leaving("a", 6)
    assert marks.mark_listed({"a": "live"}, {"a": 6}) == []
    assert marks.mark_listed({"a": "leaving"}, {"a": 6}) == ["a"]


def test_live_entry_in_the_instance_list_removes_no_mark():
    marks = LeavingMarks()
    marks.mark("a", 5)
    marks.mark_listed({"a": "live"}, {"a": 5})
    assert marks.is_leaving("a", 5)


def test_endpoint_listed_before_its_first_report_is_marked_after_it():
    marks = LeavingMarks()
    assert marks.mark_listed({"a": "leaving"}, {"a": 0}) == []
    assert marks.mark_listed({"a": "leaving"}, {"a": 5}) == ["a"]


def test_marks_are_merged_from_peers():
    marks, peer = LeavingMarks(), LeavingMarks()
    peer.mark("a", 5)
    assert marks.mark_told(peer.news()) == ["a"]
    assert marks.mark_told(peer.news()) == []
    assert marks.is_leaving("a", 5)
