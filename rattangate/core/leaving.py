"""The endpoints that are shutting down, merged from reports, peers and the instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

LEAVING = "leaving"


class LeavingEndpoints:
    """Hold the newest leaving incarnation of each endpoint; a mark is never removed.

    A leaving endpoint is shutting down and gets no new requests.
    """

    def __init__(self) -> None:
        self._marks: dict[str, int] = {}
        self._handled_entries: set[str] = set()

    def is_leaving(self, endpoint: str, incarnation: int) -> bool:
        """Tell whether this incarnation of an endpoint is leaving or has left."""
        return incarnation <= self._marks.get(endpoint, 0)

    def mark(self, endpoint: str, incarnation: int) -> bool:
        """Mark an incarnation and all earlier ones as leaving; return whether that is new."""
        if not incarnation or self.is_leaving(endpoint, incarnation):
            return False
        self._marks[endpoint] = incarnation
        return True

    def apply_instance_list(
        self, states: Mapping[str, str], current: Mapping[str, int]
    ) -> list[str]:
        """Apply the platform's instance list and return the endpoints that it newly marks.

        The list holds no incarnations and may be stale, so an entry marks only the incarnation that
        was current when the entry was first `leaving`. `states` maps the names of endpoints to the
        states in the list, `current` to their incarnations, 0 for an endpoint not yet seen.
        """
        self._handled_entries = {
            name for name in self._handled_entries if states.get(name) == LEAVING
        }
        marked = []
        for name, state in states.items():
            if state != LEAVING or name in self._handled_entries or not current.get(name):
                continue
            self._handled_entries.add(name)
            if self.mark(name, current[name]):
                marked.append(name)
        return marked

    def merge(self, marks: Iterable[tuple[str, int]]) -> list[str]:
        """Merge the marks of a peer and return the endpoints that they newly mark."""
        return [name for name, incarnation in marks if self.mark(name, incarnation)]

    def snapshot(self) -> tuple[tuple[str, int], ...]:
        """Return all marks, for peers."""
        return tuple(self._marks.items())
