"""Which instances pass news on, so that each piece of news crosses once to each data centre.

Within a data centre all instances tell each other directly. The live one with the widest link is
its relay, of equal ones the first by name: it passes the news of its own data centre to the other
relays, and theirs to its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


@dataclass(frozen=True, slots=True)
class Place:
    """Say where an instance is and how wide its link is."""

    data_centre: str
    link_mbps: float = 0.0


class RelayPlan:
    """Say to whom one instance sends its own news and those of others."""

    def __init__(self, name: str, place: Place) -> None:
        self._name = name
        self._place = place
        self.near: tuple[str, ...] = ()
        self._far: dict[str, list[str]] = {}
        self._places: dict[str, Place] = {}

    def configure(self, places: Mapping[str, Place]) -> None:
        """Take the places of all other instances."""
        self._places = dict(places)
        ranked = sorted(places, key=lambda name: _rank(name, places[name]))
        self.near = tuple(name for name in ranked if self._is_near(name))
        self._far = {}
        for name in ranked:
            if not self._is_near(name):
                self._far.setdefault(places[name].data_centre, []).append(name)

    def is_relay(self, live: Collection[str]) -> bool:
        """Tell whether this instance passes news on, given the live ones."""
        own = _rank(self._name, self._place)
        return all(own < _rank(name, self._places[name]) for name in self.near if name in live)

    def relays(self, live: Collection[str]) -> tuple[str, ...]:
        """Return the relays of the other data centres; the first in rank where none is live."""
        return tuple(
            next((name for name in names if name in live), names[0]) for names in self._far.values()
        )

    def connections(self, live: Collection[str]) -> frozenset[str]:
        """Return the instances to stay connected to."""
        return frozenset(self.own_targets(live))

    def own_targets(self, live: Collection[str]) -> tuple[str, ...]:
        """Return to whom this instance sends its own news."""
        return (*self.near, *self.relays(live)) if self.is_relay(live) else self.near

    def forward_targets(self, origin: str, via: str, live: Collection[str]) -> tuple[str, ...]:
        """Return to whom news of an instance that came through another are passed on."""
        if not self.is_relay(live):
            return ()
        if self._is_near(origin):
            return self.relays(live) if origin == via else ()
        # Two may take themselves for the relay for a while; they do not pass on each other's.
        return () if self._is_near(via) else self.near

    def _is_near(self, name: str) -> bool:
        place = self._places.get(name)
        return place is not None and place.data_centre == self._place.data_centre


def _rank(name: str, place: Place) -> tuple[float, str]:
    return (-place.link_mbps, name)
