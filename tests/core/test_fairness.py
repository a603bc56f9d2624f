"""Check the order and the bound of the fair queue, and the metering of workspaces."""

from __future__ import annotations

import pytest

from rattangate.core.fairness import OVERUSE_LEVELS, FairQueue, QueueItem, UsageMeter


@pytest.fixture
def queue():
    return FairQueue(UsageMeter({"large": 3.0, "small": 1.0}), bound=6)


def _fill(queue, *items):
    return [
        queue.push(QueueItem(req_id, workspace, level, 100), 0.0)
        for req_id, workspace, level in items
    ]


def _order(queue, now=0.0):
    return [item.req_id for item in queue.in_order(now)]


def test_lower_level_is_served_first(queue):
    _fill(queue, (1, "large", 4), (2, "small", 0), (3, "large", 0))
    assert _order(queue) == [3, 2, 1]


def test_workspaces_are_served_in_proportion_to_their_shares(queue):
    _fill(queue, (1, "small", 0), (2, "small", 0), *((n, "large", 0) for n in (3, 4, 5, 6)))
    assert _order(queue) == [3, 1, 4, 5, 6, 2]


def test_usage_charged_by_peers_counts(queue):
    queue.meter.charge("large", 10_000, 0.0)
    _fill(queue, (1, "large", 0), (2, "small", 0))
    assert _order(queue) == [2, 1]


def test_full_queue_evicts_the_newest_request_of_the_most_loaded_workspace(queue):
    evicted = _fill(queue, *((n, "small", 0) for n in range(6)), (6, "large", 0))
    assert evicted == [None] * 6 + [5]
    assert _fill(queue, (7, "small", 0)) == [7]
    assert len(queue) == 6


def test_full_queue_evicts_the_least_urgent_level_first(queue):
    evicted = _fill(queue, (0, "large", 4), *((n, "small", 0) for n in range(1, 7)))
    assert evicted[-1] == 0


def test_request_can_be_removed_twice(queue):
    _fill(queue, (1, "small", 0))
    queue.remove(1)
    queue.remove(1)
    assert (len(queue), queue.queued_tokens, _order(queue)) == (0, 0, [])


def test_only_a_workspace_above_its_share_has_an_overuse_level():
    meter = UsageMeter({"a": 1.0, "b": 1.0, "tiny": 0.1})
    meter.charge("a", 0, -10.0)
    meter.charge("a", 1000, 0.0)
    meter.charge("b", 1000, 0.0)
    meter.charge("tiny", 150, 0.0)
    assert [meter.overuse_level(name, 0.0) for name in ("a", "b", "tiny", "new")] == [0, 0, 0, 0]
    meter.charge("tiny", 10_000, 0.0)
    assert meter.overuse_level("tiny", 0.0) == OVERUSE_LEVELS - 1
    meter.charge("a", 100_000, 200.0)
    assert meter.overuse_level("tiny", 200.0) == 0


def test_overuse_level_is_zero_until_the_meter_has_run_long_enough():
    meter = UsageMeter({"a": 1.0, "b": 1.0, "c": 1.0})
    meter.charge("b", 10, 100.0)
    meter.charge("c", 10, 100.0)
    meter.charge("a", 1000, 100.0)
    assert meter.overuse_level("a", 104.9) == 0
    assert meter.overuse_level("a", 105.0) > 0
