"""Keep this instance to its part of the request rates that endpoints name."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from rattangate.core.active_requests import incarnation_key
from rattangate.core.brittle_services import BrittleServices
from rattangate.core.endpoint_limits import EndpointLimits
from rattangate.core.request_permits import RequestPermits

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rattangate.core.endpoint_state import Endpoint
    from rattangate.core.messages import (
        EndpointLimitChanged,
        EndpointLimitReported,
        LimitsUpdate,
        ServiceBrittlenessChanged,
    )

    LimitChange = EndpointLimitChanged | ServiceBrittlenessChanged


class LimitedEndpoints:
    """Join what endpoints say of their limits with the permits of this instance.

    `limits` holds the request rates that endpoints name, `brittle` the services whose endpoints
    must not reject much.
    """

    def __init__(self, instance: str) -> None:
        self.limits = EndpointLimits()
        self.brittle = BrittleServices()
        self.permits = RequestPermits(instance)

    def wait_s(self, endpoint: Endpoint, now: float) -> float:
        """Return the mean time until a request may be sent to an endpoint, 0 if that is now."""
        key = incarnation_key(endpoint)
        per_s = self._limit_of(endpoint, now)
        if per_s is not None and not self.permits.is_available(key, per_s, now):
            return self.permits.wait_s(per_s)
        return self.brittle.room_wait_s(endpoint, now)

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Use a permit for a request to an endpoint, if it needs one."""
        per_s = self._limit_of(endpoint, now)
        if per_s is not None:
            self.permits.take(incarnation_key(endpoint), per_s, now)

    def _limit_of(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the requests a second that an endpoint may get, None for any number."""
        named = self.limits.limit_of(incarnation_key(endpoint))
        if_full = self.brittle.limit_of(endpoint, now)
        return min((limit for limit in (named, if_full) if limit is not None), default=None)

    def apply_report(self, msg: EndpointLimitReported, now: float) -> list[EndpointLimitChanged]:
        """Apply what an answer says; return the change, if there is one."""
        return self._apply_change(self.limits.apply_report(msg, now))

    def apply_peer(self, update: LimitsUpdate, now: float) -> list[LimitChange]:
        """Apply what a peer has read; return the changes."""
        changes: list[LimitChange] = []
        for limit in update.endpoint_limits:
            changes.extend(self._apply_change(self.limits.apply_peer(limit, now)))
        changes.extend(self.brittle.apply_peer(update.brittle_services, update.rejections, now))
        return changes

    @property
    def has_unsent(self) -> bool:
        """Tell whether peers were not told of all that this instance read itself."""
        return self.limits.has_unsent or self.brittle.has_unsent

    def schedule_resend(self) -> None:
        """Send all that this instance read itself with the next update, for a new peer."""
        self.limits.schedule_resend()
        self.brittle.schedule_resend()

    def add_unsent(self, update: LimitsUpdate, now: float) -> LimitsUpdate:
        """Add to an update all that the peers were not told, and count it as told."""
        return replace(
            update,
            endpoint_limits=self.limits.take_unsent(now),
            brittle_services=self.brittle.take_unsent_services(now),
            rejections=self.brittle.take_unsent_rejections(now),
        )

    def drop_stale(self, incarnations: Mapping[str, int], now: float) -> None:
        """Forget the endpoints that have restarted or are not known any more."""
        for key in self.limits.drop_stale(incarnations, now):
            self.permits.forget(key)
        self.brittle.expire(now)

    def _apply_change(self, change: EndpointLimitChanged | None) -> list[EndpointLimitChanged]:
        if change is None:
            return []
        if change.per_s is None:
            self.permits.forget((change.endpoint, change.incarnation))
        return [change]
