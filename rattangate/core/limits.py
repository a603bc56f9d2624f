"""Limits of each workspace, held over all entry instances together."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rattangate.core.messages import WorkspaceUsage
from rattangate.core.refusals import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Iterable

EXCHANGE_S = 0.3
BURST_S = 2.0
DEMAND_WINDOW_S = 5.0
MAX_WAIT_S = 10.0
DEFAULT_STREAMS = 256


@dataclass(frozen=True, slots=True)
class WorkspaceLimit:
    """Bound one workspace over the whole site; the rate is in prompt tokens a second."""

    name: str
    share: float = 1.0
    max_streams: float = DEFAULT_STREAMS
    tokens_per_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Denial:
    """Say which limit denies a request and when to come back."""

    reason: RefusalReason
    retry_after_s: float


@dataclass(slots=True)
class _Own:
    """Hold this instance's own use of one workspace."""

    streams: int = 0
    demand: float = 0.0
    demand_at: float = 0.0
    tokens: float = math.inf
    filled_at: float = 0.0
    starts: deque[float] = field(default_factory=deque)
    ends: float = 0.0
    ends_at: float = 0.0


class WorkspaceLimits:
    """Admit requests within the limits; unheard instances keep their share reserved."""

    def __init__(
        self,
        instances: int = 1,
        limits: Iterable[WorkspaceLimit] = (),
        unlisted_streams: float = DEFAULT_STREAMS,
    ) -> None:
        self._instances = instances
        self._unlisted_streams = unlisted_streams
        self._limits: dict[str, WorkspaceLimit] = {}
        self._own: dict[str, _Own] = {}
        self._peers: dict[str, dict[str, WorkspaceUsage]] = {}
        self.configure(instances, limits)

    def configure(self, instances: int, limits: Iterable[WorkspaceLimit]) -> None:
        """Take new limits and the number of entry instances of the site."""
        self._instances = max(1, instances)
        self._limits = {limit.name: limit for limit in limits}

    def shares(self) -> dict[str, float]:
        """Return the configured share of each workspace."""
        return {name: limit.share for name, limit in self._limits.items()}

    def admit(self, workspace: str, tokens: int, now: float) -> Denial | None:
        """Count a request in, or say why not."""
        limit = self._limits.get(workspace)
        if limit is None:
            limit = WorkspaceLimit(workspace, max_streams=self._unlisted_streams)
        own = self._own.setdefault(workspace, _Own(demand_at=now, filled_at=now))
        own.demand = _decayed(own, now) + tokens
        own.demand_at = now
        denial = self._deny_stream(limit, own, now) or self._deny_rate(limit, own, tokens, now)
        if denial is None:
            own.streams += 1
            own.starts.append(now)
        return denial

    def release(self, workspace: str, now: float) -> None:
        """Count a request out."""
        own = self._own[workspace]
        own.streams -= 1
        own.ends = _decayed_ends(own, now) + 1.0
        own.ends_at = now

    def take_usage(self, instance: str, usages: Iterable[WorkspaceUsage]) -> None:
        """Replace what is known of a peer's use."""
        self._peers[instance] = {usage.workspace: usage for usage in usages}

    def drop_peer(self, instance: str) -> None:
        """Reserve the share of a peer that is no longer heard from."""
        self._peers.pop(instance, None)

    def usage(self, now: float) -> tuple[WorkspaceUsage, ...]:
        """Return this instance's own use, for its peers, and forget what is idle."""
        usages = []
        for name, own in list(self._own.items()):
            tokens_per_s = round(_decayed(own, now) / DEMAND_WINDOW_S)
            if own.streams or tokens_per_s:
                usages.append(WorkspaceUsage(name, own.streams, tokens_per_s))
            elif own.tokens >= 0:
                del self._own[name]
        return tuple(usages)

    def _known_instances(self) -> int:
        return max(self._instances, 1 + len(self._peers))

    def _deny_stream(self, limit: WorkspaceLimit, own: _Own, now: float) -> Denial | None:
        """Divide the free streams by the instances that may start some before the next news."""
        if math.isinf(limit.max_streams):
            return None
        while own.starts and own.starts[0] <= now - EXCHANGE_S:
            own.starts.popleft()
        unseen = len(own.starts) * len(self._peers)
        total = own.streams + self._sum_peers(limit.name) + unseen
        heard = (1 + len(self._peers)) / self._known_instances()
        if total < max(1, math.floor(limit.max_streams * heard)):
            return None
        return Denial(RefusalReason.STREAM_LIMIT, self._next_end_s(own, now))

    def _next_end_s(self, own: _Own, now: float) -> float:
        """Estimate the seconds until a stream ends, from the ends that this instance saw."""
        ends_per_s = _decayed_ends(own, now) * (1 + len(self._peers)) / DEMAND_WINDOW_S
        return min(MAX_WAIT_S, max(EXCHANGE_S, 1.0 / max(ends_per_s, 1.0 / MAX_WAIT_S)))

    def _deny_rate(
        self, limit: WorkspaceLimit, own: _Own, tokens: int, now: float
    ) -> Denial | None:
        """Fill this instance's bucket at its portion of the rate, as its demand is of all."""
        if math.isinf(limit.tokens_per_s):
            return None
        heard = (1 + len(self._peers)) / self._known_instances()
        own_demand = own.demand / DEMAND_WINDOW_S
        demand = own_demand + sum(
            usages[limit.name].demand_tokens_per_s
            for usages in self._peers.values()
            if limit.name in usages
        )
        rate = limit.tokens_per_s * heard * own_demand / demand
        filled = own.tokens + rate * (now - own.filled_at)
        own.tokens = min(filled, BURST_S * rate)
        own.filled_at = now
        if own.tokens > 0:
            own.tokens -= tokens
            return None
        return Denial(RefusalReason.RATE_LIMIT, max(0.1, -own.tokens / rate))

    def _sum_peers(self, workspace: str) -> int:
        return sum(
            usages[workspace].streams for usages in self._peers.values() if workspace in usages
        )


def _decayed(own: _Own, now: float) -> float:
    return own.demand * math.exp((own.demand_at - now) / DEMAND_WINDOW_S)


def _decayed_ends(own: _Own, now: float) -> float:
    return own.ends * math.exp((own.ends_at - now) / DEMAND_WINDOW_S)
