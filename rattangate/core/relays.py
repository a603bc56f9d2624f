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
        self.near: tuple[str, ...] = ()
        self._far: dict[str, list[str]] = {}
        self._places: dict[str, str] = {}

    def configure(self, places: Mapping[str, str]) -> None:
        """Take the data centres of all other instances."""
        self._places = dict(places)
        names = sorted(places)
        self.near = tuple(name for name in names if self._is_near(name))
        self._far = {}
        for name in names:
            if not self._is_near(name):
                self._far.setdefault(places[name], []).append(name)

    def is_relay(self, live: Collection[str]) -> bool:
        """Tell whether this instance passes news on, given the live ones."""
        return not any(name < self._name for name in self.near if name in live)

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
        return self._places.get(name) == self._data_centre
