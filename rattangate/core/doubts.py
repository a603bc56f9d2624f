"""Avoid, for a moment, the endpoints that lost an attempt and are not yet known to be down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.core.runs import life_of

if TYPE_CHECKING:
    from rattangate.core.placement import Candidate

DOUBT_S = 1.0

Life = tuple[str, int]


class Doubts:
    """Hold the doubted endpoint incarnations with the deadline of each doubt."""

    def __init__(self) -> None:
        self._deadlines: dict[Life, float] = {}

    def note(self, life: Life, now: float) -> None:
        """Doubt an endpoint that lost an attempt or could not be reached."""
        self._deadlines[life] = now + DOUBT_S

    def filter(self, found: list[Candidate], now: float) -> list[Candidate]:
        """Leave out the doubted endpoints, unless no other is left."""
        if not self._deadlines:
            return found
        sure = [one for one in found if self._deadlines.get(life_of(one.endpoint), now) <= now]
        return sure or found

    def expire(self, now: float) -> None:
        """Drop the doubts whose deadline has passed."""
        self._deadlines = {life: at for life, at in self._deadlines.items() if at > now}
