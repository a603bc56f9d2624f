"""The command that runs an entry instance on the hosting platform."""

from __future__ import annotations

import typer

from rattangate.cmd.output import print_line
from rattangate.exit_codes import ExitCode
from rattangate.front.daemon import run_daemon
from rattangate.platform.boot import BootError


def serve_platform() -> None:
    """Run one entry instance on the users' platform until SIGTERM.

    The platform names the settings file in the environment; `docs/operators/install.md` tells how.
    """
    try:
        run_daemon()
    except BootError as exc:
        print_line(f"cannot serve: {exc}")
        raise typer.Exit(ExitCode.CONFIG_INVALID) from exc
