"""Starts an entry instance on the hosting platform without loading the command line."""

from __future__ import annotations

import gc
import signal
import sys

from rattangate.exit_codes import ExitCode


def main() -> ExitCode:
    """Serve until SIGTERM."""
    # The settings are read later in any case; by default the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Objects allocated by imports stay alive; collecting them only delays the first response.
    gc.disable()
    from rattangate.front.daemon import run_daemon
    from rattangate.platform.boot import BootError

    gc.freeze()
    gc.enable()
    try:
        run_daemon()
    except BootError as exc:
        print(f"cannot serve: {exc}", file=sys.stderr)
        return ExitCode.CONFIG_INVALID
    return ExitCode.OK


sys.exit(main())
