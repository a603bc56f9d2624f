"""Names the cause of a request's end from the lines of its story."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.errors import ErrorKind
from rattangate.log_events import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.explain.lines import LogLine
    from rattangate.explain.story import Story

FINAL = frozenset({LogEvent.REQUEST_DONE, LogEvent.REQUEST_REFUSED, LogEvent.REQUEST_ABANDONED})


def find_cause(story: Story) -> str:
    """Say in one or two sentences why the request ended as it did."""
    finals = [line for line in story.own if line.event in FINAL]
    if not finals:
        return (
            "There is no final line: the caller went away, the instance ended, or the line is"
            " among those that log_lines_dropped counts."
        )
    last = finals[-1]
    if last.event is LogEvent.REQUEST_DONE:
        return _tell_done(story, last)
    if last.event is LogEvent.REQUEST_ABANDONED:
        return "The caller went away before the answer was whole."
    kind = ErrorKind(last.text("kind"))
    return _TELLERS.get(kind, _tell_other)(story, last)


def _tell_done(story: Story, last: LogLine) -> str:
    text = f"It was answered by {last.text('endpoint')} after {last.text('attempts')} attempt(s)."
    failed = _last_failure(story)
    return text if failed is None else f"{text} {_describe_failure(story, failed)}"


def _tell_overload(story: Story, last: LogLine) -> str:
    load = story.load
    live = last.text("endpoints_live") or "an unknown number of"
    text = (
        f"It was refused because no endpoint could answer in time ({last.text('detail')})."
        f" {live} endpoints of its service were live; in the second before, this instance placed"
        f" {load.placed} requests, which had waited for {load.longest_queued_ms} ms at the most"
        f" and expected their first token after {load.median_expected_ms} ms (median), and"
        f" refused {load.refused}."
    )
    if story.endpoints_down:
        text += f" Not live, in the last seconds: {', '.join(story.endpoints_down)}."
    return text


def _tell_failed(story: Story, last: LogLine) -> str:
    failed = _last_failure(story)
    if failed is None:
        return _tell_unanswered(story, last)
    ran = "may have run" if last.text("run_state") == "may have run" else "did not run"
    text = f"{_describe_failure(story, failed)} The request {ran}"
    if last.text("kind") == ErrorKind.OUTCOME_UNKNOWN.value:
        return f"{text}, and must not be repeated without its caller's word."
    return f"{text}; its attempts or the budget of retries were used up ({last.text('detail')})."


def _tell_unanswered(story: Story, last: LogLine) -> str:
    placed = [line for line in story.own if line.event is LogEvent.REQUEST_PLACED]
    if not placed:
        return f"It failed without a failed attempt in the logs ({last.text('detail')})."
    waited_ms = round((last.at - placed[-1].at) * 1000)
    text = (
        f"It was sent to {placed[-1].text('endpoint')}, which had not answered {waited_ms} ms later"
        f" ({last.text('detail')}); it {last.text('run_state')}."
    )
    if story.failures_elsewhere:
        text += f" {story.failures_elsewhere} attempts of other requests failed there too."
    return text


def _tell_store(story: Story, last: LogLine) -> str:
    text = f"It was refused because {last.text('detail')}."
    down = [line for line in story.lines if line.event is LogEvent.PLATFORM_DOWN]
    down = [line for line in down if line.instance == last.instance and line.at <= last.at]
    if not down:
        return f"{text} The store had not yet answered this instance since its start."
    ago_s = last.at - down[-1].at
    text += f" The store fell silent {ago_s:.1f} s before: {down[-1].text('error')}."
    up = [line for line in story.lines if line.event is LogEvent.PLATFORM_UP]
    up = [line for line in up if line.instance == last.instance]
    up = [line for line in up if down[-1].at < line.at <= last.at]
    if up:
        text += f" It answered a call again {last.at - up[-1].at:.1f} s before, not yet this read."
    return text


def _tell_config(story: Story, last: LogLine) -> str:
    what = "key" if last.text("kind") == ErrorKind.UNAUTHENTICATED.value else "path"
    text = f"The {last.text('detail')} knows no such {what}."
    taken = [line for line in story.lines if line.event is LogEvent.CONFIG_IN_FORCE]
    taken = [line for line in taken if line.instance == last.instance and line.at <= last.at]
    if taken:
        version, ago_s = taken[-1].text("version"), last.at - taken[-1].at
        text += f" Version {version} had been in force at this instance for {ago_s:.1f} s."
    return text


def _tell_stopping(story: Story, last: LogLine) -> str:
    return f"{last.instance} was shutting down and took no new requests."


def _tell_other(story: Story, last: LogLine) -> str:
    return f"It was refused as {last.text('kind')} ({last.text('detail')})."


def _last_failure(story: Story) -> LogLine | None:
    failed = [line for line in story.own if line.event is LogEvent.ATTEMPT_FAILED]
    return failed[-1] if failed else None


def _describe_failure(story: Story, failed: LogLine) -> str:
    endpoint = failed.text("endpoint")
    text = f"The attempt at {endpoint} ended as {failed.text('result')} ({failed.text('detail')})."
    told = [line for line in story.lines if line.event is LogEvent.ENDPOINT_DOWN]
    instances = {line.instance for line in told if line.text("endpoint") == endpoint}
    if instances:
        text += f" {endpoint} was held for down by {len(instances)} instance(s) around that time."
    if story.failures_elsewhere:
        text += f" {story.failures_elsewhere} attempts of other requests failed there too."
    return text


_TELLERS: dict[ErrorKind, Callable[[Story, LogLine], str]] = {
    ErrorKind.OVERLOADED: _tell_overload,
    ErrorKind.OVER_LIMIT: _tell_overload,
    ErrorKind.DEADLINE_UNREACHABLE: _tell_overload,
    ErrorKind.NO_ENDPOINT: _tell_overload,
    ErrorKind.RETRIES_EXHAUSTED: _tell_failed,
    ErrorKind.ENDPOINT_FAILED: _tell_failed,
    ErrorKind.OUTCOME_UNKNOWN: _tell_failed,
    ErrorKind.STREAM_BROKEN: _tell_failed,
    ErrorKind.PLATFORM_UNAVAILABLE: _tell_store,
    ErrorKind.UNAUTHENTICATED: _tell_config,
    ErrorKind.NOT_FOUND: _tell_config,
    ErrorKind.SHUTTING_DOWN: _tell_stopping,
}
