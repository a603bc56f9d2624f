"""Works out what the measured slopes come to at the size that is expected in two years."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.capacity_series import Series

DAY_S = 86_400
FRAME_BYTES = 44
DAEMONS = 350
REPLICAS = 1200
DATA_CENTRES = 6
REQUESTS_PER_S = 1600
BLOCKS = 34_000_000
EVENTS_PER_S = 53_000
WORKSPACES = 530
CHANGES_PER_S = 3600 / DAY_S
HIT_RATE = 0.7
NEW_PIECES = EVENTS_PER_S / 2 / REQUESTS_PER_S
PIECES = NEW_PIECES / (1 - HIT_RATE)
STREAM_S = 460_000 / REQUESTS_PER_S * 0.051
LOAD_POLLS_PER_S = 10
EVENT_POLLS_PER_S = 1 / 10
ROW_BYTES = 24
ROWS_INTERVAL_S = 2.0
USE_INTERVAL_S = 5.0
CANDIDATES = 20
COPIES = 2

CPU_BUDGET_US = 14_000.0
MEMORY_BUDGET_MB = 256.0
BYTES_BUDGET = 15_000.0


@dataclass(frozen=True, slots=True)
class Line:
    """Give the cost of one role for one instance, a second; `measured` tells of the slopes."""

    role: str
    state_mb: float
    messages: float
    sent_bytes: float
    cpu_us: float
    measured: str


@dataclass(frozen=True, slots=True)
class Size:
    """Hold the numbers that both mechanisms are worked out for."""

    daemons: float = DAEMONS

    @property
    def share(self) -> float:
        """Return the size in proportion to the one of two years hence."""
        return self.daemons / DAEMONS

    @property
    def requests(self) -> float:
        """Return the requests a second that one instance gets."""
        return REQUESTS_PER_S * self.share / self.daemons

    @property
    def engines(self) -> float:
        """Return the number of engines."""
        return REPLICAS * self.share


def lines_today(found: dict[str, Series], size: Size) -> list[Line]:
    """Return the cost where every instance holds all and tells all."""
    peers = size.daemons - 1
    all_requests = REQUESTS_PER_S * size.share
    poll_us = _poll_us(found)
    per_request = _news_bytes(found) + 2 * (found["news_bytes"].intercept + FRAME_BYTES)
    sent = 2 * size.requests * peers
    apply_us = (
        found["news_decode"].slope
        + 2 * found["news_decode"].intercept
        + found["apply"].slope
        + (found["apply_piece"].slope + found["piece_codec"].slope) * (PIECES - 8)
    )
    socket_us = found["socket"].slope
    events = EVENTS_PER_S * size.share
    event_us = events * found["event_cpu"].slope + all_requests * found["event_cpu"].intercept
    used = min(WORKSPACES * size.share, size.requests * STREAM_S)
    config_us = found["config_cpu"].at(size.engines)
    return [
        Line("heartbeats to all peers", 0.0, 2 * peers,
             found["idle_peer_peer_bytes"].slope / 2 * peers, 4 * peers * socket_us, "yes"),
        Line("placements to all peers", 0.0, sent, size.requests * peers * per_request,
             all_requests * apply_us + 2 * sent * socket_us, "yes"),
        Line("use of workspaces to all peers", 0.0, peers,
             peers * (used * found["limits_bytes"].slope + FRAME_BYTES),
             peers * (found["limits_cpu"].at(used) + socket_us), "yes"),
        Line("load reports of all engines", 0.0, LOAD_POLLS_PER_S * size.engines,
             size.engines * found["idle_engine_all_bytes"].slope,
             LOAD_POLLS_PER_S * size.engines * poll_us, "yes"),
        Line("cache events of all engines", 0.0, all_requests,
             events * found["event_bytes"].slope, event_us + all_requests * poll_us, "yes"),
        Line("cache pictures of all engines", BLOCKS * size.share * found["picture"].slope / 1e6,
             0.0, 0.0, 0.0, "yes"),
        Line("choice among all engines", 0.0, 0.0, 0.0,
             size.requests * found["request"].at(size.engines), "yes"),
        Line("configuration, whole file", 0.0, CHANGES_PER_S,
             CHANGES_PER_S * found["config_bytes"].at(size.engines),
             CHANGES_PER_S * config_us, "yes"),
        Line("process", found["idle_peer_memory"].intercept, 0.0, 0.0, 0.0, "yes"),
    ]  # fmt: skip


def lines_next(found: dict[str, Series], size: Size) -> list[Line]:
    """Return the cost where state is divided within a data centre and membership probes."""
    in_centre = REPLICAS / DATA_CENTRES
    engines = size.engines / size.daemons
    poll_us = _poll_us(found)
    socket_us = found["socket"].slope
    frame = found["news_bytes"].intercept + FRAME_BYTES
    ask = found["piece_bytes"].at(PIECES) + FRAME_BYTES
    copy = found["piece_bytes"].at(NEW_PIECES) + FRAME_BYTES
    codec_us = found["piece_codec"].at(PIECES) + found["piece_codec"].at(NEW_PIECES)
    entry_us = COPIES * (found["apply"].slope + found["apply_piece"].slope * (PIECES - 8))
    used = min(WORKSPACES * size.share, size.requests * STREAM_S)
    owners = used / USE_INTERVAL_S
    rows = in_centre * ROW_BYTES / ROWS_INTERVAL_S
    members = found["member_messages"].at(size.daemons)
    polls = engines * (1 + EVENT_POLLS_PER_S)
    poll_bytes = found["idle_engine_all_bytes"].slope / LOAD_POLLS_PER_S
    return [
        Line("membership", 0.0, members, found["member_bytes"].at(size.daemons),
             found["member_cpu"].at(size.daemons) + members * socket_us, "yes, virtual time"),
        Line("placement: ask an owner, copy, answer, end", 0.0, 4 * size.requests,
             size.requests * (ask + copy + 2 * frame),
             size.requests * (codec_us + entry_us + 4 * socket_us
                              + found["request"].at(CANDIDATES)), "slopes yes, protocol not built"),
        Line("table of pieces, 2 copies", COPIES * BLOCKS / DAEMONS * found["model"].slope / 1e6,
             0.0, 0.0, 0.0, "slope yes, table not built"),
        Line("load and eviction rows of a data centre", in_centre * ROW_BYTES / 1e6,
             3 / ROWS_INTERVAL_S, rows, 2 * 3 / ROWS_INTERVAL_S * socket_us
             + in_centre / ROWS_INTERVAL_S * found["load"].slope / 2, "row size not measured"),
        Line("load and cache events of own engines", 0.0, polls,
             polls * poll_bytes, polls * poll_us + EVENTS_PER_S / DAEMONS
             * found["event_cpu"].slope, "yes"),
        Line("use of workspaces to their owners", 0.0, owners,
             owners * (found["limits_bytes"].at(1) + FRAME_BYTES),
             2 * owners * (found["limits_cpu"].at(1) + socket_us),
             "slopes yes, protocol not built"),
        Line("configuration, checked and coded", found["coded_bytes"].at(size.engines) / 1e6,
             CHANGES_PER_S, CHANGES_PER_S * 2000.0,
             CHANGES_PER_S * found["coded_cpu"].at(size.engines), "size of a change not measured"),
        Line("process", found["idle_peer_memory"].intercept, 0.0, 0.0, 0.0, "yes"),
    ]  # fmt: skip


def total(lines: list[Line]) -> Line:
    """Return the sum of all roles."""
    return Line(
        "sum",
        sum(line.state_mb for line in lines),
        sum(line.messages for line in lines),
        sum(line.sent_bytes for line in lines),
        sum(line.cpu_us for line in lines),
        "",
    )


def last_within(found: dict[str, Series], cost: str, budget: float) -> int:
    """Return the largest number of daemons at which today's mechanism keeps a budget."""
    held = [
        daemons
        for daemons in range(2, DAEMONS + 1)
        if getattr(total(lines_today(found, Size(daemons))), cost) <= budget
    ]
    return max(held, default=0)


def _poll_us(found: dict[str, Series]) -> float:
    return found["idle_engine_cpu"].slope / LOAD_POLLS_PER_S


def _news_bytes(found: dict[str, Series]) -> float:
    return found["news_bytes"].slope + found["piece_bytes"].slope * (PIECES - 8)
