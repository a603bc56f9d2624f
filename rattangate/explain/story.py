"""The story of one request: its own lines, what its instances believed, and the cause."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from rattangate.explain.causes import find_cause
from rattangate.log_events import LogEvent

if TYPE_CHECKING:
    from rattangate.explain.lines import LogLine, ReadLog

# Beliefs and events of endpoints count from this long before the request's first line, in seconds.
BEFORE_S = 10.0
# The instances' clocks differ, and an endpoint's end is seen later than the first failure.
AFTER_S = 2.0
# The load that a refusal met is that of this time before it, in seconds.
LOAD_S = 1.0

BELIEFS = frozenset(
    {
        LogEvent.CONFIG_IN_FORCE,
        LogEvent.CONFIG_INVALID,
        LogEvent.HISTORY_LOST,
        LogEvent.ENTRY_MALFORMED,
        LogEvent.PLATFORM_DOWN,
        LogEvent.PLATFORM_UP,
        LogEvent.SETTINGS_RELOADED,
        LogEvent.SETTINGS_REFUSED,
        LogEvent.INSTANCE_STARTED,
        LogEvent.INSTANCE_DRAINING,
        LogEvent.LOG_LINES_DROPPED,
        LogEvent.INTERNAL_FAULT,
    }
)
# The latest of these before the request holds at its time, however old it is.
STANDING = frozenset(
    {LogEvent.CONFIG_IN_FORCE, LogEvent.PLATFORM_DOWN, LogEvent.PLATFORM_UP, LogEvent.WEIGHTS_NAMED}
)
ABOUT_ENDPOINTS = frozenset(
    {
        LogEvent.ENDPOINT_LIVE,
        LogEvent.ENDPOINT_LEAVING,
        LogEvent.ENDPOINT_DOWN,
        LogEvent.ORDER_SENT,
        LogEvent.ORDER_REFUSED,
    }
)


@dataclass(frozen=True, slots=True)
class Load:
    """Hold what an instance did in the second before a request's last line; times in ms."""

    placed: int
    refused: int
    longest_queued_ms: int
    median_expected_ms: int


@dataclass(frozen=True, slots=True)
class Story:
    """Hold the lines that explain a request, in the order of their times, and the cause."""

    request_id: str
    lines: tuple[LogLine, ...]
    endpoints_down: tuple[str, ...]
    failures_elsewhere: int
    load: Load
    cause: str

    @property
    def own(self) -> tuple[LogLine, ...]:
        """Return the request's own lines."""
        return tuple(line for line in self.lines if line.text("request_id") == self.request_id)


def tell_story(request_id: str, log: ReadLog) -> Story | None:
    """Find the lines that explain a request; return None where there is none of its own."""
    own = [line for line in log.lines if line.text("request_id") == request_id]
    if not own:
        return None
    instances = {line.instance for line in own}
    endpoints = {line.text("endpoint") for line in own} - {""}
    start, end = own[0].at - BEFORE_S, own[-1].at + AFTER_S
    near = [line for line in log.lines if start <= line.at <= end]
    beliefs = [line for line in near if line.event in BELIEFS and line.instance in instances]
    about = [
        line
        for line in near
        if line.event in ABOUT_ENDPOINTS and line.text("endpoint") in endpoints
    ]
    standing = _find_standing(log.lines, instances, own[-1].at)
    chosen = {id(line): line for line in (*own, *beliefs, *about, *standing)}
    lines = tuple(sorted(chosen.values(), key=lambda line: line.at))
    elsewhere = [line for line in near if line.event is LogEvent.ATTEMPT_FAILED]
    elsewhere = [line for line in elsewhere if line.text("endpoint") in endpoints]
    down = sorted(_down_at(near, instances, own[-1].at))
    failures = len(elsewhere) - sum(line.event is LogEvent.ATTEMPT_FAILED for line in own)
    load = _load_before(log.lines, own[-1])
    story = Story(request_id, lines, tuple(down), failures, load, "")
    return replace(story, cause=find_cause(story))


def _find_standing(lines: tuple[LogLine, ...], instances: set[str], end: float) -> list[LogLine]:
    latest = {}
    for line in lines:
        if line.at <= end and line.event in STANDING and line.instance in instances:
            latest[(line.instance, line.event)] = line
    return list(latest.values())


def _down_at(near: list[LogLine], instances: set[str], end: float) -> set[str]:
    """Return the endpoints that the request's instances held for down or leaving at its end."""
    down: set[str] = set()
    for line in near:
        if line.at > end or line.instance not in instances:
            continue
        if line.event is LogEvent.ENDPOINT_LIVE:
            down.discard(line.text("endpoint"))
        elif line.event in (LogEvent.ENDPOINT_DOWN, LogEvent.ENDPOINT_LEAVING):
            down.add(line.text("endpoint"))
    return down


def _load_before(lines: tuple[LogLine, ...], last: LogLine) -> Load:
    near = [
        line
        for line in lines
        if line.instance == last.instance and last.at - LOAD_S <= line.at <= last.at
    ]
    counts = Counter(line.event for line in near)
    placed = [line for line in near if line.event is LogEvent.REQUEST_PLACED]
    expected = sorted(line.number("expected_ms") for line in placed)
    return Load(
        counts[LogEvent.REQUEST_PLACED],
        counts[LogEvent.REQUEST_REFUSED],
        max((line.number("queued_ms") for line in placed), default=0),
        expected[len(expected) // 2] if expected else 0,
    )
