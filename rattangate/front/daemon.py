"""Runs one entry instance on the hosting platform."""

from __future__ import annotations

import signal
from functools import partial
from typing import TYPE_CHECKING

import trio

from rattangate.front.app import FrontApp
from rattangate.front.signals import STOP_SIGNALS
from rattangate.log_events import open_log
from rattangate.platform.boot import read_boot

if TYPE_CHECKING:
    from types import FrameType


def run_daemon() -> None:
    """Serve until SIGTERM; raise BootError if the settings file cannot be used."""
    boot = read_boot()
    log_writer, close_log = open_log(boot.instance)
    app = FrontApp(boot, log_writer)
    for number in STOP_SIGNALS:
        signal.signal(number, partial(_handle_stop, app))
    try:
        trio.run(app.run)
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        close_log()


def _handle_stop(app: FrontApp, number: int, frame: FrameType | None) -> None:
    """End the process at a signal before the instance handles signals, but not once it stops."""
    if not app.is_leaving:
        signal.signal(number, signal.SIG_DFL)
        signal.raise_signal(number)
