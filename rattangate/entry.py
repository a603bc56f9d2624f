"""The entry instance: the object that wires all parts and owns their life."""

from __future__ import annotations

import signal
import time
from collections import Counter
from contextlib import AsyncExitStack, suppress
from dataclasses import replace
from typing import TYPE_CHECKING, Any

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
from rattangate.core.leases import Holder
from rattangate.core.messages import EndpointState, NewsReceived, PeerLost, Tick
from rattangate.core.roster import Greeting, Roster
from rattangate.driver import Driver
from rattangate.endpoints.client import EndpointClient, open_clients
from rattangate.endpoints.monitor import Monitor
from rattangate.http.admin import make_admin_app
from rattangate.http.auth import Keyring
from rattangate.http.bookings import Bookings
from rattangate.http.caller import make_caller_app
from rattangate.http.relay import OpenStreams
from rattangate.http.services import Services
from rattangate.http.serving import DrainableApp, serve_app
from rattangate.log_events import LogEvent, log
from rattangate.metrics import Metrics
from rattangate.orders import OrderKeeper
from rattangate.peers.codec import HeldConfig, PeerNews, news_of
from rattangate.peers.link import PeerIdentity, PeerLinks
from rattangate.platform.audit import AuditTrail
from rattangate.platform.client import PlatformClient
from rattangate.platform.config_store import ConfigStore, decode_record, encode_record
from rattangate.platform.config_watch import ConfigWatch
from rattangate.reconfigure import gateway_cfg, reconfigure
from rattangate.warm_start import PictureSource, WarmStart

if TYPE_CHECKING:
    from rattangate.config.model import InstanceCfg, Settings
    from rattangate.core.config_follower import Enforce
    from rattangate.core.messages import SendNews
    from rattangate.core.once_messages import AttemptId
    from rattangate.core.roster import Heard
    from rattangate.log_events import LineWriter

TICK_S = 0.02
METRICS_WINDOW_S = 60.0
CONFIG_GRACE_S = 0.5
NS_PER_MS = 1_000_000


class Entry:
    """Run one entry instance."""

    def __init__(
        self, settings: Settings, name: str, secret: bytes, log_writer: LineWriter
    ) -> None:
        self.settings = settings
        self._log_writer = log_writer
        self.instance = _find_instance(settings, name)
        self.incarnation = time.time_ns() // NS_PER_MS
        self.metrics = Metrics()
        self.keyring = Keyring(settings.workspaces, settings.admin_keys)
        self.models = {model.name: model for model in settings.models}
        self.ready = False
        self.leaving = False
        self.streams = OpenStreams(self.metrics)
        self.follower = ConfigFollower(name, [item.name for item in settings.instances])
        self.clients: dict[str, EndpointClient] = {}
        others = [peer for peer in settings.instances if peer.name != name]
        self.roster = Roster((peer.name for peer in others), settings.peers.lost_after_s)
        gateway = Gateway(gateway_cfg(settings, name), seed=self.incarnation)
        self.driver = Driver(gateway, self.metrics, self._send_news)
        identity = PeerIdentity(name, self.incarnation, secret)
        addresses = {peer.name: peer.peer_address for peer in others}
        self.links = PeerLinks(identity, addresses, self._receive_news, lambda: self._wrap(None))
        self.services = Services(self)
        self._stop = trio.Event()
        self._monitor: Monitor | None = None
        self.platform = PlatformClient(settings.platform.address)
        self.bookings = Bookings(name, self.incarnation, self.platform, self._is_holder_lost)
        self.config_store = ConfigStore(self.platform)
        self.audit = AuditTrail(self.platform)
        self.config_watch = ConfigWatch(
            self.follower, self.config_store, self._enforce, self._ask_config
        )
        self._caller_app = make_caller_app(self)
        self._callers = DrainableApp(self._caller_app)

    @property
    def config_version(self) -> int:
        """Return the configuration version in force; 0 stands for the files of the start."""
        return self.follower.in_force

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what runs."""
        async with AsyncExitStack() as stack:
            platform = await stack.enter_async_context(self.platform)
            addresses = {item.name: item.address for item in self.settings.endpoints}
            self.clients = await stack.enter_async_context(open_clients(addresses))
            self._monitor = Monitor(self.settings.endpoints, self.clients, platform, self.driver)
            nursery = await stack.enter_async_context(trio.open_nursery())
            self._warm_start = WarmStart(
                self.driver, platform, self._ask_pictures, self._writes_snapshot
            )
            nursery.start_soon(self.bookings.run)
            nursery.start_soon(self._make_order_keeper(self._monitor).run)
            nursery.start_soon(self.config_watch.run)
            nursery.start_soon(self._warm_start.run)
            nursery.start_soon(self._monitor.run)
            nursery.start_soon(self.links.run, self.instance.peer_address)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._rotate_metrics)
            nursery.start_soon(self._serve_admin)
            nursery.start_soon(self._stop_on_signal)
            await self.config_watch.wait_settled(CONFIG_GRACE_S)
            await self._serve_callers()
            with trio.move_on_after(self.settings.limits.request_timeout_s):
                await self.bookings.wait_idle()
            log(LogEvent.INSTANCE_STOPPED, instance=self.instance.name, streams_cut=0)
            nursery.cancel_scope.cancel()

    def endpoint_state(self, name: str) -> EndpointState:
        """Return the state of an endpoint as seen from here."""
        if self._monitor is None:
            return EndpointState.DOWN
        seen = self._monitor.watched.get(name)
        return seen.state if seen is not None else EndpointState.DOWN

    def describe_instances(self) -> list[dict[str, Any]]:
        """Describe this instance and its peers."""
        own = {
            "name": self.instance.name,
            "data_centre": self.instance.data_centre,
            "incarnation": self.incarnation,
            "state": "leaving" if self.leaving else "live",
            "config_version": self.config_version,
        }
        others = [peer for peer in self.settings.instances if peer.name != self.instance.name]
        return [own, *(self._describe_peer(peer) for peer in others)]

    def describe_endpoints(self) -> list[dict[str, Any]]:
        """Describe all endpoints as seen from here."""
        watched = self._monitor.watched if self._monitor is not None else {}
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
            for endpoint in self.settings.endpoints
            if endpoint.name in watched
        ]

    def watch_endpoints(self) -> None:
        """Watch the endpoints of the present settings."""
        if self._monitor is not None:
            self._monitor.set_endpoints(self.settings.endpoints)

    def connect_peers(self) -> None:
        """Connect to the peers of the present settings."""
        others = [item for item in self.settings.instances if item.name != self.instance.name]
        self.roster.configure((peer.name for peer in others), self.settings.peers.lost_after_s)
        self.links.set_peers({peer.name: peer.peer_address for peer in others})

    def apply_limits(self) -> None:
        """Apply the limits of the present settings to the caller API."""
        limits = self.settings.limits
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
        reconfigure(self, settings)
        log(LogEvent.CONFIG_IN_FORCE, version=version, source=effect.source.value)
        return True

    def _ask_config(self, peer: str) -> None:
        self.links.send_to(peer, replace(self._wrap(None), wants_config=True))

    def _give_config(self, peer: str) -> None:
        held = self.config_watch.held
        if held is not None:
            config = HeldConfig(encode_record(held.record), held.content)
            self.links.send_to(peer, replace(self._wrap(None), config=config))

    def _ask_pictures(self) -> None:
        self.links.send(replace(self._wrap(None), wants_pictures=True))

    def _receive_pictures(self, news: PeerNews) -> None:
        if self._warm_start is None:
            return
        if news.wants_pictures and self._warm_start.is_settled:
            pictures = tuple(p for p in self.driver.gateway.pictures() if p.pieces)
            if pictures:
                self.links.send_to(news.instance, replace(self._wrap(None), pictures=pictures))
        if news.pictures:
            self._warm_start.take(news.pictures, PictureSource.PEER)

    def _writes_snapshot(self) -> bool:
        """Tell whether this is the first by name of the instances that stay."""
        staying = self.roster.staying()
        return not self.leaving and all(self.instance.name < name for name in staying)

    def _receive_config(self, news: PeerNews) -> None:
        self.config_watch.feed(VersionHeard(news.instance, news.config_version))
        if news.wants_config:
            self._give_config(news.instance)
        if news.config is not None:
            with suppress(msgspec.MsgspecError):
                record = decode_record(news.config.record)
                self.config_watch.feed(ContentRead(record, news.config.content, ConfigSource.PEER))

    async def _serve_callers(self) -> None:
        address = self.instance.caller_address
        limits = self.settings.limits
        await serve_app(self._callers, address, limits, self._stop, self._note_listening)

    def _note_listening(self) -> None:
        self.ready = not self.leaving
        log(
            LogEvent.INSTANCE_STARTED,
            instance=self.instance.name,
            version=rattangate.__version__,
            address=self.instance.caller_address,
        )

    async def _serve_admin(self) -> None:
        app = DrainableApp(make_admin_app(self))
        address = self.instance.admin_address
        await serve_app(app, address, self.settings.limits, trio.Event())

    async def _stop_on_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        self.ready = False
        self.leaving = True
        self._callers.draining = True
        log(LogEvent.INSTANCE_DRAINING, instance=self.instance.name, streams=self.streams.count)
        await trio.sleep(self.settings.shutdown.balancer_notice_s)
        self._stop.set()

    async def _tick(self) -> None:
        next_news_at = trio.current_time()
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            self.driver.feed(Tick())
            if now >= next_news_at:
                self.links.send(self._wrap(None))
                next_news_at = now + self.settings.peers.heartbeat_interval_s
                self._show_gauges()
            self._find_lost_peers(now)

    async def _rotate_metrics(self) -> None:
        while True:
            await trio.sleep(METRICS_WINDOW_S)
            self.metrics.rotate()

    def _send_news(self, sent: SendNews) -> None:
        self.links.send(self._wrap(sent))

    def _wrap(self, sent: SendNews | None) -> PeerNews:
        news = news_of(
            sent, self.instance.name, self.incarnation, self.config_version, self.leaving
        )
        marks = self._monitor.leaving_marks() if self._monitor is not None else ()
        return replace(news, leaving_endpoints=marks)

    def _receive_news(self, news: PeerNews) -> None:
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
        if self._monitor is not None:
            self._monitor.take_marks(news.leaving_endpoints)
        for placement in news.placements:
            self.metrics.news_age.observe(placement.age_s)
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
            data_centre = _find_instance(self.settings, name).data_centre
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
        watched = self._monitor.watched.values() if self._monitor is not None else ()
        self.metrics.set_endpoints(Counter(seen.state for seen in watched))
        self.metrics.config_version.set(self.config_version)
        self.metrics.log_lines_dropped.inc(self._log_writer.take_dropped())
        self._log_writer.flush()

    def _make_order_keeper(self, monitor: Monitor) -> OrderKeeper:
        holder = Holder(self.instance.name, self.incarnation)
        return OrderKeeper(
            holder, self.platform, self.clients, lambda: self.settings, lambda: monitor.watched
        )

    def _is_holder_lost(self, attempt: AttemptId) -> bool:
        if attempt.instance == self.instance.name:
            return attempt.incarnation < self.incarnation
        return self.roster.is_gone(attempt.instance, attempt.incarnation)

    def _describe_peer(self, peer: InstanceCfg) -> dict[str, Any]:
        known = self.roster.peers[peer.name]
        return {
            "name": peer.name,
            "data_centre": peer.data_centre,
            "incarnation": known.incarnation,
            "state": known.state.value,
            "config_version": known.config_version,
        }


def _find_instance(settings: Settings, name: str) -> InstanceCfg:
    for instance in settings.instances:
        if instance.name == name:
            return instance
    raise LookupError(f"no instance {name!r} in the settings")
