"""Applies the operator's entries and the endpoint list of the store to the instance's state."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec

from rattangate.clock import boottime_now
from rattangate.core.fleet import ListedEndpoint, ModelVersion
from rattangate.core.routes import ServingConfig
from rattangate.front.table_watcher import SHORT_WAIT_S, TableWatcher, TableWatcherCfg
from rattangate.log_events import LogEvent, log
from rattangate.platform.operator import (
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    decode_endpoint,
    decode_operator_entry,
)

if TYPE_CHECKING:
    from rattangate.front.peers import Peers
    from rattangate.front.state import FrontState
    from rattangate.front.table_watcher import TableUpdate
    from rattangate.peers.codec import TableDelta
    from rattangate.platform.outcomes import StoreRow
    from rattangate.platform.store import Store

# An instance that gets the table from a peer reads it itself after the long poll's wait plus this
# slack without an update. With the read itself, a change is still known within its bound.
PEER_TIMEOUT_SLACK_S = 0.35
# A long poll waits for up to this share of the bound within which a configuration must apply.
CONFIG_WAIT_SHARE = 0.6
# The same for the time for which API keys may be used after a read. A response extends that time,
# counted from when its request was sent.
KEYS_WAIT_SHARE = 0.45
# Longest long poll of the endpoint list.
MAX_LIST_WAIT_S = 3.0
# Minimum interval between reads and peer timeout, as shares of the bound within which an endpoint
# that is leaving must be known.
LIST_INTERVAL_SHARE = 0.4
LIST_PEER_TIMEOUT_SHARE = 0.65
# After the store has returned from an older copy, endpoints that it lacks write their entries again
# within this time.
ENTRIES_BACK_S = 3.0


class OperatorConfigWatcher:
    """Apply the operator's configuration and the weights versions that it names.

    In a large deployment one instance of each data centre reads them for the others.
    """

    def __init__(self, store: Store, state: FrontState, peers: Peers) -> None:
        self._state = state
        self._has_snapshot = False
        self._is_new = False
        bounds = state.boot.bounds
        keys_wait_s = KEYS_WAIT_SHARE * state.keys.duration_s
        wait_s = min(CONFIG_WAIT_SHARE * bounds.config_apply_s, keys_wait_s)
        cfg = TableWatcherCfg(OPERATOR_TABLE, wait_s, peer_timeout_s=wait_s + PEER_TIMEOUT_SLACK_S)
        self._watcher = TableWatcher(
            store,
            cfg,
            self._apply_update,
            peers.delegates_other_tables,
            peers.publish_rows_if_large,
        )
        peers.table_update_handlers[OPERATOR_TABLE] = self._watcher.apply_peer_update

    async def run(self) -> None:
        """Watch the table until cancelled."""
        await self._watcher.run()

    def _apply_update(self, update: TableUpdate) -> None:
        if update.is_after_outage:
            self._state.desired_versions.postpone(boottime_now())
        self._is_new = not update.is_snapshot or self._has_snapshot
        self._has_snapshot = True
        for row in update.rows:
            if row.value is None:
                continue
            try:
                self._apply_entry(decode_operator_entry(row.key, row.value))
            except (msgspec.DecodeError, ValueError) as exc:
                log(LogEvent.ENTRY_MALFORMED, table=OPERATOR_TABLE, row=row.key, error=str(exc))
        self._state.keys.renew(update.asked_at)

    @singledispatchmethod
    def _apply_entry(self, entry: object) -> None:
        """Ignore entries of types that do not concern an instance."""

    @_apply_entry.register
    def _apply_config(self, entry: ServingConfig) -> None:
        self._state.apply_config(entry)

    @_apply_entry.register
    def _apply_version(self, entry: ModelVersion) -> None:
        self._state.apply_named_version(entry, self._is_new)


class EndpointListWatcher:
    """Apply the endpoint list, which one instance of each data centre reads for the others."""

    def __init__(self, store: Store, state: FrontState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        drain_s = state.boot.bounds.drain_s
        peer_timeout_s = LIST_PEER_TIMEOUT_SHARE * drain_s
        # The relay has told that nothing changed before the others read the list themselves.
        wait_s = max(SHORT_WAIT_S, min(MAX_LIST_WAIT_S, peer_timeout_s - PEER_TIMEOUT_SLACK_S))
        cfg = TableWatcherCfg(ENDPOINT_TABLE, wait_s, LIST_INTERVAL_SHARE * drain_s, peer_timeout_s)
        self._watcher = TableWatcher(
            store, cfg, self._apply_update, peers.delegates_endpoint_list, self._publish
        )
        peers.table_update_handlers[ENDPOINT_TABLE] = self._watcher.apply_peer_update
        self._listed: dict[str, ListedEndpoint] = {}
        self._changed: set[str] = set()
        self._malformed: set[str] = set()
        # Listed before the store returned from an older copy and not written there again yet.
        self._unconfirmed: set[str] = set()
        self._unconfirmed_until = 0.0

    async def run(self) -> None:
        """Watch the table until cancelled."""
        await self._watcher.run()

    def _apply_update(self, update: TableUpdate) -> None:
        now = boottime_now()
        if update.is_after_return:
            self._unconfirmed = set(self._listed)
            self._unconfirmed_until = now + ENTRIES_BACK_S
        elif update.is_snapshot:
            self._listed.clear()
        written = {row.key for row in update.rows}
        # Peers that noticed the return wait for the entries that are written again, too.
        self._changed = self._unconfirmed & written
        self._unconfirmed -= written
        if now >= self._unconfirmed_until:
            self._drop_unconfirmed()
        for row in update.rows:
            before = self._listed.get(row.key)
            self._apply_row(row)
            if self._listed.get(row.key) != before:
                self._changed.add(row.key)
        self._state.apply_endpoint_list(self._listed.values(), update.asked_at)

    def _drop_unconfirmed(self) -> None:
        """Drop the endpoints that have not written their entries again."""
        for name in self._unconfirmed:
            self._listed.pop(name, None)
            self._changed.add(name)
        self._unconfirmed.clear()

    def _publish(self, rows_update: TableDelta) -> None:
        """Send peers the rows that changed in more than their heartbeat, or that were lost."""
        rows = tuple(row for row in rows_update.rows if row.key in self._changed)
        self._peers.publish_rows(replace(rows_update, rows=rows))

    def _apply_row(self, row: StoreRow) -> None:
        entry = None if row.value is None else decode_endpoint(row.key, row.value)
        if isinstance(entry, ListedEndpoint):
            self._listed[row.key] = entry
            return
        self._listed.pop(row.key, None)
        if entry is not None and row.key not in self._malformed:
            self._malformed.add(row.key)
            log(LogEvent.ENTRY_MALFORMED, table=ENDPOINT_TABLE, row=row.key, error=entry.reason)
