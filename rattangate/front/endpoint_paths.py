"""The ways to the endpoints: connections of this instance and, while it has none, of a peer.

An endpoint whose connection is lost is probed. If this instance cannot connect but a peer can, its
own links are broken: requests then go through that peer until a direct connection opens again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import trio

from rattangate.front.endpoint_conn import EndpointConn, EndpointPool
from rattangate.front.tunnels import PeerTunnels
from rattangate.log_events import LogEvent, log
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from rattangate.core.endpoint_key import EndpointKey
    from rattangate.core.fleet import ListedEndpoint
    from rattangate.core.messages import EndpointStatus
    from rattangate.front.state import FrontState
    from rattangate.front.tunnels import TunnelPeer
    from rattangate.log_events import FieldValue

PROBE_INTERVAL_S = 0.25
# After a search in vain among the peers, the next one waits; the wait doubles up to the second value.
# An endpoint that nobody reaches is probably down, and each instance asks the others about it.
FIRST_SEARCH_WAIT_S = 0.5
MAX_SEARCH_WAIT_S = 4.0
# Interval of the checks of the other endpoints once a peer reaches one that this instance does not.
CHECK_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Probe:
    """Hold the state of one endpoint that is probed; `peer` is the way to it, empty for none.

    No peer is looked for before `next_search_at`, unless this instance is cut off.
    """

    since: float
    peer: str = ""
    next_search_at: float = -math.inf
    search_wait_s: float = FIRST_SEARCH_WAIT_S
    lost: trio.Event = field(default_factory=trio.Event)


class EndpointPaths:
    """Own the connection pools of the endpoints, and find the ways to those that were lost."""

    def __init__(
        self,
        state: FrontState,
        nursery: trio.Nursery,
        feed_changes: Callable[[Iterable[EndpointStatus]], None],
    ) -> None:
        self.tunnels = PeerTunnels(state)
        self._view = state.view
        self._nursery = nursery
        self._feed_changes = feed_changes
        self._pools: dict[EndpointKey, EndpointPool] = {}
        self._probes: dict[EndpointKey, _Probe] = {}
        self._leaving_peers: set[str] = set()
        self._next_check_at = -math.inf

    def pool_of(self, endpoint: str, incarnation: int) -> EndpointPool | None:
        """Return the connection pool of an endpoint's incarnation, None if it is not listed."""
        listed = self._listed(endpoint, incarnation)
        if listed is None:
            return None
        pool = self._pools.get((endpoint, incarnation))
        if pool is None or pool.address != listed.address:
            pool = EndpointPool(listed.address, self._nursery)
            self._pools[endpoint, incarnation] = pool
        return pool

    def drop_unlisted(self) -> None:
        """Close the pools of the endpoints that are not listed any more."""
        listed = {(item.endpoint, item.incarnation) for item in self._view.endpoints.values()}
        for key in [key for key in self._pools if key not in listed]:
            self._nursery.start_soon(self._pools.pop(key).aclose)

    def sweep(self) -> None:
        """Close the idle connections that cannot be used any more."""
        for pool in self._pools.values():
            self._nursery.start_soon(pool.sweep)

    def mark_lost(self, endpoint: str, incarnation: int, error: str) -> None:
        """Send an endpoint no requests until there is a way to it, direct or through a peer."""
        key = (endpoint, incarnation)
        if self.pool_of(endpoint, incarnation) is None:
            return
        probe = self._probes.get(key)
        if probe is not None:
            self._lose_peer(key, probe)
            return
        now = trio.current_time()
        self._probes[key] = _Probe(now)
        self._feed_changes(self._view.set_reachable(endpoint, incarnation, False, now))
        self._log_change(LogEvent.ENDPOINT_UNREACHABLE, key, error=error)
        self._nursery.start_soon(self._restore, key)

    def set_tunnel_peers(self, peers: Mapping[str, TunnelPeer]) -> None:
        """Set the peers that serve tunnels; look for another way where one is leaving."""
        leaving = {name for name, peer in peers.items() if peer.is_leaving}
        newly_leaving = leaving - self._leaving_peers
        self._leaving_peers = leaving
        self.tunnels.set_peers(peers)
        for probe in self._probes.values():
            if probe.peer in newly_leaving:
                probe.peer = ""
                probe.lost.set()

    def _lose_peer(self, key: EndpointKey, probe: _Probe) -> None:
        if not probe.peer:
            return
        probe.peer = ""
        probe.lost.set()
        self._feed_changes(self._view.set_via_peer(*key, False, trio.current_time()))

    async def _restore(self, key: EndpointKey) -> None:
        """Look for a way to an endpoint until it has a direct one or is no longer listed."""
        probe = self._probes[key]
        next_probe_at = -math.inf
        while (pool := self.pool_of(*key)) is not None:
            if trio.current_time() >= next_probe_at:
                if await pool.probe():
                    break
                next_probe_at = trio.current_time() + PROBE_INTERVAL_S
            if not probe.peer and self._may_search(probe):
                await self._find_peer(key, probe, pool)
            with trio.move_on_at(next_probe_at):
                await probe.lost.wait()
            probe.lost = trio.Event()
        del self._probes[key]
        if pool is not None:
            pool.use_path(None)
        now = trio.current_time()
        self._feed_changes(self._view.set_reachable(*key, True, now))
        unreachable_ms = round((now - probe.since) * MS_PER_S)
        self._log_change(LogEvent.ENDPOINT_REACHABLE, key, unreachable_ms=unreachable_ms)

    def _may_search(self, probe: _Probe) -> bool:
        return self._view.is_cut_off or trio.current_time() >= probe.next_search_at

    async def _find_peer(self, key: EndpointKey, probe: _Probe, pool: EndpointPool) -> None:
        """Find a peer that reaches an endpoint; without one, the endpoint may be gone."""
        listed = self._listed(*key)
        if listed is None:
            return
        has_peers = self.tunnels.has_peers
        found = await self.tunnels.find(listed) if has_peers else None
        now = trio.current_time()
        if found is None:
            probe.next_search_at = now + probe.search_wait_s
            probe.search_wait_s = min(2 * probe.search_wait_s, MAX_SEARCH_WAIT_S)
            self._feed_changes(self._view.set_via_peer(*key, False, now))
            # An instance that lost most endpoints itself cannot tell which of them are gone.
            if not has_peers or not self._view.is_cut_off:
                self._feed_changes(self._view.mark_gone(*key, now))
            return
        probe.peer = found.name
        pool.use_path(partial(self.tunnels.open, found.name, listed))
        await pool.release(EndpointConn(found.stream))
        self._feed_changes(self._view.set_via_peer(*key, True, now))
        self._log_change(LogEvent.ENDPOINT_VIA_PEER, key, peer=found.name)
        self._check_others(now)

    def _check_others(self, now: float) -> None:
        """Check the direct ways to the other endpoints, before requests run into the broken ones."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        for key in self._pools:
            if key not in self._probes:
                self._nursery.start_soon(self._check, key)

    async def _check(self, key: EndpointKey) -> None:
        pool = self.pool_of(*key)
        if pool is not None and not await pool.probe():
            self.mark_lost(*key, "a check of the connection failed")

    def _listed(self, endpoint: str, incarnation: int) -> ListedEndpoint | None:
        listed = self._view.endpoints.get(endpoint)
        return listed if listed is not None and listed.incarnation == incarnation else None

    def _log_change(self, event: LogEvent, key: EndpointKey, **fields: FieldValue) -> None:
        """Log a change, with how many endpoints of the same service this instance reaches."""
        found = self._view.endpoints.get(key[0])
        service = "" if found is None else found.service
        listed = self._view.of_service(service)
        log(
            event,
            endpoint=key[0],
            incarnation=key[1],
            service=service,
            reachable=sum(map(self._view.is_reachable, listed)),
            listed=len(listed),
            **fields,
        )
