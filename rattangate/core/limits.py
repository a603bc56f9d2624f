"""Stream and rate limits of each workspace, enforced over all entry instances together.

Each instance enforces its part of a limit with the usage that its peers report.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from rattangate.core.messages import WorkspaceUsage
from rattangate.core.refusals import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Iterable

# A stream that started more recently may not have been reported to the peers yet.
USAGE_DELAY_S = 0.3
# Size of a token bucket, in seconds of its fill rate.
BURST_S = 2.0
# Time constant of the decayed demand and of the decayed number of ended streams.
DEMAND_WINDOW_S = 5.0
MAX_STREAM_WAIT_S = 10.0
DEFAULT_MAX_STREAMS = 256


@dataclass(frozen=True, slots=True)
class WorkspaceLimit:
    """Limit one workspace over all instances.

    `share` is its weight in fair queueing; `tokens_per_s` is in prompt tokens a second.
    """

    name: str
    share: float = 1.0
    max_streams: float = DEFAULT_MAX_STREAMS
    tokens_per_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Denial:
    """Name the limit that denies a request and the seconds after which to retry."""

    reason: RefusalReason
    retry_after_s: float


@dataclass(slots=True)
class _LocalUsage:
    """Hold the usage of one workspace at this instance.

    `tokens` is the level of its token bucket; `demand` and `ended` are the prompt tokens requested
    and the streams ended, decayed exponentially since `demand_at` and `ended_at`.
    """

    streams: int = 0
    demand: float = 0.0
    demand_at: float = 0.0
    tokens: float = math.inf
    filled_at: float = 0.0
    recent_starts: deque[float] = field(default_factory=deque)
    ended: float = 0.0
    ended_at: float = 0.0


class WorkspaceLimits:
    """Admit requests within the limits.

    Unreachable instances keep their share of each limit reserved, as they may use it.
    """

    def __init__(
        self,
        instances: int = 1,
        limits: Iterable[WorkspaceLimit] = (),
        default_max_streams: float = DEFAULT_MAX_STREAMS,
    ) -> None:
        self._instances = instances
        self._default_max_streams = default_max_streams
        self._limits: dict[str, WorkspaceLimit] = {}
        self._local: dict[str, _LocalUsage] = {}
        self._peers: dict[str, dict[str, WorkspaceUsage]] = {}
        self.configure(instances, limits)

    def configure(self, instances: int, limits: Iterable[WorkspaceLimit]) -> None:
        """Apply new limits and the number of entry instances."""
        self._instances = max(1, instances)
        self._limits = {limit.name: limit for limit in limits}

    def shares(self) -> dict[str, float]:
        """Return the fair-queueing weight of each workspace that has a limit."""
        return {name: limit.share for name, limit in self._limits.items()}

    def admit(self, workspace: str, tokens: int, now: float) -> Denial | None:
        """Admit a request and count its stream, or return why it is denied."""
        limit = self._limits.get(workspace)
        if limit is None:
            limit = WorkspaceLimit(workspace, max_streams=self._default_max_streams)
        local = self._local.setdefault(workspace, _LocalUsage(demand_at=now, filled_at=now))
        local.demand = _decayed_demand(local, now) + tokens
        local.demand_at = now
        denial = self._check_streams(limit, local, now) or self._check_rate(
            limit, local, tokens, now
        )
        if denial is None:
            local.streams += 1
            local.recent_starts.append(now)
        return denial

    def release(self, workspace: str, now: float) -> None:
        """Release the stream of a request that ended."""
        local = self._local[workspace]
        local.streams -= 1
        local.ended = _decayed_ended(local, now) + 1.0
        local.ended_at = now

    def set_peer_usage(self, instance: str, usages: Iterable[WorkspaceUsage]) -> None:
        """Replace the known usage of a peer."""
        self._peers[instance] = {usage.workspace: usage for usage in usages}

    def drop_peer(self, instance: str) -> None:
        """Forget the usage of an unreachable peer and reserve its share of the limits."""
        self._peers.pop(instance, None)

    def usage(self, now: float) -> tuple[WorkspaceUsage, ...]:
        """Return the usage of this instance, for its peers, and forget idle workspaces."""
        usages = []
        for name, local in list(self._local.items()):
            tokens_per_s = round(_decayed_demand(local, now) / DEMAND_WINDOW_S)
            if local.streams or tokens_per_s:
                usages.append(WorkspaceUsage(name, local.streams, tokens_per_s))
            elif local.tokens >= 0:
                del self._local[name]
        return tuple(usages)

    def _known_instances(self) -> int:
        return max(self._instances, 1 + len(self._peers))

    def _check_streams(
        self, limit: WorkspaceLimit, local: _LocalUsage, now: float
    ) -> Denial | None:
        """Deny a stream above the part of the limit that the reachable instances may use.

        As peers may start streams at the same rate before their next update, each recent start here
        counts once more for every peer.
        """
        if math.isinf(limit.max_streams):
            return None
        while local.recent_starts and local.recent_starts[0] <= now - USAGE_DELAY_S:
            local.recent_starts.popleft()
        unreported = len(local.recent_starts) * len(self._peers)
        total = local.streams + self._peer_streams(limit.name) + unreported
        reachable_fraction = (1 + len(self._peers)) / self._known_instances()
        if total < max(1, math.floor(limit.max_streams * reachable_fraction)):
            return None
        return Denial(RefusalReason.STREAM_LIMIT, self._next_end_s(local, now))

    def _next_end_s(self, local: _LocalUsage, now: float) -> float:
        """Estimate the seconds until a stream ends, from the rate at which streams ended here."""
        ended_per_s = _decayed_ended(local, now) * (1 + len(self._peers)) / DEMAND_WINDOW_S
        return min(
            MAX_STREAM_WAIT_S, max(USAGE_DELAY_S, 1.0 / max(ended_per_s, 1.0 / MAX_STREAM_WAIT_S))
        )

    def _check_rate(
        self, limit: WorkspaceLimit, local: _LocalUsage, tokens: int, now: float
    ) -> Denial | None:
        """Deny a request while the token bucket is empty.

        The bucket of this instance fills at a part of the rate that is proportional to its part of
        the demand at all reachable instances.
        """
        if math.isinf(limit.tokens_per_s):
            return None
        reachable_fraction = (1 + len(self._peers)) / self._known_instances()
        own_demand = local.demand / DEMAND_WINDOW_S
        demand = own_demand + sum(
            usages[limit.name].demand_tokens_per_s
            for usages in self._peers.values()
            if limit.name in usages
        )
        rate = limit.tokens_per_s * reachable_fraction * own_demand / demand
        filled = local.tokens + rate * (now - local.filled_at)
        local.tokens = min(filled, BURST_S * rate)
        local.filled_at = now
        if local.tokens > 0:
            local.tokens -= tokens
            return None
        return Denial(RefusalReason.RATE_LIMIT, max(0.1, -local.tokens / rate))

    def _peer_streams(self, workspace: str) -> int:
        return sum(
            usages[workspace].streams for usages in self._peers.values() if workspace in usages
        )


def _decayed_demand(local: _LocalUsage, now: float) -> float:
    return local.demand * math.exp((local.demand_at - now) / DEMAND_WINDOW_S)


def _decayed_ended(local: _LocalUsage, now: float) -> float:
    return local.ended * math.exp((local.ended_at - now) / DEMAND_WINDOW_S)
