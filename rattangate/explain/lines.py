"""Parses the log lines of instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one log line; `at` is in seconds since 1970 on the clock of the instance."""

    at: float
    instance: str
    event: LogEvent
    fields: Mapping[str, Any]

    def text(self, name: str) -> str:
        """Return a field as a string, empty if the line does not have it."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def number(self, name: str) -> int:
        """Return an integer field, 0 if the line does not have it or it is not an integer."""
        value = self.fields.get(name)
        return value if isinstance(value, int) else 0


@dataclass(frozen=True, slots=True)
class ParsedLog:
    """Hold the lines, sorted by time, and the number of lines that could not be parsed."""

    lines: tuple[LogLine, ...]
    unreadable: int


class _RawLine(msgspec.Struct):
    timestamp: float
    message_type: str
    instance_name: str = ""


def read_log(raw_lines: Iterable[str]) -> ParsedLog:
    """Parse the lines of several instances; text before the first brace of a line is ignored."""
    lines = []
    unreadable = 0
    for raw_line in raw_lines:
        if not raw_line.strip():
            continue
        line = _parse_line(raw_line)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.at)
    return ParsedLog(tuple(lines), unreadable)


def _parse_line(raw_line: str) -> LogLine | None:
    _, opening_brace, remainder = raw_line.partition("{")
    try:
        fields = decode_json(opening_brace + remainder)
        raw = msgspec.convert(fields, _RawLine)
        event = LogEvent[raw.message_type.upper()]
    except (msgspec.MsgspecError, UnicodeError, KeyError):
        return None
    return LogLine(raw.timestamp, raw.instance_name, event, fields)
