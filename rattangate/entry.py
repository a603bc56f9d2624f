"""The entry instance: the object that wires all parts and owns their life."""

from __future__ import annotations

import signal
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import trio

import rattangate
from rattangate.config.content import decode_content
from rattangate.config.faults import ConfigError
from rattangate.core.config_follower import (
    ConfigFollower,
    ConfigSource,
    ContentRead,
    VersionHeard,
)
from rattangate.core.gateway import Gateway
from rattangate.core.leases import Holder, Lease
from rattangate.core.messages import NewsReceived, PeerLost, Tick
from rattangate.core.roster import Greeting, Roster
from rattangate.driver import Driver
from rattangate.endpoints.client import EndpointClient, own_clients
from rattangate.endpoints.monitor import Monitor
from rattangate.endpoints.orders import EndpointOrders
from rattangate.fleet_status import FleetStatus
from rattangate.http.admin import make_admin_app
from rattangate.http.admin_parts import AdminParts
from rattangate.http.bookings import Bookings
from rattangate.http.caller import CallerParts, make_caller_app
from rattangate.http.relay import OpenStreams
from rattangate.http.services import Services
from rattangate.http.serving import DrainableApp, serve_app
from rattangate.in_force import InForce
from rattangate.log_events import LogEvent, log
from rattangate.metrics import Metrics
from rattangate.orders import OrderKeeper
from rattangate.peers.codec import HeldConfig, PeerNews, news_of
from rattangate.peers.link import PeerIdentity, PeerLinks
from rattangate.platform.store import Store
from rattangate.reconfigure import gateway_cfg, reconfigure
from rattangate.records.audit import AuditTrail
from rattangate.records.config_store import ConfigStore, decode_record, encode_record
from rattangate.records.config_watch import ConfigWatch
from rattangate.records.lease_row import ORDERS_LEASE, LeaseRow
from rattangate.warm_start import PictureSource, WarmStart

if TYPE_CHECKING:
    from rattangate.config.model import InstanceCfg, Settings
    from rattangate.core.config_follower import Enforce
    from rattangate.core.messages import SendNews
    from rattangate.core.once_messages import AttemptId
    from rattangate.core.roster import Heard
    from rattangate.log_events import LineWriter
    from rattangate.peers.link import Received

TICK_S = 0.02
METRICS_WINDOW_S = 60.0
CONFIG_GRACE_S = 0.5
STORE_TIMEOUT_S = 2.0
ORDERS_TERM_S = 4.0
NS_PER_MS = 1_000_000


class Entry:
    """Run one entry instance."""

    def __init__(
        self, settings: Settings, name: str, secret: bytes, log_writer: LineWriter
    ) -> None:
        self._log_writer = log_writer
        self.instance = _find_instance(settings, name)
        self.incarnation = time.time_ns() // NS_PER_MS
        self.metrics = Metrics()
        self.in_force = InForce(settings)
        self.clients = {
            item.name: EndpointClient(item.name, item.address) for item in settings.endpoints
        }
        others = [peer for peer in settings.instances if peer.name != name]
        self.roster = Roster((peer.name for peer in others), settings.peers.lost_after_s)
        gateway = Gateway(gateway_cfg(settings, name), seed=self.incarnation)
        self.driver = Driver(gateway, self.metrics, self._send_news)
        identity = PeerIdentity(name, self.incarnation, secret)
        addresses = {peer.name: peer.peer_address for peer in others}
        self._links = PeerLinks(identity, addresses, self._receive_news, lambda: self._wrap(None))
        self._store = Store(settings.platform.address, STORE_TIMEOUT_S)
        self._monitor = Monitor(settings.endpoints, self.clients, self._store, self.driver)
        self._follower = ConfigFollower(name, [item.name for item in settings.instances])
        self._status = FleetStatus(
            self.instance,
            self.incarnation,
            self.in_force,
            self._follower,
            self.roster,
            self._monitor,
        )
        self._config_store = ConfigStore(self._store)
        self._config_watch = ConfigWatch(
            self._follower, self._config_store, self._enforce, self._ask_config
        )
        self._warm_start = WarmStart(
            self.driver, self._store, self._ask_pictures, self._writes_snapshot
        )
        self._bookings = Bookings(name, self.incarnation, self._store, self._is_holder_lost)
        self._streams = OpenStreams(self.metrics)
        self._caller_app = make_caller_app(self._caller_parts())
        self._callers = DrainableApp(self._caller_app)
        self._stop = trio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what runs."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._store)
            await stack.enter_async_context(own_clients(self.clients))
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(self._bookings.run)
            nursery.start_soon(self._make_order_keeper().run)
            nursery.start_soon(self._config_watch.run)
            nursery.start_soon(self._warm_start.run)
            nursery.start_soon(self._monitor.run)
            nursery.start_soon(self._links.run, self.instance.peer_address)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._rotate_metrics)
            nursery.start_soon(self._serve_admin)
            nursery.start_soon(self._stop_on_signal)
            await self._config_watch.wait_settled(CONFIG_GRACE_S)
            await self._serve_callers()
            with trio.move_on_after(self.in_force.settings.limits.request_timeout_s):
                await self._bookings.wait_idle()
            log(LogEvent.INSTANCE_STOPPED, instance=self.instance.name, streams_cut=0)
            nursery.cancel_scope.cancel()

    def reconfigure(self, settings: Settings) -> None:
        """Take new settings into force in all parts at once."""
        reconfigure(self.in_force, self.driver.gateway, self.clients, settings)
        self._monitor.set_endpoints(self.in_force.settings.endpoints)
        self._connect_peers()
        self._apply_limits()

    def _caller_parts(self) -> CallerParts:
        services = Services(
            self.in_force, self.clients, self._bookings, self._monitor, self.metrics
        )
        return CallerParts(
            self.in_force,
            self.driver,
            self.clients,
            self.metrics,
            self._streams,
            services,
            lambda: self._status.is_ready,
        )

    def _admin_parts(self) -> AdminParts:
        return AdminParts(
            self.in_force,
            self.driver,
            self.metrics,
            self._status,
            self._config_store,
            self._config_watch,
            AuditTrail(self._store),
        )

    def _connect_peers(self) -> None:
        settings = self.in_force.settings
        others = [item for item in settings.instances if item.name != self.instance.name]
        self.roster.configure((peer.name for peer in others), settings.peers.lost_after_s)
        self._links.set_peers({peer.name: peer.peer_address for peer in others})

    def _apply_limits(self) -> None:
        limits = self.in_force.settings.limits
        self._caller_app.config["BODY_TIMEOUT"] = limits.body_timeout_s
        self._caller_app.config["MAX_CONTENT_LENGTH"] = limits.max_body_bytes

    def _enforce(self, effect: Enforce) -> bool:
        version = effect.record.version
        try:
            content = decode_content(effect.content)
            settings = content.settings_of(self.instance.data_centre)
        except ConfigError as exc:
            log(LogEvent.CONFIG_INVALID, version=version, faults=len(exc.faults))
            return False
        self.reconfigure(settings)
        log(LogEvent.CONFIG_IN_FORCE, version=version, source=effect.source.value)
        return True

    def _ask_config(self, peer: str) -> None:
        self._links.send_to(peer, replace(self._wrap(None), wants_config=True))

    def _give_config(self, peer: str) -> None:
        held = self._config_watch.held
        if held is not None:
            config = HeldConfig(encode_record(held.record), held.content)
            self._links.send_to(peer, replace(self._wrap(None), config=config))

    def _ask_pictures(self) -> None:
        self._links.send(replace(self._wrap(None), wants_pictures=True))

    def _receive_pictures(self, news: PeerNews) -> None:
        if news.wants_pictures and self._warm_start.is_settled:
            pictures = tuple(p for p in self.driver.gateway.pictures() if p.pieces)
            if pictures:
                self._links.send_to(news.instance, replace(self._wrap(None), pictures=pictures))
        if news.pictures:
            self._warm_start.take(news.pictures, PictureSource.PEER)

    def _writes_snapshot(self) -> bool:
        """Tell whether this is the first by name of the instances that stay."""
        staying = self.roster.staying()
        return not self._status.is_leaving and all(self.instance.name < name for name in staying)

    def _receive_config(self, news: PeerNews) -> None:
        self._config_watch.feed(VersionHeard(news.instance, news.config_version))
        if news.wants_config:
            self._give_config(news.instance)
        if news.config is not None:
            with suppress(msgspec.MsgspecError):
                record = decode_record(news.config.record)
                self._config_watch.feed(ContentRead(record, news.config.content, ConfigSource.PEER))

    async def _serve_callers(self) -> None:
        address = self.instance.caller_address
        limits = self.in_force.settings.limits
        await serve_app(self._callers, address, limits, self._stop, self._note_listening)

    def _note_listening(self) -> None:
        self._status.is_ready = not self._status.is_leaving
        log(
            LogEvent.INSTANCE_STARTED,
            instance=self.instance.name,
            version=rattangate.__version__,
            address=self.instance.caller_address,
        )

    async def _serve_admin(self) -> None:
        app = DrainableApp(make_admin_app(self._admin_parts()))
        address = self.instance.admin_address
        await serve_app(app, address, self.in_force.settings.limits, trio.Event())

    async def _stop_on_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        self._status.is_ready = False
        self._status.is_leaving = True
        self._callers.draining = True
        log(LogEvent.INSTANCE_DRAINING, instance=self.instance.name, streams=self._streams.count)
        await trio.sleep(self.in_force.settings.shutdown.balancer_notice_s)
        self._stop.set()

    async def _tick(self) -> None:
        next_news_at = trio.current_time()
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            self.driver.feed(Tick())
            if now >= next_news_at:
                self._links.send(self._wrap(None))
                next_news_at = now + self.in_force.settings.peers.heartbeat_interval_s
                self._show_gauges()
            self._find_lost_peers(now)

    async def _rotate_metrics(self) -> None:
        while True:
            await trio.sleep(METRICS_WINDOW_S)
            self.metrics.rotate()

    def _send_news(self, sent: SendNews) -> None:
        self._links.send(self._wrap(sent))

    def _wrap(self, sent: SendNews | None) -> PeerNews:
        status = self._status
        news = news_of(
            sent, self.instance.name, self.incarnation, status.config_version, status.is_leaving
        )
        return replace(news, leaving_endpoints=self._monitor.leaving_marks())

    def _receive_news(self, received: Received) -> None:
        news = received.news
        greeting = Greeting(
            news.instance, news.incarnation, news.config_version, news.leaving, news.seq
        )
        last_seq = self.roster.peers[news.instance].last_seq
        heard = self.roster.hear(greeting, trio.current_time())
        if heard.is_stale:
            return
        self._log_heard(greeting, heard, last_seq)
        self.metrics.peers.set(self.roster.count_heard())
        self._receive_config(news)
        self._receive_pictures(news)
        self._monitor.take_marks(news.leaving_endpoints)
        for placement in news.placements:
            self.metrics.peer_update_age.observe(placement.age_s)
        if news.seq:
            self.driver.feed(
                NewsReceived(
                    news.instance,
                    news.incarnation,
                    news.seq,
                    news.placements,
                    news.departures,
                    news.limits,
                )
            )

    def _log_heard(self, greeting: Greeting, heard: Heard, last_seq: int) -> None:
        name, incarnation = greeting.instance, greeting.incarnation
        if heard.is_found:
            data_centre = _find_instance(self.in_force.settings, name).data_centre
            log(
                LogEvent.PEER_FOUND, instance=name, incarnation=incarnation, data_centre=data_centre
            )
        if heard.is_newly_leaving:
            log(LogEvent.PEER_LEAVING, instance=name, incarnation=incarnation)
        if heard.lost_news:
            log(
                LogEvent.NEWS_LOST,
                instance=name,
                first_seq=last_seq + 1,
                last_seq=greeting.seq - 1,
            )

    def _find_lost_peers(self, now: float) -> None:
        for name in self.roster.expire(now):
            incarnation = self.roster.peers[name].incarnation
            log(LogEvent.PEER_LOST, instance=name, incarnation=incarnation)
            self.metrics.peers.set(self.roster.count_heard())
            self.driver.feed(PeerLost(name))

    def _show_gauges(self) -> None:
        self.metrics.set_endpoints(self._status.count_endpoints())
        self.metrics.config_version.set(self._status.config_version)
        self.metrics.log_lines_dropped.inc(self._log_writer.take_dropped())
        self._log_writer.flush()

    def _make_order_keeper(self) -> OrderKeeper:
        lease = Lease(Holder(self.instance.name, self.incarnation), ORDERS_TERM_S)
        orders = EndpointOrders(
            self._store,
            self.clients,
            lambda: self.in_force.settings,
            lambda: self._monitor.watched,
        )
        return OrderKeeper(lease, LeaseRow(self._store, ORDERS_LEASE), orders, trio.current_time)

    def _is_holder_lost(self, attempt: AttemptId) -> bool:
        if attempt.instance == self.instance.name:
            return attempt.incarnation < self.incarnation
        return self.roster.is_gone(attempt.instance, attempt.incarnation)


def _find_instance(settings: Settings, name: str) -> InstanceCfg:
    for instance in settings.instances:
        if instance.name == name:
            return instance
    raise LookupError(f"no instance {name!r} in the settings")
