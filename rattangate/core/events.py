"""Splice the server-sent events of one answer over all its attempts, whole and in order."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id:[ \t]*(\d+)", re.MULTILINE)
MAX_EVENT_BYTES = 1_000_000


class EventFault(Exception):  # noqa: N818
    """Report an event that cannot continue the answer."""


class EventSplicer:
    """Pass on whole events only, none twice; ids rise by one within an answer.

    `last_id` is the id of the last event passed on, None before the first.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.passed_on = 0
        self._buffer = b""
        self._is_continued = False

    def begin_attempt(self) -> None:
        """Expect the bytes of another source, which goes on after the last event passed on."""
        self._buffer = b""
        self._is_continued = self.passed_on > 0

    def feed(self, data: bytes) -> bytes:
        """Return the events that the bytes complete; raise EventFault where one is missing."""
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventFault("event too large")
        passed: list[bytes] = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer):
            event = self._buffer[start : match.end()]
            start = match.end()
            if self._accept(event):
                passed.append(event)
        self._buffer = self._buffer[start:]
        return b"".join(passed)

    def finish(self) -> bytes:
        """Return what is left at the complete end of the answer."""
        rest, self._buffer = self._buffer, b""
        return rest

    def _accept(self, event: bytes) -> bool:
        found = _ID_LINE.search(event)
        if found is None:
            return True
        event_id = int(found.group(1))
        if self.last_id is not None and event_id <= self.last_id:
            if self._is_continued:
                return False
            raise EventFault(f"event {event_id} after {self.last_id}")
        if self._is_continued and self.last_id is not None and event_id > self.last_id + 1:
            raise EventFault(f"event {event_id} after {self.last_id}")
        self._is_continued = False
        self.last_id = event_id
        self.passed_on += 1
        return True
