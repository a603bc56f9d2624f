"""The state that requests are routed on: configuration, keys, endpoints, weights versions."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from rattangate.clock import boottime_now
from rattangate.core.fleet import FleetView, FleetViewCfg
from rattangate.core.key_lease import KeyLease
from rattangate.core.messages import EndpointListRead, EndpointState
from rattangate.core.named_versions import DesiredVersions
from rattangate.front.endpoint_paths import EndpointPaths
from rattangate.log_events import LogEvent, log
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.core.fleet import ListedEndpoint, ModelVersion, WeightsUpdate
    from rattangate.core.messages import EndpointStatus
    from rattangate.core.routes import ServingConfig
    from rattangate.core.shared_clock import SharedClock
    from rattangate.driver import Driver
    from rattangate.platform.boot import BootSettings, Bounds

PIECE_TOKENS = 128
# Placement costs of an endpoint in another data centre: for a prompt, and for a plain service.
REMOTE_PROMPT_COST_S = 0.03
REMOTE_PLAIN_COST_S = 0.005
SWEEP_INTERVAL_S = 1.0
# Allows for the time between sending a request and its start at the endpoint.
VERSION_MARGIN_S = 1.0
# Longest Retry-After of an endpoint that is honoured.
MAX_BACK_OFF_S = 60.0


class FrontState:
    """Hold what this instance knows of its deployment, and feed changes to the gateway."""

    def __init__(
        self, boot: BootSettings, driver: Driver, nursery: trio.Nursery, shared_clock: SharedClock
    ) -> None:
        self.boot = boot
        self.config: ServingConfig | None = None
        self.keys = KeyLease(boot.bounds.revoke_s)
        self.desired_versions = DesiredVersions()
        self.view = FleetView(
            FleetViewCfg(boot.data_centre, PIECE_TOKENS, REMOTE_PROMPT_COST_S, REMOTE_PLAIN_COST_S)
        )
        self.list_read_at: float | None = None
        self.driver = driver
        self._shared_clock = shared_clock
        self.paths = EndpointPaths(self, nursery, self._feed_changes)
        self._next_sweep_at = 0.0

    @property
    def is_initialized(self) -> bool:
        """Tell whether a configuration and the endpoint list have been read."""
        return self.config is not None and self.list_read_at is not None

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        self.boot = replace(self.boot, bounds=bounds)
        self.keys.revoke_s = bounds.revoke_s

    def apply_config(self, config: ServingConfig) -> None:
        """Apply a configuration unless the current one is as new or newer."""
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        log(LogEvent.CONFIG_IN_FORCE, version=config.version, source="store")
        self._feed_changes(self.view.configure(config.services, trio.current_time()))
        self._infer_versions()

    def apply_named_version(self, named: ModelVersion, is_new: bool) -> None:
        """Apply the weights version of a model that the operator has named as the one to run.

        One that was already in the store at the first read (`is_new` is false) may have been named
        long ago.
        """
        bounds = self.boot.bounds
        known_for_s = 0.0 if is_new else bounds.version_s - bounds.contact_s
        if self.desired_versions.add(named, boottime_now() - known_for_s):
            log(LogEvent.WEIGHTS_NAMED, model=named.model, version=named.version, source="operator")
        self._infer_versions()

    def apply_endpoint_list(self, listed: Iterable[ListedEndpoint], asked_at: float) -> None:
        """Apply the endpoint list, which was requested at `asked_at` on the clock of boottime."""
        self.list_read_at = asked_at
        now = trio.current_time()
        asked_s_ago = boottime_now() - asked_at
        self._feed_changes(self.view.update_list(listed, now, now - asked_s_ago))
        listed_now = self.view.endpoints.values()
        keys = frozenset((item.endpoint, item.incarnation) for item in listed_now)
        self.driver.feed(EndpointListRead(keys))
        self.paths.drop_unlisted()
        self._infer_versions()

    def apply_weights(self, update: WeightsUpdate) -> None:
        """Apply what this instance or a peer has observed of an engine's weights."""
        self._feed_changes(self.view.update_weights(update, trio.current_time()))

    def apply_leaving(self, endpoint: str, incarnation: int, source: str) -> None:
        """Apply an endpoint's announcement that it is leaving, from a response or from a peer."""
        self.paths.tunnels.server.close_to(endpoint, incarnation)
        self._feed_changes(
            self.view.mark_leaving(endpoint, incarnation, trio.current_time()), source
        )

    def apply_end(self, endpoint: str, incarnation: int) -> None:
        """Apply that an endpoint runs as another incarnation than the listed one."""
        log(LogEvent.ENDPOINT_REPLACED, endpoint=endpoint, incarnation=incarnation)
        self._feed_changes(self.view.mark_ended(endpoint, incarnation, trio.current_time()))

    def back_off(self, endpoint: str, incarnation: int, wait_s: float) -> None:
        """Send an endpoint no requests for `wait_s` seconds, its Retry-After."""
        now = trio.current_time()
        wait_s = min(wait_s, MAX_BACK_OFF_S)
        wait_ms = round(wait_s * MS_PER_S)
        log(LogEvent.ENDPOINT_RESTING, endpoint=endpoint, incarnation=incarnation, wait_ms=wait_ms)
        self.paths.tunnels.server.close_to(endpoint, incarnation)
        self._feed_changes(self.view.suspend_until(endpoint, incarnation, now + wait_s, now))

    def tick(self) -> None:
        """Apply the changes that are due by time, and close unusable connections."""
        now = trio.current_time()
        self.set_permit_clock()
        # A response from outdated weights is of no use to a caller once the bound for running a
        # named version has passed.
        limit = boottime_now() - self.boot.bounds.version_s + VERSION_MARGIN_S
        self._feed_changes(
            self.view.set_min_versions(self.desired_versions.minimum_versions(limit), now)
        )
        self._feed_changes(self.view.tick(now))
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
            self.paths.sweep()

    def set_permit_clock(self) -> None:
        """Set the permits to the clock that all instances share."""
        offset_s = boottime_now() - trio.current_time() + self._shared_clock.offset_s
        self.driver.gateway.limited.permits.set_clock(offset_s)

    def count_live(self, service: str) -> int:
        """Count the endpoints of a service that take requests."""
        seen = (item.status for item in self.driver.gateway.endpoints.values())
        return sum(one.serves == service and one.state is EndpointState.LIVE for one in seen)

    def address_of(self, endpoint: str) -> str:
        """Return the address of an endpoint or a cache store, empty if it is unknown."""
        listed = self.view.endpoints.get(endpoint)
        if listed is not None:
            return listed.address
        service = self.config.services.get(endpoint) if self.config is not None else None
        return "" if service is None else service.cache_store_address

    def _infer_versions(self) -> None:
        """Learn of named versions from the replicas that run them."""
        for model in self.desired_versions.models():
            running = (item.version_of(model) for item in self.view.replicas_of(model))
            versions = [version for version in running if version is not None]
            inferred = self.desired_versions.infer(model, versions, boottime_now())
            if inferred is not None:
                log(LogEvent.WEIGHTS_NAMED, model=model, version=inferred, source="replicas")

    def _feed_changes(self, changes: Iterable[EndpointStatus], source: str = "list") -> None:
        for seen in changes:
            _log_endpoint(seen, source)
            self.driver.feed(seen)


def _log_endpoint(seen: EndpointStatus, source: str) -> None:
    if seen.state is EndpointState.LIVE:
        log(
            LogEvent.ENDPOINT_LIVE,
            endpoint=seen.endpoint,
            incarnation=seen.incarnation,
            weights=seen.weights_version,
        )
    elif seen.state is EndpointState.LEAVING:
        log(
            LogEvent.ENDPOINT_LEAVING,
            endpoint=seen.endpoint,
            incarnation=seen.incarnation,
            source=source,
        )
    elif seen.state is EndpointState.SUSPENDED:
        log(
            LogEvent.ENDPOINT_DOWN,
            endpoint=seen.endpoint,
            error="loading weights, backing off, on an outdated version, or an attempt was lost",
        )
    elif seen.state is EndpointState.DOWN:
        log(
            LogEvent.ENDPOINT_DOWN,
            endpoint=seen.endpoint,
            error="not listed, or no connection can be opened",
        )
