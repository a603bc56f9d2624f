"""Remember where requests run, so that copies of one not yet known as harmless stay together."""

from __future__ import annotations

from collections import OrderedDict

RETENTION_S = 5.0
MAX_HARMLESS = 4096
MAX_FLIGHTS = 16_384

Life = tuple[str, int]


class Flights:
    """Follow the endpoint of each digest in flight, own or a peer's."""

    def __init__(self) -> None:
        self._flights: OrderedDict[bytes, tuple[Life, float]] = OrderedDict()
        self._harmless: OrderedDict[bytes, None] = OrderedDict()

    def note(self, digest: bytes, life: Life, now: float) -> None:
        """Record that a request was sent to an endpoint."""
        if not digest or digest in self._harmless or self.endpoint_of(digest, now):
            return
        self._flights[digest] = (life, now + RETENTION_S)
        self._flights.move_to_end(digest)
        if len(self._flights) > MAX_FLIGHTS:
            self._flights.popitem(last=False)

    def note_completed(self, digest: bytes) -> None:
        """Record that a request ran to its end and needs no more care."""
        self._flights.pop(digest, None)
        self._harmless[digest] = None
        self._harmless.move_to_end(digest)
        if len(self._harmless) > MAX_HARMLESS:
            self._harmless.popitem(last=False)

    def note_lost(self, digest: bytes) -> None:
        """Forget where a request ran."""
        self._flights.pop(digest, None)

    def endpoint_of(self, digest: bytes, now: float) -> Life | None:
        """Return the endpoint that runs or lately ran a request of unknown effect."""
        life, deadline = self._flights.get(digest, (None, 0.0))
        return life if now < deadline else None

    def expire(self, now: float) -> None:
        """Drop the oldest entries whose deadline has passed."""
        while self._flights:
            digest, (_, deadline) = next(iter(self._flights.items()))
            if now < deadline:
                return
            del self._flights[digest]
