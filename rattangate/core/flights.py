"""Track where requests run, so that identical ones go to the same endpoint until one completes.

If such a request crashes its endpoint, its copies do not take down further endpoints.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattangate.core.endpoint_key import EndpointKey

# How long a digest counts as in flight after it was sent, unless it completes or is lost.
RETENTION_S = 5.0
MAX_COMPLETED = 4096
MAX_IN_FLIGHT = 16_384


class InFlightDigests:
    """Map each request digest in flight at this instance or a peer to its endpoint.

    A digest that has completed once is known not to crash endpoints and is no longer tracked.
    """

    def __init__(self) -> None:
        self._in_flight: OrderedDict[bytes, tuple[EndpointKey, float]] = OrderedDict()
        self._completed: OrderedDict[bytes, None] = OrderedDict()

    def record_sent(self, digest: bytes, key: EndpointKey, now: float) -> None:
        """Record that a request was sent to an endpoint."""
        if not digest or digest in self._completed or self.endpoint_of(digest, now):
            return
        self._in_flight[digest] = (key, now + RETENTION_S)
        self._in_flight.move_to_end(digest)
        if len(self._in_flight) > MAX_IN_FLIGHT:
            self._in_flight.popitem(last=False)

    def record_completed(self, digest: bytes) -> None:
        """Record that a request completed, after which its digest is no longer tracked."""
        self._in_flight.pop(digest, None)
        self._completed[digest] = None
        self._completed.move_to_end(digest)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)

    def record_lost(self, digest: bytes) -> None:
        """Forget the endpoint of a request whose attempt was lost."""
        self._in_flight.pop(digest, None)

    def endpoint_of(self, digest: bytes, now: float) -> EndpointKey | None:
        """Return the endpoint that runs or recently ran a request not yet known to complete."""
        key, deadline = self._in_flight.get(digest, (None, 0.0))
        return key if now < deadline else None

    def expire(self, now: float) -> None:
        """Remove the entries whose deadline has passed, oldest first."""
        while self._in_flight:
            digest, (_, deadline) = next(iter(self._in_flight.items()))
            if now < deadline:
                return
            del self._in_flight[digest]
