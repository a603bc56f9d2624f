"""Eject endpoints briefly that lost an attempt and are not yet reported as down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.core.active_requests import incarnation_key

if TYPE_CHECKING:
    from rattangate.core.endpoint_key import EndpointKey
    from rattangate.core.placement import Candidate

# How long an endpoint stays ejected.
EJECTION_S = 1.0


class Ejections:
    """Hold the ejected endpoint incarnations and when each ejection ends."""

    def __init__(self) -> None:
        self._deadlines: dict[EndpointKey, float] = {}

    def eject(self, key: EndpointKey, now: float) -> None:
        """Eject an endpoint that lost an attempt or could not be reached."""
        self._deadlines[key] = now + EJECTION_S

    def filter(self, candidates: list[Candidate], now: float) -> list[Candidate]:
        """Leave out the ejected endpoints, unless all candidates are ejected."""
        if not self._deadlines:
            return candidates
        remaining = [
            candidate
            for candidate in candidates
            if self._deadlines.get(incarnation_key(candidate.endpoint), now) <= now
        ]
        return remaining or candidates

    def expire(self, now: float) -> None:
        """Remove the ejections whose deadline has passed."""
        self._deadlines = {key: at for key, at in self._deadlines.items() if at > now}
