"""The task that carries out the effects of the configuration follower."""

from __future__ import annotations

import math
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import trio

from rattangate.core.config_follower import (
    AskPeer,
    ConfigSource,
    ContentRead,
    ContentRefused,
    Enforce,
    Enforced,
    PollTick,
    ReadContent,
    ReadNewest,
)
from rattangate.core.config_versions import StoreRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattangate.core.config_follower import ConfigFollower, FollowerEffect, FollowerMessage
    from rattangate.records.config_store import ConfigStore

TICK_S = 0.1


class ConfigWatch:
    """Follow the accepted versions and take them into force.

    `enforce` takes a version into force and tells whether it could; it must not wait.
    """

    def __init__(
        self,
        follower: ConfigFollower,
        store: ConfigStore,
        enforce: Callable[[Enforce], bool],
        ask_peer: Callable[[str], None],
    ) -> None:
        self.follower = follower
        self.held: Enforce | None = None
        self._store = store
        self._enforce_now = enforce
        self._ask_peer = ask_peer
        self._settled = trio.Event()
        self._steps, self._due = trio.open_memory_channel[ReadNewest | ReadContent | StoreRecord](
            math.inf
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for effect in self._due:
                nursery.start_soon(self._step, effect)

    async def wait_settled(self, timeout_s: float) -> None:
        """Wait until the newest version that can be known is in force, or for the timeout."""
        with trio.move_on_after(timeout_s):
            await self._settled.wait()

    def feed(self, msg: FollowerMessage) -> None:
        """Give one message to the follower and carry out the effects."""
        for effect in self.follower.handle(msg, trio.current_time()):
            self._carry_out(effect)
        if self.follower.is_settled:
            self._settled.set()

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
    def _queue(self, effect: ReadNewest | ReadContent | StoreRecord) -> None:
        self._steps.send_nowait(effect)

    @_carry_out.register
    def _ask(self, effect: AskPeer) -> None:
        self._ask_peer(effect.instance)

    @_carry_out.register
    def _enforce(self, effect: Enforce) -> None:
        if self._enforce_now(effect):
            self.held = effect
            self.feed(Enforced(effect.record.version))
        else:
            self.feed(ContentRefused(effect.record.version))

    async def _step(self, effect: ReadNewest | ReadContent | StoreRecord) -> None:
        if isinstance(effect, StoreRecord):
            await self._store.store_record(effect.record)
        elif isinstance(effect, ReadContent):
            content = await self._store.read_content(effect.record)
            self.feed(ContentRead(effect.record, content, ConfigSource.OBJECT))
        elif effect.source is ConfigSource.TABLE:
            self.feed(await self._store.read_newest())
        else:
            self.feed(await self._store.read_newest_object())
