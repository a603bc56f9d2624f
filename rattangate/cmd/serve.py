"""The command that runs an entry instance."""

from __future__ import annotations

import os
from pathlib import Path

import trio
import typer

from rattangate.cmd.output import ExitCode, print_faults
from rattangate.config.faults import ConfigError
from rattangate.config.load import load_settings
from rattangate.entry import Entry
from rattangate.log_events import open_log

PEER_SECRET_VARIABLE = "RATTANGATE_PEER_SECRET"


def serve(
    config: Path = typer.Option(..., help="Base settings file, shared by all sites."),
    overlay: Path = typer.Option(..., help="Overlay settings file of this site."),
    instance: str = typer.Option(..., help="Name of this instance in the settings."),
) -> None:
    """Run one entry instance until SIGTERM."""
    try:
        settings = load_settings(config, overlay)
        entry = Entry(settings, instance, _peer_secret())
    except ConfigError as exc:
        print_faults(exc.faults, as_json=False)
        raise typer.Exit(ExitCode.CONFIG_INVALID) from exc
    _, close_log = open_log(instance)
    try:
        trio.run(entry.run)
    finally:
        close_log()


def _peer_secret() -> bytes:
    return os.environ.get(PEER_SECRET_VARIABLE, "").encode()
