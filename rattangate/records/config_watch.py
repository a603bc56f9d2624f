"""The task that runs the configuration follower and carries out its effects."""

from __future__ import annotations

import math
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import trio

from rattangate.core.config_follower import (
    ApplyVersion,
    ConfigSource,
    ContentRead,
    PollTick,
    ReadContent,
    ReadFromPeer,
    ReadNewest,
    VersionApplied,
    VersionRejected,
)
from rattangate.core.config_versions import StoreRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.config_follower import ConfigFollower, FollowerEffect, FollowerMessage
    from rattangate.records.config_store import ConfigStore

# Interval, in seconds, at which the follower checks whether a poll is due.
TICK_S = 0.1


class ConfigWatch:
    """Follow the accepted configuration versions and apply them.

    `enforce` applies a version and returns whether that succeeded; it must not block. `ask_peer`
    requests the newest version from an instance. `applied` is the version applied last.
    """

    def __init__(
        self,
        follower: ConfigFollower,
        store: ConfigStore,
        enforce: Callable[[ApplyVersion], bool],
        ask_peer: Callable[[str], None],
    ) -> None:
        self.follower = follower
        self.applied: ApplyVersion | None = None
        self._store = store
        self._apply_version = enforce
        self._ask_peer = ask_peer
        self._synced = trio.Event()
        self._io_sender, self._io_receiver = trio.open_memory_channel[
            ReadNewest | ReadContent | StoreRecord
        ](math.inf)

    async def run(self) -> None:
        """Poll for new versions until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for effect in self._io_receiver:
                nursery.start_soon(self._run_io, effect)

    async def wait_synced(self, timeout_s: float) -> None:
        """Wait until the newest known version is applied, for at most `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            await self._synced.wait()

    def feed(self, msg: FollowerMessage) -> None:
        """Pass a message to the follower and carry out the resulting effects."""
        for effect in self.follower.handle(msg, trio.current_time()):
            self._carry_out(effect)
        if self.follower.has_synced:
            self._synced.set()

    async def _tick(self) -> None:
        while True:
            self.feed(PollTick())
            await trio.sleep(TICK_S)

    @singledispatchmethod
    def _carry_out(self, effect: FollowerEffect) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_carry_out.register(ReadNewest)
    @_carry_out.register(ReadContent)
    @_carry_out.register(StoreRecord)
    def _queue_io(self, effect: ReadNewest | ReadContent | StoreRecord) -> None:
        self._io_sender.send_nowait(effect)

    @_carry_out.register
    def _read_from_peer(self, effect: ReadFromPeer) -> None:
        self._ask_peer(effect.instance)

    @_carry_out.register
    def _apply(self, effect: ApplyVersion) -> None:
        if self._apply_version(effect):
            self.applied = effect
            self.feed(VersionApplied(effect.record.version))
        else:
            self.feed(VersionRejected(effect.record.version))

    async def _run_io(self, effect: ReadNewest | ReadContent | StoreRecord) -> None:
        if isinstance(effect, StoreRecord):
            await self._store.store_record(effect.record)
        elif isinstance(effect, ReadContent):
            content = await self._store.read_content(effect.record)
            self.feed(ContentRead(effect.record, content, ConfigSource.OBJECT))
        elif effect.source is ConfigSource.TABLE:
            self.feed(await self._store.read_newest())
        else:
            self.feed(await self._store.read_newest_blob())
