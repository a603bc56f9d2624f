"""What an instance tells of itself, its peers and the endpoints."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rattangate.config.model import InstanceCfg
    from rattangate.core.config_follower import ConfigFollower
    from rattangate.core.messages import EndpointState
    from rattangate.core.roster import Roster
    from rattangate.endpoints.monitor import Monitor
    from rattangate.in_force import InForce


class FleetStatus:
    """Describe the fleet as seen from one instance."""

    def __init__(
        self,
        me: InstanceCfg,
        incarnation: int,
        in_force: InForce,
        follower: ConfigFollower,
        roster: Roster,
        monitor: Monitor,
    ) -> None:
        self.is_ready = False
        self.is_leaving = False
        self._me = me
        self._incarnation = incarnation
        self._in_force = in_force
        self._follower = follower
        self._roster = roster
        self._monitor = monitor

    @property
    def config_version(self) -> int:
        """Return the configuration version in force; 0 stands for the files of the start."""
        return self._follower.in_force

    def count_endpoints(self) -> Counter[EndpointState]:
        """Count the endpoints by state."""
        return Counter(seen.state for seen in self._monitor.watched.values())

    def describe_instances(self) -> list[dict[str, Any]]:
        """Describe this instance and its peers."""
        own = {
            "name": self._me.name,
            "data_centre": self._me.data_centre,
            "incarnation": self._incarnation,
            "state": "leaving" if self.is_leaving else "live",
            "config_version": self.config_version,
        }
        instances = self._in_force.settings.instances
        others = [peer for peer in instances if peer.name != self._me.name]
        return [own, *(self._describe_peer(peer) for peer in others)]

    def describe_endpoints(self) -> list[dict[str, Any]]:
        """Describe all endpoints."""
        watched = self._monitor.watched
        return [
            {
                "name": endpoint.name,
                "kind": endpoint.kind.value,
                "data_centre": endpoint.data_centre,
                "serves": endpoint.serves,
                "state": watched[endpoint.name].state.value,
                "incarnation": watched[endpoint.name].incarnation,
                "weights_version": watched[endpoint.name].weights_version,
                "checks_orders": endpoint.checks_orders,
            }
            for endpoint in self._in_force.settings.endpoints
            if endpoint.name in watched
        ]

    def _describe_peer(self, peer: InstanceCfg) -> dict[str, Any]:
        known = self._roster.peers[peer.name]
        return {
            "name": peer.name,
            "data_centre": peer.data_centre,
            "incarnation": known.incarnation,
            "state": known.state.value,
            "config_version": known.config_version,
        }
