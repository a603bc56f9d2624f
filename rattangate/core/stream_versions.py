"""The software version at which each stream began, so that it goes on at no other one.

What two versions of an endpoint's software write does not fit together.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.messages import EndpointState, KnownBy, StreamOrigin

if TYPE_CHECKING:
    from rattangate.core.messages import EndpointStatus

# Longer than a caller waits for a stream and takes it up again.
STREAM_RETENTION_S = 60.0
MAX_STREAMS = 200_000


# The name and the incarnation of an endpoint.
IncarnationKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _Begun:
    endpoint: IncarnationKey
    at: float


@dataclass(frozen=True, slots=True)
class _Serving:
    service: str
    version: str


class StreamVersions:
    """Track the version of each recent stream, and the versions that serve or did so recently."""

    def __init__(self) -> None:
        self._streams: OrderedDict[bytes, _Begun] = OrderedDict()
        self._serving: dict[str, _Serving] = {}
        self._last_served: dict[_Serving, float] = {}
        self._versions: dict[IncarnationKey, str] = {}
        self._current: dict[str, IncarnationKey] = {}
        # When an incarnation was replaced or went down.
        self._ended_at: dict[IncarnationKey, float] = {}

    def record_endpoint(self, status: EndpointStatus, now: float) -> None:
        """Record the version of an endpoint, or that the endpoint is gone."""
        self._record_version(status, now)
        previous = self._serving.pop(status.endpoint, None)
        if previous is not None:
            self._last_served[previous] = now
        if status.state not in (EndpointState.DOWN, EndpointState.CACHE_STORE):
            serving = _Serving(status.serves, status.software_version)
            self._serving[status.endpoint] = serving
            self._last_served[serving] = now

    def record_placement(self, stream: bytes, endpoint: IncarnationKey, now: float) -> None:
        """Record where a stream was sent last; its first event pins it to that version.

        The version of an incarnation that is not listed here yet is known once it is.
        """
        if not stream:
            return
        self._streams[stream] = _Begun(endpoint, now)
        self._streams.move_to_end(stream)
        self._prune(now)

    def origin_of(self, stream: bytes, service: str, now: float) -> StreamOrigin | None:
        """Return the version at which a stream began, None if it cannot be known.

        A stream that was never heard of is of the only version of its service, if there is one.
        """
        begun = self._streams.get(stream)
        if begun is not None:
            version = self._versions.get(begun.endpoint)
            if version is None:
                return None
            return StreamOrigin(version, KnownBy.NEWS, now - begun.at)
        versions = self._recent_versions(service, now)
        return StreamOrigin(versions.pop(), KnownBy.ONLY_VERSION) if len(versions) == 1 else None

    def _record_version(self, status: EndpointStatus, now: float) -> None:
        key = (status.endpoint, status.incarnation)
        self._versions[key] = status.software_version
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
            del self._versions[key]
            if self._current[key[0]] == key:
                del self._current[key[0]]

    def _recent_versions(self, service: str, now: float) -> set[str]:
        limit = now - STREAM_RETENTION_S
        recent = {
            serving.version
            for serving, at in self._last_served.items()
            if serving.service == service and at >= limit
        }
        serving_now = {
            serving.version for serving in self._serving.values() if serving.service == service
        }
        return recent | serving_now

    def _prune(self, now: float) -> None:
        limit = now - STREAM_RETENTION_S
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if oldest.at >= limit and len(self._streams) <= MAX_STREAMS:
                return
            self._streams.popitem(last=False)
