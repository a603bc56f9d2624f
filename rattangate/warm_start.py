"""The cache pictures of a starting instance, from its peers or from the last snapshot."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import trio
from thriftpy2.thrift import TException

from rattangate.log_events import LogEvent, log
from rattangate.peers.picture_codec import decode_pictures, encode_pictures
from rattangate.platform.outcomes import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.messages import PictureReceived
    from rattangate.driver import Driver
    from rattangate.platform.store import Store

PEERS_DEADLINE_S = 0.7
OFFER_S = 10.0
OFFER_POLL_S = 0.05
SNAPSHOT_INTERVAL_S = 2.0
SNAPSHOT_KEY = "snapshots/pictures"


class PictureSource(Enum):
    """Name where pictures came from."""

    PEER = "peer"
    SNAPSHOT = "snapshot"


class WarmStart:
    """Ask for pictures at the start and write the snapshot while serving.

    Serving waits for neither: a picture is offered to the gateway until its endpoint is seen.
    """

    def __init__(
        self,
        driver: Driver,
        store: Store,
        ask_peers: Callable[[], None],
        is_writer: Callable[[], bool],
    ) -> None:
        self._driver = driver
        self._store = store
        self._ask_peers = ask_peers
        self._is_writer = is_writer
        self._source: PictureSource | None = None
        self._pictures: tuple[PictureReceived, ...] = ()
        self._written = b""
        self.is_settled = False

    async def run(self) -> None:
        """Take pictures over, then keep the snapshot until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_snapshot)
            with trio.move_on_after(PEERS_DEADLINE_S):
                while self._source is not PictureSource.PEER:
                    self._ask_peers()
                    await trio.sleep(OFFER_POLL_S)
                    self._offer_pictures()
        self.is_settled = True
        await self._offer_all()
        while True:
            await trio.sleep(SNAPSHOT_INTERVAL_S)
            if self._is_writer():
                await self._write_snapshot()

    def take(self, pictures: tuple[PictureReceived, ...], source: PictureSource) -> None:
        """Take the first pictures that come; a peer's go before the snapshot's."""
        if self._source is PictureSource.PEER or self._source is source:
            return
        self._source = source
        self._pictures = pictures
        pieces = sum(len(picture.pieces) for picture in pictures)
        log(LogEvent.WARM_START, source=source.value, pieces=pieces)

    async def _offer_all(self) -> None:
        with trio.move_on_after(OFFER_S):
            while self._pictures:
                self._offer_pictures()
                await trio.sleep(OFFER_POLL_S)

    def _offer_pictures(self) -> None:
        """Feed each picture as soon as its incarnation of the endpoint is seen."""
        waiting = []
        for picture in self._pictures:
            if self._is_seen(picture):
                self._driver.feed(picture)
            else:
                waiting.append(picture)
        self._pictures = tuple(waiting)

    def _is_seen(self, picture: PictureReceived) -> bool:
        endpoint = self._driver.gateway.endpoints.get(picture.endpoint)
        return endpoint is not None and endpoint.seen.incarnation >= picture.incarnation

    async def _read_snapshot(self) -> None:
        found = await self._store.get_blob(SNAPSHOT_KEY)
        if isinstance(found, Unavailable) or found.body is None:
            return
        try:
            pictures = decode_pictures(found.body)
        except (TException, ValueError, TypeError, EOFError) as exc:
            log(LogEvent.INTERNAL_FAULT, where="snapshot", error=repr(exc))
            return
        self.take(pictures, PictureSource.SNAPSHOT)

    async def _write_snapshot(self) -> None:
        pictures = self._driver.gateway.pictures()
        body = encode_pictures(pictures)
        if body == self._written or not pictures:
            return
        outcome = await self._store.put_blob(SNAPSHOT_KEY, body, replaces=True)
        if not isinstance(outcome, Unavailable):
            self._written = body
