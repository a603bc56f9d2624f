"""Extrapolate the measured costs to the cluster size expected in two years.

Two designs are compared: full replication, in which every instance holds all state and sends each
change to all peers, and partitioned state, in which each block has an owner in its data centre.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.capacity_series import Series

DAY_S = 86_400
FRAME_BYTES = 44  # IP and UDP or TCP headers, and the length of the frame.
TARGET_INSTANCES = 350
REPLICAS = 1200
DATA_CENTRES = 6
REQUESTS_PER_S = 1600
CACHED_PIECES = 34_000_000  # Of all engines.
EVENTS_PER_S = 53_000  # Blocks stored or evicted by all engines.
WORKSPACES = 530
CHANGES_PER_S = 3600 / DAY_S  # Changes of the configuration.
HIT_RATE = 0.7
# Blocks of a prompt: those that miss the cache, and all.
NEW_PIECES = EVENTS_PER_S / 2 / REQUESTS_PER_S
PIECES = NEW_PIECES / (1 - HIT_RATE)
# Mean duration of a stream: tokens per second, divided by requests, times seconds per token.
STREAM_S = 460_000 / REQUESTS_PER_S * 0.051
LOAD_POLLS_PER_S = 10
EVENT_POLLS_PER_S = 1 / 10
ROW_BYTES = 24  # Load and evictions of one engine, sent every `ROWS_INTERVAL_S`.
ROWS_INTERVAL_S = 2.0
USAGE_INTERVAL_S = 5.0
CANDIDATES = 20  # Endpoints that one placement compares.
COPIES = 2  # Replicas of each partition.

# Budget of one instance; CPU and bytes are per second.
CPU_BUDGET_US = 14_000.0
MEMORY_BUDGET_MB = 256.0
BYTES_BUDGET = 15_000.0


@dataclass(frozen=True, slots=True)
class RoleCost:
    """Hold what one role costs an instance: memory, and messages, bytes and CPU per second.

    `measured` states whether the underlying costs were measured.
    """

    role: str
    state_mb: float
    messages: float
    sent_bytes: float
    cpu_us: float
    measured: str


@dataclass(frozen=True, slots=True)
class ClusterSize:
    """Describe a cluster whose load and engines grow in proportion to its instances."""

    instances: float = TARGET_INSTANCES

    @property
    def scale(self) -> float:
        """Return the size as a fraction of the one expected in two years."""
        return self.instances / TARGET_INSTANCES

    @property
    def requests(self) -> float:
        """Return the requests per second that one instance receives."""
        return REQUESTS_PER_S * self.scale / self.instances

    @property
    def engines(self) -> float:
        """Return the number of engines."""
        return REPLICAS * self.scale


def full_replication_costs(fits: dict[str, Series], size: ClusterSize) -> list[RoleCost]:
    """Return the costs if every instance holds all state and sends its changes to all peers."""
    peers = size.instances - 1
    all_requests = REQUESTS_PER_S * size.scale
    poll_us = _poll_us(fits)
    per_request = _placement_update_bytes(fits) + 2 * (fits["news_bytes"].intercept + FRAME_BYTES)
    sent = 2 * size.requests * peers
    apply_us = (
        fits["news_decode"].slope
        + 2 * fits["news_decode"].intercept
        + fits["apply"].slope
        + (fits["apply_piece"].slope + fits["piece_codec"].slope) * (PIECES - 8)
    )
    socket_us = fits["socket"].slope
    events = EVENTS_PER_S * size.scale
    event_us = events * fits["event_cpu"].slope + all_requests * fits["event_cpu"].intercept
    active_workspaces = min(WORKSPACES * size.scale, size.requests * STREAM_S)
    config_us = fits["config_cpu"].at(size.engines)
    return [
        RoleCost("heartbeats to all peers", 0.0, 2 * peers,
             fits["idle_peer_peer_bytes"].slope / 2 * peers, 4 * peers * socket_us, "yes"),
        RoleCost("placements to all peers", 0.0, sent, size.requests * peers * per_request,
             all_requests * apply_us + 2 * sent * socket_us, "yes"),
        RoleCost("workspace usage to all peers", 0.0, peers,
             peers * (active_workspaces * fits["limits_bytes"].slope + FRAME_BYTES),
             peers * (fits["limits_cpu"].at(active_workspaces) + socket_us), "yes"),
        RoleCost("load reports of all engines", 0.0, LOAD_POLLS_PER_S * size.engines,
             size.engines * fits["idle_engine_all_bytes"].slope,
             LOAD_POLLS_PER_S * size.engines * poll_us, "yes"),
        RoleCost("cache events of all engines", 0.0, all_requests,
             events * fits["event_bytes"].slope, event_us + all_requests * poll_us, "yes"),
        RoleCost("cache contents of all engines",
             CACHED_PIECES * size.scale * fits["picture"].slope / 1e6, 0.0, 0.0, 0.0, "yes"),
        RoleCost("choice among all engines", 0.0, 0.0, 0.0,
             size.requests * fits["request"].at(size.engines), "yes"),
        RoleCost("configuration, whole file", 0.0, CHANGES_PER_S,
             CHANGES_PER_S * fits["config_bytes"].at(size.engines),
             CHANGES_PER_S * config_us, "yes"),
        RoleCost("process", fits["idle_peer_memory"].intercept, 0.0, 0.0, 0.0, "yes"),
    ]  # fmt: skip


def partitioned_costs(fits: dict[str, Series], size: ClusterSize) -> list[RoleCost]:
    """Return the costs if state is partitioned within a data centre and membership uses gossip."""
    local_engines = REPLICAS / DATA_CENTRES
    engines = size.engines / size.instances
    poll_us = _poll_us(fits)
    socket_us = fits["socket"].slope
    frame_bytes = fits["news_bytes"].intercept + FRAME_BYTES
    lookup_bytes = fits["piece_bytes"].at(PIECES) + FRAME_BYTES
    copy_bytes = fits["piece_bytes"].at(NEW_PIECES) + FRAME_BYTES
    codec_us = fits["piece_codec"].at(PIECES) + fits["piece_codec"].at(NEW_PIECES)
    copies_us = COPIES * (fits["apply"].slope + fits["apply_piece"].slope * (PIECES - 8))
    active_workspaces = min(WORKSPACES * size.scale, size.requests * STREAM_S)
    usage_updates = active_workspaces / USAGE_INTERVAL_S
    row_bytes_per_s = local_engines * ROW_BYTES / ROWS_INTERVAL_S
    gossip_messages = fits["member_messages"].at(size.instances)
    polls_per_s = engines * (1 + EVENT_POLLS_PER_S)
    poll_bytes = fits["idle_engine_all_bytes"].slope / LOAD_POLLS_PER_S
    return [
        RoleCost("membership", 0.0, gossip_messages, fits["member_bytes"].at(size.instances),
             fits["member_cpu"].at(size.instances) + gossip_messages * socket_us,
             "yes, virtual time"),
        RoleCost("placement: query the owner, copy, reply, end", 0.0, 4 * size.requests,
             size.requests * (lookup_bytes + copy_bytes + 2 * frame_bytes),
             size.requests * (codec_us + copies_us + 4 * socket_us
                              + fits["request"].at(CANDIDATES)), "slopes yes, protocol not built"),
        RoleCost("table of pieces, 2 copies",
             COPIES * CACHED_PIECES / TARGET_INSTANCES * fits["model"].slope / 1e6,
             0.0, 0.0, 0.0, "slope yes, table not built"),
        RoleCost("load and eviction rows of a data centre", local_engines * ROW_BYTES / 1e6,
             3 / ROWS_INTERVAL_S, row_bytes_per_s, 2 * 3 / ROWS_INTERVAL_S * socket_us
             + local_engines / ROWS_INTERVAL_S * fits["load"].slope / 2, "row size not measured"),
        RoleCost("load and cache events of own engines", 0.0, polls_per_s,
             polls_per_s * poll_bytes, polls_per_s * poll_us + EVENTS_PER_S / TARGET_INSTANCES
             * fits["event_cpu"].slope, "yes"),
        RoleCost("workspace usage to the owners", 0.0, usage_updates,
             usage_updates * (fits["limits_bytes"].at(1) + FRAME_BYTES),
             2 * usage_updates * (fits["limits_cpu"].at(1) + socket_us),
             "slopes yes, protocol not built"),
        RoleCost("configuration, validated and encoded", fits["coded_bytes"].at(size.engines) / 1e6,
             CHANGES_PER_S, CHANGES_PER_S * 2000.0,
             CHANGES_PER_S * fits["coded_cpu"].at(size.engines), "size of a change not measured"),
        RoleCost("process", fits["idle_peer_memory"].intercept, 0.0, 0.0, 0.0, "yes"),
    ]  # fmt: skip


def total(costs: list[RoleCost]) -> RoleCost:
    """Return the sum over all roles."""
    return RoleCost(
        "sum",
        sum(cost.state_mb for cost in costs),
        sum(cost.messages for cost in costs),
        sum(cost.sent_bytes for cost in costs),
        sum(cost.cpu_us for cost in costs),
        "",
    )


def max_instances_within(fits: dict[str, Series], cost: str, budget: float) -> int:
    """Return the largest number of instances at which full replication stays within a budget."""
    within_budget = [
        instances
        for instances in range(2, TARGET_INSTANCES + 1)
        if getattr(total(full_replication_costs(fits, ClusterSize(instances))), cost) <= budget
    ]
    return max(within_budget, default=0)


def _poll_us(fits: dict[str, Series]) -> float:
    return fits["idle_engine_cpu"].slope / LOAD_POLLS_PER_S


def _placement_update_bytes(fits: dict[str, Series]) -> float:
    return fits["news_bytes"].slope + fits["piece_bytes"].slope * (PIECES - 8)
