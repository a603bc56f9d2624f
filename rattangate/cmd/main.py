"""The root command, with all subcommands of rattangate."""

from __future__ import annotations

import typer

import rattangate
from rattangate.cmd import config, fleet, standin
from rattangate.cmd.bench import bench
from rattangate.cmd.explain import explain
from rattangate.cmd.serve import serve
from rattangate.cmd.serve_platform import serve_platform

app = typer.Typer(help=rattangate.__doc__, no_args_is_help=True)
app.add_typer(config.app, name="config")
app.add_typer(standin.app, name="standin")
app.add_typer(fleet.endpoints_app, name="endpoints")
app.command()(serve)
app.command()(serve_platform)
app.command()(fleet.instances)
app.command()(bench)
app.command()(explain)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(rattangate.__version__)
