"""Keep this instance to its part of the request rates that endpoints name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.core.endpoint_limits import EndpointLimits
from rattangate.core.request_permits import RequestPermits

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rattangate.core.endpoint_limits import EndpointKey
    from rattangate.core.messages import (
        EndpointLimit,
        EndpointLimitChanged,
        EndpointLimitReported,
    )


class LimitedEndpoints:
    """Join the limits that endpoints name with the permits of this instance."""

    def __init__(self, instance: str) -> None:
        self.limits = EndpointLimits()
        self.permits = RequestPermits(instance)

    def wait_s(self, key: EndpointKey, now: float) -> float:
        """Return the mean time until a request may be sent to an endpoint, 0 if that is now."""
        per_s = self.limits.limit_of(key)
        if per_s is None or self.permits.is_available(key, per_s, now):
            return 0.0
        return self.permits.wait_s(per_s)

    def record_sent(self, key: EndpointKey, now: float) -> None:
        """Use a permit for a request to an endpoint, if it names a limit."""
        per_s = self.limits.limit_of(key)
        if per_s is not None:
            self.permits.take(key, per_s, now)

    def apply_report(self, msg: EndpointLimitReported, now: float) -> list[EndpointLimitChanged]:
        """Apply what an answer says; return the change, if there is one."""
        return self._apply_change(self.limits.apply_report(msg, now))

    def apply_peer(self, limits: Iterable[EndpointLimit], now: float) -> list[EndpointLimitChanged]:
        """Apply what a peer has read; return the changes."""
        changes: list[EndpointLimitChanged] = []
        for limit in limits:
            changes.extend(self._apply_change(self.limits.apply_peer(limit, now)))
        return changes

    def drop_stale(self, incarnations: Mapping[str, int], now: float) -> None:
        """Forget the endpoints that have restarted or are not known any more."""
        for key in self.limits.drop_stale(incarnations, now):
            self.permits.forget(key)

    def _apply_change(self, change: EndpointLimitChanged | None) -> list[EndpointLimitChanged]:
        if change is None:
            return []
        if change.per_s is None:
            self.permits.forget((change.endpoint, change.incarnation))
        return [change]
