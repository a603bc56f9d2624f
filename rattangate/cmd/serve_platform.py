"""The command that runs an entry instance on the users' platform."""

from __future__ import annotations

import trio
import typer

from rattangate.cmd.output import ExitCode, print_line
from rattangate.front.app import FrontApp
from rattangate.log_events import open_log
from rattangate.platform.boot import BootError, read_boot


def serve_platform() -> None:
    """Run one entry instance on the users' platform until SIGTERM.

    The platform names the settings file in the environment; `docs/operators/install.md` tells how.
    """
    try:
        boot = read_boot()
    except BootError as exc:
        print_line(f"cannot serve: {exc}")
        raise typer.Exit(ExitCode.CONFIG_INVALID) from exc
    log_writer, close_log = open_log(boot.instance)
    try:
        trio.run(FrontApp(boot, log_writer).run)
    finally:
        close_log()
