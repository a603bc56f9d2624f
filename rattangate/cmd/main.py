"""The command line of rattangate."""

from __future__ import annotations

import typer

import rattangate
from rattangate.cmd import config, standin
from rattangate.cmd.serve import serve

app = typer.Typer(help=rattangate.__doc__, no_args_is_help=True)
app.add_typer(config.app, name="config")
app.add_typer(standin.app, name="standin")
app.command()(serve)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(rattangate.__version__)
