"""The marks of leaving endpoints, joined from reports, peers and the platform's instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

LEAVING = "leaving"


class LeavingMarks:
    """Remember the newest leaving incarnation of each endpoint; a mark never clears."""

    def __init__(self) -> None:
        self._marks: dict[str, int] = {}
        self._listed: set[str] = set()

    def is_leaving(self, endpoint: str, incarnation: int) -> bool:
        """Tell whether this incarnation of an endpoint leaves or has left."""
        return incarnation <= self._marks.get(endpoint, 0)

    def mark(self, endpoint: str, incarnation: int) -> bool:
        """Mark an incarnation and all before it; return whether that is new."""
        if not incarnation or self.is_leaving(endpoint, incarnation):
            return False
        self._marks[endpoint] = incarnation
        return True

    def mark_listed(self, states: Mapping[str, str], current: Mapping[str, int]) -> list[str]:
        """Take the instance list and return the endpoints that it newly marks.

        The list names no incarnations and lags, so an entry marks only the incarnation that was
        current when the entry first said leaving; `current` gives 0 for an endpoint not yet seen.
        """
        self._listed = {name for name in self._listed if states.get(name) == LEAVING}
        marked = []
        for name, state in states.items():
            if state != LEAVING or name in self._listed or not current.get(name):
                continue
            self._listed.add(name)
            if self.mark(name, current[name]):
                marked.append(name)
        return marked

    def mark_told(self, marks: Iterable[tuple[str, int]]) -> list[str]:
        """Take a peer's marks and return the endpoints that they newly mark."""
        return [name for name, incarnation in marks if self.mark(name, incarnation)]

    def news(self) -> tuple[tuple[str, int], ...]:
        """Return all marks for the peers."""
        return tuple(self._marks.items())
