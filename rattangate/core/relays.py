"""Which instances pass news on, so that each piece of news crosses once to each data centre.

Within a data centre all instances tell each other directly. The first live one by name is its
relay: it passes the news of its own data centre to the other relays, and theirs to its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


class RelayPlan:
    """Say to whom one instance sends its own news and those of others."""

    def __init__(self, name: str, data_centre: str) -> None:
        self._name = name
        self._data_centre = data_centre
        self._near: tuple[str, ...] = ()
        self._far: dict[str, list[str]] = {}
        self._places: dict[str, str] = {}

    def configure(self, places: Mapping[str, str]) -> None:
        """Take the data centres of all other instances."""
        self._places = dict(places)
        self._near = tuple(
            sorted(name for name, place in places.items() if place == self._data_centre)
        )
        self._far = {}
        for name, place in sorted(places.items()):
            if place != self._data_centre:
                self._far.setdefault(place, []).append(name)

    def is_relay(self, live: Collection[str]) -> bool:
        """Tell whether this instance passes news on, given the live ones."""
        return not any(name < self._name for name in self._near if name in live)

    def relays(self, live: Collection[str]) -> tuple[str, ...]:
        """Return the relays of the other data centres; the first by name where none is live."""
        return tuple(
            next((name for name in names if name in live), names[0]) for names in self._far.values()
        )

    def connections(self, live: Collection[str]) -> frozenset[str]:
        """Return the instances to stay connected to."""
        return frozenset(self.own_targets(live))

    def own_targets(self, live: Collection[str]) -> tuple[str, ...]:
        """Return to whom this instance sends its own news."""
        return (*self._near, *self.relays(live)) if self.is_relay(live) else self._near

    def forward_targets(self, origin: str, via: str, live: Collection[str]) -> tuple[str, ...]:
        """Return to whom news of an instance that came through another are passed on."""
        if not self.is_relay(live):
            return ()
        if self._places.get(origin) == self._data_centre:
            return self.relays(live) if origin == via else ()
        # Two may take themselves for the relay for a while; they do not pass on each other's.
        return self._near if self._places.get(via) != self._data_centre else ()
