"""Handles the signals of the process for as long as it runs."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class SignalHandler:
    """Request a reload at each SIGHUP, and the stop at the first SIGTERM or SIGINT.

    Further ones change nothing: the requests in progress still have the grace period.
    """

    def __init__(self, request_reload: Callable[[], None]) -> None:
        self._request_reload = request_reload
        self._stop_requested = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Handle signals until cancelled."""
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            task_status.started()
            async for received in signals:
                if received == signal.SIGHUP:
                    self._request_reload()
                else:
                    self._stop_requested.set()

    async def wait_stop(self) -> None:
        """Wait for the first SIGTERM or SIGINT."""
        await self._stop_requested.wait()
