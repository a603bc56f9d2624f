"""Which software began each stream, so that no other goes on with it.

What two versions of an endpoint's software write does not fit together, nor what two services write.
A stream is known by the news of its placement. One without news goes on only if a single software
can have begun it, which takes knowledge of all that served for as long as a stream may last.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.messages import EndpointState
from rattangate.core.stream_history import (
    BegunStream,
    KnownBy,
    ServedSoftware,
    Software,
    StreamHistory,
    StreamOrigin,
)

if TYPE_CHECKING:
    from rattangate.core.endpoint_key import EndpointKey
    from rattangate.core.messages import EndpointStatus

# Longer than a caller waits for a stream and takes it up again.
STREAM_RETENTION_S = 30.0
MAX_STREAMS = 200_000
# Without a read of the endpoint list for this time, software may have come and gone unnoticed.
MAX_LIST_GAP_S = 5.0
# More than any stream lasts; what was known before is not told.
MAX_KNOWN_S = 2 * STREAM_RETENTION_S
# The newest streams that a peer is told of when it connects.
MAX_STREAMS_IN_HISTORY = 8_192


@dataclass(frozen=True, slots=True)
class _Begun:
    """Hold where a stream was placed last, by its endpoint or by the software that a peer named."""

    at: float
    endpoint: EndpointKey | None = None
    software: Software | None = None


class StreamVersions:
    """Track the software of each recent stream, and the software that serves or did so recently."""

    def __init__(self) -> None:
        self._streams: OrderedDict[bytes, _Begun] = OrderedDict()
        self._serving: dict[str, Software] = {}
        self._last_served: dict[Software, float] = {}
        self._model_services: set[str] = set()
        self._software: dict[EndpointKey, Software] = {}
        self._current: dict[str, EndpointKey] = {}
        # When an incarnation was replaced or went down.
        self._ended_at: dict[EndpointKey, float] = {}
        # All software that served between these two is known.
        self._known_since = math.inf
        self._known_until = -math.inf

    def record_endpoint(self, status: EndpointStatus, now: float) -> None:
        """Record the software of an endpoint, or that the endpoint is gone."""
        software = status.software
        self._record_incarnation(status, software, now)
        if status.weights_version:
            self._model_services.add(status.serves)
        previous = self._serving.pop(status.endpoint, None)
        if previous is not None:
            self._last_served[previous] = now
        if status.state not in (EndpointState.DOWN, EndpointState.CACHE_STORE):
            self._serving[status.endpoint] = software
            self._last_served[software] = now

    def record_list_read(self, listed: frozenset[EndpointKey], now: float) -> None:
        """Record that all endpoints of the list are known now.

        One that is listed may serve at other instances, whether or not this one reaches it.
        """
        for key, software in self._software.items():
            if key in listed:
                self._last_served[software] = now
                self._ended_at.pop(key, None)
            else:
                self._ended_at.setdefault(key, now)
        if now - self._known_until > MAX_LIST_GAP_S:
            self._known_since = now
        self._known_until = now

    def record_placement(self, stream: bytes, endpoint: EndpointKey, now: float) -> None:
        """Record where a stream was sent last; its first event pins it to that software.

        The software of an incarnation that is not listed here yet is known once it is.
        """
        if stream:
            self._record_begun(stream, _Begun(now, endpoint=endpoint))
            self._prune(now)

    def listed_software(self) -> dict[Software, bool]:
        """Return the software of the listed endpoints, and whether its service runs models."""
        return {
            self._software[key]: self._software[key].service in self._model_services
            for key in self._current.values()
            if key not in self._ended_at
        }

    def news_of(self, stream: bytes, now: float) -> StreamOrigin | None:
        """Return the software that began a stream by the news of it, None without usable news."""
        begun = self._streams.get(stream)
        software = None if begun is None else self._software_of(begun)
        if begun is None or software is None:
            return None
        return StreamOrigin(software, KnownBy.NEWS, now - begun.at)

    def origin_of(self, stream: bytes, service: str, now: float) -> StreamOrigin | None:
        """Return the software that began a stream, None if it cannot be known.

        The news of the stream must have had the time to arrive.
        """
        if stream in self._streams:
            return self.news_of(stream, now)
        only = self._only_software(service, now)
        return None if only is None else StreamOrigin(only, KnownBy.ONLY_SOFTWARE)

    def history(self, now: float) -> StreamHistory:
        """Return what an instance that has just started, or missed news, is told."""
        is_fresh = self._is_list_fresh(now)
        known_s = min(max(0.0, now - self._known_since), MAX_KNOWN_S) if is_fresh else 0.0
        list_age_s = now - self._known_until if is_fresh else 0.0
        streams = self._streams_since(-math.inf, now, MAX_STREAMS_IN_HISTORY)
        return StreamHistory(known_s, self._served(now), streams, list_age_s)

    def ambiguous_streams(self, since: float, now: float, limit: int) -> StreamHistory:
        """Return the newest streams begun since a time whose software cannot be told without news.

        `limit` is the greatest number of streams; there are none while one software serves.
        """
        kinds = Counter(
            software.service in self._model_services for software in self._recent_software(now)
        )
        if all(count == 1 for count in kinds.values()):
            return StreamHistory(0.0)
        return StreamHistory(0.0, self._served(now), self._streams_since(since, now, limit))

    def merge(self, history: StreamHistory, now: float) -> None:
        """Take over what a peer knows; of two records of a stream the newer one holds."""
        for served in history.served:
            at = now - served.age_s
            self._last_served[served.software] = max(at, self._last_served.get(served.software, at))
            if served.has_models:
                self._model_services.add(served.software.service)
        for begun in reversed(history.streams):
            at = now - begun.age_s
            known = self._streams.get(begun.stream)
            if known is None or known.at < at:
                self._record_begun(begun.stream, _Begun(at, software=begun.software))
        if history.known_s > 0:
            self._known_since = min(self._known_since, now - history.known_s)
            self._known_until = max(self._known_until, now - history.list_age_s)

    def _served(self, now: float) -> tuple[ServedSoftware, ...]:
        return tuple(
            ServedSoftware(software, now - at, software.service in self._model_services)
            for software, at in self._recent_software(now).items()
        )

    def _streams_since(self, since: float, now: float, limit: int) -> tuple[BegunStream, ...]:
        """Return up to `limit` streams whose software served recently, the last recorded first."""
        recent = self._recent_software(now)
        earliest = max(since, now - STREAM_RETENTION_S)
        streams: list[BegunStream] = []
        for stream, begun in reversed(self._streams.items()):
            software = self._software_of(begun)
            if begun.at >= earliest and software in recent:
                streams.append(BegunStream(stream, software, now - begun.at))
            if len(streams) == limit:
                break
        return tuple(streams)

    def _record_begun(self, stream: bytes, begun: _Begun) -> None:
        self._streams[stream] = begun
        self._streams.move_to_end(stream)

    def _software_of(self, begun: _Begun) -> Software | None:
        if begun.endpoint is None:
            return begun.software
        return self._software.get(begun.endpoint)

    def _only_software(self, service: str, now: float) -> Software | None:
        """Return the software that began each stream of a service, None if others may have.

        The route may have moved to this service from another one; both run models, or neither does.
        """
        if now - self._known_since < STREAM_RETENTION_S or not self._is_list_fresh(now):
            return None
        has_models = service in self._model_services
        candidates = [
            software
            for software in self._recent_software(now)
            if (software.service in self._model_services) == has_models
        ]
        is_only = len(candidates) == 1 and candidates[0].service == service
        return candidates[0] if is_only else None

    def _is_list_fresh(self, now: float) -> bool:
        return now - self._known_until <= MAX_LIST_GAP_S

    def _record_incarnation(self, status: EndpointStatus, software: Software, now: float) -> None:
        key = (status.endpoint, status.incarnation)
        self._software[key] = software
        previous = self._current.get(status.endpoint, key)
        self._current[status.endpoint] = key
        if previous != key:
            self._ended_at.setdefault(previous, now)
        if status.state is EndpointState.DOWN:
            self._ended_at.setdefault(key, now)
        else:
            self._ended_at.pop(key, None)
        self._forget_ended(now - STREAM_RETENTION_S)

    def _forget_ended(self, limit: float) -> None:
        for key in [key for key, at in self._ended_at.items() if at < limit]:
            del self._ended_at[key]
            del self._software[key]
            if self._current.get(key[0]) == key:
                del self._current[key[0]]

    def _recent_software(self, now: float) -> dict[Software, float]:
        """Return the software that served within the retention, and when it did so last."""
        limit = now - STREAM_RETENTION_S
        recent = {software: at for software, at in self._last_served.items() if at >= limit}
        return recent | dict.fromkeys(self._serving.values(), now)

    def _prune(self, now: float) -> None:
        limit = now - STREAM_RETENTION_S
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if oldest.at >= limit and len(self._streams) <= MAX_STREAMS:
                return
            self._streams.popitem(last=False)
