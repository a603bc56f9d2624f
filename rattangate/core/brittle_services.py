"""Services whose endpoints fall over if they must reject too many requests for want of room.

Such an endpoint is given no more requests than it has room for, as far as the placements of all
instances tell. Once it has rejected one, all instances together send it less than it completed
before, and slowly more from there on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattangate.core.endpoint_limits import EndpointLimits
from rattangate.core.messages import (
    EndpointLimit,
    EndpointLimitReported,
    EndpointRejection,
    ServiceBrittlenessChanged,
)
from rattangate.core.request_permits import MIN_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.endpoint_key import EndpointKey
    from rattangate.core.endpoint_state import Endpoint
    from rattangate.core.messages import BrittlenessReported, EndpointLimitChanged

# An endpoint that rejected a request gets this share of the requests that it completed before;
# that grows again.
FULL_SHARE = 0.8
GROWTH_PER_S = 1.15
# Time constant of the count of completed requests.
COMPLETED_WINDOW_S = 3.0
# Rejections within this time of each other count once.
SAME_FULLNESS_S = 0.5
# An endpoint that may get so many requests a second needs no limit.
FREE_PER_S = 100.0
# Placements of peers become known within this time.
NEWS_DELAY_S = 0.3
# In any second, permits allow for twice their rate and two requests.
PERMITS_RATE_FACTOR = 2.0
PERMITS_EXTRA = 2.0
# Prefill work that may wait at an engine, in seconds.
ENGINE_WAIT_S = 0.25
# A request that finds no room looks for some again after this time.
ROOM_WAIT_S = 0.05
MAX_PRIORITY = 1_000_000


@dataclass(frozen=True, slots=True)
class _Fullness:
    """Hold the requests a second that a full endpoint gets from `since` on."""

    lowest_per_s: float
    since: float

    def per_s(self, now: float) -> float | None:
        """Return the requests a second at a time, None for any number."""
        # In steps, since permits of another rate are counted anew.
        steps = max(0, math.floor(now - self.since))
        per_s = self.lowest_per_s * GROWTH_PER_S**steps
        return per_s if per_s < FREE_PER_S else None


@dataclass(slots=True)
class _Completed:
    """Count completed requests, which decay exponentially."""

    count: float = 0.0
    counted_at: float = 0.0

    def record(self, now: float) -> None:
        """Count one request."""
        self.count = self._decayed(now) + 1.0
        self.counted_at = now

    def per_s(self, now: float) -> float:
        """Return the requests a second."""
        return self._decayed(now) / COMPLETED_WINDOW_S

    def _decayed(self, now: float) -> float:
        return self.count * math.exp(min(0.0, self.counted_at - now) / COMPLETED_WINDOW_S)


class BrittleServices:
    """Track which services are brittle and which of their endpoints are full."""

    def __init__(self) -> None:
        # The rejections a second that an endpoint of a service can bear; see `_key`.
        self._limits = EndpointLimits()
        # By the name of an endpoint.
        self._full: dict[str, _Fullness] = {}
        self._completed: dict[str, _Completed] = {}
        # The service of an endpoint, and when it last rejected a request of this instance.
        self._unsent_rejections: dict[EndpointKey, tuple[str, float]] = {}

    @property
    def has_unsent(self) -> bool:
        """Tell whether peers were not told of all that this instance read itself."""
        return self._limits.has_unsent or bool(self._unsent_rejections)

    def is_brittle(self, service: str) -> bool:
        """Tell whether the endpoints of a service say that they are brittle."""
        return self._limits.limit_of(_key(service)) is not None

    def limit_of(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the requests a second that an endpoint may get, None for any number.

        There is a limit once it has rejected a request, until it has borne a high rate again.
        """
        if not self.is_brittle(endpoint.status.serves):
            return None
        fullness = self._full.get(endpoint.name)
        return None if fullness is None else fullness.per_s(now)

    def room_wait_s(self, endpoint: Endpoint, now: float) -> float:
        """Return how long a request must wait for room at an endpoint, 0 if there is some now."""
        if not self.is_brittle(endpoint.status.serves):
            return 0.0
        if endpoint.status.slots > 1:
            has_room = _count_placed(endpoint, now) < endpoint.status.slots
        else:
            has_room = endpoint.wait_s(MAX_PRIORITY, now) <= ENGINE_WAIT_S
        return 0.0 if has_room else ROOM_WAIT_S

    def apply_report(
        self, msg: BrittlenessReported, service: str, now: float
    ) -> list[ServiceBrittlenessChanged]:
        """Apply what an answer of one of the endpoints says of its service; return the change."""
        report = EndpointLimitReported(*_key(service), msg.max_rejections_per_s, msg.sent_at)
        return _changes(self._limits.apply_report(report, now))

    def record_rejection(self, key: EndpointKey, service: str, now: float) -> None:
        """Record that an endpoint rejected a request of this instance."""
        rejections_per_s = self._limits.limit_of(_key(service))
        if rejections_per_s is not None:
            self._unsent_rejections[key] = (service, now)
            self._reduce(key, rejections_per_s, now)

    def _reduce(self, key: EndpointKey, rejections_per_s: float, at: float) -> None:
        # A restarted endpoint has no more room than before, so the incarnation does not matter.
        name = key[0]
        known = self._full.get(name)
        if known is not None and at < known.since + SAME_FULLNESS_S:
            return
        lowest = max(MIN_PER_S, (rejections_per_s - PERMITS_EXTRA) / PERMITS_RATE_FACTOR)
        completed_per_s = self._completed.get(name, _Completed()).per_s(at)
        grown = None if known is None else known.per_s(at)
        per_s = completed_per_s if grown is None else min(grown, completed_per_s)
        self._full[name] = _Fullness(max(lowest, FULL_SHARE * per_s), at)

    def record_completed(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint completed a request of any instance, or its prompt."""
        if self.is_brittle(endpoint.status.serves):
            self._completed.setdefault(endpoint.name, _Completed()).record(now)

    def apply_peer(
        self,
        services: Iterable[EndpointLimit],
        rejections: Iterable[EndpointRejection],
        now: float,
    ) -> list[ServiceBrittlenessChanged]:
        """Apply what a peer has read in answers; return the changes."""
        changes: list[ServiceBrittlenessChanged] = []
        for limit in services:
            changes.extend(_changes(self._limits.apply_peer(limit, now)))
        for rejection in rejections:
            rejections_per_s = self._limits.limit_of(_key(rejection.service))
            if rejections_per_s is not None:
                key = (rejection.endpoint, rejection.incarnation)
                self._reduce(key, rejections_per_s, now - rejection.age_s)
        return changes

    def take_unsent_services(self, now: float) -> tuple[EndpointLimit, ...]:
        """Return the services of which peers were not told, and count them as told."""
        return self._limits.take_unsent(now)

    def take_unsent_rejections(self, now: float) -> tuple[EndpointRejection, ...]:
        """Return the rejections of which peers were not told, and count them as told."""
        unsent, self._unsent_rejections = self._unsent_rejections, {}
        return tuple(
            EndpointRejection(*key, service, now - at) for key, (service, at) in unsent.items()
        )

    def schedule_resend(self) -> None:
        """Send all that this instance read itself with the next update, for a new peer."""
        self._limits.schedule_resend()

    def expire(self, now: float) -> None:
        """Forget the rejections that do not limit an endpoint any more, and old completions."""
        self._full = {name: one for name, one in self._full.items() if one.per_s(now) is not None}
        self._completed = {
            name: one for name, one in self._completed.items() if one.per_s(now) >= MIN_PER_S
        }


def _count_placed(endpoint: Endpoint, now: float) -> int:
    """Count the requests at an endpoint, with as many unknown ones as peers placed shortly before."""
    placed = [item.placed_at for item in endpoint.pending.values()]
    unknown = sum(now - 2 * NEWS_DELAY_S < at <= now - NEWS_DELAY_S for at in placed)
    return len(placed) + unknown


def _key(service: str) -> EndpointKey:
    """Return the key of a service among the limits, which name an endpoint and an incarnation."""
    return (service, 0)


def _changes(change: EndpointLimitChanged | None) -> list[ServiceBrittlenessChanged]:
    if change is None:
        return []
    return [ServiceBrittlenessChanged(change.endpoint, change.per_s, change.source)]
