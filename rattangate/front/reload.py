"""Reloads the platform's settings file at intervals and on SIGHUP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattangate.log_events import LogEvent, log
from rattangate.platform.boot import BootError, read_boot

if TYPE_CHECKING:
    from rattangate.front.state import FrontState

CHECK_INTERVAL_S = 1.0


class SettingsReloader:
    """Reload the settings file at intervals and on request.

    Only its bounds change while the process runs; addresses and names apply from the next start.
    """

    def __init__(self, state: FrontState) -> None:
        self._state = state
        self._reload_requested = trio.Event()
        self._last_error = ""

    def request_reload(self) -> None:
        """Reload the file without waiting for the next interval."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Reload the file until cancelled."""
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self._reload_requested.wait()
            self._reload_requested = trio.Event()
            self.reload()

    def reload(self) -> None:
        """Apply the file's bounds if they have changed; ignore an invalid file."""
        try:
            boot = read_boot()
        except BootError as exc:
            self._log_refused(str(exc))
            return
        self._last_error = ""
        if boot.bounds != self._state.boot.bounds:
            self._state.apply_bounds(boot.bounds)
            log(LogEvent.SETTINGS_RELOADED, instance=boot.instance)

    def _log_refused(self, error: str) -> None:
        if error != self._last_error:
            self._last_error = error
            log(LogEvent.SETTINGS_REFUSED, error=error)
