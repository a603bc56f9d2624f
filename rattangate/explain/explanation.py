"""The explanation of one request: its log lines, the state of its instances, and the cause."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from rattangate.core.messages import Verdict
from rattangate.explain.causes import find_cause
from rattangate.log_events import LogEvent

if TYPE_CHECKING:
    from rattangate.explain.lines import LogLine, ParsedLog

# Events of instances and endpoints are included from this long before the request's first line,
# in seconds.
WINDOW_BEFORE_S = 10.0
# They are included up to this long after its last line, in seconds: the clocks of instances differ,
# and the end of an endpoint is noticed after the first failure.
WINDOW_AFTER_S = 2.0
# The load that led to a refusal is measured over this long before it, in seconds.
LOAD_WINDOW_S = 1.0

INSTANCE_EVENTS = frozenset(
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
# The latest event of each of these kinds holds until the next one, so it is included at any age.
STATE_EVENTS = frozenset(
    {LogEvent.CONFIG_IN_FORCE, LogEvent.PLATFORM_DOWN, LogEvent.PLATFORM_UP, LogEvent.WEIGHTS_NAMED}
)
ENDPOINT_EVENTS = frozenset(
    {
        LogEvent.ENDPOINT_LIVE,
        LogEvent.ENDPOINT_LEAVING,
        LogEvent.ENDPOINT_DOWN,
        LogEvent.ORDER_SENT,
        LogEvent.ORDER_REFUSED,
    }
)


@dataclass(frozen=True, slots=True)
class RecentLoad:
    """Hold the load of an instance in the second before a request's last line; times in ms."""

    placed: int
    refused: int
    longest_queued_ms: int
    median_expected_ms: int


@dataclass(frozen=True, slots=True)
class Explanation:
    """Hold the log lines that explain a request, sorted by time, and the cause of its outcome.

    `endpoints_down` are those that its instances took for down or leaving when it ended.
    `other_failures` counts failed attempts of other requests at the same endpoints.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    endpoints_down: tuple[str, ...]
    other_failures: int
    load: RecentLoad
    cause: str

    @property
    def own_lines(self) -> tuple[LogLine, ...]:
        """Return the lines of the request itself."""
        return tuple(line for line in self.lines if line.text("request_id") == self.request_id)


def explain_request(request_id: str, log: ParsedLog) -> Explanation | None:
    """Explain a request from the log; return None if the log has no line of it."""
    own_lines = [line for line in log.lines if line.text("request_id") == request_id]
    if not own_lines:
        return None
    instances = {line.instance for line in own_lines}
    endpoints = {line.text("endpoint") for line in own_lines} - {""}
    start, end = own_lines[0].at - WINDOW_BEFORE_S, own_lines[-1].at + WINDOW_AFTER_S
    in_window = [line for line in log.lines if start <= line.at <= end]
    instance_lines = [
        line for line in in_window if line.event in INSTANCE_EVENTS and line.instance in instances
    ]
    endpoint_lines = [
        line
        for line in in_window
        if line.event in ENDPOINT_EVENTS and line.text("endpoint") in endpoints
    ]
    state_lines = _find_state_lines(log.lines, instances, own_lines[-1].at)
    verdict_lines = _find_verdict_lines(log.lines, instances, own_lines[-1].at)
    selected = {
        id(line): line
        for line in (*own_lines, *instance_lines, *endpoint_lines, *state_lines, *verdict_lines)
    }
    lines = tuple(sorted(selected.values(), key=lambda line: line.at))
    failed_attempts = [line for line in in_window if line.event is LogEvent.ATTEMPT_FAILED]
    failed_attempts = [line for line in failed_attempts if line.text("endpoint") in endpoints]
    endpoints_down = sorted(_find_endpoints_down(in_window, instances, own_lines[-1].at))
    other_failures = len(failed_attempts) - sum(
        line.event is LogEvent.ATTEMPT_FAILED for line in own_lines
    )
    load = _measure_load(log.lines, own_lines[-1])
    explanation = Explanation(request_id, lines, tuple(endpoints_down), other_failures, load, "")
    return replace(explanation, cause=find_cause(explanation))


def _find_state_lines(lines: tuple[LogLine, ...], instances: set[str], end: float) -> list[LogLine]:
    latest_by_event = {}
    for line in lines:
        if line.at <= end and line.event in STATE_EVENTS and line.instance in instances:
            latest_by_event[(line.instance, line.event)] = line
    return list(latest_by_event.values())


def _find_verdict_lines(
    lines: tuple[LogLine, ...], instances: set[str], end: float
) -> list[LogLine]:
    """Return the lines of what the given instances held in quarantine at `end`."""
    guilty: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if (
            line.at > end
            or line.instance not in instances
            or line.event is not LogEvent.VERDICT_CHANGED
        ):
            continue
        key = (line.instance, line.text("subject"))
        if line.text("verdict") == Verdict.GUILTY.value:
            guilty[key] = line
        else:
            guilty.pop(key, None)
    return list(guilty.values())


def _find_endpoints_down(in_window: list[LogLine], instances: set[str], end: float) -> set[str]:
    """Return the endpoints that the given instances took for down or leaving at `end`."""
    endpoints_down: set[str] = set()
    for line in in_window:
        if line.at > end or line.instance not in instances:
            continue
        if line.event is LogEvent.ENDPOINT_LIVE:
            endpoints_down.discard(line.text("endpoint"))
        elif line.event in (LogEvent.ENDPOINT_DOWN, LogEvent.ENDPOINT_LEAVING):
            endpoints_down.add(line.text("endpoint"))
    return endpoints_down


def _measure_load(lines: tuple[LogLine, ...], last: LogLine) -> RecentLoad:
    in_window = [
        line
        for line in lines
        if line.instance == last.instance and last.at - LOAD_WINDOW_S <= line.at <= last.at
    ]
    counts = Counter(line.event for line in in_window)
    placed = [line for line in in_window if line.event is LogEvent.REQUEST_PLACED]
    expected = sorted(line.number("expected_ms") for line in placed)
    return RecentLoad(
        counts[LogEvent.REQUEST_PLACED],
        counts[LogEvent.REQUEST_REFUSED],
        max((line.number("queued_ms") for line in placed), default=0),
        expected[len(expected) // 2] if expected else 0,
    )
