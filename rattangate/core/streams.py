"""Validation of the event stream of an answer, which may be continued by another attempt.

The caller gets every token exactly once and in order.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

import msgspec

from rattangate.core.event_buffer import EventBuffer

EVENT_END = b"\n\n"
_END_PATTERN = re.compile(re.escape(EVENT_END))
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
MAX_EVENT_BYTES = 1_000_000


class StreamFault(Enum):
    """Name the protocol violations in an engine's stream."""

    GAP = "gap"
    OTHER_SOURCE = "other_source"
    OTHER_REQUEST = "other_request"
    MALFORMED = "malformed"
    EVENT_TOO_LARGE = "event_too_large"


@dataclass(frozen=True, slots=True)
class FeedResult:
    """Report the result of a chunk of bytes: the events to forward and their number of tokens."""

    forward: bytes
    tokens: int
    done: bool = False
    fault: StreamFault | None = None


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details | None = None


class _Chunk(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []
    offset: int | None = None
    system_fingerprint: str | None = None
    usage: _Usage | None = None


_decode_chunk = msgspec.json.Decoder(_Chunk).decode


class StreamChecker:
    """Validate the event stream of one answer over all its attempts.

    Offsets count tokens from 0. The `id` of each chunk must end with the request's identifier, to
    which engines may add a prefix, and its `system_fingerprint` must be that of the attempt.
    """

    def __init__(self, request_id: str = "") -> None:
        self.next_offset = 0
        self.finish_reason: str | None = None
        self.cached_tokens = 0
        self._request_id = request_id
        self._texts: list[str] = []
        self._buffer = EventBuffer(_END_PATTERN, len(EVENT_END))
        self._fingerprint = ""

    @property
    def text(self) -> str:
        """Return the text of the events accepted so far."""
        return "".join(self._texts)

    def begin_attempt(self, fingerprint: str) -> None:
        """Expect the following bytes from a new attempt, which continues at the next offset."""
        self._buffer.clear()
        self._fingerprint = fingerprint

    def feed(self, data: bytes) -> FeedResult:
        """Validate the events that these bytes complete; a partial event is buffered."""
        events = [event.removesuffix(EVENT_END) for event in self._buffer.feed(data)]
        if len(self._buffer) > MAX_EVENT_BYTES:
            return FeedResult(b"", 0, fault=StreamFault.EVENT_TOO_LARGE)
        forward: list[bytes] = []
        tokens = 0
        for event in events:
            action = self._check(event)
            if isinstance(action, StreamFault):
                return FeedResult(b"".join(forward), tokens, fault=action)
            if action is _EventAction.DONE:
                return FeedResult(b"".join(forward), tokens, done=True)
            if action is _EventAction.FORWARD:
                forward.append(event + EVENT_END)
                tokens += 1
        return FeedResult(b"".join(forward), tokens)

    def _check(self, event: bytes) -> _EventAction | StreamFault:
        if not event.startswith(DATA_PREFIX):
            return _EventAction.DROP if event.startswith(b":") else StreamFault.MALFORMED
        payload = event[len(DATA_PREFIX) :]
        if payload == DONE:
            return _EventAction.DONE if self.finish_reason is not None else StreamFault.GAP
        try:
            chunk = _decode_chunk(payload)
        except (msgspec.DecodeError, ValueError, RecursionError):
            return StreamFault.MALFORMED
        if chunk.system_fingerprint not in (None, self._fingerprint):
            return StreamFault.OTHER_SOURCE
        if not chunk.id.endswith(self._request_id):
            return StreamFault.OTHER_REQUEST
        offset = self.next_offset if chunk.offset is None else chunk.offset
        if offset < self.next_offset:
            return _EventAction.DROP
        if offset > self.next_offset:
            return StreamFault.GAP
        self._record(chunk)
        return _EventAction.FORWARD

    def _record(self, chunk: _Chunk) -> None:
        if chunk.choices:
            choice = chunk.choices[0]
            text = choice.text if choice.delta is None else choice.delta.content
            self._texts.append(text or "")
            self.next_offset += 1
            self.finish_reason = choice.finish_reason or self.finish_reason
        if chunk.usage is not None and chunk.usage.prompt_tokens_details is not None:
            self.cached_tokens = chunk.usage.prompt_tokens_details.cached_tokens


class _EventAction(Enum):
    """Name what is done with a valid event."""

    FORWARD = "forward"
    DROP = "drop"
    DONE = "done"
