"""A bounded queue with weighted fair queueing of workspaces within each priority level."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

# Time constant of the exponential decay of usage.
USAGE_WINDOW_S = 20.0
OVERUSE_LEVELS = 4
# Each overuse level is this many times the usage of the one below.
OVERUSE_FACTOR = 2.0
# A workspace may use this fraction of all work, however small its share is.
MIN_FAIR_FRACTION = 0.1
# No workspace counts as above its share before the meter has run for this time.
MIN_METERED_S = 5.0


@dataclass(frozen=True, slots=True)
class QueueItem:
    """Describe one waiting request; a lower `level` is served first.

    `work_tokens` is the work charged to the workspace: prompt tokens and maximum completion tokens.
    """

    req_id: int
    workspace: str
    level: int
    work_tokens: int


class UsageMeter:
    """Meter the recent work of each workspace that this instance and its peers dispatched."""

    def __init__(self, shares: Mapping[str, float] | None = None) -> None:
        self._shares = dict(shares or {})
        self._used: dict[str, tuple[float, float]] = {}
        self._total = (0.0, 0.0)
        self._active_shares = 0.0
        self._metered_since = math.inf

    def configure(self, shares: Mapping[str, float]) -> None:
        """Apply new shares."""
        self._shares = dict(shares)
        self._active_shares = sum(self.share(name) for name in self._used)

    def share(self, workspace: str) -> float:
        """Return the share of a workspace, which is its weight in fair queueing (1 by default)."""
        return max(1e-6, self._shares.get(workspace, 1.0))

    def charge(self, workspace: str, tokens: float, now: float) -> None:
        """Charge dispatched work to a workspace."""
        if workspace not in self._used:
            self._active_shares += self.share(workspace)
        self._metered_since = min(self._metered_since, now)
        self._used[workspace] = (self.used(workspace, now) + tokens, now)
        self._total = (_decay(self._total, now) + tokens, now)

    def used(self, workspace: str, now: float) -> float:
        """Return the recent work of a workspace in tokens, decayed exponentially with its age."""
        return _decay(self._used.get(workspace, (0.0, now)), now)

    def normalized_usage(self, workspace: str, now: float) -> float:
        """Return the recent work of a workspace divided by its share."""
        return self.used(workspace, now) / self.share(workspace)

    def overuse_level(self, workspace: str, now: float) -> int:
        """Return how far a workspace is above its share, from 0 to `OVERUSE_LEVELS` - 1.

        Each level is a doubling. Usage below `MIN_FAIR_FRACTION` of all work is never above the
        share, and every workspace is at level 0 until the meter has run for `MIN_METERED_S`
        seconds.
        """
        if now - self._metered_since < MIN_METERED_S:
            return 0
        total = _decay(self._total, now)
        fraction = self.share(workspace) / max(self._active_shares, self.share(workspace))
        fair_tokens = total * max(MIN_FAIR_FRACTION, fraction)
        used = self.used(workspace, now)
        overuse_level = 0
        while overuse_level < OVERUSE_LEVELS - 1 and used > fair_tokens * OVERUSE_FACTOR ** (
            overuse_level + 1
        ):
            overuse_level += 1
        return overuse_level


class FairQueue:
    """Hold waiting requests; the most urgent level is served first.

    Within a level, the workspace with the least recent work in relation to its share is served
    first.
    """

    def __init__(self, meter: UsageMeter, bound: int) -> None:
        self.meter = meter
        self.bound = bound
        self._levels: dict[int, dict[str, deque[QueueItem]]] = {}
        self._items: dict[int, QueueItem] = {}
        self.queued_tokens = 0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, req_id: int) -> bool:
        return req_id in self._items

    def push(self, item: QueueItem, now: float) -> int | None:
        """Add a request; return the one evicted if the queue was full, which may be the same."""
        self._add(item, at_front=False)
        if len(self._items) <= self.bound:
            return None
        evicted = self._choose_evicted(now)
        self.remove(evicted)
        return evicted

    def push_front(self, item: QueueItem) -> None:
        """Return a request to the head of its workspace's queue, even if the queue is full."""
        self._add(item, at_front=True)

    def remove(self, req_id: int) -> None:
        """Remove a request, if it waits."""
        item = self._items.pop(req_id, None)
        if item is None:
            return
        self.queued_tokens -= item.work_tokens
        queues = self._levels[item.level]
        queues[item.workspace].remove(item)
        if not queues[item.workspace]:
            del queues[item.workspace]
        if not queues:
            del self._levels[item.level]

    def in_order(self, now: float) -> Iterator[QueueItem]:
        """Yield the waiting requests in the order of service.

        For the order, the work of each request yielded counts as usage of its workspace.
        """
        planned_usage: dict[str, float] = {}
        for level in sorted(self._levels):
            yield from self._level_order(self._levels[level], planned_usage, now)

    def _level_order(
        self, queues: dict[str, deque[QueueItem]], planned_usage: dict[str, float], now: float
    ) -> Iterator[QueueItem]:
        heap = [
            (
                self.meter.normalized_usage(name, now) + planned_usage.get(name, 0.0),
                name,
                0,
                tuple(queue),
            )
            for name, queue in queues.items()
        ]
        heapq.heapify(heap)
        while heap:
            normalized_usage, name, index, queue = heapq.heappop(heap)
            item = queue[index]
            added = item.work_tokens / self.meter.share(name)
            planned_usage[name] = planned_usage.get(name, 0.0) + added
            if index + 1 < len(queue):
                heapq.heappush(heap, (normalized_usage + added, name, index + 1, queue))
            yield item

    def _add(self, item: QueueItem, at_front: bool) -> None:
        queue = self._levels.setdefault(item.level, {}).setdefault(item.workspace, deque())
        if at_front:
            queue.appendleft(item)
        else:
            queue.append(item)
        self._items[item.req_id] = item
        self.queued_tokens += item.work_tokens

    def _choose_evicted(self, now: float) -> int:
        """Choose the request to evict from a full queue.

        It is the newest of the workspace with the most recent and queued work in relation to its
        share, in the least urgent level.
        """
        queues = self._levels[max(self._levels)]

        def normalized_usage(name: str) -> tuple[float, str]:
            queued = sum(item.work_tokens for item in queues[name])
            return (self.meter.normalized_usage(name, now) + queued / self.meter.share(name), name)

        return queues[max(queues, key=normalized_usage)][-1].req_id


def _decay(value: tuple[float, float], now: float) -> float:
    amount, at = value
    return amount * math.exp((at - now) / USAGE_WINDOW_S)
