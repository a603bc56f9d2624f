"""The command that runs an entry instance."""

from __future__ import annotations

import hmac
import os
from pathlib import Path

import trio
import typer

from rattangate.auth import hash_key
from rattangate.cmd.output import print_faults, print_line
from rattangate.config.diagnostics import ConfigError, Diagnostic
from rattangate.config.load import load_settings
from rattangate.config.model import Settings
from rattangate.entry import EntryInstance
from rattangate.exit_codes import ExitCode
from rattangate.log_events import open_log

PEER_SECRET_VARIABLE = "RATTANGATE_PEER_SECRET"


def serve(
    config: Path = typer.Option(..., help="Base settings file, shared by all sites."),
    overlay: Path | None = typer.Option(None, help="Overlay settings file of this site."),
    instance: str = typer.Option(..., help="Name of this instance in the settings."),
) -> None:
    """Run one entry instance until SIGTERM."""
    try:
        settings = load_settings(config, overlay)
        _check_instance(settings, instance, config)
        secret = _read_peer_secret(settings, config)
    except ConfigError as exc:
        print_faults(exc.diagnostics, as_json=False)
        raise typer.Exit(ExitCode.CONFIG_INVALID) from exc
    log_writer, close_log = open_log(instance)
    try:
        trio.run(EntryInstance(settings, instance, secret, log_writer).run)
    except* OSError as group:
        print_line(f"cannot serve: {_first_error(group)}; free the address or change the settings")
        raise typer.Exit(ExitCode.UNAVAILABLE) from group
    finally:
        close_log()


def _check_instance(settings: Settings, name: str, config: Path) -> None:
    names = [instance.name for instance in settings.instances]
    if name in names:
        return
    hint = f"name one of {', '.join(names)} with --instance"
    raise ConfigError((Diagnostic(str(config), 0, "instances", f"no instance {name!r}", hint),))


def _first_error(group: BaseException) -> BaseException:
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group


def _read_peer_secret(settings: Settings, config: Path) -> bytes:
    """Read the secret shared by all peers from the environment and check it against its hash."""
    secret = os.environ.get(PEER_SECRET_VARIABLE, "")
    expected_hash = settings.peers.secret_hash
    if expected_hash and not hmac.compare_digest(hash_key(secret), expected_hash):
        problem = f"the environment variable {PEER_SECRET_VARIABLE} does not hold this secret"
        hint = "set the variable to the secret whose hash stands here"
        raise ConfigError((Diagnostic(str(config), 0, "peers.secret_hash", problem, hint),))
    return secret.encode()
