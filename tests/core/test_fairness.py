"""Check the order and the bound of the fair queue, and the metering of workspaces."""

from __future__ import annotations

import pytest

from rattangate.core.fairness import BANDS, FairQueue, QueueItem, UsageMeter


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


def test_urgent_level_goes_first(queue):
    _fill(queue, (1, "large", 4), (2, "small", 0), (3, "large", 0))
    assert _order(queue) == [3, 2, 1]


def test_waiting_workspaces_share_by_weight(queue):
    _fill(queue, (1, "small", 0), (2, "small", 0), *((n, "large", 0) for n in (3, 4, 5, 6)))
    assert _order(queue) == [3, 1, 4, 5, 6, 2]


def test_peers_use_counts(queue):
    queue.meter.charge("large", 10_000, 0.0)
    _fill(queue, (1, "large", 0), (2, "small", 0))
    assert _order(queue) == [2, 1]


def test_full_queue_refuses_the_newest_of_the_heaviest(queue):
    refused = _fill(queue, *((n, "small", 0) for n in range(6)), (6, "large", 0))
    assert refused == [None] * 6 + [5]
    assert _fill(queue, (7, "small", 0)) == [7]
    assert len(queue) == 6


def test_full_queue_refuses_batch_work_before_urgent_work(queue):
    refused = _fill(queue, (0, "large", 4), *((n, "small", 0) for n in range(1, 7)))
    assert refused[-1] == 0


def test_removed_request_leaves_no_trace(queue):
    _fill(queue, (1, "small", 0))
    queue.remove(1)
    queue.remove(1)
    assert (len(queue), queue.queued_tokens, _order(queue)) == (0, 0, [])


def test_only_a_workspace_above_its_share_has_a_band():
    meter = UsageMeter({"a": 1.0, "b": 1.0, "tiny": 0.1})
    meter.charge("a", 0, -10.0)
    meter.charge("a", 1000, 0.0)
    meter.charge("b", 1000, 0.0)
    meter.charge("tiny", 150, 0.0)
    assert [meter.band(name, 0.0) for name in ("a", "b", "tiny", "new")] == [0, 0, 0, 0]
    meter.charge("tiny", 10_000, 0.0)
    assert meter.band("tiny", 0.0) == BANDS - 1
    meter.charge("a", 100_000, 200.0)
    assert meter.band("tiny", 200.0) == 0


def test_new_meter_judges_no_use():
    meter = UsageMeter({"a": 1.0, "b": 1.0, "c": 1.0})
    meter.charge("b", 10, 100.0)
    meter.charge("c", 10, 100.0)
    meter.charge("a", 1000, 100.0)
    assert meter.band("a", 104.9) == 0
    assert meter.band("a", 105.0) > 0
