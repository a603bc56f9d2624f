"""Tests of the log events and their reference page."""

from __future__ import annotations

import json
import os
import re
from pathlib import Path

import eliot
import pytest

import rattangate
from rattangate.log_events import LogEvent, is_secret, log, open_log
from tools.build_reference import REFERENCE, render_log_events

PACKAGE = Path(rattangate.__file__).parent

PACKAGE = Path(__file__).parent.parent / "rattangate"


@pytest.fixture
def no_buffered_events():
    """Discard what other tests have logged; eliot buffers it for the first destination."""
    buffered: list[object] = []
    eliot.add_destinations(buffered.append)
    eliot.remove_destination(buffered.append)


def test_page_is_generated_from_the_code():
    assert (REFERENCE / "log-events.md").read_text() == render_log_events()


def test_numbers_are_unique_and_fields_hold_no_secret():
    numbers = [event.number for event in LogEvent]
    assert len(set(numbers)) == len(numbers)
    assert not [field for event in LogEvent for field in event.fields if is_secret(field)]


def test_every_event_used_in_the_source_is_declared():
    used = set()
    for path in PACKAGE.rglob("*.py"):
        used.update(re.findall(r"\bLogEvent\.([A-Z_]+)", path.read_text()))
    assert used <= set(LogEvent.__members__)


@pytest.mark.parametrize("name", ["key", "api_key", "secret", "token", "Authorization"])
def test_log_rejects_fields_that_may_hold_secrets(name):
    with pytest.raises(ValueError, match="secret"):
        log(LogEvent.PLATFORM_UP, **{name: "x"})


def test_log_rejects_undeclared_fields():
    with pytest.raises(ValueError, match="declares no field"):
        log(LogEvent.PLATFORM_UP, colour="red")


def test_blocked_output_drops_lines_and_reports_them(no_buffered_events):
    reader, writer_fd = os.pipe()
    writer, close = open_log("a1", writer_fd)
    writer._max_lines = 10
    try:
        for _ in range(2000):
            log(LogEvent.PLATFORM_UP, service="table")
        assert writer.dropped > 0
        received = b""
        while writer._lines:
            received += os.read(reader, 1 << 20)
            writer.flush()
        received += os.read(reader, 1 << 20)
    finally:
        close()
        os.close(writer_fd)
        os.close(reader)
    events = [json.loads(line) for line in received.splitlines()]
    assert events[0]["number"] == 511
    assert events[0]["instance_name"] == "a1"
    dropped = [event["lines"] for event in events if event["message_type"] == "log_lines_dropped"]
    assert sum(dropped) + len(events) - len(dropped) == 2000


def test_every_declared_event_is_logged_somewhere():
    # The modules that explain log lines mention events but log none.
    sources = [path for path in PACKAGE.rglob("*.py") if path.name != "log_events.py"]
    sources = [path for path in sources if path.parent.name != "explain"]
    text = "\n".join(path.read_text() for path in sources)
    never_logged = [event.name for event in LogEvent if f"LogEvent.{event.name}" not in text]
    # LineWriter logs this event itself, in log_events.py.
    assert never_logged == ["LOG_LINES_DROPPED"]
