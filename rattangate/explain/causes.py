"""Derives the cause of a request's outcome from its log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.errors import ErrorKind
from rattangate.log_events import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.explain.explanation import Explanation
    from rattangate.explain.lines import LogLine

FINAL_EVENTS = frozenset(
    {
        LogEvent.REQUEST_DONE,
        LogEvent.REQUEST_REFUSED,
        LogEvent.REQUEST_ABANDONED,
        LogEvent.INTERNAL_FAULT,
    }
)


def find_cause(explanation: Explanation) -> str:
    """Return a few sentences that say why the request ended as it did."""
    final_lines = [line for line in explanation.own_lines if line.event in FINAL_EVENTS]
    if not final_lines:
        return (
            "There is no final line: the instance stopped, or the line was dropped (see"
            " log_lines_dropped)."
        )
    last = final_lines[-1]
    if last.event is LogEvent.REQUEST_DONE:
        return _explain_done(explanation, last)
    if last.event is LogEvent.REQUEST_ABANDONED:
        return _explain_abandoned(last)
    if last.event is LogEvent.INTERNAL_FAULT:
        return f"An internal fault of {last.instance} ended it: {last.text('error')}."
    kind = ErrorKind(last.text("kind"))
    return _EXPLAINERS.get(kind, _explain_other)(explanation, last)


def _explain_done(explanation: Explanation, last: LogLine) -> str:
    text = f"It was answered by {last.text('endpoint')} after {last.text('attempts')} attempt(s)."
    failure = _last_failure(explanation)
    return text if failure is None else f"{text} {_describe_failure(explanation, failure)}"


def _explain_abandoned(last: LogLine) -> str:
    text = "The caller disconnected before the answer was complete"
    if not last.text("stage"):
        return f"{text}."
    text += f" (stage {last.text('stage')}), {last.text('waited_ms')} ms after the request was read"
    if last.text("placed_ms"):
        text += f" and {last.text('placed_ms')} ms after {last.text('endpoint')} was chosen for it"
    return f"{text}."


def _explain_overload(explanation: Explanation, last: LogLine) -> str:
    load = explanation.load
    live = last.text("endpoints_live") or "an unknown number of"
    text = (
        f"It was refused because no endpoint could answer in time ({last.text('detail')})."
        f" {live} endpoints of its service were live; in the second before, this instance placed"
        f" {load.placed} requests, which had been queued for at most {load.longest_queued_ms} ms"
        f" and had a median expected time to first token of {load.median_expected_ms} ms, and"
        f" refused {load.refused}."
    )
    if explanation.endpoints_down:
        text += f" Endpoints recently down or leaving: {', '.join(explanation.endpoints_down)}."
    return text


def _explain_failed_attempt(explanation: Explanation, last: LogLine) -> str:
    failure = _last_failure(explanation)
    if failure is None:
        return _explain_unanswered(explanation, last)
    execution = "may have run" if last.text("run_state") == "may have run" else "did not run"
    text = f"{_describe_failure(explanation, failure)} The request {execution}"
    if last.text("kind") == ErrorKind.OUTCOME_UNKNOWN.value:
        return f"{text}, and must not be repeated unless its caller asks for it."
    return f"{text}; its attempts or the retry budget were exhausted ({last.text('detail')})."


def _explain_unanswered(explanation: Explanation, last: LogLine) -> str:
    placed = [line for line in explanation.own_lines if line.event is LogEvent.REQUEST_PLACED]
    if not placed:
        return f"It failed, but the logs have no failed attempt of it ({last.text('detail')})."
    waited_ms = round((last.at - placed[-1].at) * 1000)
    text = (
        f"It was sent to {placed[-1].text('endpoint')}, which had not answered {waited_ms} ms later"
        f" ({last.text('detail')}); it {last.text('run_state')}."
    )
    if explanation.other_failures:
        text += f" {explanation.other_failures} attempts of other requests failed there too."
    return text


def _explain_store_outage(explanation: Explanation, last: LogLine) -> str:
    text = f"It was refused because {last.text('detail')}."
    down_lines = [line for line in explanation.lines if line.event is LogEvent.PLATFORM_DOWN]
    down_lines = [
        line for line in down_lines if line.instance == last.instance and line.at <= last.at
    ]
    if not down_lines:
        return f"{text} The store had not answered this instance since its start."
    ago_s = last.at - down_lines[-1].at
    text += f" The store fell silent {ago_s:.1f} s before: {down_lines[-1].text('error')}."
    up_lines = [line for line in explanation.lines if line.event is LogEvent.PLATFORM_UP]
    up_lines = [line for line in up_lines if line.instance == last.instance]
    up_lines = [line for line in up_lines if down_lines[-1].at < line.at <= last.at]
    if up_lines:
        text += (
            f" It answered again {last.at - up_lines[-1].at:.1f} s before,"
            " but had not yet answered this read."
        )
    return text


def _explain_unknown_name(explanation: Explanation, last: LogLine) -> str:
    missing = "key" if last.text("kind") == ErrorKind.UNAUTHENTICATED.value else "path"
    text = f"The {last.text('detail')} contains no such {missing}."
    applied = [line for line in explanation.lines if line.event is LogEvent.CONFIG_IN_FORCE]
    applied = [line for line in applied if line.instance == last.instance and line.at <= last.at]
    if applied:
        version, ago_s = applied[-1].text("version"), last.at - applied[-1].at
        text += f" Version {version} had been in force at this instance for {ago_s:.1f} s."
    return text


def _explain_quarantine(explanation: Explanation, last: LogLine) -> str:
    verdicts = [
        f"{line.text('subject')} ({line.text('crashes')} crashes, {last.at - line.at:.1f} s before)"
        for line in explanation.lines
        if line.event is LogEvent.VERDICT_CHANGED and line.instance == last.instance
    ]
    text = "It was quarantined: it, or a part of its prompt, crashed endpoints in earlier requests."
    if verdicts:
        text += f" In quarantine at this instance: {', '.join(verdicts)}."
    return text


def _explain_shutdown(explanation: Explanation, last: LogLine) -> str:
    return f"{last.instance} was shutting down and accepted no new requests."


def _explain_other(explanation: Explanation, last: LogLine) -> str:
    return f"It was refused as {last.text('kind')} ({last.text('detail')})."


def _last_failure(explanation: Explanation) -> LogLine | None:
    failures = [line for line in explanation.own_lines if line.event is LogEvent.ATTEMPT_FAILED]
    return failures[-1] if failures else None


def _describe_failure(explanation: Explanation, failure: LogLine) -> str:
    endpoint = failure.text("endpoint")
    text = (
        f"The attempt at {endpoint} ended as {failure.text('result')} ({failure.text('detail')})."
    )
    down_lines = [line for line in explanation.lines if line.event is LogEvent.ENDPOINT_DOWN]
    instances = {line.instance for line in down_lines if line.text("endpoint") == endpoint}
    if instances:
        text += f" {endpoint} was marked down by {len(instances)} instance(s) around that time."
    if explanation.other_failures:
        text += f" {explanation.other_failures} attempts of other requests failed there too."
    return text


_EXPLAINERS: dict[ErrorKind, Callable[[Explanation, LogLine], str]] = {
    ErrorKind.OVERLOADED: _explain_overload,
    ErrorKind.OVER_LIMIT: _explain_overload,
    ErrorKind.DEADLINE_UNREACHABLE: _explain_overload,
    ErrorKind.NO_ENDPOINT: _explain_overload,
    ErrorKind.RETRIES_EXHAUSTED: _explain_failed_attempt,
    ErrorKind.ENDPOINT_FAILED: _explain_failed_attempt,
    ErrorKind.OUTCOME_UNKNOWN: _explain_failed_attempt,
    ErrorKind.STREAM_BROKEN: _explain_failed_attempt,
    ErrorKind.PLATFORM_UNAVAILABLE: _explain_store_outage,
    ErrorKind.UNAUTHENTICATED: _explain_unknown_name,
    ErrorKind.NOT_FOUND: _explain_unknown_name,
    ErrorKind.SHUTTING_DOWN: _explain_shutdown,
    ErrorKind.QUARANTINED: _explain_quarantine,
}
