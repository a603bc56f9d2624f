"""Loads the predicted cache contents at startup, from peers or from the last snapshot."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import trio
from thriftpy2.thrift import TException

from rattangate.log_events import LogEvent, log
from rattangate.peers.cache_snapshot_codec import decode_cache_snapshots, encode_cache_snapshots
from rattangate.platform.outcomes import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.messages import CacheSnapshotReceived
    from rattangate.driver import Driver
    from rattangate.platform.store import Store

PEERS_DEADLINE_S = 0.7
FEED_TIMEOUT_S = 10.0
FEED_INTERVAL_S = 0.05
SNAPSHOT_INTERVAL_S = 2.0
SNAPSHOT_KEY = "snapshots/pictures"


class CacheContentsSource(Enum):
    """Name where cache contents were loaded from."""

    PEER = "peer"
    SNAPSHOT = "snapshot"


class WarmStart:
    """Load cache contents at startup and write the snapshot while serving.

    Serving does not wait for either. The contents of an endpoint are passed to the gateway once
    its incarnation was seen.
    """

    def __init__(
        self,
        driver: Driver,
        store: Store,
        request_from_peers: Callable[[], None],
        is_writer: Callable[[], bool],
    ) -> None:
        self._driver = driver
        self._store = store
        self._request_from_peers = request_from_peers
        self._is_writer = is_writer
        self._source: CacheContentsSource | None = None
        self._pending: tuple[CacheSnapshotReceived, ...] = ()
        self._last_snapshot = b""
        self.is_loaded = False

    async def run(self) -> None:
        """Load cache contents, then write the snapshot at intervals until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_snapshot)
            with trio.move_on_after(PEERS_DEADLINE_S):
                while self._source is not CacheContentsSource.PEER:
                    self._request_from_peers()
                    await trio.sleep(FEED_INTERVAL_S)
                    self._feed_pending()
        self.is_loaded = True
        await self._feed_all()
        while True:
            await trio.sleep(SNAPSHOT_INTERVAL_S)
            if self._is_writer():
                await self._write_snapshot()

    def accept(
        self, contents: tuple[CacheSnapshotReceived, ...], source: CacheContentsSource
    ) -> None:
        """Accept the first contents that are received; those of a peer replace the snapshot's."""
        if self._source is CacheContentsSource.PEER or self._source is source:
            return
        self._source = source
        self._pending = contents
        pieces = sum(len(item.blocks) for item in contents)
        log(LogEvent.WARM_START, source=source.value, pieces=pieces)

    async def _feed_all(self) -> None:
        with trio.move_on_after(FEED_TIMEOUT_S):
            while self._pending:
                self._feed_pending()
                await trio.sleep(FEED_INTERVAL_S)

    def _feed_pending(self) -> None:
        """Pass the contents whose endpoint was seen to the gateway and keep the others."""
        pending = []
        for item in self._pending:
            if self._is_seen(item):
                self._driver.feed(item)
            else:
                pending.append(item)
        self._pending = tuple(pending)

    def _is_seen(self, item: CacheSnapshotReceived) -> bool:
        endpoint = self._driver.gateway.endpoints.get(item.endpoint)
        return endpoint is not None and endpoint.status.incarnation >= item.incarnation

    async def _read_snapshot(self) -> None:
        blob = await self._store.get_blob(SNAPSHOT_KEY)
        if isinstance(blob, Unavailable) or blob.body is None:
            return
        try:
            contents = decode_cache_snapshots(blob.body)
        except (TException, ValueError, TypeError, EOFError) as exc:
            log(LogEvent.INTERNAL_FAULT, where="snapshot", error=repr(exc))
            return
        self.accept(contents, CacheContentsSource.SNAPSHOT)

    async def _write_snapshot(self) -> None:
        contents = self._driver.gateway.cache_contents()
        body = encode_cache_snapshots(contents)
        if body == self._last_snapshot or not contents:
            return
        outcome = await self._store.put_blob(SNAPSHOT_KEY, body, replaces=True)
        if not isinstance(outcome, Unavailable):
            self._last_snapshot = body
