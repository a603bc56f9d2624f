"""The other entry instances: found through the store, told of placements over links and relays."""

from __future__ import annotations

import secrets
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import trio

from rattangate.core.messages import NewsReceived, PeerLost
from rattangate.core.relays import RelayPlan
from rattangate.core.roster import Greeting, Roster
from rattangate.front.table_watcher import TableWatcher, TableWatcherCfg
from rattangate.log_events import LogEvent, log
from rattangate.peers.codec import encode_news, news_of
from rattangate.peers.link import PeerIdentity, PeerLinks
from rattangate.platform.outcomes import StoreConflict, StoreRow, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.fleet import WeightsNews
    from rattangate.core.messages import SendNews
    from rattangate.front.state import FrontState
    from rattangate.front.table_watcher import TableUpdate
    from rattangate.peers.codec import PeerNews, ToldRows
    from rattangate.peers.link import Received
    from rattangate.platform.store import Store

INSTANCE_TABLE = "rattangate-instances"
SECRET_KEY = "secret"
INSTANCE_PREFIX = "instance/"
SECRET_BYTES = 32
FEED = TableWatcherCfg(INSTANCE_TABLE, wait_s=10.0, min_interval_s=1.0, peer_timeout_s=15.0)
RETRY_S = 0.3
HEARTBEAT_S = 0.5
LOST_AFTER_S = 2.0
# How often a relay of a large deployment tells who is live, and how long that holds.
LIVE_INTERVAL_S = 1.0
TOLD_LOST_AFTER_S = 2.5
RELAY_INTERVAL_S = 0.05
LARGE_RELAY_INTERVAL_S = 0.1
# Of the slack of retries that all instances share; more than there are leaves room for new ones.
MIN_RETRY_SHARES = 8


class InstanceEntry(msgspec.Struct, frozen=True):
    """Hold one instance's row in the store."""

    address: str
    data_centre: str
    incarnation: int
    cores: float = 0.0


class Peers:
    """Follow the other instances and exchange news with them."""

    def __init__(self, store: Store, state: FrontState, incarnation: int) -> None:
        boot = state.boot
        self._store = store
        self._state = state
        self._name = boot.instance
        self._address = f"{boot.ip}:{boot.first_free_port}"
        self._entry = InstanceEntry(self._address, boot.data_centre, incarnation, boot.cores)
        self._incarnation = incarnation
        self._roster = Roster((), LOST_AFTER_S)
        self._links: PeerLinks | None = None
        self._sent_at = 0.0
        self._known: dict[str, InstanceEntry] = {}
        self._found_at: dict[str, float] = {}
        self._plan = RelayPlan(boot.instance, boot.data_centre, boot.cores)
        self._live: frozenset[str] = frozenset()
        self._relayed: dict[str, list[bytes]] = {}
        self._has_relayed = trio.Event()
        self.table_update_handlers: dict[str, Callable[[ToldRows], None]] = {}

    @property
    def count(self) -> int:
        """Return the number of peers that are heard from."""
        return self._roster.count_heard()

    def place(self, holder: str) -> int:
        """Return the number of live peers that come before this instance as the next holder.

        The youngest comes first: a rolling restart does not come back to it soon.
        """
        own = (self._incarnation, self._name)
        peers = self._roster.peers
        others = (name for name in self._roster.staying() if name != holder)
        return sum((peers[name].incarnation, name) > own for name in others)

    def delegates_endpoint_list(self) -> bool:
        """Tell whether another instance reads the list of endpoints for this one."""
        return not self._plan.is_relay(self._live)

    def delegates_other_tables(self) -> bool:
        """Tell whether another instance reads the other tables for this one."""
        return self._plan.is_large and self.delegates_endpoint_list()

    def publish_rows_if_large(self, told: ToldRows) -> None:
        """Tell the own data centre of a table that only a large deployment reads for all."""
        if self._plan.is_large:
            self.publish_rows(told)

    def publish_rows(self, told: ToldRows) -> None:
        """Tell the own data centre of a table, if this instance reads it for all."""
        if self._links is not None and not self.delegates_endpoint_list():
            frame = encode_news(replace(self._wrap(None), listed=told))
            self._links.send_frames(self._plan.near, (frame,))

    async def run(self) -> None:
        """Register this instance, then find peers and talk to them until cancelled."""
        secret = await self._join()
        identity = PeerIdentity(self._name, self._incarnation, secret)
        self._links = PeerLinks(
            identity, {}, self._receive, lambda: self._wrap(None), takes_relayed=True
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._links.run, self._address)
            nursery.start_soon(self._beat)
            nursery.start_soon(self._relay)
            nursery.start_soon(self._tell_live)
            feed = TableWatcher(
                self._store,
                FEED,
                self._take_news,
                self.delegates_other_tables,
                self.publish_rows_if_large,
            )
            self.table_update_handlers[INSTANCE_TABLE] = feed.apply_peer_update
            await feed.run()

    async def leave(self) -> None:
        """Remove this instance's row."""
        outcome = await self._store.remove_row(INSTANCE_TABLE, INSTANCE_PREFIX + self._name)
        if not isinstance(outcome, Written):
            log(LogEvent.PLATFORM_DOWN, service="store", error="the instance's row stays")

    def send_news(self, sent: SendNews) -> None:
        """Tell all peers of placements."""
        self._send(self._wrap(sent))

    def send_weights(self, news: WeightsNews) -> None:
        """Tell all peers of an engine's weights."""
        self._send(replace(self._wrap(None), weights=(news,)))

    def send_leaving(self, endpoint: str, incarnation: int) -> None:
        """Tell all peers of an endpoint that said that it leaves."""
        marks = ((endpoint, incarnation),)
        self._send(replace(self._wrap(None), leaving_endpoints=marks))

    def _send(self, news: PeerNews) -> None:
        if self._links is not None:
            targets = self._plan.own_targets(self._live)
            self._links.send_frames(targets, (encode_news(news),))
            self._sent_at = trio.current_time()

    async def _join(self) -> bytes:
        """Write this instance's row and return the secret that all instances share."""
        key = INSTANCE_PREFIX + self._name
        value = msgspec.json.encode(self._entry)
        while True:
            written = await self._store.write_row(INSTANCE_TABLE, key, value)
            if isinstance(written, Written):
                secret = await self._agree_secret()
                if secret is not None:
                    return secret
            await trio.sleep(RETRY_S)

    async def _agree_secret(self) -> bytes | None:
        """Return the secret that the first instance wrote, None where the store is silent."""
        row = await self._store.read_row(INSTANCE_TABLE, SECRET_KEY)
        if isinstance(row, StoreRow) and row.value is not None:
            return row.value
        drawn = secrets.token_bytes(SECRET_BYTES)
        outcome = await self._store.write_row(INSTANCE_TABLE, SECRET_KEY, drawn, 0)
        if isinstance(outcome, Written):
            return drawn
        if not isinstance(outcome, StoreConflict):
            return None
        row = await self._store.read_row(INSTANCE_TABLE, SECRET_KEY)
        return row.value if isinstance(row, StoreRow) else None

    def _take_news(self, news: TableUpdate) -> None:
        found = {} if news.is_snapshot else dict(self._known)
        for row in news.rows:
            name = row.key.removeprefix(INSTANCE_PREFIX)
            if name in (row.key, self._name):
                continue
            entry = None if row.value is None else _decode_entry(row)
            if entry is not None and entry.address != self._address:
                found[name] = entry
            else:
                found.pop(name, None)
        if found != self._known:
            self._take_found(found)

    def _take_found(self, found: dict[str, InstanceEntry]) -> None:
        now = trio.current_time()
        self._known = found
        self._found_at = {name: self._found_at.get(name, now) for name in found}
        self._roster.configure(found, LOST_AFTER_S)
        shares = max(MIN_RETRY_SHARES, len(found) + 1)
        self._state.driver.gateway.intake.share_retries(shares)
        places = {name: entry.data_centre for name, entry in found.items()}
        self._plan.configure(places, {name: entry.cores for name, entry in found.items()})
        self._connect()

    def _connect(self) -> None:
        """Connect to whom the live instances make necessary; new ones count as live at first."""
        since = trio.current_time() - LOST_AFTER_S
        fresh = {name for name, at in self._found_at.items() if at > since}
        heard = {name for name, peer in self._roster.peers.items() if peer.was_heard}
        self._live = frozenset({*self._roster.staying(), *(fresh - heard)})
        if self._links is not None:
            addresses = {name: entry.address for name, entry in self._known.items()}
            self._links.set_peers(addresses, self._plan.connections(self._live))

    async def _beat(self) -> None:
        while True:
            await trio.sleep(HEARTBEAT_S)
            if trio.current_time() >= self._sent_at + HEARTBEAT_S:
                self._send(self._wrap(None))
            for name in self._roster.expire(trio.current_time()):
                incarnation = self._roster.peers[name].incarnation
                log(LogEvent.PEER_LOST, instance=name, incarnation=incarnation)
                self._state.driver.feed(PeerLost(name))
            self._connect()

    async def _tell_live(self) -> None:
        """Tell, as the relay of a large deployment, who is live in this data centre."""
        while True:
            await trio.sleep(LIVE_INTERVAL_S)
            if not self._plan.is_large or self.delegates_endpoint_list():
                continue
            peers = self._roster.peers
            near = set(self._plan.near)
            live = [
                (name, peers[name].incarnation) for name in self._roster.staying() if name in near
            ]
            self._send(replace(self._wrap(None), live_instances=tuple(live)))

    async def _relay(self) -> None:
        """Pass on what has come since the last time, each peer's in one write."""
        while True:
            await self._has_relayed.wait()
            await trio.sleep(LARGE_RELAY_INTERVAL_S if self._plan.is_large else RELAY_INTERVAL_S)
            self._has_relayed = trio.Event()
            waiting, self._relayed = self._relayed, {}
            for target, frames in waiting.items():
                if self._links is not None:
                    self._links.send_frames((target,), frames)

    def _wrap(self, sent: SendNews | None) -> PeerNews:
        config = self._state.config
        version = config.version if config is not None else 0
        return news_of(sent, self._name, self._incarnation, version, leaving=False)

    def _receive(self, received: Received) -> None:
        news = received.news
        if news.instance not in self._roster.peers:
            return
        greeting = Greeting(
            news.instance, news.incarnation, news.config_version, news.leaving, news.seq
        )
        heard = self._roster.hear(greeting, trio.current_time())
        if heard.is_stale:
            return
        targets = self._plan.forward_targets(news.instance, received.via, self._live)
        is_told_otherwise = news.is_heartbeat and self._plan.is_large
        if targets and news.listed is None and not is_told_otherwise:
            for target in targets:
                self._relayed.setdefault(target, []).append(received.frame)
            self._has_relayed.set()
        if heard.is_found:
            self._log_found(news.instance, news.incarnation)
        for name, incarnation in news.live_instances:
            deadline = trio.current_time() + TOLD_LOST_AFTER_S
            if self._roster.hear_of(name, incarnation, deadline):
                self._log_found(name, incarnation)
        for item in news.weights:
            self._state.apply_weights(item)
        for endpoint, incarnation in news.leaving_endpoints:
            self._state.apply_leaving(endpoint, incarnation, "peer")
        if news.listed is not None and news.listed.table in self.table_update_handlers:
            self.table_update_handlers[news.listed.table](news.listed)
        if news.seq:
            self._state.driver.feed(
                NewsReceived(
                    news.instance,
                    news.incarnation,
                    news.seq,
                    news.placements,
                    news.departures,
                    news.limits,
                )
            )

    def _log_found(self, name: str, incarnation: int) -> None:
        data_centre = self._known[name].data_centre
        log(LogEvent.PEER_FOUND, instance=name, incarnation=incarnation, data_centre=data_centre)


def _decode_entry(row: StoreRow) -> InstanceEntry | None:
    try:
        return msgspec.json.decode(row.value or b"", type=InstanceEntry)
    except msgspec.DecodeError as exc:
        log(LogEvent.ENTRY_MALFORMED, table=INSTANCE_TABLE, row=row.key, error=str(exc))
        return None
