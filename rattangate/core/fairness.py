"""A bounded queue ordered by priority, then by each workspace's use against its share."""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

USAGE_WINDOW_S = 20.0
BANDS = 4
OVERUSE_FACTOR = 2.0
SMALL_FRACTION = 0.1
MIN_METERED_S = 5.0


@dataclass(frozen=True, slots=True)
class QueueItem:
    """Describe one waiting request; a lower level goes first."""

    req_id: int
    workspace: str
    level: int
    work_tokens: int


class UsageMeter:
    """Meter the recent work of each workspace, given by this instance and by its peers."""

    def __init__(self, shares: Mapping[str, float] | None = None) -> None:
        self._shares = dict(shares or {})
        self._used: dict[str, tuple[float, float]] = {}
        self._total = (0.0, 0.0)
        self._active_shares = 0.0
        self._metered_since = math.inf

    def configure(self, shares: Mapping[str, float]) -> None:
        """Take new shares."""
        self._shares = dict(shares)
        self._active_shares = sum(self.share(name) for name in self._used)

    def share(self, workspace: str) -> float:
        """Return the configured share of a workspace."""
        return max(1e-6, self._shares.get(workspace, 1.0))

    def charge(self, workspace: str, tokens: float, now: float) -> None:
        """Count work of a workspace."""
        if workspace not in self._used:
            self._active_shares += self.share(workspace)
        self._metered_since = min(self._metered_since, now)
        self._used[workspace] = (self.used(workspace, now) + tokens, now)
        self._total = (_decay(self._total, now) + tokens, now)

    def used(self, workspace: str, now: float) -> float:
        """Return the recent work of a workspace in tokens, older work counting less."""
        return _decay(self._used.get(workspace, (0.0, now)), now)

    def pressure(self, workspace: str, now: float) -> float:
        """Return the recent work of a workspace over its share."""
        return self.used(workspace, now) / self.share(workspace)

    def band(self, workspace: str, now: float) -> int:
        """Return how far a workspace is above its share, from 0 to `BANDS` - 1.

        A band is a doubling; a small fraction of all work is never above a share, and no use is
        judged by a meter that has only just begun.
        """
        if now - self._metered_since < MIN_METERED_S:
            return 0
        total = _decay(self._total, now)
        fraction = self.share(workspace) / max(self._active_shares, self.share(workspace))
        entitled = total * max(SMALL_FRACTION, fraction)
        used = self.used(workspace, now)
        band = 0
        while band < BANDS - 1 and used > entitled * OVERUSE_FACTOR ** (band + 1):
            band += 1
        return band


class FairQueue:
    """Hold waiting requests; the least served workspace of the most urgent level goes first."""

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
        """Add a request and return the one that a full queue refuses for it, if any."""
        self._add(item, first=False)
        if len(self._items) <= self.bound:
            return None
        victim = self._heaviest(now)
        self.remove(victim)
        return victim

    def push_first(self, item: QueueItem) -> None:
        """Return a request to the head of its workspace, beyond the bound if need be."""
        self._add(item, first=True)

    def remove(self, req_id: int) -> None:
        """Take a request out."""
        item = self._items.pop(req_id, None)
        if item is None:
            return
        self.queued_tokens -= item.work_tokens
        lines = self._levels[item.level]
        lines[item.workspace].remove(item)
        if not lines[item.workspace]:
            del lines[item.workspace]
        if not lines:
            del self._levels[item.level]

    def in_order(self, now: float) -> Iterator[QueueItem]:
        """Yield the waiting requests in the order of service, each charged to its workspace."""
        extra: dict[str, float] = {}
        for level in sorted(self._levels):
            yield from self._level_order(self._levels[level], extra, now)

    def _level_order(
        self, lines: dict[str, deque[QueueItem]], extra: dict[str, float], now: float
    ) -> Iterator[QueueItem]:
        heap = [
            (self.meter.pressure(name, now) + extra.get(name, 0.0), name, 0, tuple(line))
            for name, line in lines.items()
        ]
        heapq.heapify(heap)
        while heap:
            pressure, name, index, line = heapq.heappop(heap)
            item = line[index]
            added = item.work_tokens / self.meter.share(name)
            extra[name] = extra.get(name, 0.0) + added
            if index + 1 < len(line):
                heapq.heappush(heap, (pressure + added, name, index + 1, line))
            yield item

    def _add(self, item: QueueItem, first: bool) -> None:
        line = self._levels.setdefault(item.level, {}).setdefault(item.workspace, deque())
        if first:
            line.appendleft(item)
        else:
            line.append(item)
        self._items[item.req_id] = item
        self.queued_tokens += item.work_tokens

    def _heaviest(self, now: float) -> int:
        """Choose the newest request of the most served workspace in the least urgent level."""
        lines = self._levels[max(self._levels)]

        def pressure(name: str) -> tuple[float, str]:
            queued = sum(item.work_tokens for item in lines[name])
            return (self.meter.pressure(name, now) + queued / self.meter.share(name), name)

        return lines[max(lines, key=pressure)][-1].req_id


def _decay(value: tuple[float, float], now: float) -> float:
    amount, at = value
    return amount * math.exp((at - now) / USAGE_WINDOW_S)
