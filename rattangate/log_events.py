"""The list of all log events, with their numbers, and the writer to standard output."""

from __future__ import annotations

import math
import os
import select
import time
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, Any

import eliot
import orjson

from rattangate.log_rate_limit import LogRateLimiter

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

SECRET_WORDS = frozenset({"key", "keys", "secret", "secrets", "token", "authorization", "password"})
MAX_QUEUED_LINES = 10_000
# A write of up to this size (PIPE_BUF on Linux) does not block on a pipe that polls as writable.
MAX_WRITE_BYTES = 4096
DROP_REPORT_INTERVAL_S = 1.0

FieldValue = str | int | float | bool | None


class LogEvent(Enum):
    """Declare every log event: its number, its meaning and the names of its fields."""

    INSTANCE_STARTED = (100, "The instance accepts requests.", ("instance", "version", "address"))
    INSTANCE_DRAINING = (101, "The instance accepts no new requests.", ("instance", "streams"))
    INSTANCE_STOPPED = (102, "The instance finished its last stream.", ("instance", "streams_cut"))
    INTERNAL_FAULT = (
        103,
        "An unexpected exception was caught.",
        ("where", "error", "request_id"),
    )
    LOG_LINES_DROPPED = (
        104,
        "Log lines were dropped: over the rate limit, or standard output was blocked.",
        ("lines", "routine"),
    )
    WARM_START = (105, "The predicted cache contents were loaded.", ("source", "pieces"))
    SETTINGS_RELOADED = (106, "Changed settings are in force.", ("instance",))
    SETTINGS_REFUSED = (
        107,
        "Changed settings are invalid; the previous ones stay in force.",
        ("error",),
    )
    LISTEN_FAILED = (
        108,
        "An address cannot be listened on yet; it is tried again.",
        ("address", "error"),
    )
    REQUEST_DONE = (
        200,
        "A request was answered.",
        (
            "request_id",
            "workspace",
            "endpoint",
            "attempts",
            "prompt",
            "cached",
            "completion",
            "first_ms",
            "total_ms",
        ),
    )
    REQUEST_REFUSED = (
        201,
        "A request was refused.",
        (
            "request_id",
            "workspace",
            "kind",
            "run_state",
            "detail",
            "attempts",
            "waited_ms",
            "endpoints_live",
            "config_version",
            "list_age_ms",
            "credentials_left_ms",
        ),
    )
    REQUEST_RETRIED = (202, "An attempt failed and another was started.", ("request_id", "reason"))
    STREAM_CONTINUED = (
        203,
        "A stream continues on another endpoint.",
        ("request_id", "endpoint", "offset"),
    )
    STREAM_BROKEN = (204, "A stream ended with an error event.", ("request_id", "offset"))
    REQUEST_ABANDONED = (
        205,
        "The caller disconnected before the answer was complete.",
        ("request_id", "workspace", "stage", "attempts", "endpoint", "waited_ms", "placed_ms"),
    )
    ANSWER_MISMATCHED = (
        206,
        "A response of an endpoint was for another request, incarnation or weights version.",
        ("request_id", "endpoint", "detail"),
    )
    AUTHENTICATION_FAILED = (207, "A caller presented an unknown credential.", ("address", "path"))
    QUARANTINE_RELEASED = (209, "An operator released a quarantined request.", ("digest", "who"))
    CONNECTION_EVICTED = (
        208,
        "A connection of a caller was evicted, as all together used too much.",
        ("used_bytes", "idle_ms", "total_bytes", "connections"),
    )
    REQUEST_PLACED = (
        210,
        "An endpoint was chosen for a request.",
        (
            "request_id",
            "attempt",
            "endpoint",
            "incarnation",
            "weights",
            "source",
            "reason",
            "config_version",
            "list_age_ms",
            "queued_ms",
            "missing",
            "expected_ms",
            "software",
            "resumes",
            "after_event",
            "service",
            "known_by",
            "stream_age_ms",
        ),
    )
    ATTEMPT_FAILED = (
        211,
        "An attempt at an endpoint failed.",
        ("request_id", "attempt", "endpoint", "result", "detail"),
    )
    REQUEST_SUSPECTED = (
        212,
        "An attempt was lost, so its request and the parts of its prompt are suspect.",
        ("digest", "parts", "endpoint", "incarnation", "ran_ms"),
    )
    VERDICT_CHANGED = (
        213,
        "A suspect was quarantined after so many crashes, or cleared.",
        ("subject", "verdict", "crashes"),
    )
    ENDPOINT_LIVE = (300, "An endpoint became live.", ("endpoint", "incarnation", "weights"))
    ENDPOINT_LEAVING = (301, "An endpoint is leaving.", ("endpoint", "incarnation", "source"))
    ENDPOINT_DOWN = (302, "An endpoint does not answer.", ("endpoint", "error"))
    CACHE_EVENTS_LOST = (
        304,
        "Cache events of an endpoint were lost.",
        ("endpoint", "first_seq", "last_seq"),
    )
    ORDER_SENT = (305, "An order was sent to an endpoint.", ("endpoint", "order", "fencing"))
    ORDER_REFUSED = (306, "An endpoint refused an order.", ("endpoint", "order", "detail"))
    ENDPOINT_RESTING = (
        307,
        "An endpoint asked for a back-off: no requests for the time `wait_ms`.",
        ("endpoint", "incarnation", "wait_ms"),
    )
    ENDPOINT_CRASHED = (
        308,
        "An endpoint is known to have crashed while it ran so many suspect requests.",
        ("endpoint", "incarnation", "suspects"),
    )
    ENDPOINT_LIMIT_CHANGED = (
        309,
        "An endpoint accepts so many requests a second from all instances, null for any number.",
        ("endpoint", "incarnation", "per_s", "source"),
    )
    ENDPOINT_UNREACHABLE = (
        310,
        "This instance lost its connection to an endpoint; it can reach so many of the listed ones.",
        ("endpoint", "incarnation", "service", "error", "reachable", "listed"),
    )
    ENDPOINT_REACHABLE = (
        311,
        "This instance can open connections to an endpoint again.",
        ("endpoint", "incarnation", "service", "unreachable_ms", "reachable", "listed"),
    )
    ENDPOINT_VIA_PEER = (
        312,
        "A peer reaches an endpoint that this instance does not; requests go through it.",
        ("endpoint", "incarnation", "service", "peer", "reachable", "listed"),
    )
    TUNNEL_REQUESTED = (
        313,
        "A peer asked this instance for a tunnel to an endpoint.",
        ("instance", "endpoint", "incarnation", "outcome", "tunnels"),
    )
    SERVICE_BRITTLENESS_CHANGED = (
        314,
        "An endpoint of a service bears so many rejections a second, null for any number.",
        ("service", "max_rejections_per_s", "source"),
    )
    ENDPOINT_REPLACED = (
        315,
        "An endpoint runs as another incarnation than the listed one.",
        ("endpoint", "incarnation"),
    )
    PEER_FOUND = (400, "A peer instance was found.", ("instance", "incarnation", "data_centre"))
    PEER_LOST = (
        401,
        "A peer instance fell silent or its process ended; the ages are null for what never came.",
        ("instance", "incarnation", "silent_ms", "list_age_ms"),
    )
    PEER_LEAVING = (402, "A peer instance is shutting down.", ("instance", "incarnation"))
    PEER_REFUSED = (403, "A peer failed authentication.", ("address",))
    NEWS_LOST = (404, "State updates of a peer were lost.", ("instance", "first_seq", "last_seq"))
    RELAY_CHANGED = (
        405,
        "Another instance relays the updates of this data centre.",
        ("relay", "previous", "live"),
    )
    PEER_UPDATES_DROPPED = (
        406,
        "Writes to peers were dropped since the last report, as their queues were full.",
        ("peers", "writes", "queued_bytes"),
    )
    CONFIG_IN_FORCE = (500, "A configuration version is in force.", ("version", "source"))
    CONFIG_INVALID = (
        501,
        "A configuration version is invalid and was not applied.",
        ("version", "faults"),
    )
    PLATFORM_DOWN = (510, "A service of the platform does not answer.", ("service", "error"))
    PLATFORM_UP = (511, "A service of the platform answers again.", ("service",))
    STORE_RETURNED = (
        512,
        "The store came back from an older copy; what was written since is gone.",
        ("era_before", "era"),
    )
    ROW_REWRITTEN = (513, "A row that the store had lost was written again.", ("table", "row"))
    WEIGHTS_NAMED = (
        502,
        "The operator set the desired weights version of a model, as read or as replicas show.",
        ("model", "version", "source"),
    )
    ENTRY_MALFORMED = (
        503,
        "An entry in the store cannot be used.",
        ("table", "row", "error"),
    )
    HISTORY_LOST = (504, "The store discarded changes before they were read.", ("table", "version"))
    PEERS_FOUND = (
        407,
        "Many peer instances were found within one heartbeat interval.",
        ("count", "first", "live"),
    )
    PEERS_LOST = (
        408,
        "Many peer instances were lost within one heartbeat interval.",
        ("count", "first", "live"),
    )
    STREAMS_READ = (
        514,
        "The store's record of recent streams was read at the start.",
        ("rows", "streams"),
    )
    TABLE_RELAY_SILENT = (
        505,
        "The instance that reads a table for this one is silent; this one reads it itself.",
        ("table", "silent_ms"),
    )
    TABLE_UPDATES_MISSED = (
        506,
        "An update of a table came after others that were missed; it is not applied.",
        ("table", "version", "after"),
    )
    LEASE_TAKEN = (600, "This instance acquired a lease.", ("lease", "fencing"))
    LEASE_LOST = (601, "This instance lost a lease.", ("lease", "fencing"))
    ADMIN_CHANGED = (620, "The administration API changed something.", ("who", "action", "object"))
    BOOKING_REPLAYED = (
        701,
        "A repeated request got the stored answer.",
        ("request_id", "workspace"),
    )
    BOOKING_UNKNOWN = (
        702,
        "The outcome of a request that may run only once is unknown.",
        ("request_id", "workspace"),
    )

    def __init__(self, number: int, meaning: str, fields: tuple[str, ...]) -> None:
        self.number = number
        self.meaning = meaning
        self.fields = fields


_DROP_REPORT = LogEvent.LOG_LINES_DROPPED.name.lower()
# Dropped first: the lines of requests that are placed and answered without an error.
ROUTINE_EVENTS = frozenset(
    event.name.lower() for event in (LogEvent.REQUEST_PLACED, LogEvent.REQUEST_DONE)
)


class LineWriter:
    """Write log lines to a file descriptor with a rate limit and without blocking.

    Lines that a slow reader does not take are queued; lines over a limit are dropped and counted.
    """

    def __init__(
        self, fd: int, max_lines: int = MAX_QUEUED_LINES, rate_limiter: LogRateLimiter | None = None
    ) -> None:
        self.dropped = 0
        self._dropped_routine = 0
        self._dropped_since_take = 0
        self._reported_at = -math.inf
        self._fd = fd
        self._max_lines = max_lines
        self._rate_limiter = LogRateLimiter() if rate_limiter is None else rate_limiter
        self._lines: deque[bytes] = deque()
        self._poller = select.poll()
        self._poller.register(fd, select.POLLOUT)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Queue one eliot message as a JSON line and write what does not block."""
        if not self._accept(message["message_type"]):
            return
        self._lines.append(orjson.dumps(message, default=str, option=orjson.OPT_APPEND_NEWLINE))
        self.flush()

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call, and reset it."""
        dropped, self._dropped_since_take = self._dropped_since_take, 0
        return dropped

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._lines and self._is_writable():
            line = self._lines.popleft()
            try:
                written = os.write(self._fd, line[:MAX_WRITE_BYTES])
            except OSError:
                self._lines.clear()
                return
            if written < len(line):
                self._lines.appendleft(line[written:])
        is_report_due = time.monotonic() >= self._reported_at + DROP_REPORT_INTERVAL_S
        if self.dropped and is_report_due and len(self._lines) < self._max_lines // 2:
            self.report_dropped()

    def report_dropped(self) -> None:
        """Log how many lines were dropped since the last report."""
        if not self.dropped:
            return
        self._reported_at = time.monotonic()
        lines, self.dropped = self.dropped, 0
        routine, self._dropped_routine = self._dropped_routine, 0
        log(LogEvent.LOG_LINES_DROPPED, lines=lines, routine=routine)

    def _accept(self, event: str) -> bool:
        if event == _DROP_REPORT:
            return True
        is_routine = event in ROUTINE_EVENTS
        max_queued = self._max_lines // 2 if is_routine else self._max_lines
        if len(self._lines) >= max_queued:
            self.flush()
        if len(self._lines) < max_queued and self._rate_limiter.allow(is_routine, time.monotonic()):
            return True
        self.dropped += 1
        self._dropped_routine += is_routine
        self._dropped_since_take += 1
        return False

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poller.poll(0))


def open_log(instance: str, fd: int = 1) -> tuple[LineWriter, Callable[[], None]]:
    """Write all log events to a file descriptor.

    Return the writer and a function that flushes and removes it.
    """
    writer = LineWriter(fd)
    eliot.add_global_fields(instance_name=instance)
    eliot.add_destinations(writer)

    def close() -> None:
        writer.report_dropped()
        writer.flush()
        eliot.remove_destination(writer)

    return writer, close


def log(event: LogEvent, **fields: FieldValue) -> None:
    """Log one event; raise ValueError for a field that the event does not declare."""
    for name in fields:
        if is_secret(name):
            raise ValueError(f"field {name!r} may hold a secret")
        if name not in event.fields:
            raise ValueError(f"event {event.name} declares no field {name!r}")
    eliot.log_message(event.name.lower(), number=event.number, **fields)


def is_secret(field: str) -> bool:
    """Return whether the name of a field suggests a secret value."""
    return not SECRET_WORDS.isdisjoint(field.lower().split("_"))
