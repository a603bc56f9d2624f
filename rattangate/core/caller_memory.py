"""Bound the memory that the connections of callers use, and choose which of them are evicted.

A connection uses memory for what was received on it and is not answered yet. Beyond the limits the
connection is evicted that uses most and has been idle longest, so that small ordinary requests are
always accepted. A request that was passed on is not evictable any more.
"""

from __future__ import annotations

from dataclasses import dataclass

# What a connection costs beside what was received on it.
CONN_BYTES = 24_576
# From this size on a request is large; all large ones together may use only a part of the bound.
LARGE_BYTES = 131_072
LARGE_SHARE = 0.75
# Added to the idle time, so that the size matters also for connections that are not idle.
MIN_IDLE_S = 0.1


@dataclass(frozen=True, slots=True)
class CallerMemoryCfg:
    """Limit the bytes that all connections use, and their number."""

    max_bytes: float
    max_conns: float


@dataclass(eq=False, slots=True)
class ConnUsage:
    """Hold what one connection uses, when it last received something, and if it is evictable."""

    used_bytes: int
    received_at: float
    is_evictable: bool = True

    @property
    def is_large(self) -> bool:
        """Tell whether the connection received a large request, in whole or in part."""
        return self.used_bytes >= LARGE_BYTES


class CallerMemory:
    """Track what the connections use; times are in seconds of a monotonic clock."""

    def __init__(self, cfg: CallerMemoryCfg) -> None:
        self.cfg = cfg
        self.total_bytes = 0
        self._large_bytes = 0
        self._usages: set[ConnUsage] = set()

    def __len__(self) -> int:
        return len(self._usages)

    def open(self, now: float) -> ConnUsage:
        """Count a new connection."""
        usage = ConnUsage(CONN_BYTES, now)
        self._add(usage)
        return usage

    def close(self, usage: ConnUsage) -> None:
        """Count a connection no more, which may have been done before."""
        if usage in self._usages:
            self._remove(usage)

    def update(self, usage: ConnUsage, received_bytes: int, now: float) -> None:
        """Record how many of the received bytes a connection keeps now."""
        if usage not in self._usages:
            return
        used_bytes = CONN_BYTES + received_bytes
        if used_bytes > usage.used_bytes:
            usage.received_at = now
        self._remove(usage)
        usage.used_bytes = used_bytes
        self._add(usage)

    def evict(self, now: float) -> list[ConnUsage]:
        """Return those to be closed so that the others fit; they do not count any more."""
        excess = []
        while (victim := self._find_victim(now)) is not None:
            self._remove(victim)
            excess.append(victim)
        return excess

    def _find_victim(self, now: float) -> ConnUsage | None:
        victim = None
        if self._large_bytes > LARGE_SHARE * self.cfg.max_bytes:
            victim = self._find_worst(now, only_large=True)
        is_full = self.total_bytes > self.cfg.max_bytes or len(self) > self.cfg.max_conns
        if victim is None and is_full:
            victim = self._find_worst(now, only_large=False)
        return victim

    def _find_worst(self, now: float, only_large: bool) -> ConnUsage | None:
        """Return the evictable one of the greatest weight; a single large one is left alone."""
        large = [usage for usage in self._usages if usage.is_large]
        kept = large[0] if len(large) == 1 else None
        candidates = (
            usage
            for usage in (large if only_large else self._usages)
            if usage.is_evictable and usage is not kept
        )
        return max(candidates, key=lambda usage: _weight(usage, now), default=None)

    def _add(self, usage: ConnUsage) -> None:
        self._usages.add(usage)
        self.total_bytes += usage.used_bytes
        if usage.is_large:
            self._large_bytes += usage.used_bytes

    def _remove(self, usage: ConnUsage) -> None:
        self._usages.discard(usage)
        self.total_bytes -= usage.used_bytes
        if usage.is_large:
            self._large_bytes -= usage.used_bytes


def _weight(usage: ConnUsage, now: float) -> float:
    """Return the bytes that a connection uses, times the seconds since it last received some."""
    return usage.used_bytes * (now - usage.received_at + MIN_IDLE_S)
