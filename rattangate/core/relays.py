"""Choose which instances forward updates, so that each crosses once to each data centre.

The live instance with the most processor cores, the first by name among equals, is the relay of its
data centre: it forwards the updates of its own data centre to the other relays, and theirs to its
own. In a small deployment the instances of a data centre send to each other directly. In a large
one they send to their relay alone, which forwards in batches, so that the connections and messages
of an instance do not grow with the number of instances.

An instance that is leaving serves on, so it sends and gets updates as before, but it is the relay of
its data centre only where no other instance is left.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


# From this number of instances beside one that stays, the instances of a data centre send through
# their relay; those that are leaving do not count, so that all come to the same answer.
# In a smaller deployment, direct updates cost less than the delay that a relay adds.
MIN_LARGE_DEPLOYMENT = 16


class RelayPlan:
    """Decide to whom one instance sends its own updates and forwards those of others.

    `local_peers` holds the names of the other instances of its data centre, the preferred relay
    first. The parameter `live` of the methods holds the names of the live instances.
    """

    def __init__(self, name: str, data_centre: str, cores: float = 0.0) -> None:
        self._name = name
        self._data_centre = data_centre
        self._own_rank = (-cores, name)
        self._is_leaving = False
        self._staying = 0
        self.local_peers: tuple[str, ...] = ()
        self._remote_peers: dict[str, list[str]] = {}
        self._data_centres: dict[str, str] = {}
        self._ranks: dict[str, tuple[float, str]] = {}

    def mark_leaving(self) -> None:
        """Leave the duty of the relay to the other instances."""
        self._is_leaving = True
        self._own_rank = (math.inf, self._name)

    def configure(
        self,
        data_centres: Mapping[str, str],
        cores: Mapping[str, float] | None = None,
        leaving: Collection[str] = (),
    ) -> None:
        """Set the data centre of each other instance, and their numbers of processor cores.

        `leaving` names those of them that are leaving.
        """
        self._data_centres = dict(data_centres)
        self._staying = len(data_centres) - len(leaving)
        self._ranks = {
            name: (math.inf if name in leaving else -(cores or {}).get(name, 0.0), name)
            for name in data_centres
        }
        names = sorted(data_centres, key=self._ranks.__getitem__)
        self.local_peers = tuple(name for name in names if self._is_local(name))
        self._remote_peers = {}
        for name in names:
            if not self._is_local(name):
                self._remote_peers.setdefault(data_centres[name], []).append(name)

    @property
    def is_large(self) -> bool:
        """Tell whether the instances of a data centre send to their relay alone."""
        staying = self._staying + (not self._is_leaving)
        return staying > MIN_LARGE_DEPLOYMENT

    def is_relay(self, live: Collection[str]) -> bool:
        """Tell whether this instance is the relay of its data centre."""
        return not any(
            self._ranks[name] < self._own_rank for name in self.local_peers if name in live
        )

    def is_first_relay(self, live: Collection[str]) -> bool:
        """Tell whether this instance is the relay of the first data centre with a live instance."""
        return self.is_relay(live) and not any(
            data_centre < self._data_centre and any(name in live for name in names)
            for data_centre, names in self._remote_peers.items()
        )

    def own_relay(self, live: Collection[str]) -> str:
        """Return the relay of the own data centre, which may be this instance."""
        if self.is_relay(live):
            return self._name
        return next(name for name in self.local_peers if name in live)

    def relays(self, live: Collection[str]) -> tuple[str, ...]:
        """Return the relays of the other data centres.

        Where no instance of a data centre is live, its preferred relay is returned.
        """
        return tuple(
            next((name for name in names if name in live), names[0])
            for names in self._remote_peers.values()
        )

    def connections(self, live: Collection[str]) -> frozenset[str]:
        """Return the instances to which this one keeps connections."""
        return frozenset(self.own_targets(live))

    def own_targets(self, live: Collection[str]) -> tuple[str, ...]:
        """Return the instances to which this one sends its own updates."""
        if self.is_relay(live):
            return (*self.local_peers, *self.relays(live))
        if not self.is_large:
            return self.local_peers
        return tuple(name for name in self.local_peers if name in live)[:1]

    def forward_targets(self, origin: str, via: str, live: Collection[str]) -> tuple[str, ...]:
        """Return the instances to which an update is forwarded.

        `origin` is the instance that made the update, `via` the one that sent it here.
        """
        if not self.is_relay(live):
            return ()
        if self._is_local(origin):
            if origin != via:
                return ()
            local_peers = (
                [name for name in self.local_peers if name != origin] if self.is_large else []
            )
            return (*local_peers, *self.relays(live))
        # While instances disagree on who is live, two of a data centre may both act as its relay.
        # Neither forwards what came through the other, which prevents a loop.
        return () if self._is_local(via) else self.local_peers

    def _is_local(self, name: str) -> bool:
        return self._data_centres.get(name) == self._data_centre
