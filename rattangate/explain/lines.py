"""Reads the log lines of instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from rattangate.log_events import LogEvent

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line; `at` is in seconds since 1970 on the instance's own clock."""

    at: float
    instance: str
    event: LogEvent
    fields: Mapping[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text, empty where the line has none."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def number(self, name: str) -> int:
        """Return a field as a number, 0 where the line has none."""
        value = self.fields.get(name)
        return value if isinstance(value, int) else 0


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Hold the lines in the order of their times, and how many could not be read."""

    lines: tuple[LogLine, ...]
    unreadable: int


class _RawLine(msgspec.Struct):
    timestamp: float
    message_type: str
    instance_name: str = ""


def read_log(texts: Iterable[str]) -> ReadLog:
    """Read lines of any number of instances; what stands before a line's first brace is ignored."""
    lines = []
    unreadable = 0
    for text in texts:
        if not text.strip():
            continue
        line = _read_line(text)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.at)
    return ReadLog(tuple(lines), unreadable)


def _read_line(text: str) -> LogLine | None:
    _, brace, rest = text.partition("{")
    try:
        fields = msgspec.json.decode(brace + rest)
        raw = msgspec.convert(fields, _RawLine)
        event = LogEvent[raw.message_type.upper()]
    except (msgspec.MsgspecError, UnicodeError, KeyError):
        return None
    return LogLine(raw.timestamp, raw.instance_name, event, fields)
