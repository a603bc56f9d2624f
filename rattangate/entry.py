"""The entry instance: creates, connects and runs all its components."""

from __future__ import annotations

import math
import signal
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import trio

import rattangate
from rattangate.active_settings import ActiveSettings
from rattangate.config.content import decode_content
from rattangate.config.diagnostics import ConfigError
from rattangate.connection_budget import ConnectionBudget
from rattangate.core.caller_memory import CallerMemoryCfg
from rattangate.core.config_follower import (
    ConfigFollower,
    ConfigSource,
    ContentRead,
    PeerVersionReported,
)
from rattangate.core.gateway import Gateway
from rattangate.core.leases import Holder, Lease
from rattangate.core.messages import EvidenceReceived, PeerLost, PeerUpdateReceived, Tick
from rattangate.core.peer_registry import PeerRegistry, PeerStatus
from rattangate.driver import Driver
from rattangate.endpoints.client import EndpointClient, closing_clients
from rattangate.endpoints.monitor import Monitor
from rattangate.endpoints.orders import EndpointOrders
from rattangate.fleet_status import FleetStatus
from rattangate.http.admin import make_admin_app
from rattangate.http.admin_dependencies import AdminDependencies
from rattangate.http.body_limiter import BodyLimiter
from rattangate.http.bookings import BookingRunner
from rattangate.http.caller import CallerDependencies, make_caller_app
from rattangate.http.relay import OpenStreams
from rattangate.http.services import ServiceProxy
from rattangate.http.serving import DrainableApp, serve_app
from rattangate.log_events import LogEvent, log
from rattangate.metrics import Metrics
from rattangate.orders import OrderController
from rattangate.peers.codec import EncodedConfig, PeerUpdate, make_update
from rattangate.peers.handshake import PeerIdentity
from rattangate.peers.link import PeerLinks
from rattangate.platform.store import Store
from rattangate.reconfigure import gateway_cfg, reconfigure
from rattangate.records.audit import AuditTrail
from rattangate.records.config_store import ConfigStore, decode_record, encode_record
from rattangate.records.config_watch import ConfigWatch
from rattangate.records.lease_row import ORDERS_LEASE_KEY, LeaseRow
from rattangate.units import MS_PER_S
from rattangate.warm_start import CacheContentsSource, WarmStart

if TYPE_CHECKING:
    from rattangate.config.model import InstanceCfg, Settings
    from rattangate.core.at_most_once_messages import AttemptId
    from rattangate.core.config_follower import ApplyVersion
    from rattangate.core.messages import SendPeerUpdate
    from rattangate.core.peer_registry import StatusChange
    from rattangate.log_events import LineWriter
    from rattangate.peers.link import ReceivedUpdate

TICK_S = 0.02
METRICS_WINDOW_S = 60.0
CONFIG_SYNC_TIMEOUT_S = 0.5
STORE_TIMEOUT_S = 2.0
ORDERS_LEASE_TERM_S = 4.0
NS_PER_MS = 1_000_000


class EntryInstance:
    """Run one entry instance."""

    def __init__(
        self, settings: Settings, name: str, secret: bytes, log_writer: LineWriter
    ) -> None:
        self._log_writer = log_writer
        self.instance = _find_instance(settings, name)
        self.incarnation = time.time_ns() // NS_PER_MS
        self.metrics = Metrics()
        self.active_settings = ActiveSettings(settings)
        self.clients = {
            item.name: EndpointClient(item.name, item.address) for item in settings.endpoints
        }
        peers = [peer for peer in settings.instances if peer.name != name]
        self.peer_registry = PeerRegistry(
            (peer.name for peer in peers), settings.peers.lost_after_s
        )
        gateway = Gateway(gateway_cfg(settings, name), seed=self.incarnation)
        self.driver = Driver(gateway, self.metrics, self._send_update)
        identity = PeerIdentity(name, self.incarnation, secret)
        addresses = {peer.name: peer.peer_address for peer in peers}
        self._links = PeerLinks(
            identity, addresses, self._receive_update, self._make_initial_update
        )
        self._store = Store(settings.platform.address, STORE_TIMEOUT_S)
        self._monitor = Monitor(
            settings.endpoints,
            self.active_settings.desired_version,
            self.clients,
            self._store,
            self.driver,
        )
        self._follower = ConfigFollower(name, [item.name for item in settings.instances])
        self._status = FleetStatus(
            self.instance,
            self.incarnation,
            self.active_settings,
            self._follower,
            self.peer_registry,
            self._monitor,
        )
        self._config_store = ConfigStore(self._store)
        self._config_watch = ConfigWatch(
            self._follower, self._config_store, self._apply_config, self._request_config
        )
        self._warm_start = WarmStart(
            self.driver, self._store, self._request_cache_contents, self._is_snapshot_writer
        )
        self._bookings = BookingRunner(name, self.incarnation, self._store, self._is_owner_gone)
        self._streams = OpenStreams(self.metrics)
        self._caller_app = make_caller_app(self._caller_dependencies())
        self._budget = ConnectionBudget(
            CallerMemoryCfg(self.active_settings.settings.limits.max_buffered_bytes, math.inf),
            self.metrics,
        )
        self._callers = DrainableApp(BodyLimiter(self._caller_app, self._budget))
        self._stop = trio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in progress."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._store)
            await stack.enter_async_context(closing_clients(self.clients))
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(self._bookings.run)
            nursery.start_soon(self._make_order_controller().run)
            nursery.start_soon(self._config_watch.run)
            nursery.start_soon(self._warm_start.run)
            nursery.start_soon(self._monitor.run)
            nursery.start_soon(self._links.run, self.instance.peer_address)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._rotate_metrics)
            nursery.start_soon(self._serve_admin)
            nursery.start_soon(self._stop_on_signal)
            await self._config_watch.wait_synced(CONFIG_SYNC_TIMEOUT_S)
            await self._serve_callers()
            with trio.move_on_after(self.active_settings.settings.limits.request_timeout_s):
                await self._bookings.wait_idle()
            log(LogEvent.INSTANCE_STOPPED, instance=self.instance.name, streams_cut=0)
            nursery.cancel_scope.cancel()

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings to all components at once."""
        reconfigure(self.active_settings, self.driver.gateway, self.clients, settings)
        self._monitor.set_endpoints(self.active_settings.settings.endpoints)
        self._connect_peers()
        self._apply_limits()

    def _caller_dependencies(self) -> CallerDependencies:
        services = ServiceProxy(
            self.active_settings, self.clients, self._bookings, self._monitor, self.metrics
        )
        return CallerDependencies(
            self.active_settings,
            self.driver,
            self.clients,
            self.metrics,
            self._streams,
            services,
            lambda: self._status.is_ready,
        )

    def _admin_dependencies(self) -> AdminDependencies:
        return AdminDependencies(
            self.active_settings,
            self.driver,
            self.metrics,
            self._status,
            self._config_store,
            self._config_watch,
            AuditTrail(self._store),
        )

    def _connect_peers(self) -> None:
        settings = self.active_settings.settings
        peers = [item for item in settings.instances if item.name != self.instance.name]
        self.peer_registry.configure((peer.name for peer in peers), settings.peers.lost_after_s)
        self._links.set_peers({peer.name: peer.peer_address for peer in peers})

    def _apply_limits(self) -> None:
        limits = self.active_settings.settings.limits
        self._caller_app.config["BODY_TIMEOUT"] = limits.body_timeout_s
        self._caller_app.config["MAX_CONTENT_LENGTH"] = limits.max_body_bytes
        self._budget.configure(limits.max_buffered_bytes)

    def _apply_config(self, effect: ApplyVersion) -> bool:
        version = effect.record.version
        try:
            content = decode_content(effect.content)
            settings = content.build_settings(self.instance.data_centre)
        except ConfigError as exc:
            log(LogEvent.CONFIG_INVALID, version=version, faults=len(exc.diagnostics))
            return False
        self.reconfigure(settings)
        log(LogEvent.CONFIG_IN_FORCE, version=version, source=effect.source.value)
        return True

    def _request_config(self, peer: str) -> None:
        self._links.send_to(peer, replace(self._make_update(None), wants_config=True))

    def _send_config(self, peer: str) -> None:
        held_config = self._config_watch.applied
        if held_config is not None:
            config = EncodedConfig(encode_record(held_config.record), held_config.content)
            self._links.send_to(peer, replace(self._make_update(None), config=config))

    def _request_cache_contents(self) -> None:
        self._links.send(replace(self._make_update(None), wants_pictures=True))

    def _receive_cache_contents(self, update: PeerUpdate) -> None:
        if update.wants_pictures and self._warm_start.is_loaded:
            contents = tuple(item for item in self.driver.gateway.cache_contents() if item.blocks)
            if contents:
                self._links.send_to(
                    update.instance, replace(self._make_update(None), pictures=contents)
                )
        if update.pictures:
            self._warm_start.accept(update.pictures, CacheContentsSource.PEER)

    def _is_snapshot_writer(self) -> bool:
        """Return whether this instance is the first by name of those that are not leaving."""
        live_names = self.peer_registry.live_names()
        return not self._status.is_leaving and all(self.instance.name < name for name in live_names)

    def _receive_config(self, update: PeerUpdate) -> None:
        self._config_watch.feed(PeerVersionReported(update.instance, update.config_version))
        if update.wants_config:
            self._send_config(update.instance)
        if update.config is not None:
            with suppress(msgspec.MsgspecError):
                record = decode_record(update.config.record)
                self._config_watch.feed(
                    ContentRead(record, update.config.content, ConfigSource.PEER)
                )

    async def _serve_callers(self) -> None:
        address = self.instance.caller_address
        limits = self.active_settings.settings.limits
        await serve_app(self._callers, address, limits, self._stop, self._on_listening)

    def _on_listening(self) -> None:
        self._status.is_ready = not self._status.is_leaving
        log(
            LogEvent.INSTANCE_STARTED,
            instance=self.instance.name,
            version=rattangate.__version__,
            address=self.instance.caller_address,
        )

    async def _serve_admin(self) -> None:
        admin_app = make_admin_app(self._admin_dependencies())
        app = DrainableApp(BodyLimiter(admin_app, self._budget))
        address = self.instance.admin_address
        await serve_app(app, address, self.active_settings.settings.limits, trio.Event())

    async def _stop_on_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        self._status.is_ready = False
        self._status.is_leaving = True
        self._callers.draining = True
        log(LogEvent.INSTANCE_DRAINING, instance=self.instance.name, streams=self._streams.count)
        await trio.sleep(self.active_settings.settings.shutdown.balancer_notice_s)
        self._stop.set()

    async def _tick(self) -> None:
        next_heartbeat_at = trio.current_time()
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            self.driver.feed(Tick())
            if now >= next_heartbeat_at:
                self._links.send(self._make_update(None))
                next_heartbeat_at = now + self.active_settings.settings.peers.heartbeat_interval_s
                self._update_gauges()
            self._expire_peers(now)

    async def _rotate_metrics(self) -> None:
        while True:
            await trio.sleep(METRICS_WINDOW_S)
            self.metrics.rotate()

    def _send_update(self, core_update: SendPeerUpdate) -> None:
        self._links.send(self._make_update(core_update))

    def _make_update(self, core_update: SendPeerUpdate | None) -> PeerUpdate:
        status = self._status
        update = make_update(
            core_update,
            self.instance.name,
            self.incarnation,
            status.config_version,
            status.is_leaving,
        )
        return replace(update, leaving_endpoints=self._monitor.leaving_endpoints())

    def _make_initial_update(self) -> PeerUpdate:
        """Return what a peer needs that has just started, or that missed updates."""
        evidence = self.driver.gateway.scheduler.suspects.known_evidence(trio.current_time())
        return replace(self._make_update(None), evidence=evidence)

    def _receive_update(self, received: ReceivedUpdate) -> None:
        update = received.update
        status = PeerStatus(
            update.instance, update.incarnation, update.config_version, update.leaving, update.seq
        )
        last_seq = self.peer_registry.peers[update.instance].last_seq
        change = self.peer_registry.record_status(status, trio.current_time())
        if change.is_stale:
            return
        self._log_status_change(status, change, last_seq)
        self.metrics.peers.set(self.peer_registry.count_reachable())
        self._receive_config(update)
        self._receive_cache_contents(update)
        self._monitor.merge_leaving(update.leaving_endpoints)
        if update.evidence is not None:
            self.driver.feed(EvidenceReceived(update.evidence))
        for placement in update.placements:
            self.metrics.peer_update_age.observe(placement.age_s)
        if update.seq:
            self.driver.feed(
                PeerUpdateReceived(
                    update.instance,
                    update.incarnation,
                    update.seq,
                    update.placements,
                    update.releases,
                    update.limits,
                )
            )

    def _log_status_change(self, status: PeerStatus, change: StatusChange, last_seq: int) -> None:
        name, incarnation = status.instance, status.incarnation
        if change.is_found:
            data_centre = _find_instance(self.active_settings.settings, name).data_centre
            log(
                LogEvent.PEER_FOUND, instance=name, incarnation=incarnation, data_centre=data_centre
            )
        if change.is_newly_leaving:
            log(LogEvent.PEER_LEAVING, instance=name, incarnation=incarnation)
        if change.missed_updates:
            log(
                LogEvent.NEWS_LOST,
                instance=name,
                first_seq=last_seq + 1,
                last_seq=status.seq - 1,
            )

    def _expire_peers(self, now: float) -> None:
        for name in self.peer_registry.expire(now):
            peer = self.peer_registry.peers[name]
            heard_at = now if peer.heard_at is None else peer.heard_at
            log(
                LogEvent.PEER_LOST,
                instance=name,
                incarnation=peer.incarnation,
                silent_ms=round((now - heard_at) * MS_PER_S),
                list_age_ms=None,
            )
            self.metrics.peers.set(self.peer_registry.count_reachable())
            self.driver.feed(PeerLost(name))

    def _update_gauges(self) -> None:
        self.metrics.set_endpoints(self._status.count_endpoints())
        self.metrics.config_version.set(self._status.config_version)
        self.metrics.log_lines_dropped.inc(self._log_writer.take_dropped())
        self._log_writer.flush()

    def _make_order_controller(self) -> OrderController:
        lease = Lease(Holder(self.instance.name, self.incarnation), ORDERS_LEASE_TERM_S)
        orders = EndpointOrders(
            self._store,
            self.clients,
            lambda: self.active_settings.settings,
            lambda: self._monitor.watched,
        )
        return OrderController(
            lease, LeaseRow(self._store, ORDERS_LEASE_KEY), orders, trio.current_time
        )

    def _is_owner_gone(self, attempt: AttemptId) -> bool:
        if attempt.instance == self.instance.name:
            return attempt.incarnation < self.incarnation
        return self.peer_registry.is_gone(attempt.instance, attempt.incarnation)


def _find_instance(settings: Settings, name: str) -> InstanceCfg:
    for instance in settings.instances:
        if instance.name == name:
            return instance
    raise LookupError(f"no instance {name!r} in the settings")
