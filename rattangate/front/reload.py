"""Takes a changed settings file of the platform into force, with or without a signal."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattangate.log_events import LogEvent, log
from rattangate.platform.boot import BootError, read_boot

if TYPE_CHECKING:
    from rattangate.front.state import FrontState

CHECK_INTERVAL_S = 1.0


class BootWatch:
    """Read the settings file again at intervals and on request.

    Addresses and names hold until the process ends; only the bounds change while it runs.
    """

    def __init__(self, state: FrontState) -> None:
        self._state = state
        self._wanted = trio.Event()
        self._refused = ""

    def read_soon(self) -> None:
        """Read the file again without waiting for the next interval."""
        self._wanted.set()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self._wanted.wait()
            self._wanted = trio.Event()
            self.read()

    def read(self) -> None:
        """Take the file's bounds into force if they have changed."""
        try:
            boot = read_boot()
        except BootError as exc:
            self._refuse(str(exc))
            return
        self._refused = ""
        if boot.bounds != self._state.boot.bounds:
            self._state.take_bounds(boot.bounds)
            log(LogEvent.SETTINGS_RELOADED, instance=boot.instance)

    def _refuse(self, error: str) -> None:
        if error != self._refused:
            self._refused = error
            log(LogEvent.SETTINGS_REFUSED, error=error)
