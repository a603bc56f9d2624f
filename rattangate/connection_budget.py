"""The budget of memory and descriptors for the connections of callers."""

from __future__ import annotations

import math
import resource
from contextlib import contextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from rattangate.core.caller_memory import CallerMemory, CallerMemoryCfg
from rattangate.log_events import LogEvent, log
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rattangate.core.caller_memory import ConnUsage
    from rattangate.metrics import Metrics

# Share of the process's memory for what callers send. The buffers that it passes through take about
# as much again, and the program itself needs the rest.
MEMORY_SHARE = 0.12
# The same where the settings name no memory.
DEFAULT_BYTES = 268_435_456
# Share of the descriptors for connections of callers: each may need one to an endpoint too, and peers
# and the store need some.
CONNS_SHARE = 0.25


class Reservation:
    """Report what one connection uses."""

    def __init__(self, budget: ConnectionBudget, usage: ConnUsage) -> None:
        self._budget = budget
        self._usage = usage

    def update(self, received_bytes: int) -> None:
        """Record the bytes that the connection keeps; it, or another one, may be evicted for them."""
        self._budget.update(self._usage, received_bytes)

    def set_evictable(self, is_evictable: bool) -> None:
        """Set whether the connection may be evicted; not while its request is served."""
        self._usage.is_evictable = is_evictable


class ConnectionBudget:
    """Evict connections when all together use too much."""

    def __init__(self, cfg: CallerMemoryCfg, metrics: Metrics) -> None:
        self._memory = CallerMemory(cfg)
        self._metrics = metrics
        self._evict_handlers: dict[ConnUsage, Callable[[], None]] = {}

    @property
    def is_full(self) -> bool:
        """Tell whether a further connection would evict another one."""
        return len(self._memory) >= self._memory.cfg.max_conns

    def configure(self, max_bytes: int) -> None:
        """Set how many bytes all connections may use from their next report on."""
        self._memory.cfg = replace(self._memory.cfg, max_bytes=max_bytes)

    @contextmanager
    def reserve(self, on_evict: Callable[[], None]) -> Iterator[Reservation]:
        """Count a connection; `on_evict` is called when it is evicted, which may be at once."""
        usage = self._memory.open(trio.current_time())
        self._evict_handlers[usage] = on_evict
        try:
            self._evict_excess()
            yield Reservation(self, usage)
        finally:
            self._memory.close(usage)
            self._evict_handlers.pop(usage, None)

    def update(self, usage: ConnUsage, received_bytes: int) -> None:
        """Record the bytes that a connection keeps."""
        self._memory.update(usage, received_bytes, trio.current_time())
        self._evict_excess()

    def _evict_excess(self) -> None:
        for usage in self._memory.evict(trio.current_time()):
            self._metrics.connections_evicted.inc()
            log(
                LogEvent.CONNECTION_EVICTED,
                used_bytes=usage.used_bytes,
                idle_ms=round((trio.current_time() - usage.received_at) * MS_PER_S),
                total_bytes=self._memory.total_bytes,
                connections=len(self._memory),
            )
            self._evict_handlers.pop(usage)()


def make_connection_budget(memory_bytes: int, max_fds: int, metrics: Metrics) -> ConnectionBudget:
    """Make the budget of a process with that memory and those descriptors, 0 if not set."""
    max_bytes = MEMORY_SHARE * memory_bytes if memory_bytes else DEFAULT_BYTES
    max_fds = max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return ConnectionBudget(CallerMemoryCfg(max_bytes, CONNS_SHARE * max_fds), metrics)


def make_unlimited_budget(metrics: Metrics) -> ConnectionBudget:
    """Make the budget for connections of the platform itself."""
    return ConnectionBudget(CallerMemoryCfg(math.inf, math.inf), metrics)
