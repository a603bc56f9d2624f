"""The status of the instances and endpoints as one instance sees them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rattangate.active_settings import ActiveSettings
    from rattangate.config.model import InstanceCfg
    from rattangate.core.config_follower import ConfigFollower
    from rattangate.core.messages import EndpointState
    from rattangate.core.peer_registry import PeerRegistry
    from rattangate.endpoints.monitor import Monitor


class FleetStatus:
    """Describe this instance, its peers and the endpoints for the administration API."""

    def __init__(
        self,
        instance: InstanceCfg,
        incarnation: int,
        active_settings: ActiveSettings,
        follower: ConfigFollower,
        peer_registry: PeerRegistry,
        monitor: Monitor,
    ) -> None:
        self.is_ready = False
        self.is_leaving = False
        self._instance = instance
        self._incarnation = incarnation
        self._active_settings = active_settings
        self._follower = follower
        self._peer_registry = peer_registry
        self._monitor = monitor

    @property
    def config_version(self) -> int:
        """Return the active configuration version; 0 means the files given at startup."""
        return self._follower.in_force

    def count_endpoints(self) -> Counter[EndpointState]:
        """Return the number of endpoints in each state."""
        return Counter(status.state for status in self._monitor.watched.values())

    def describe_instances(self) -> list[dict[str, Any]]:
        """Return the fields of this instance and of its peers."""
        own_fields = {
            "name": self._instance.name,
            "data_centre": self._instance.data_centre,
            "incarnation": self._incarnation,
            "state": "leaving" if self.is_leaving else "live",
            "config_version": self.config_version,
        }
        instances = self._active_settings.settings.instances
        peers = [peer for peer in instances if peer.name != self._instance.name]
        return [own_fields, *(self._describe_peer(peer) for peer in peers)]

    def describe_endpoints(self) -> list[dict[str, Any]]:
        """Return the fields of each endpoint."""
        statuses = self._monitor.watched
        return [
            {
                "name": endpoint.name,
                "kind": endpoint.kind.value,
                "data_centre": endpoint.data_centre,
                "serves": endpoint.serves,
                "state": statuses[endpoint.name].state.value,
                "incarnation": statuses[endpoint.name].incarnation,
                "weights_version": statuses[endpoint.name].weights_version,
                "checks_orders": endpoint.checks_orders,
            }
            for endpoint in self._active_settings.settings.endpoints
            if endpoint.name in statuses
        ]

    def _describe_peer(self, peer: InstanceCfg) -> dict[str, Any]:
        status = self._peer_registry.peers[peer.name]
        return {
            "name": peer.name,
            "data_centre": peer.data_centre,
            "incarnation": status.incarnation,
            "state": status.state.value,
            "config_version": status.config_version,
        }
