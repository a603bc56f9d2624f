"""The other entry instances: found through the store, sent peer updates directly or over relays."""

from __future__ import annotations

import secrets
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import trio

from rattangate.core.messages import (
    EvidenceReceived,
    PeerLost,
    PeerUpdateReceived,
    StreamHistoryReceived,
)
from rattangate.core.peer_registry import PeerStatus
from rattangate.core.peer_view import LIST_INTERVAL_S, PeerInfo, PeerView
from rattangate.front.instance_entry import (
    INSTANCE_ROW_PREFIX,
    INSTANCE_TABLE,
    InstanceEntry,
    decode_instance_entry,
)
from rattangate.front.peer_log import FoundInstance, LostInstance, PeerLog
from rattangate.front.software_record import SOFTWARE_ROW_KEY, SoftwareRecord
from rattangate.front.stream_record import StreamRecord
from rattangate.front.table_watcher import TableWatcher, TableWatcherCfg
from rattangate.front.tunnels import TunnelPeer
from rattangate.log_events import LogEvent, log
from rattangate.peers.codec import encode_update, make_update
from rattangate.peers.handshake import PeerIdentity
from rattangate.peers.link import PeerLinks
from rattangate.platform.outcomes import StoreConflict, StoreRow, Written
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.fleet import WeightsUpdate
    from rattangate.core.messages import SendPeerUpdate
    from rattangate.front.state import FrontState
    from rattangate.front.table_watcher import TableUpdate
    from rattangate.metrics import Metrics
    from rattangate.peers.codec import PeerUpdate, TableDelta
    from rattangate.peers.link import DroppedWrites, ReceivedUpdate
    from rattangate.platform.store import Store

SECRET_ROW_KEY = "secret"
SECRET_BYTES = 32
WATCHER_CFG = TableWatcherCfg(INSTANCE_TABLE, wait_s=10.0, min_interval_s=1.0, peer_timeout_s=15.0)
RETRY_DELAY_S = 0.3
DEREGISTER_TIMEOUT_S = 0.2
# Time over which the instances of a large deployment write lost rows again.
RESTORE_SPREAD_S = 1.0
HEARTBEAT_INTERVAL_S = 0.5
# A relay that is leaving forwards for so long what is still sent to it.
RELAY_HANDOVER_S = 2.5
# How long a relay collects frames before it sends them, in a small and in a large deployment.
RELAY_INTERVAL_S = 0.05
LARGE_RELAY_INTERVAL_S = 0.1
# The deployment's retry budget is divided into at least this many shares; those without an instance
# are left for instances that join.
MIN_RETRY_SHARES = 8


class Peers:
    """Track the other instances and exchange peer updates with them."""

    def __init__(self, store: Store, state: FrontState, incarnation: int, metrics: Metrics) -> None:
        boot = state.boot
        self._metrics = metrics
        self._secret = b""
        self._is_leaving = False
        self._nursery: trio.Nursery | None = None
        self._store = store
        self._state = state
        self._name = boot.instance
        self._address = f"{boot.ip}:{boot.first_free_port}"
        self._entry = InstanceEntry(
            self._address, boot.data_centre, incarnation, boot.cores, serves_tunnels=True
        )
        self._incarnation = incarnation
        now = trio.current_time()
        self._view = PeerView(boot.instance, boot.data_centre, boot.cores, now)
        self._links: PeerLinks | None = None
        self._sent_at = 0.0
        self._instances: dict[str, InstanceEntry] = {}
        # Not counted among the instances any more, though they serve until they exit.
        self._leaving_instances: dict[str, InstanceEntry] = {}
        # The version of this instance's row that it wrote last: a write that the store carries out
        # late must not touch the row of the process that follows it under the same name.
        self._row_version: int | None = None
        self._has_read_instances = False
        self._relay = boot.instance
        self._peer_log = PeerLog()
        self._relay_queues: dict[str, list[bytes]] = {}
        self._frames_queued = trio.Event()
        self._software_record = SoftwareRecord(
            store, state, store.clock, lambda: not self.delegates_endpoint_list()
        )
        self._stream_record = StreamRecord(
            store, state, store.clock, lambda: self._view.is_first_relay
        )
        self.table_update_handlers: dict[str, Callable[[TableDelta], None]] = {}

    @property
    def count(self) -> int:
        """Return the number of peers that are neither lost nor leaving."""
        return len(self._view.registry.live_names())

    def succession_rank(self, holder: str) -> int:
        """Return the number of live peers that precede this instance as the next lease holder.

        The most recently started one ranks first: a rolling restart does not soon restart it again.
        """
        own_rank = (self._incarnation, self._name)
        registry = self._view.registry
        peers = registry.peers
        others = (name for name in registry.live_names() if name != holder)
        return sum((peers[name].incarnation, name) > own_rank for name in others)

    def delegates_endpoint_list(self) -> bool:
        """Tell whether a relay reads the endpoint list for this instance."""
        return not self._view.is_relay

    def delegates_other_tables(self) -> bool:
        """Tell whether a relay reads the other tables for this instance."""
        return self._view.plan.is_large and self.delegates_endpoint_list()

    def publish_rows_if_large(self, update: TableDelta) -> None:
        """Publish changes of a table whose reading is delegated in large deployments only."""
        if self._view.plan.is_large:
            self.publish_rows(update)

    def publish_rows(self, update: TableDelta) -> None:
        """Send a table's changes to the own data centre, if this instance is its relay."""
        if self._links is not None and not self.delegates_endpoint_list():
            frame = encode_update(replace(self._make_update(None), listed=update))
            self._links.send_frames(self._view.plan.local_peers, (frame,))

    async def run(self) -> None:
        """Register this instance, then discover peers and exchange peer updates until cancelled."""
        self._secret = await self._register()
        identity = PeerIdentity(self._name, self._incarnation, self._secret)
        tunnels = self._state.paths.tunnels
        tunnels.start(identity)
        self._links = PeerLinks(
            identity,
            {},
            self._receive,
            self._make_initial_update,
            accepts_relayed=True,
            serve_tunnel=tunnels.server.serve,
            on_gone=self._record_gone,
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._links.run, self._address)
            nursery.start_soon(self._send_heartbeats)
            nursery.start_soon(self._flush_relay_queues)
            nursery.start_soon(self._announce_live_instances)
            nursery.start_soon(self._software_record.run)
            nursery.start_soon(self._stream_record.run)
            watcher = TableWatcher(
                self._store,
                WATCHER_CFG,
                self._apply_update,
                self.delegates_other_tables,
                self.publish_rows_if_large,
            )
            self.table_update_handlers[INSTANCE_TABLE] = watcher.apply_peer_update
            await watcher.run()

    async def mark_leaving(self) -> None:
        """Mark this instance's row in the store: it gets no duties any more, but serves on."""
        self._is_leaving = True
        if self._nursery is not None:
            self._nursery.start_soon(self._hand_relay_over)
        if self._row_version is None:
            return
        key = INSTANCE_ROW_PREFIX + self._name
        value = msgspec.json.encode(msgspec.structs.replace(self._entry, is_leaving=True))
        outcome = await self._store.write_row(INSTANCE_TABLE, key, value, self._row_version)
        if isinstance(outcome, Written):
            self._row_version = outcome.version
        else:
            self._row_version = None
            log(LogEvent.PLATFORM_DOWN, service="store", error="cannot mark the instance's row")

    async def _hand_relay_over(self) -> None:
        """Leave the duty of the relay to another instance once all send their updates there."""
        await trio.sleep(RELAY_HANDOVER_S)
        self._view.plan.mark_leaving()
        self._connect()

    async def deregister(self) -> None:
        """Remove this instance's row from the store, unless another process has written it."""
        if self._row_version is None:
            return
        key = INSTANCE_ROW_PREFIX + self._name
        with trio.move_on_after(DEREGISTER_TIMEOUT_S):
            await self._store.remove_row(INSTANCE_TABLE, key, self._row_version)

    def send_news(self, sent: SendPeerUpdate) -> None:
        """Send all peers this instance's placements."""
        self._broadcast(self._make_update(sent))

    def announce_weights(self, update: WeightsUpdate) -> None:
        """Send all peers the weights version that an engine runs or loads."""
        self._broadcast(replace(self._make_update(None), weights=(update,)))

    def announce_leaving(self, endpoint: str, incarnation: int) -> None:
        """Send all peers an endpoint that announced in a response that it is leaving."""
        leaving_endpoints = ((endpoint, incarnation),)
        self._broadcast(replace(self._make_update(None), leaving_endpoints=leaving_endpoints))

    def _broadcast(self, update: PeerUpdate) -> None:
        if self._links is not None:
            targets = self._view.own_targets
            self._links.send_frames(targets, (encode_update(update),))
            self._sent_at = trio.current_time()

    async def _register(self) -> bytes:
        """Write this instance's row and return the shared secret; retry until both succeed."""
        key = INSTANCE_ROW_PREFIX + self._name
        value = msgspec.json.encode(self._entry)
        while True:
            written = await self._store.write_row(INSTANCE_TABLE, key, value)
            if isinstance(written, Written):
                self._row_version = written.version
                secret = await self._get_or_create_secret()
                if secret is not None:
                    return secret
            await trio.sleep(RETRY_DELAY_S)

    async def _get_or_create_secret(self) -> bytes | None:
        """Return the secret, writing it if there is none; return None if the store fails."""
        row = await self._store.read_row(INSTANCE_TABLE, SECRET_ROW_KEY)
        if isinstance(row, StoreRow) and row.value is not None:
            return row.value
        generated = secrets.token_bytes(SECRET_BYTES)
        outcome = await self._store.write_row(INSTANCE_TABLE, SECRET_ROW_KEY, generated, 0)
        if isinstance(outcome, Written):
            return generated
        if not isinstance(outcome, StoreConflict):
            return None
        row = await self._store.read_row(INSTANCE_TABLE, SECRET_ROW_KEY)
        return row.value if isinstance(row, StoreRow) else None

    def _apply_update(self, update: TableUpdate) -> None:
        if update.is_after_return and self._nursery is not None:
            self._nursery.start_soon(self._restore_rows, update.rows)
        instances = {} if update.is_snapshot else dict(self._instances)
        leaving = {} if update.is_snapshot else dict(self._leaving_instances)
        if update.is_snapshot:
            self._software_record.apply_snapshot()
        for row in update.rows:
            name = row.key.removeprefix(INSTANCE_ROW_PREFIX)
            if row.key == SOFTWARE_ROW_KEY:
                self._software_record.apply_row(row)
            if row.value == msgspec.json.encode(self._entry):
                self._row_version = row.version
            if name in (row.key, self._name):
                continue
            entry = None if row.value is None else decode_instance_entry(row)
            instances.pop(name, None)
            leaving.pop(name, None)
            if entry is not None and entry.address != self._address:
                (leaving if entry.is_leaving else instances)[name] = entry
        is_changed = (instances, leaving) != (self._instances, self._leaving_instances)
        if is_changed or not self._has_read_instances:
            self._apply_instances(instances, leaving)

    async def _restore_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Write again what the store lost of this instance's rows when it returned."""
        await trio.sleep(self._view.turn_s(RESTORE_SPREAD_S))
        stored = {row.key: row.value for row in rows}
        value = msgspec.json.encode(self._entry)
        own_key = INSTANCE_ROW_PREFIX + self._name
        if stored.get(own_key) != value and not self._is_leaving:
            await self._restore_row(own_key, value, None)
        if stored.get(SECRET_ROW_KEY) is None:
            await self._restore_row(SECRET_ROW_KEY, self._secret, 0)

    async def _restore_row(self, key: str, value: bytes, expected_version: int | None) -> None:
        while True:
            outcome = await self._store.write_row(INSTANCE_TABLE, key, value, expected_version)
            if isinstance(outcome, Written):
                self._metrics.rows_rewritten.inc()
                log(LogEvent.ROW_REWRITTEN, table=INSTANCE_TABLE, row=key)
                return
            if isinstance(outcome, StoreConflict):
                return
            await trio.sleep(RETRY_DELAY_S)

    def _apply_instances(
        self, instances: dict[str, InstanceEntry], leaving: dict[str, InstanceEntry]
    ) -> None:
        self._has_read_instances = True
        self._instances = instances
        self._leaving_instances = leaving
        shares = max(MIN_RETRY_SHARES, len(instances) + 1)
        gateway = self._state.driver.gateway
        gateway.scheduler.share_retries(shares)
        self._state.set_permit_clock()
        gateway.limited.permits.configure((self._name, *instances))
        peers = {
            name: PeerInfo(entry.data_centre, entry.cores, entry.incarnation, entry.is_leaving)
            for name, entry in self._peers_by_name.items()
        }
        self._view.configure(peers, trio.current_time())
        self._connect()

    @property
    def _peers_by_name(self) -> dict[str, InstanceEntry]:
        """Return the rows of all other instances, those that are leaving among them."""
        return {**self._leaving_instances, **self._instances}

    def _connect(self) -> None:
        """Update the connections for what is believed of the other instances."""
        self._view.refresh(trio.current_time())
        self._log_relay_change()
        if self._links is not None:
            addresses = {name: entry.address for name, entry in self._peers_by_name.items()}
            self._links.set_peers(addresses, self._view.contacts)
        self._set_tunnel_peers()

    def _set_tunnel_peers(self) -> None:
        # A peer says that it is leaving before its row does.
        leaving = {*self._leaving_instances, *self._view.registry.leaving_names()}
        self._state.paths.set_tunnel_peers(
            {
                name: TunnelPeer(entry.address, entry.data_centre, name in leaving)
                for name, entry in self._peers_by_name.items()
                if entry.serves_tunnels and (name in leaving or name in self._view.live)
            }
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await trio.sleep(HEARTBEAT_INTERVAL_S)
            if trio.current_time() >= self._sent_at + HEARTBEAT_INTERVAL_S:
                self._broadcast(self._make_update(None))
            self._expire_peers()
            self._peer_log.flush(len(self._view.live))
            if self._links is not None:
                self._log_dropped(self._links.take_dropped())

    def _record_gone(self, name: str) -> None:
        if self._view.record_gone(name, trio.current_time()):
            self._expire_peers()

    def _expire_peers(self) -> None:
        for name in self._view.expire(trio.current_time()):
            self._record_lost(name)
            self._state.driver.feed(PeerLost(name))
        self._connect()

    async def _announce_live_instances(self) -> None:
        """Announce the live instances of this data centre, as its relay in a large deployment."""
        while True:
            await trio.sleep(LIST_INTERVAL_S)
            if self._view.is_lister:
                live = self._view.list_live()
                self._broadcast(replace(self._make_update(None), live_instances=live))

    async def _flush_relay_queues(self) -> None:
        """Relay the frames queued since the last time, in one write for each peer."""
        while True:
            await self._frames_queued.wait()
            await trio.sleep(
                LARGE_RELAY_INTERVAL_S if self._view.plan.is_large else RELAY_INTERVAL_S
            )
            self._frames_queued = trio.Event()
            queues, self._relay_queues = self._relay_queues, {}
            for target, frames in queues.items():
                if self._links is not None:
                    self._links.send_frames((target,), frames)

    def _make_initial_update(self) -> PeerUpdate:
        """Return what a peer needs that has just started, or that missed updates."""
        now = trio.current_time()
        gateway = self._state.driver.gateway
        history = gateway.stream_versions.history(now)
        evidence = gateway.scheduler.suspects.known_evidence(now)
        return replace(self._make_update(None), stream_history=history, evidence=evidence)

    def _make_update(self, sent: SendPeerUpdate | None) -> PeerUpdate:
        config = self._state.config
        version = config.version if config is not None else 0
        return make_update(sent, self._name, self._incarnation, version, leaving=self._is_leaving)

    def _receive(self, received: ReceivedUpdate) -> None:
        update = received.update
        now = trio.current_time()
        if update.instance not in self._view.registry.peers:
            return
        status = PeerStatus(
            update.instance, update.incarnation, update.config_version, update.leaving, update.seq
        )
        heard = self._view.record_status(status, now)
        if heard.is_stale:
            return
        targets = self._view.forward_targets(update.instance, received.via)
        is_covered_by_list = update.is_heartbeat and self._view.plan.is_large
        if targets and not update.is_for_receiver_only and not is_covered_by_list:
            for target in targets:
                self._relay_queues.setdefault(target, []).append(received.frame)
            self._frames_queued.set()
        if heard.is_found:
            self._record_found(update.instance, update.incarnation)
        if update.live_instances:
            for found in self._view.record_list(update.instance, update.live_instances, now):
                self._record_found(*found)
        if update.evidence is not None:
            self._state.driver.feed(EvidenceReceived(update.evidence))
        if update.stream_history is not None:
            self._state.driver.feed(StreamHistoryReceived(update.stream_history))
            self._tell_local_peers(update.instance)
        for item in update.weights:
            self._state.apply_weights(item)
        for endpoint, incarnation in update.leaving_endpoints:
            self._state.apply_leaving(endpoint, incarnation, "peer")
        if update.listed is not None and update.listed.table in self.table_update_handlers:
            self.table_update_handlers[update.listed.table](update.listed)
        if update.seq:
            self._state.driver.feed(
                PeerUpdateReceived(
                    update.instance,
                    update.incarnation,
                    update.seq,
                    update.placements,
                    update.releases,
                    update.limits,
                )
            )

    def _tell_local_peers(self, origin: str) -> None:
        """Tell the own data centre what its relay learned from an instance of another one."""
        local_peers = self._view.plan.local_peers
        if self._links is not None and origin not in local_peers and self._view.is_relay:
            self._links.resend_initial_update(local_peers)

    def _log_relay_change(self) -> None:
        relay = self._view.relay
        if relay != self._relay:
            live = len(self._view.live)
            log(LogEvent.RELAY_CHANGED, relay=relay, previous=self._relay, live=live)
            self._metrics.relay_changes.inc()
            self._relay = relay

    def _log_dropped(self, dropped: DroppedWrites) -> None:
        if not dropped.writes:
            return
        self._metrics.peer_writes_dropped.inc(dropped.writes)
        log(
            LogEvent.PEER_UPDATES_DROPPED,
            peers=dropped.peers,
            writes=dropped.writes,
            queued_bytes=dropped.queued_bytes,
        )

    def _record_lost(self, name: str) -> None:
        peer = self._view.registry.peers[name]
        self._peer_log.record_lost(
            LostInstance(name, peer.incarnation, _age_ms(peer.heard_at), _age_ms(peer.reported_at))
        )

    def _record_found(self, name: str, incarnation: int) -> None:
        data_centre = self._peers_by_name[name].data_centre
        self._peer_log.record_found(FoundInstance(name, incarnation, data_centre))


def _age_ms(at: float | None) -> int | None:
    return None if at is None else round((trio.current_time() - at) * MS_PER_S)
