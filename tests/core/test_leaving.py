"""Check the marks of leaving endpoints."""

from __future__ import annotations

from rattangate.core.leaving import LeavingMarks


def test_a_mark_holds_for_its_incarnation_and_older_ones_only():
    marks = LeavingMarks()
    assert marks.mark("a", 5)
    assert marks.is_leaving("a", 4)
    assert marks.is_leaving("a", 5)
    assert not marks.is_leaving("a", 6)
    assert not marks.mark("a", 5)


def test_a_late_list_does_not_mark_the_incarnation_that_came_back():
    marks = LeavingMarks()
    assert marks.mark_listed({"a": "leaving"}, {"a": 5}) == ["a"]
    assert marks.mark_listed({"a": "leaving"}, {"a": 6}) == []
    assert not marks.is_leaving("a", 6)
    assert marks.mark_listed({"a": "live"}, {"a": 6}) == []
    assert marks.mark_listed({"a": "leaving"}, {"a": 6}) == ["a"]


def test_a_live_entry_in_the_list_clears_nothing():
    marks = LeavingMarks()
    marks.mark("a", 5)
    marks.mark_listed({"a": "live"}, {"a": 5})
    assert marks.is_leaving("a", 5)


def test_an_endpoint_listed_before_it_was_seen_is_marked_when_seen():
    marks = LeavingMarks()
    assert marks.mark_listed({"a": "leaving"}, {"a": 0}) == []
    assert marks.mark_listed({"a": "leaving"}, {"a": 5}) == ["a"]


def test_marks_travel_between_instances():
    marks, peer = LeavingMarks(), LeavingMarks()
    peer.mark("a", 5)
    assert marks.mark_told(peer.news()) == ["a"]
    assert marks.mark_told(peer.news()) == []
    assert marks.is_leaving("a", 5)
