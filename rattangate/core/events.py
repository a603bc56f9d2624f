"""Join the server-sent events of all attempts at a request into one stream, in order."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from rattangate.core.event_buffer import EventBuffer

if TYPE_CHECKING:
    from collections.abc import Iterator

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
_ID_LINE = re.compile(rb"^id:[ \t]*(\d+)", re.MULTILINE)
MAX_EVENT_BYTES = 1_000_000


class EventStreamError(Exception):
    """Report an event that is too large, incomplete, repeated, or does not follow the last one."""


class EventSplicer:
    """Forward complete events only, none of them twice.

    Ids rise within an attempt; the first event forwarded of a further attempt has to have the next
    id. `last_id` is the id of the last event forwarded, None before the first; `forwarded` is the
    number of events with an id forwarded so far.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.forwarded = 0
        self._buffer = EventBuffer(_EVENT_END, _MAX_END_BYTES)
        self._is_resuming = False
        self._fault: EventStreamError | None = None

    def begin_attempt(self) -> None:
        """Discard an incomplete event; the next bytes come from another endpoint.

        It may repeat events that were forwarded already, which are dropped.
        """
        self._buffer.clear()
        self._fault = None
        self._is_resuming = self.forwarded > 0

    def feed(self, data: bytes) -> bytes:
        """Return the events that the bytes complete up to a faulty one, without repeated ones.

        They count as forwarded. Call `check` once they are. Raise EventStreamError where an event
        is too large.
        """
        size = len(self._buffer) + len(data)
        if size > MAX_EVENT_BYTES:
            raise EventStreamError(
                f"{size} bytes of events buffered, expected at most {MAX_EVENT_BYTES}"
            )
        return b"".join(self._sound_events(self._buffer.feed(data)))

    def check(self) -> None:
        """Raise EventStreamError if an event is missing, or was repeated by the same endpoint."""
        if self._fault is not None:
            raise self._fault

    def finish(self) -> None:
        """Raise EventStreamError if the answer had a faulty event or ended inside one."""
        self.check()
        if not self._buffer.is_blank:
            raise EventStreamError(f"{len(self._buffer)} bytes of an incomplete event at the end")

    def _sound_events(self, events: list[bytes]) -> Iterator[bytes]:
        try:
            yield from (event for event in events if self._should_forward(event))
        except EventStreamError as exc:
            self._fault = exc

    def _should_forward(self, event: bytes) -> bool:
        found = _ID_LINE.search(event)
        if found is None:
            return True
        event_id = int(found.group(1))
        if self.last_id is not None and event_id <= self.last_id:
            if self._is_resuming:
                return False
            raise EventStreamError(
                f"event id {event_id} received, expected an id above {self.last_id}"
            )
        if self._is_resuming and self.last_id is not None and event_id > self.last_id + 1:
            raise EventStreamError(
                f"event id {event_id} received, expected the one after {self.last_id}"
            )
        self._is_resuming = False
        self.last_id = event_id
        self.forwarded += 1
        return True
