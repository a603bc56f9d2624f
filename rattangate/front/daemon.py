"""Runs one entry instance on the hosting platform."""

from __future__ import annotations

import trio

from rattangate.front.app import FrontApp
from rattangate.log_events import open_log
from rattangate.platform.boot import read_boot


def run_daemon() -> None:
    """Serve until SIGTERM; raise BootError if the settings file cannot be used."""
    boot = read_boot()
    log_writer, close_log = open_log(boot.instance)
    try:
        trio.run(FrontApp(boot, log_writer).run)
    finally:
        close_log()
